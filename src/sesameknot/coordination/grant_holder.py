"""Holder side of endpoint grants."""

import asyncio
import contextlib
import itertools
import math
from collections.abc import Callable, Sequence

import structlog

from sesameknot.clock import Clock
from sesameknot.coordination._background import BackgroundTasks
from sesameknot.coordination._endpoint_notices import EndpointNotices
from sesameknot.coordination._held_grant import HeldGrant
from sesameknot.coordination._slot import GrantError, Slot, SlotOutcome
from sesameknot.coordination._waiters import Waiters
from sesameknot.coordination._warm_share import WarmShare
from sesameknot.coordination.grant_owner import GrantOwner, PeerCaller
from sesameknot.errors import RouterError
from sesameknot.protocol.messages import (
    Done,
    GrantReply,
    GrantRequest,
    GrantRevoke,
)
from sesameknot.protocol.roster import Roster, RosterMember
from sesameknot.settings.process import TimingSettings
from sesameknot.state.endpoint_table import EndpointTable, parse_state
from sesameknot.transport.endpoint_client import ObservedLoad
from sesameknot.transport.peer_server import PeerServer

# Time between two requests for one endpoint while callers wait.
MIN_ASK_S = 0.1
UNMET_ASK_S = 0.25
OWNERLESS_ASK_S = 0.5
# An engine may run a request for some time after its caller has left.
LINGER_SILENT_S = 2.0
LINGER_CANCELLED_S = 0.5
# Event loops run timers early by up to the resolution of their clock.
TIMER_SLACK_S = 0.001
_LINGER_S = {
    SlotOutcome.SILENT: LINGER_SILENT_S,
    SlotOutcome.CANCELLED: LINGER_CANCELLED_S,
}

__all__ = ["GrantError", "GrantHolder", "Slot", "SlotOutcome"]

log = structlog.get_logger(__name__)


