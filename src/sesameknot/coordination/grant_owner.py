"""Owner side of endpoint grants: load polls, grants and revocations."""

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
from sesameknot.state.grant_book import GrantBook, HolderKey, HolderReport
from sesameknot.transport.peer_server import PeerServer

# Engines publish their load with a lag that the age in their report may leave out.
LOAD_LAG_S = 1.0
# A poll older than this does not show the present load, so that only cold slots are
# granted.
POLL_AGE_LIMIT_S = 3.0
# A single failed poll may have other causes than an endpoint that is down.
DOWN_AFTER_FAILURE_COUNT = 2
# Prefix hashes make up most of a reply, so a holder gets them only at this interval.
PREFIX_INTERVAL_S = 5.0
PREFIX_LIMIT_COUNT = 64

LoadPoll = Callable[[str, str], Awaitable[EndpointReport]]

# States that the owner adopts from a notice. Other events only cause a poll: a router
# whose own connection to an endpoint fails must not revoke the grants of the others.
STATE_BY_EVENT = {
    "cold": EndpointState.COLD,
    "leaving": EndpointState.LEAVING,
}

log = structlog.get_logger(__name__)


class PeerCaller(Protocol):
    """Interface of ``PeerClient`` that grants use."""

    async def call(
        self, address: str, body: Any, *, expect: type, timeout_s: float = 1.0
    ) -> Any:
        """Send a message and return its answer."""


def earliest_sample_s(report: EndpointReport, started_s: float) -> float:
    """Return the earliest monotonic time that a polled report can describe.

    Parameters
    ----------
    report : EndpointReport
        The report.
    started_s : float
        Monotonic time at which the poll started.
    """
    return started_s - max(report.age_ms / 1000, LOAD_LAG_S)


