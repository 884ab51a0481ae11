"""What hosts find out about endpoints and share with each other in every exchange."""

import structlog

from sesameknot.coordination.crash_exchange import CrashExchange
from sesameknot.protocol.messages import (
    DomainSync,
    DomainSyncReply,
    EndpointOutageAges,
)
from sesameknot.state.endpoint_outages import EndpointOutages

# A relay of many hosts answers many times a second, so messages must stay small.
SENT_OUTAGE_LIMIT_COUNT = 256

log = structlog.get_logger(__name__)


class SharedFindings:
    """Crashes and outages of endpoints, as hosts share them.

    Parameters
    ----------
    crashes, part_crashes : CrashExchange
        Requests and prompt parts that crashed endpoints.
    outages : EndpointOutages
        When endpoints were last down.
    """

    __slots__ = ("_crashes", "_outages", "_part_crashes")

    def __init__(
        self,
        *,
        crashes: CrashExchange,
        part_crashes: CrashExchange,
        outages: EndpointOutages,
    ) -> None:
        self._crashes = crashes
        self._part_crashes = part_crashes
        self._outages = outages

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
        latest = list(self._outages.ages_s().items())[:SENT_OUTAGE_LIMIT_COUNT]
        return EndpointOutageAges(
            incarnation_ids=[incarnation_id for incarnation_id, _ in latest],
            ages_ms=[round(age_s * 1000.0) for _, age_s in latest],
        )

    def _merge_outages(self, columns: EndpointOutageAges) -> bool:
        ages = zip(columns.incarnation_ids, columns.ages_ms, strict=False)
        new_ids = [
            incarnation_id
            for incarnation_id, age_ms in ages
            if self._outages.note(incarnation_id, age_s=age_ms / 1000.0)
        ]
        if new_ids:
            log.info("endpoint_outages_learned", endpoints=new_ids)
        return bool(new_ids)
