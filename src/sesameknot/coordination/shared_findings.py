"""What hosts find out about endpoints and share with each other in every exchange."""

import structlog

from sesameknot.coordination.crash_exchange import CrashExchange
from sesameknot.protocol.messages import (
    DomainSync,
    DomainSyncReply,
    EndpointOutageAges,
)
from sesameknot.state.fleet_view import FleetView

log = structlog.get_logger(__name__)


class SharedFindings:
    """Crashes and outages of endpoints, as hosts share them.

    Parameters
    ----------
    crashes, part_crashes : CrashExchange
        Requests and prompt parts that crashed endpoints.
    view : FleetView
        Endpoints, and when they were last down.
    """

    __slots__ = ("_crashes", "_part_crashes", "_view")

    def __init__(
        self,
        *,
        crashes: CrashExchange,
        part_crashes: CrashExchange,
        view: FleetView,
    ) -> None:
        self._crashes = crashes
        self._part_crashes = part_crashes
        self._view = view

    def add_to(self, message: DomainSync | DomainSyncReply) -> None:
        """Add what this host knows to a message."""
        message.crashes = self._crashes.counts()
        message.part_crashes = self._part_crashes.counts()
        message.outages = self._outage_ages()

    def merge(self, message: DomainSync | DomainSyncReply) -> bool:
        """Merge what another host knows; return whether it tells of a new outage."""
        self._crashes.merge(message.crashes)
        self._part_crashes.merge(message.part_crashes)
        return self._merge_outages(message.outages)

    def _outage_ages(self) -> EndpointOutageAges:
        """Return the outages of processes that no entry has replaced yet."""
        ages_s = self._view.outages.ages_s()
        current_ids = [
            endpoint.incarnation_id
            for endpoint in self._view.endpoints.values()
            if endpoint.incarnation_id in ages_s
        ]
        return EndpointOutageAges(
            incarnation_ids=current_ids,
            ages_ms=[round(ages_s[current_id] * 1000.0) for current_id in current_ids],
        )

    def _merge_outages(self, columns: EndpointOutageAges) -> bool:
        ages = zip(columns.incarnation_ids, columns.ages_ms, strict=False)
        new_ids = [
            incarnation_id
            for incarnation_id, age_ms in ages
            if self._view.outages.note(incarnation_id, age_s=age_ms / 1000.0)
        ]
        if new_ids:
            log.info("endpoint_outages_learned", endpoints=new_ids)
        return bool(new_ids)
