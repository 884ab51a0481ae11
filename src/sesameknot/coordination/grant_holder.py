"""Holder side of endpoint grants: grant requests, slots and their use."""

import asyncio
import contextlib
import itertools
import math
from collections.abc import Callable, Sequence

import structlog

from sesameknot.clock import Clock
from sesameknot.coordination._background import BackgroundTasks
from sesameknot.coordination._endpoint_notices import EndpointNotices
from sesameknot.coordination._fallback_slots import FallbackSlots
from sesameknot.coordination._held_grant import HeldGrant
from sesameknot.coordination._slot import GrantError, Slot, SlotOutcome
from sesameknot.coordination._waiters import Waiters
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

# Intervals between two grant requests for one endpoint: after a refused acquisition,
# while callers wait and no slot is free, and while the owner is unavailable.
MIN_GRANT_REQUEST_INTERVAL_S = 0.1
UNMET_GRANT_REQUEST_INTERVAL_S = 0.25
OWNER_RETRY_INTERVAL_S = 0.5
# An engine may continue to run a request for this time after it ended here.
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
    """Request grants from owners and hand out their slots to requests.

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
        Endpoints of the settings with their load and state.
    roster : callable
        Returns the newest roster that this host knows.
    peers : PeerCaller
        Client for calls to owners.
    grant_owner : GrantOwner
        Grant owner of this host, which decides for the endpoints that the host owns.
    timing : TimingSettings
        Grant lifetime and timeout of calls to owners.
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
        self._fallback_slots = FallbackSlots(
            grant_owner, table=table, roster=roster, clock=clock
        )
        self._grants: dict[str, HeldGrant] = {}
        self._slot_ids = itertools.count(1)
        self._in_flight_ids: dict[int, int] = {}
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
        """Register the message handler."""
        server.handle(GrantRevoke)(self.handle_revoke)

    def acquire(self, endpoint_id: str) -> Slot | None:
        """Return a slot at an endpoint, or None if none is free now.

        A refusal counts as demand and schedules a grant request.
        """
        slot = self._reserve(endpoint_id)
        if slot is None:
            held = self._held_grant(endpoint_id)
            held.denied_count += 1
            self._schedule_grant_request(
                held, held.grant_requested_s + MIN_GRANT_REQUEST_INTERVAL_S
            )
        return slot

    def _reserve(self, endpoint_id: str) -> Slot | None:
        held = self._held_grant(endpoint_id)
        held.last_acquire_s = self._clock.monotonic_s()
        if self.free_count(endpoint_id) <= 0:
            return None
        if held.next_grant_request_s == math.inf and not held.grant_request_running:
            self._schedule_grant_request(held, held.last_acquire_s)
        slot_id = next(self._slot_ids)
        held.reserved_slot_ids.add(slot_id)
        self._in_flight_ids[slot_id] = self.table.add_in_flight(endpoint_id)
        return Slot(self, endpoint_id, slot_id)

    async def acquire_any(
        self, endpoint_ids: Sequence[str], *, timeout_s: float
    ) -> Slot | None:
        """Return a slot at the first endpoint that has one, waiting if none has.

        Parameters
        ----------
        endpoint_ids : sequence of str
            Endpoints in order of preference.
        timeout_s : float
            Longest time to wait.
        """
        for endpoint_id in endpoint_ids:
            if slot := self.acquire(endpoint_id):
                return slot
        grants = [self._held_grant(endpoint_id) for endpoint_id in endpoint_ids]
        for held in grants:
            held.waiter_count += 1
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
            for held in grants:
                held.waiter_count -= 1

    def free_count(self, endpoint_id: str) -> int:
        """Return how many more requests may start at an endpoint now."""
        held = self._grants.get(endpoint_id)
        if held is None:
            return 0
        in_flight_count = held.in_flight_count(self._clock.monotonic_s())
        return (
            self._in_flight_limit(held) - in_flight_count - len(held.reserved_slot_ids)
        )

    def _in_flight_limit(self, held: HeldGrant) -> int:
        return held.in_flight_limit(
            self.table.state(held.endpoint_id),
            self._clock.monotonic_s(),
            self._fallback_slots.slot_count(held.endpoint_id),
        )

    def _held_grant(self, endpoint_id: str) -> HeldGrant:
        held = self._grants.get(endpoint_id)
        if held is None:
            held = self._grants[endpoint_id] = HeldGrant(endpoint_id)
        return held

    def confirm_slot(self, endpoint_id: str, slot_id: int) -> None:
        """Mark a slot as sent if its grant still allows it.

        Raises
        ------
        GrantError
            If it does not.
        """
        held = self._held_grant(endpoint_id)
        in_flight_count = held.in_flight_count(self._clock.monotonic_s())
        limit_count = self._in_flight_limit(held)
        if slot_id not in held.reserved_slot_ids or in_flight_count >= limit_count:
            raise GrantError(
                f"{in_flight_count} requests in flight, the grant allows {limit_count}",
                step="grant",
                peer=endpoint_id,
            )
        held.reserved_slot_ids.discard(slot_id)
        held.sent_slot_ids.add(slot_id)

    def release_slot(
        self, endpoint_id: str, slot_id: int, outcome: SlotOutcome, linger_s: float
    ) -> None:
        """Release a slot and record how its request ended."""
        held = self._held_grant(endpoint_id)
        linger_s = max(linger_s, _LINGER_S.get(outcome, 0.0))
        if slot_id in held.sent_slot_ids and linger_s > 0:
            held.linger_until_s.append(self._clock.monotonic_s() + linger_s)
        held.reserved_slot_ids.discard(slot_id)
        held.sent_slot_ids.discard(slot_id)
        self.table.remove_in_flight(endpoint_id, self._in_flight_ids.pop(slot_id, 0))
        self._notices.record_outcome(endpoint_id, outcome)
        self._waiters.notify()

    def observe(self, endpoint_id: str, load: ObservedLoad) -> None:
        """Record the load from the headers of an answer."""
        self.table.observe(
            endpoint_id,
            load.state,
            running_count=load.running_count,
            queued_count=load.queued_count,
        )
        if load.state in (SlotOutcome.COLD, SlotOutcome.LEAVING):
            self._notices.notify(endpoint_id, SlotOutcome(load.state))

    def record_first_token(self, endpoint_id: str, duration_s: float) -> None:
        """Record a time to the first token; infer a cold start from a long one."""
        if self.table.record_first_token(endpoint_id, duration_s):
            self._notices.record_outcome(endpoint_id, SlotOutcome.COLD)

    def build_grant_request(
        self, endpoint_id: str, owner: RosterMember
    ) -> GrantRequest:
        """Return a grant request with this host's present requests and demand."""
        held = self._held_grant(endpoint_id)
        in_flight_count = held.in_flight_count(self._clock.monotonic_s())
        wanted_count = len(held.reserved_slot_ids) + max(
            held.denied_count, held.waiter_count
        )
        held.denied_count = 0
        same_owner = held.owner == (owner.host_id, owner.incarnation)
        return GrantRequest(
            endpoint_id=endpoint_id,
            host_id=self.host_id,
            incarnation=self.incarnation,
            address="" if self._in_roster() else self.address,
            in_flight_count=in_flight_count,
            wanted_count=wanted_count,
            roster_version=self.roster().version,
            owner_incarnation=owner.incarnation if same_owner else 0,
            seen_number=held.seen_number if same_owner else 0,
            prefix_digest=self.table.prefix_digest(endpoint_id),
        )

    def _in_roster(self) -> bool:
        member = self.roster().member(self.host_id)
        return member is not None and member.incarnation == self.incarnation

    def apply_reply(
        self, endpoint_id: str, owner: RosterMember, reply: GrantReply, sent_s: float
    ) -> None:
        """Apply an owner's reply to the grant request sent at ``sent_s``."""
        held = self._held_grant(endpoint_id)
        if reply.report.state and not self.grant_owner.is_self(owner):
            reply.report.endpoint_id = endpoint_id
            as_of_s = sent_s - reply.report.age_ms / 1000
            self.table.record_report(reply.report, as_of_s=as_of_s)
        held.owner_unavailable = reply.status != "granted"
        if held.owner_unavailable:
            return
        held.replace_grant(
            (owner.host_id, reply.owner_incarnation),
            reply.number,
            slot_count=reply.slot_count,
            expires_s=sent_s + reply.ttl_ms / 1000,
            state=parse_state(reply.report.state),
        )

    async def handle_revoke(self, revoke: GrantRevoke) -> Done:
        """Drop the slots of a revoked grant; confirm it by a grant request at once."""
        held = self._held_grant(revoke.report.endpoint_id)
        self.table.record_report(revoke.report)
        owner = (revoke.owner_id, revoke.owner_incarnation)
        now_s = self._clock.monotonic_s()
        if owner == held.owner:
            held.replace_grant(
                owner,
                revoke.number,
                slot_count=0,
                expires_s=now_s,
                state=parse_state(revoke.report.state),
            )
        self._schedule_grant_request(held, now_s)
        return Done()

    def _schedule_grant_request(self, held: HeldGrant, when_s: float) -> None:
        if when_s < held.next_grant_request_s:
            held.next_grant_request_s = when_s
            self._wake.set()

    async def _request_grant(self, held: HeldGrant) -> None:
        held.grant_request_running = True
        held.grant_requested_s = sent_s = self._clock.monotonic_s()
        held.next_grant_request_s = math.inf
        owner = self.grant_owner.owner_map.owner(held.endpoint_id)
        if held.owner_unavailable:
            self._background.spawn(self._refresh_state(held))
        try:
            if owner is None:
                held.owner_unavailable = True
            else:
                reply = await self._call_owner(held.endpoint_id, owner)
                self.apply_reply(held.endpoint_id, owner, reply, sent_s)
        except RouterError as error:
            held.owner_unavailable = True
            log.debug("grant_request_failed", endpoint=held.endpoint_id, reason=error)
        finally:
            held.grant_request_running = False
        if held.owner_unavailable:
            self._background.spawn(self._refresh_state(held))
        self._schedule_renewal(held)
        # A refused acquisition during the call may have scheduled an earlier request.
        self._wake.set()
        self._waiters.notify()

    async def _refresh_state(self, held: HeldGrant) -> None:
        await self._fallback_slots.refresh(held.endpoint_id)
        self._waiters.notify()

    async def _call_owner(self, endpoint_id: str, owner: RosterMember) -> GrantReply:
        request = self.build_grant_request(endpoint_id, owner)
        if self.grant_owner.is_self(owner):
            return self.grant_owner.decide(request)
        return await self.peers.call(
            owner.address,
            request,
            expect=GrantReply,
            timeout_s=self.timing.ping_timeout_s,
        )

    def _schedule_renewal(self, held: HeldGrant) -> None:
        interval_s = self._renewal_interval_s(held)
        if interval_s is not None:
            self._schedule_grant_request(held, held.grant_requested_s + interval_s)

    def _renewal_interval_s(self, held: HeldGrant) -> float | None:
        """Return the time from the last grant request to the next, None if not needed.

        Notes
        -----
        A grant is renewed before its expiry only while requests start. While earlier
        ones run and none start, they are reported once in a grant's lifetime. When none
        run, renewal stops and the next acquisition first needs a new grant.
        """
        if held.owner_unavailable and held.busy():
            return OWNER_RETRY_INTERVAL_S
        if held.waiter_count and self.free_count(held.endpoint_id) <= 0:
            return UNMET_GRANT_REQUEST_INTERVAL_S
        if held.reserved_slot_ids or held.last_acquire_s >= held.grant_requested_s:
            return self.timing.grant_ttl_s / 2
        if held.in_flight_count(self._clock.monotonic_s()):
            return self.timing.grant_ttl_s
        return None

    async def run(self) -> None:
        """Send the scheduled grant requests until cancelled."""
        try:
            while True:
                self._wake.clear()
                now_s = self._clock.monotonic_s()
                for held in self._grants.values():
                    if (
                        held.next_grant_request_s <= now_s + TIMER_SLACK_S
                        and not held.grant_request_running
                    ):
                        held.next_grant_request_s = math.inf
                        self._background.spawn(self._request_grant(held))
                await self._wait_for_next_grant_request(now_s)
        finally:
            self._background.cancel()
            self._notices.close()

    async def _wait_for_next_grant_request(self, now_s: float) -> None:
        next_s = min(
            (
                h.next_grant_request_s
                for h in self._grants.values()
                if not h.grant_request_running
            ),
            default=math.inf,
        )
        delay_s = None if next_s == math.inf else max(0.0, next_s - now_s)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(delay_s):
                await self._wake.wait()
