"""Owner side of endpoint grants: polls, grants, revocations."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any, Protocol

import structlog

from sesameknot.clock import Clock
from sesameknot.coordination._background import BackgroundTasks
from sesameknot.coordination._owner_map import OwnerMap
from sesameknot.errors import RouterError
from sesameknot.protocol.messages import (
    Done,
    EndpointNotice,
    EndpointReport,
    GrantReply,
    GrantRequest,
    GrantRevoke,
)
from sesameknot.protocol.roster import Roster, RosterMember
from sesameknot.settings.process import TimingSettings
from sesameknot.state.endpoint_table import EndpointState, EndpointTable
from sesameknot.state.grant_book import GrantBook, HolderKey, Report
from sesameknot.transport.peer_server import PeerServer

# Engines publish their load with a lag that they need not state.
LOAD_LAG_S = 1.0
# A report that is older than this says nothing about the present load.
POLL_AGE_LIMIT_S = 3.0
# One lost poll is no sign that an endpoint is down.
DOWN_AFTER_FAILURES = 2
# Prefix hashes are most of a reply's size, so a holder gets them less often.
PREFIX_INTERVAL_S = 5.0
PREFIX_LIMIT_COUNT = 64

LoadPoll = Callable[[str, str], Awaitable[EndpointReport]]

# Other events only cause a poll: a router whose own link to an endpoint is broken
# must not take the endpoint away from the others.
NOTICE_STATES = {
    "cold": EndpointState.COLD,
    "leaving": EndpointState.LEAVING,
}

log = structlog.get_logger(__name__)


class PeerCaller(Protocol):
    """The part of ``PeerClient`` that grants use."""

    async def call(
        self, address: str, body: Any, *, expect: type, timeout_s: float = 1.0
    ) -> Any:
        """Send a message and return its answer."""


def sampled_at(report: EndpointReport, started_s: float) -> float:
    """Return the earliest time that a polled report can describe.

    Parameters
    ----------
    report : EndpointReport
        The report.
    started_s : float
        Monotonic time at which the poll started.
    """
    return started_s - max(report.age_ms / 1000, LOAD_LAG_S)


@dataclass(slots=True)
class _Owned:
    book: GrantBook
    ready_s: float
    polled_s: float
    failure_count: int = 0
    last_state: EndpointState = EndpointState.UNKNOWN


class GrantOwner:
    """Poll the endpoints that this host owns and grant their slots.

    Parameters
    ----------
    host_id : str
        This host.
    incarnation : int
        Incarnation of this process, as the roster names it.
    clock : Clock
        Source of monotonic time.
    table : EndpointTable
        Endpoints of the settings and what is known about them.
    roster : callable
        Returns the newest roster that this host knows.
    stale : callable
        Returns whether the configuration, and so the roster, may be outdated.
    poll : callable
        Returns the load report of an endpoint id and URL; raises ``RouterError``.
    peers : PeerCaller
        Client for revocations.
    timing : TimingSettings
        Grant lifetime, margin, stale limit and poll interval.

    Notes
    -----
    A router that becomes an owner grants nothing for the stale limit, a grant's
    lifetime and the margin: by then its predecessor has noticed that it is stale and
    the grants that it issued before have expired.
    """

    def __init__(
        self,
        host_id: str,
        incarnation: int,
        *,
        clock: Clock,
        table: EndpointTable,
        roster: Callable[[], Roster],
        stale: Callable[[], bool],
        poll: LoadPoll,
        peers: PeerCaller,
        timing: TimingSettings,
    ) -> None:
        self.host_id = host_id
        self.incarnation = incarnation
        self.table = table
        self.roster = roster
        self.stale = stale
        self.poll = poll
        self.peers = peers
        self.timing = timing
        self._clock = clock
        self._owned: dict[str, _Owned] = {}
        self.owner_map = OwnerMap(table, roster)
        self._state = (-1, 0)
        self._number = 0
        self._polling: set[str] = set()
        self._background = BackgroundTasks()
        self._running = False

    def register(self, server: PeerServer) -> None:
        """Serve this part's messages."""
        server.handle(GrantRequest)(self.handle_request)
        server.handle(EndpointNotice)(self.handle_notice)

    def is_self(self, member: RosterMember) -> bool:
        """Return whether a roster member is this incarnation of this host."""
        mine = (self.host_id, self.incarnation)
        return (member.host_id, member.incarnation) == mine

    def refresh(self) -> None:
        """Take over endpoints that this host now owns and drop the others."""
        roster = self.roster()
        state = (roster.version, self.table.generation)
        if state == self._state:
            return
        unbroken = self._state[0] in (roster.version, roster.previous_version)
        self._state = state
        kept = self._owned if unbroken else {}
        self._owned = {
            endpoint_id: kept.get(endpoint_id) or self._take_over(endpoint_id)
            for endpoint_id in self.owner_map.owned_by(self.host_id, self.incarnation)
        }

    def _take_over(self, endpoint_id: str) -> _Owned:
        timing = self.timing
        wait_s = timing.stale_limit_s + timing.grant_ttl_s + timing.margin_s
        ready_s = self._clock.monotonic_s() + wait_s
        book = GrantBook(
            clock=self._clock, ttl_s=timing.grant_ttl_s, margin_s=timing.margin_s
        )
        book.forget_unknown_after(ready_s)
        log.info("endpoint_owned", endpoint=endpoint_id, grants_in_s=wait_s)
        return _Owned(book, ready_s, polled_s=-POLL_AGE_LIMIT_S)

    def answer(self, request: GrantRequest) -> GrantReply:
        """Decide on a grant request."""
        self.refresh()
        roster = self.roster()
        reply = GrantReply(
            roster_version=roster.version, owner_incarnation=self.incarnation
        )
        reply.status = self._obstacle(request, roster)
        owned = self._owned.get(request.endpoint_id)
        if owned is None:
            return reply
        key = (request.host_id, request.incarnation)
        owned.book.hear(self._report(request, key))
        reply.report = self.table.held_report(request.endpoint_id)
        reply.report.endpoint_id = ""
        self._strip_prefixes(reply.report, request, owned, key)
        if reply.status == "granted":
            reply.slot_count = self._slots(request.endpoint_id, owned, key)
            reply.ttl_ms = int(self.timing.grant_ttl_s * 1000)
            reply.number = self._next_number()
            owned.book.issue(key, reply.number, reply.slot_count)
            self._log_grant(request, reply)
        return reply

    def _obstacle(self, request: GrantRequest, roster: Roster) -> str:
        if self.table.spec(request.endpoint_id) is None:
            return "unknown-endpoint"
        owned = self._owned.get(request.endpoint_id)
        if owned is None:
            return "not-owner"
        # A holder with a newer roster shows that this host's is outdated.
        if self.stale() or request.roster_version > roster.version:
            return "stale"
        if self._clock.monotonic_s() < owned.ready_s:
            return "waiting"
        return "granted"

    def _report(self, request: GrantRequest, key: HolderKey) -> Report:
        same_owner = request.owner_incarnation == self.incarnation
        return Report(
            holder=key,
            address=request.address or self.owner_map.address(request.host_id),
            in_flight_count=request.in_flight_count,
            wanted_count=request.wanted_count,
            seen_number=request.seen_number if same_owner else 0,
        )

    def _slots(self, endpoint_id: str, owned: _Owned, key: HolderKey) -> int:
        spec = self.table.spec(endpoint_id)
        state = self.table.state(endpoint_id)
        if spec is None or state in (EndpointState.LEAVING, EndpointState.DOWN):
            return 0
        outdated = self._clock.monotonic_s() - owned.polled_s > POLL_AGE_LIMIT_S
        if state == EndpointState.WARM and not outdated:
            return owned.book.warm_slots(key, spec.capacity_count)
        return owned.book.cold_slots(key, spec.cold_slot_count)

    def _strip_prefixes(
        self,
        report: EndpointReport,
        request: GrantRequest,
        owned: _Owned,
        key: HolderKey,
    ) -> None:
        known = request.prefix_digest == report.prefix_digest
        if known or not owned.book.prefixes_due(key, PREFIX_INTERVAL_S):
            report.prefix_hashes = []
            report.prefix_digest = request.prefix_digest
            return
        report.prefix_hashes = report.prefix_hashes[-PREFIX_LIMIT_COUNT:]

    def _next_number(self) -> int:
        self._number += 1
        return self._number

    def _log_grant(self, request: GrantRequest, reply: GrantReply) -> None:
        log.debug(
            "grant_decided",
            endpoint=request.endpoint_id,
            holder=request.host_id,
            slots=reply.slot_count,
            state=reply.report.state,
        )

    async def handle_request(self, request: GrantRequest) -> GrantReply:
        """Answer a grant request of another router."""
        return self.answer(request)

    async def handle_notice(self, notice: EndpointNotice) -> Done:
        """Take what a request saw; revoke grants if it shows a worse state."""
        self.refresh()
        if notice.endpoint_id not in self._owned:
            return Done(detail="not-owner")
        state = NOTICE_STATES.get(notice.event)
        if state is not None:
            log.info(
                "endpoint_notice",
                endpoint=notice.endpoint_id,
                notice=notice.event,
                peer=notice.host_id,
            )
            self.table.infer(notice.endpoint_id, state)
        # The table may also have a new state from a request of this host.
        self._follow_state(notice.endpoint_id)
        if self._running:
            self._background.spawn(self.poll_one(notice.endpoint_id))
        return Done()

    def _follow_state(self, endpoint_id: str) -> None:
        owned = self._owned[endpoint_id]
        state = self.table.state(endpoint_id)
        if state == owned.last_state:
            return
        log.info(
            "endpoint_state", endpoint=endpoint_id, before=owned.last_state, now=state
        )
        owned.last_state = state
        if state == EndpointState.WARM:
            return
        # Routers without a grant may have sent requests as well.
        now_s = self._clock.monotonic_s()
        owned.book.forget_unknown_after(max(now_s, owned.ready_s))
        self._revoke(endpoint_id, owned)

    def _revoke(self, endpoint_id: str, owned: _Owned) -> None:
        report = self.table.held_report(endpoint_id)
        report.prefix_hashes = []
        for key, address in owned.book.holders_to_revoke():
            number = self._next_number()
            owned.book.issue(key, number, 0)
            revoke = GrantRevoke(
                report=report,
                roster_version=self.roster().version,
                owner_id=self.host_id,
                owner_incarnation=self.incarnation,
                number=number,
            )
            self._background.spawn(self._send_revoke(address, revoke))

    async def _send_revoke(self, address: str, revoke: GrantRevoke) -> None:
        try:
            await self.peers.call(
                address, revoke, expect=Done, timeout_s=self.timing.ping_timeout_s
            )
        except RouterError as error:
            # The grant expires by itself.
            log.warning("grant_revoke_lost", peer=address, reason=str(error))

    async def poll_one(self, endpoint_id: str) -> None:
        """Poll one owned endpoint, unless a poll of it is running."""
        spec = self.table.spec(endpoint_id)
        if spec is None or endpoint_id in self._polling:
            return
        self._polling.add(endpoint_id)
        started_s = self._clock.monotonic_s()
        try:
            report = await self.poll(endpoint_id, spec.url)
        except RouterError as error:
            self._poll_failed(endpoint_id, error)
        else:
            self._polled(endpoint_id, report, started_s)
        finally:
            self._polling.discard(endpoint_id)

    def _polled(
        self, endpoint_id: str, report: EndpointReport, started_s: float
    ) -> None:
        owned = self._owned.get(endpoint_id)
        if owned is None:
            return
        sampled_s = sampled_at(report, started_s)
        owned.polled_s = started_s
        owned.failure_count = 0
        self.table.report(report, as_of_s=sampled_s)
        self._follow_state(endpoint_id)
        owned.book.polled(report.running_count + report.queued_count, sampled_s)

    def _poll_failed(self, endpoint_id: str, error: RouterError) -> None:
        owned = self._owned.get(endpoint_id)
        if owned is None:
            return
        owned.failure_count += 1
        log.warning("endpoint_poll_failed", endpoint=endpoint_id, reason=str(error))
        if owned.failure_count >= DOWN_AFTER_FAILURES:
            self.table.infer(endpoint_id, EndpointState.DOWN)
            self._follow_state(endpoint_id)

    async def run(self) -> None:
        """Poll all owned endpoints until cancelled."""
        self._running = True
        try:
            while True:
                self.refresh()
                for endpoint_id in self._owned:
                    self._background.spawn(self.poll_one(endpoint_id))
                await asyncio.sleep(self.timing.endpoint_poll_s)
        finally:
            self._running = False
            self._background.cancel()