class GrantHolder:
    """Ask owners for slots and hand them out to requests.

    Parameters
    ----------
    host_id : str
        This host.
    incarnation : int
        Incarnation of this process.
    address : str
        Peer address of this host, for revocations.
    clock : Clock
        Source of monotonic time.
    table : EndpointTable
        Endpoints of the settings and what is known about them.
    roster : callable
        Returns the newest roster that this host knows.
    peers : PeerCaller
        Client for calls to owners.
    grant_owner : GrantOwner
        Answers for the endpoints that this host owns itself.
    timing : TimingSettings
        Grant lifetime and call timeout.
    """

    def __init__(
        self,
        host_id: str,
        incarnation: int,
        address: str,
        *,
        clock: Clock,
        table: EndpointTable,
        roster: Callable[[], Roster],
        peers: PeerCaller,
        grant_owner: GrantOwner,
        timing: TimingSettings,
    ) -> None:
        self.host_id = host_id
        self.incarnation = incarnation
        self.address = address
        self.table = table
        self.roster = roster
        self.peers = peers
        self.grant_owner = grant_owner
        self.timing = timing
        self._clock = clock
        self._warm_share = WarmShare(
            grant_owner, table=table, roster=roster, clock=clock
        )
        self._grants: dict[str, HeldGrant] = {}
        self._tokens = itertools.count(1)
        self._table_tokens: dict[int, int] = {}
        self._notices = EndpointNotices(
            grant_owner,
            table=table,
            peers=peers,
            clock=clock,
            timeout_s=timing.ping_timeout_s,
        )
        self._wake = asyncio.Event()
        self._waiters = Waiters()
        self._background = BackgroundTasks()

    def register(self, server: PeerServer) -> None:
        """Serve this part's messages."""
        server.handle(GrantRevoke)(self.handle_revoke)

    def acquire(self, endpoint_id: str) -> Slot | None:
        """Return a slot at an endpoint, or None if none is free now.

        A refusal counts as demand and asks the owner for more.
        """
        slot = self._reserve(endpoint_id)
        if slot is None:
            held = self._grant(endpoint_id)
            held.denied_count += 1
            self._ask_soon(held, held.asked_s + MIN_ASK_S)
        return slot

    def _reserve(self, endpoint_id: str) -> Slot | None:
        held = self._grant(endpoint_id)
        held.used_s = self._clock.monotonic_s()
        if self.free_count(endpoint_id) <= 0:
            return None
        if held.next_ask_s == math.inf and not held.asking:
            self._ask_soon(held, held.used_s)
        token = next(self._tokens)
        held.reserved.add(token)
        self._table_tokens[token] = self.table.started(endpoint_id)
        return Slot(self, endpoint_id, token)

    async def acquire_any(
        self, endpoint_ids: Sequence[str], *, timeout_s: float
    ) -> Slot | None:
        """Return a slot at the first endpoint that has one, waiting if none has.

        Parameters
        ----------
        endpoint_ids : sequence of str
            Endpoints, the preferred one first.
        timeout_s : float
            Longest time to wait.
        """
        for endpoint_id in endpoint_ids:
            if slot := self.acquire(endpoint_id):
                return slot
        held = [self._grant(endpoint_id) for endpoint_id in endpoint_ids]
        for grant in held:
            grant.waiter_count += 1
        try:
            async with asyncio.timeout(timeout_s):
                while True:
                    await self._waiters.wait()
                    for endpoint_id in endpoint_ids:
                        if slot := self._reserve(endpoint_id):
                            return slot
        except TimeoutError:
            return None
        finally:
            for grant in held:
                grant.waiter_count -= 1

    def free_count(self, endpoint_id: str) -> int:
        """Return how many more requests may start at an endpoint now."""
        held = self._grants.get(endpoint_id)
        if held is None:
            return 0
        in_flight_count = held.in_flight_count(self._clock.monotonic_s())
        return self._limit(held) - in_flight_count - len(held.reserved)

    def _limit(self, held: HeldGrant) -> int:
        return held.limit(
            self.table.state(held.endpoint_id),
            self._clock.monotonic_s(),
            self._warm_share.slot_count(held.endpoint_id),
        )

    def _grant(self, endpoint_id: str) -> HeldGrant:
        held = self._grants.get(endpoint_id)
        if held is None:
            held = self._grants[endpoint_id] = HeldGrant(endpoint_id)
        return held

    def confirm(self, endpoint_id: str, token: int) -> None:
        """Mark a slot as sent if its grant still allows it.

        Raises
        ------
        GrantError
            If it does not.
        """
        held = self._grant(endpoint_id)
        in_flight_count = held.in_flight_count(self._clock.monotonic_s())
        limit = self._limit(held)
        if token not in held.reserved or in_flight_count >= limit:
            raise GrantError(
                f"{in_flight_count} requests in flight, the grant allows {limit}",
                step="grant",
                peer=endpoint_id,
            )
        held.reserved.discard(token)
        held.sent.add(token)

    def give_back(
        self, endpoint_id: str, token: int, outcome: SlotOutcome, linger_s: float
    ) -> None:
        """Take a slot back and learn from how its request ended."""
        held = self._grant(endpoint_id)
        linger_s = max(linger_s, _LINGER_S.get(outcome, 0.0))
        if token in held.sent and linger_s > 0:
            held.lingering_s.append(self._clock.monotonic_s() + linger_s)
        held.reserved.discard(token)
        held.sent.discard(token)
        self.table.finished(endpoint_id, self._table_tokens.pop(token, 0))
        self._notices.saw(endpoint_id, outcome)
        self._waiters.notify()

    def observe(self, endpoint_id: str, load: ObservedLoad) -> None:
        """Take the load in the headers of an answer."""
        self.table.observe(
            endpoint_id,
            load.state,
            running_count=load.running_count,
            queued_count=load.queued_count,
        )
        if load.state in (SlotOutcome.COLD, SlotOutcome.LEAVING):
            self._notices.notify(endpoint_id, SlotOutcome(load.state))

    def record_first_token(self, endpoint_id: str, duration_s: float) -> None:
        """Take a time to the first token; a much longer one shows a cold start."""
        if self.table.record_first_token(endpoint_id, duration_s):
            self._notices.saw(endpoint_id, SlotOutcome.COLD)

    def request_for(self, endpoint_id: str, owner: RosterMember) -> GrantRequest:
        """Return the request that reports this host's present use and demand."""
        held = self._grant(endpoint_id)
        in_flight_count = held.in_flight_count(self._clock.monotonic_s())
        wanted_count = len(held.reserved) + max(held.denied_count, held.waiter_count)
        held.denied_count = 0
        same_owner = held.owner == (owner.host_id, owner.incarnation)
        return GrantRequest(
            endpoint_id=endpoint_id,
            host_id=self.host_id,
            incarnation=self.incarnation,
            address="" if self._listed() else self.address,
            in_flight_count=in_flight_count,
            wanted_count=wanted_count,
            roster_version=self.roster().version,
            owner_incarnation=owner.incarnation if same_owner else 0,
            seen_number=held.seen_number if same_owner else 0,
            prefix_digest=self.table.prefix_digest(endpoint_id),
        )

    def _listed(self) -> bool:
        member = self.roster().member(self.host_id)
        return member is not None and member.incarnation == self.incarnation

    def apply(
        self, endpoint_id: str, owner: RosterMember, reply: GrantReply, sent_s: float
    ) -> None:
        """Take an owner's reply to the request sent at ``sent_s``."""
        held = self._grant(endpoint_id)
        if reply.report.state and not self.grant_owner.is_self(owner):
            reply.report.endpoint_id = endpoint_id
            as_of_s = sent_s - reply.report.age_ms / 1000
            self.table.report(reply.report, as_of_s=as_of_s)
        held.ownerless = reply.status != "granted"
        if held.ownerless:
            return
        held.replace(
            (owner.host_id, reply.owner_incarnation),
            reply.number,
            slot_count=reply.slot_count,
            expires_s=sent_s + reply.ttl_ms / 1000,
            state=parse_state(reply.report.state),
        )

    async def handle_revoke(self, revoke: GrantRevoke) -> Done:
        """Void the grants that the owner revokes, and report to it at once."""
        held = self._grant(revoke.report.endpoint_id)
        self.table.report(revoke.report)
        owner = (revoke.owner_id, revoke.owner_incarnation)
        now_s = self._clock.monotonic_s()
        if owner == held.owner:
            held.replace(
                owner,
                revoke.number,
                slot_count=0,
                expires_s=now_s,
                state=parse_state(revoke.report.state),
            )
        self._ask_soon(held, now_s)
        return Done()

    def _ask_soon(self, held: HeldGrant, when_s: float) -> None:
        if when_s < held.next_ask_s:
            held.next_ask_s = when_s
            self._wake.set()

    async def _ask(self, held: HeldGrant) -> None:
        held.asking = True
        held.asked_s = sent_s = self._clock.monotonic_s()
        held.next_ask_s = math.inf
        owner = self.grant_owner.owner_map.owner(held.endpoint_id)
        if held.ownerless:
            self._background.spawn(self._refresh(held))
        try:
            if owner is None:
                held.ownerless = True
            else:
                reply = await self._call(held.endpoint_id, owner)
                self.apply(held.endpoint_id, owner, reply, sent_s)
        except RouterError as error:
            held.ownerless = True
            log.debug("grant_request_failed", endpoint=held.endpoint_id, reason=error)
        finally:
            held.asking = False
        if held.ownerless:
            self._background.spawn(self._refresh(held))
        self._plan_next_ask(held)
        # A denial during the call may have set an earlier time.
        self._wake.set()
        self._waiters.notify()

    async def _refresh(self, held: HeldGrant) -> None:
        await self._warm_share.refresh(held.endpoint_id)
        self._waiters.notify()

    async def _call(self, endpoint_id: str, owner: RosterMember) -> GrantReply:
        request = self.request_for(endpoint_id, owner)
        if self.grant_owner.is_self(owner):
            return self.grant_owner.answer(request)
        return await self.peers.call(
            owner.address,
            request,
            expect=GrantReply,
            timeout_s=self.timing.ping_timeout_s,
        )

    def _plan_next_ask(self, held: HeldGrant) -> None:
        interval_s = self._renewal_interval_s(held)
        if interval_s is not None:
            self._ask_soon(held, held.asked_s + interval_s)

    def _renewal_interval_s(self, held: HeldGrant) -> float | None:
        """Return the time until the next request, None if there is no need.

        Notes
        -----
        A grant is kept alive only where requests start. Requests that merely run
        are reported half as often; after that the next use asks first.
        """
        if held.ownerless and held.busy():
            return OWNERLESS_ASK_S
        if held.waiter_count and self.free_count(held.endpoint_id) <= 0:
            return UNMET_ASK_S
        if held.reserved or held.used_s >= held.asked_s:
            return self.timing.grant_ttl_s / 2
        if held.in_flight_count(self._clock.monotonic_s()):
            return self.timing.grant_ttl_s
        return None

    async def run(self) -> None:
        """Renew grants until cancelled."""
        try:
            while True:
                self._wake.clear()
                now_s = self._clock.monotonic_s()
                for held in self._grants.values():
                    if held.next_ask_s <= now_s + TIMER_SLACK_S and not held.asking:
                        held.next_ask_s = math.inf
                        self._background.spawn(self._ask(held))
                await self._sleep(now_s)
        finally:
            self._background.cancel()
            self._notices.close()

    async def _sleep(self, now_s: float) -> None:
        next_s = min(
            (h.next_ask_s for h in self._grants.values() if not h.asking),
            default=math.inf,
        )
        delay_s = None if next_s == math.inf else max(0.0, next_s - now_s)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(delay_s):
                await self._wake.wait()
