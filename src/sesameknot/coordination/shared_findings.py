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
        message.outages = self.outage_ages()

    def merge(self, message: DomainSync | DomainSyncReply) -> bool:
        """Merge what another host knows; return whether it tells of a new outage."""
        self._crashes.merge(message.crashes)
        self._part_crashes.merge(message.part_crashes)
        return self._merge_outages(message.outages)

    def outage_ages(self) -> EndpointOutageAges:
        """Return the outages that other hosts may need.

        Those of processes that a later entry has replaced are needed by hosts that do
        not have the entry yet.
        """
        view = self._view
        current_ids = {e.incarnation_id for e in view.endpoints.values()}
        ages_s = {
            incarnation_id: age_s
            for incarnation_id, age_s in view.outages.ages_s().items()
            if incarnation_id in current_ids
            or age_s <= view.entry_life_s + view.endpoint_leave_s
        }
        return EndpointOutageAges(
            incarnation_ids=list(ages_s),
            ages_ms=[round(age_s * 1000.0) for age_s in ages_s.values()],
        )

    def _merge_outages(self, columns: EndpointOutageAges) -> bool:
        ages = zip(columns.incarnation_ids, columns.ages_ms, strict=False)
        new_ids = [
            incarnation_id
            for incarnation_id, age_ms in ages
            if self._view.outages.merge(incarnation_id, age_s=age_ms / 1000.0)
        ]
        if new_ids:
            log.info("endpoint_outages_learned", endpoints=new_ids)
        return bool(new_ids)