@dataclass(slots=True)
class _OwnedEndpoint:
    book: GrantBook
    grants_from_s: float
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
        Incarnation of this process, as in the roster.
    clock : Clock
        Source of monotonic time.
    table : EndpointTable
        Endpoints of the settings with their load and state.
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
    A router that becomes the owner of an endpoint grants nothing until the sum of stale
    limit, grant lifetime and margin has passed. By then the previous owner treats its
    own configuration as stale, and the grants that it issued before have expired.
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
        self._owned: dict[str, _OwnedEndpoint] = {}
        self.owner_map = OwnerMap(table, roster)
        self._refresh_key = (-1, 0)
        self._last_grant_number = 0
        self._polling: set[str] = set()
        self._background = BackgroundTasks()
        self._running = False

    def register(self, server: PeerServer) -> None:
        """Register the message handlers."""
        server.handle(GrantRequest)(self.handle_request)
        server.handle(EndpointNotice)(self.handle_notice)

    def is_self(self, member: RosterMember) -> bool:
        """Return whether a roster member is this incarnation of this host."""
        own_key = (self.host_id, self.incarnation)
        return (member.host_id, member.incarnation) == own_key

    def refresh(self) -> None:
        """Take over endpoints that this host now owns and drop the others.

        Notes
        -----
        Books are kept only if the roster is the last one or its direct successor. If a
        roster was missed, another host may have owned the endpoints in between.
        """
        roster = self.roster()
        refresh_key = (roster.version, self.table.generation)
        if refresh_key == self._refresh_key:
            return
        consecutive = self._refresh_key[0] in (roster.version, roster.previous_version)
        self._refresh_key = refresh_key
        kept = self._owned if consecutive else {}
        self._owned = {
            endpoint_id: kept.get(endpoint_id) or self._take_over(endpoint_id)
            for endpoint_id in self.owner_map.owned_by(self.host_id, self.incarnation)
        }

    def _take_over(self, endpoint_id: str) -> _OwnedEndpoint:
        timing = self.timing
        wait_s = timing.stale_limit_s + timing.grant_ttl_s + timing.margin_s
        grants_from_s = self._clock.monotonic_s() + wait_s
        book = GrantBook(
            clock=self._clock, ttl_s=timing.grant_ttl_s, margin_s=timing.margin_s
        )
        book.reset_unreported(grants_from_s)
        log.info("endpoint_owned", endpoint=endpoint_id, grants_in_s=wait_s)
        return _OwnedEndpoint(book, grants_from_s, polled_s=-POLL_AGE_LIMIT_S)

    def decide(self, request: GrantRequest) -> GrantReply:
        """Return the decision on a grant request."""
        self.refresh()
        roster = self.roster()
        reply = GrantReply(
            roster_version=roster.version, owner_incarnation=self.incarnation
        )
        reply.status = self._reply_status(request, roster)
        owned = self._owned.get(request.endpoint_id)
        if owned is None:
            return reply
        key = (request.host_id, request.incarnation)
        owned.book.record_report(self._holder_report(request, key))
        reply.report = self.table.latest_report(request.endpoint_id)
        reply.report.endpoint_id = ""
        self._limit_prefixes(reply.report, request, owned, key)
        if reply.status == "granted":
            reply.slot_count = self._slot_count(request.endpoint_id, owned, key)
            reply.ttl_ms = int(self.timing.grant_ttl_s * 1000)
            reply.number = self._next_grant_number()
            owned.book.record_grant(key, reply.number, reply.slot_count)
            self._log_grant(request, reply)
        return reply

    def _reply_status(self, request: GrantRequest, roster: Roster) -> str:
        if self.table.spec(request.endpoint_id) is None:
            return "unknown-endpoint"
        owned = self._owned.get(request.endpoint_id)
        if owned is None:
            return "not-owner"
        # A newer roster version at the holder shows that this host's is outdated.
        if self.stale() or request.roster_version > roster.version:
            return "stale"
        if self._clock.monotonic_s() < owned.grants_from_s:
            return "waiting"
        return "granted"

    def _holder_report(self, request: GrantRequest, key: HolderKey) -> HolderReport:
        same_owner = request.owner_incarnation == self.incarnation
        return HolderReport(
            holder=key,
            address=request.address or self.owner_map.address(request.host_id),
            in_flight_count=request.in_flight_count,
            wanted_count=request.wanted_count,
            seen_number=request.seen_number if same_owner else 0,
        )

    def _slot_count(
        self, endpoint_id: str, owned: _OwnedEndpoint, key: HolderKey
    ) -> int:
        spec = self.table.spec(endpoint_id)
        state = self.table.state(endpoint_id)
        if spec is None or state in (EndpointState.LEAVING, EndpointState.DOWN):
            return 0
        poll_outdated = self._clock.monotonic_s() - owned.polled_s > POLL_AGE_LIMIT_S
        if state == EndpointState.WARM and not poll_outdated:
            return owned.book.warm_slots(key, spec.capacity_count)
        return owned.book.cold_slots(key, spec.cold_slot_count)

    def _limit_prefixes(
        self,
        report: EndpointReport,
        request: GrantRequest,
        owned: _OwnedEndpoint,
        key: HolderKey,
    ) -> None:
        unchanged = request.prefix_digest == report.prefix_digest
        if unchanged or not owned.book.prefixes_due(key, PREFIX_INTERVAL_S):
            report.prefix_hashes = []
            report.prefix_digest = request.prefix_digest
            return
        report.prefix_hashes = report.prefix_hashes[-PREFIX_LIMIT_COUNT:]

    def _next_grant_number(self) -> int:
        self._last_grant_number += 1
        return self._last_grant_number

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
        return self.decide(request)

    async def handle_notice(self, notice: EndpointNotice) -> Done:
        """Apply what a request showed; revoke grants if the state is no longer warm."""
        self.refresh()
        if notice.endpoint_id not in self._owned:
            return Done(detail="not-owner")
        state = STATE_BY_EVENT.get(notice.event)
        if state is not None:
            log.info(
                "endpoint_notice_received",
                endpoint=notice.endpoint_id,
                notice=notice.event,
                peer=notice.host_id,
            )
            self.table.set_inferred_state(notice.endpoint_id, state)
        # A request of this host may have changed the state in the table as well.
        self._apply_state_change(notice.endpoint_id)
        if self._running:
            self._background.spawn(self.poll_endpoint(notice.endpoint_id))
        return Done()

    def _apply_state_change(self, endpoint_id: str) -> None:
        owned = self._owned[endpoint_id]
        state = self.table.state(endpoint_id)
        if state == owned.last_state:
            return
        log.info(
            "endpoint_state_changed",
            endpoint=endpoint_id,
            before=owned.last_state,
            now=state,
        )
        owned.last_state = state
        if state == EndpointState.WARM:
            return
        # Requests that routers sent without a grant are not in the book.
        now_s = self._clock.monotonic_s()
        owned.book.reset_unreported(max(now_s, owned.grants_from_s))
        self._revoke(endpoint_id, owned)

    def _revoke(self, endpoint_id: str, owned: _OwnedEndpoint) -> None:
        report = self.table.latest_report(endpoint_id)
        # The engine may have started again, so that holders must forget its cache until
        # they get its present content.
        report.prefix_hashes = []
        report.prefix_digest = 0
        for key, address in owned.book.holders_to_revoke():
            number = self._next_grant_number()
            owned.book.record_grant(key, number, 0)
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
            # No retry: the grant ends at its expiry.
            log.warning("grant_revoke_failed", peer=address, reason=str(error))

    async def poll_endpoint(self, endpoint_id: str) -> None:
        """Poll an endpoint, unless a poll of it is already running."""
        spec = self.table.spec(endpoint_id)
        if spec is None or endpoint_id in self._polling:
            return
        self._polling.add(endpoint_id)
        started_s = self._clock.monotonic_s()
        try:
            report = await self.poll(endpoint_id, spec.url)
        except RouterError as error:
            self._record_poll_failure(endpoint_id, error)
        else:
            self._record_poll(endpoint_id, report, started_s)
        finally:
            self._polling.discard(endpoint_id)

    def _record_poll(
        self, endpoint_id: str, report: EndpointReport, started_s: float
    ) -> None:
        owned = self._owned.get(endpoint_id)
        if owned is None:
            return
        sampled_s = earliest_sample_s(report, started_s)
        owned.polled_s = started_s
        owned.failure_count = 0
        self.table.record_report(report, as_of_s=sampled_s)
        self._apply_state_change(endpoint_id)
        owned.book.record_poll(report.running_count + report.queued_count, sampled_s)

    def _record_poll_failure(self, endpoint_id: str, error: RouterError) -> None:
        owned = self._owned.get(endpoint_id)
        if owned is None:
            return
        owned.failure_count += 1
        log.warning("endpoint_poll_failed", endpoint=endpoint_id, reason=str(error))
        if owned.failure_count >= DOWN_AFTER_FAILURE_COUNT:
            self.table.set_inferred_state(endpoint_id, EndpointState.DOWN)
            self._apply_state_change(endpoint_id)

    async def run(self) -> None:
        """Poll all owned endpoints at the poll interval until cancelled."""
        self._running = True
        try:
            while True:
                self.refresh()
                for endpoint_id in self._owned:
                    self._background.spawn(self.poll_endpoint(endpoint_id))
                await asyncio.sleep(self.timing.endpoint_poll_s)
        finally:
            self._running = False
            self._background.cancel()
