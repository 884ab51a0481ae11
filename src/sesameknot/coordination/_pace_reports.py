"""Paces of endpoints, as hosts report them to each other beside their loads."""

import math

from sesameknot.clock import Clock
from sesameknot.coordination._report_table import Report, ReportTable
from sesameknot.policy.endpoint_pace import (
    EndpointPace,
    Paces,
    decay_factor,
    subtract_paces,
    sum_paces,
)
from sesameknot.protocol.messages import EndpointLoads
from sesameknot.state.fleet_view import FleetView

# Time after which a report is no longer used. Reports come every 2.4 s, with 730
# endpoints every 14.4 s, so that two may be lost.
PACE_LIFE_S = 45.0
# Endpoints for each turn between two messages with paces. At 380 hosts and 730
# endpoints, messages in each turn would take 8.8 KB/s of a host's 9 KB/s for control.
ENDPOINTS_PER_TURN_COUNT = 128
# Endpoints in a message, those with the most observations. 730 endpoints fit.
MESSAGE_LIMIT_COUNT = 1024

_LOG_SCALE = 1000.0
_COUNT_SCALE = 10.0
_COUNT_LIMIT = 2**16 - 1


def add_paces(columns: EndpointLoads, paces: Paces) -> None:
    """Add paces to a message."""
    entries = [
        (key, round(log_sum / count * _LOG_SCALE), round(count * _COUNT_SCALE))
        for key, (log_sum, count) in paces.items()
        if count * _COUNT_SCALE >= 1.0
    ]
    entries.sort(key=lambda entry: entry[2], reverse=True)
    del entries[MESSAGE_LIMIT_COUNT:]
    columns.with_paces = True
    columns.pace_keys = [key for key, _, _ in entries]
    columns.pace_log_means = [log_mean for _, log_mean, _ in entries]
    columns.pace_counts = [min(_COUNT_LIMIT, count) for _, _, count in entries]


def parse_paces(columns: EndpointLoads) -> Paces:
    """Return the paces of a message."""
    entries = zip(
        columns.pace_keys, columns.pace_log_means, columns.pace_counts, strict=False
    )
    return {
        key: (log_mean / _LOG_SCALE * count / _COUNT_SCALE, count / _COUNT_SCALE)
        for key, log_mean, count in entries
    }


class PaceReports:
    """Paces that this host, the hosts that report to it, and the relays observed.

    Parameters
    ----------
    endpoint_pace : EndpointPace
        Observations of this host, and the estimates.
    view : FleetView
        Hosts, and endpoints, whose relative time per event is set.
    domain : str
        Failure domain of this host.
    clock : Clock
        Source of monotonic time.
    """

    def __init__(
        self,
        endpoint_pace: EndpointPace,
        *,
        view: FleetView,
        domain: str,
        clock: Clock,
    ) -> None:
        self._endpoint_pace = endpoint_pace
        self._view = view
        self._domain = domain
        self._clock = clock
        self._reports: ReportTable[Paces] = ReportTable(
            view, life_s=PACE_LIFE_S, clock=clock
        )
        self._is_relay = False
        # Summed once in each round with paces: a relay answers 155 calls a second.
        self._by_host: dict[str, tuple[Paces, float]] = {}
        self._own: Paces = {}
        self._domain_total: Paces = {}
        self._total: Paces = {}

    def is_due(self, turn_count: int) -> bool:
        """Return whether paces are exchanged in this turn."""
        endpoint_count = max(1, len(self._view.endpoints))
        interval_count = math.ceil(endpoint_count / ENDPOINTS_PER_TURN_COUNT)
        return turn_count % interval_count == 0

    def add_host(self, host_id: str, columns: EndpointLoads) -> None:
        """Record the paces that a host of this failure domain observed itself."""
        if columns.with_paces:
            self._reports.add_host(host_id, parse_paces(columns))

    def add_relay(self, host_id: str, columns: EndpointLoads) -> None:
        """Record the sums that a relay reports."""
        if columns.with_paces:
            self._reports.add_relay(host_id, parse_paces(columns))

    def refresh(self, *, is_relay: bool) -> None:
        """Sum the reports, and set the relative time per event of each endpoint.

        A relay counts the hosts of its failure domain one by one and the other domains
        by their relays; for any other host, the sum of a relay of its domain has all of
        them. Any more would count them twice while the relays change.
        """
        self._reports.forget_outdated()
        self._is_relay = is_relay
        self._own = self._endpoint_pace.own()
        self._by_host = {}
        if is_relay:
            self._by_host = {
                host_id: self._weighted(report)
                for host_id, report in self._reports.hosts()
            }
        relayed = [
            report
            for domain, report in self._reports.relayed().items()
            if (domain == self._domain) != is_relay
        ]
        self._domain_total = sum_paces([(self._own, 1.0), *self._by_host.values()])
        self._total = sum_paces(
            [(self._domain_total, 1.0), *map(self._weighted, relayed)]
        )
        self._apply()

    def _weighted(self, report: Report[Paces]) -> tuple[Paces, float]:
        age_s = self._clock.monotonic_s() - report.received_s
        return report.content, decay_factor(age_s)

    def _apply(self) -> None:
        incarnation_ids: dict[str, list[str]] = {}
        for endpoint in self._view.endpoints.values():
            service = endpoint.entry.service
            incarnation_ids.setdefault(service, []).append(endpoint.incarnation_id)
        uneven = self._endpoint_pace.set_totals(self._total, incarnation_ids)
        for endpoint in self._view.endpoints.values():
            endpoint.relative_event_time = uneven.get(endpoint.incarnation_id, 1.0)

    def add_own(self, columns: EndpointLoads) -> None:
        """Add what this host observed to a message to its relays."""
        add_paces(columns, self._own)

    def add_domain(self, columns: EndpointLoads) -> None:
        """Add what this failure domain observed to a message to other relays."""
        add_paces(columns, self._domain_total)

    def add_answer(
        self, columns: EndpointLoads, host_id: str, *, same_domain: bool
    ) -> None:
        """Add what the others observed to the answer to a host.

        A host that is no relay, which only hosts with another list of hosts ask, has
        sums that already include the asking host's observations.
        """
        if self._is_relay:
            total = self._total if same_domain else self._domain_total
            if host_id in self._by_host:
                total = subtract_paces(total, *self._by_host[host_id])
            add_paces(columns, total)
