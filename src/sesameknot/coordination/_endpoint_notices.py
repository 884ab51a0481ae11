"""Endpoint states inferred from request outcomes, and notices of them to owners."""

import math

import structlog

from sesameknot.clock import Clock
from sesameknot.coordination._background import BackgroundTasks
from sesameknot.coordination._slot import SlotOutcome
from sesameknot.coordination.grant_owner import GrantOwner, PeerCaller
from sesameknot.errors import RouterError
from sesameknot.protocol.messages import Done, EndpointNotice
from sesameknot.state.endpoint_table import EndpointState, EndpointTable

# Minimum time between two notices of the same event; many requests see it at once.
NOTICE_INTERVAL_S = 0.5

# Broken connections are the first sign of an engine restart. Only this host infers a
# cold start from them; the owner polls the endpoint instead.
STATE_BY_OUTCOME = {
    SlotOutcome.BROKEN: EndpointState.COLD,
    SlotOutcome.COLD: EndpointState.COLD,
    SlotOutcome.LEAVING: EndpointState.LEAVING,
    SlotOutcome.REFUSED: EndpointState.DOWN,
}
NOTICE_OUTCOMES = frozenset({*STATE_BY_OUTCOME, SlotOutcome.SILENT})

log = structlog.get_logger(__name__)


class EndpointNotices:
    """Infer states from outcomes and notify the endpoints' owners.

    Parameters
    ----------
    grant_owner : GrantOwner
        Grant owner of this host; its owner map has the owners of all endpoints.
    table : EndpointTable
        Table in which inferred states are set.
    peers : PeerCaller
        Client for calls to owners.
    clock : Clock
        Source of monotonic time.
    timeout_s : float
        Timeout for the call that sends a notice.
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

    def record_outcome(self, endpoint_id: str, outcome: SlotOutcome) -> None:
        """Infer a state from an outcome and notify the owner.

        Outcomes outside ``NOTICE_OUTCOMES`` show nothing about the endpoint's state and
        are ignored.
        """
        if outcome not in NOTICE_OUTCOMES:
            return
        state = STATE_BY_OUTCOME.get(outcome)
        if state is not None and self.table.set_inferred_state(endpoint_id, state):
            log.info("endpoint_state_inferred", endpoint=endpoint_id, state=state)
        self.notify(endpoint_id, outcome)

    def notify(self, endpoint_id: str, event: SlotOutcome) -> None:
        """Notify the owner of an event, at most once per notice interval."""
        now_s = self._clock.monotonic_s()
        last_sent_s = self._sent_s.get((endpoint_id, event), -math.inf)
        if self._closed or now_s - last_sent_s < NOTICE_INTERVAL_S:
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
            log.debug("endpoint_notice_failed", peer=member.host_id, reason=str(error))

    def close(self) -> None:
        """Cancel the notices that are being sent and send no more."""
        self._closed = True
        self._background.cancel()
