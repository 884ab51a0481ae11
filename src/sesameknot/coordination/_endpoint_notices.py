"""Notices to owners about what requests saw at endpoints."""

import math

import structlog

from sesameknot.clock import Clock
from sesameknot.coordination._background import BackgroundTasks
from sesameknot.coordination._slot import SlotOutcome
from sesameknot.coordination.grant_owner import GrantOwner, PeerCaller
from sesameknot.errors import RouterError
from sesameknot.protocol.messages import Done, EndpointNotice
from sesameknot.state.endpoint_table import EndpointState, EndpointTable

# Many requests see the same event; the owner needs to hear of it once.
NOTICE_INTERVAL_S = 0.5

# A restarting engine breaks its connections before anything else tells of it. Only
# this host takes that for a cold start; the owner polls.
STATES = {
    SlotOutcome.BROKEN: EndpointState.COLD,
    SlotOutcome.COLD: EndpointState.COLD,
    SlotOutcome.LEAVING: EndpointState.LEAVING,
    SlotOutcome.REFUSED: EndpointState.DOWN,
}
EVENTS = frozenset({*STATES, SlotOutcome.SILENT})

log = structlog.get_logger(__name__)


class EndpointNotices:
    """Infer states from outcomes and tell the endpoints' owners.

    Parameters
    ----------
    grant_owner : GrantOwner
        This host's owner part; also names the owners of all endpoints.
    table : EndpointTable
        Where inferred states are kept.
    peers : PeerCaller
        Client for calls to owners.
    clock : Clock
        Source of monotonic time.
    timeout_s : float
        Time for one notice.
    """

    def __init__(
        self,
        grant_owner: GrantOwner,
        *,
        table: EndpointTable,
        peers: PeerCaller,
        clock: Clock,
        timeout_s: float,
    ) -> None:
        self.grant_owner = grant_owner
        self.table = table
        self.peers = peers
        self.timeout_s = timeout_s
        self._clock = clock
        self._sent_s: dict[tuple[str, str], float] = {}
        self._background = BackgroundTasks()
        self._closed = False

    def saw(self, endpoint_id: str, outcome: SlotOutcome) -> None:
        """Learn from an outcome; one that says nothing of the endpoint is ignored."""
        if outcome not in EVENTS:
            return
        state = STATES.get(outcome)
        if state is not None and self.table.infer(endpoint_id, state):
            log.info("endpoint_state_inferred", endpoint=endpoint_id, state=state)
        self.notify(endpoint_id, outcome)

    def notify(self, endpoint_id: str, event: SlotOutcome) -> None:
        """Tell the owner of an event, unless it was told just now."""
        now_s = self._clock.monotonic_s()
        last_s = self._sent_s.get((endpoint_id, event), -math.inf)
        if self._closed or now_s - last_s < NOTICE_INTERVAL_S:
            return
        self._sent_s[endpoint_id, event] = now_s
        notice = EndpointNotice(
            endpoint_id=endpoint_id, event=event.value, host_id=self.grant_owner.host_id
        )
        self._background.spawn(self._send(notice))

    async def _send(self, notice: EndpointNotice) -> None:
        member = self.grant_owner.owner_map.owner(notice.endpoint_id)
        if member is None:
            return
        if self.grant_owner.is_self(member):
            await self.grant_owner.handle_notice(notice)
            return
        try:
            await self.peers.call(
                member.address, notice, expect=Done, timeout_s=self.timeout_s
            )
        except RouterError as error:
            log.debug("endpoint_notice_lost", peer=member.host_id, reason=str(error))

    def close(self) -> None:
        """Drop the notices that are under way and send no more."""
        self._closed = True
        self._background.cancel()
