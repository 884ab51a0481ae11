"""Loads on endpoints, as hosts report them to each other."""

from collections.abc import Collection, Iterable
from dataclasses import dataclass

from sesameknot.clock import Clock
from sesameknot.protocol.messages import EndpointLoads
from sesameknot.state.fleet_view import FleetView

# Time after which a load report is no longer used.
LOAD_LIFE_S = 2.0

# Requests in flight and pending prompt tokens, by endpoint.
Loads = dict[str, tuple[int, int]]


@dataclass(slots=True)
class LoadReport:
    """Loads that another host reported, and the monotonic time of the report."""

    loads: Loads
    received_s: float


def sum_loads(all_loads: Iterable[Loads]) -> Loads:
    """Return the sum of several hosts' loads."""
    total: Loads = {}
    for loads in all_loads:
        for endpoint_id, (in_flight, tokens) in loads.items():
            subtotal = total.get(endpoint_id, (0, 0))
            total[endpoint_id] = (subtotal[0] + in_flight, subtotal[1] + tokens)
    return total


def load_columns(loads: Loads) -> EndpointLoads:
    """Return the message record of ``loads``."""
    return EndpointLoads(
        endpoint_ids=list(loads),
        in_flight_counts=[in_flight for in_flight, _ in loads.values()],
        pending_tokens=[tokens for _, tokens in loads.values()],
    )


def parse_loads(columns: EndpointLoads) -> Loads:
    """Return the loads of a message record."""
    loads = zip(columns.in_flight_counts, columns.pending_tokens, strict=False)
    return dict(zip(columns.endpoint_ids, loads, strict=False))


class LoadReports:
    """Loads of this host, of the hosts that report to it, and of the relays.

    Parameters
    ----------
    view : FleetView
        Hosts, and endpoints with the requests of this host.
    clock : Clock
        Source of monotonic time.
    """

    def __init__(self, view: FleetView, *, clock: Clock) -> None:
        self._view = view
        self._clock = clock
        self._by_host: dict[str, LoadReport] = {}
        self._by_relay: dict[str, LoadReport] = {}

    def add_host(self, host_id: str, columns: EndpointLoads) -> None:
        """Record the loads that a host of this failure domain reports of itself."""
        self._by_host[host_id] = self._report(columns)

    def add_relay(self, host_id: str, columns: EndpointLoads) -> None:
        """Record the sum of loads that a relay reports."""
        self._by_relay[host_id] = self._report(columns)

    def _report(self, columns: EndpointLoads) -> LoadReport:
        received_s = self._clock.monotonic_s()
        self._view.peer_loads_s = received_s
        return LoadReport(parse_loads(columns), received_s)

    def own(self) -> Loads:
        """Return the loads from this host."""
        return {
            endpoint.endpoint_id: (endpoint.in_flight_count, endpoint.pending_tokens)
            for endpoint in self._view.endpoints.values()
            if endpoint.in_flight_count
        }

    def domain(self, *, without: str = "") -> Loads:
        """Return the loads from this failure domain but the host ``without``."""
        return sum_loads([self.own(), *self._hosts(without=without)])

    def _hosts(self, *, without: str = "") -> list[Loads]:
        return [
            report.loads
            for host_id, report in self._by_host.items()
            if host_id != without and self._is_fresh(report)
        ]

    def relayed(self) -> Loads:
        """Return the loads that relays reported, from the latest report of a domain."""
        latest: dict[str, LoadReport] = {}
        for host_id, report in self._by_relay.items():
            host = self._view.hosts.get(host_id)
            if host is None or not self._is_fresh(report):
                continue
            previous = latest.get(host.domain)
            if previous is None or previous.received_s < report.received_s:
                latest[host.domain] = report
        return sum_loads(report.loads for report in latest.values())

    def serves_hosts_besides(self, host_ids: Collection[str]) -> bool:
        """Return whether a host that is not in ``host_ids`` has reported lately."""
        return any(
            self._is_fresh(report) and host_id not in host_ids
            for host_id, report in self._by_host.items()
        )

    def _is_fresh(self, report: LoadReport) -> bool:
        return self._clock.monotonic_s() - report.received_s < LOAD_LIFE_S

    def apply(self) -> None:
        """Set the load of other hosts on each endpoint."""
        total = sum_loads([self.relayed(), *self._hosts()])
        for endpoint in self._view.endpoints.values():
            endpoint.other_in_flight_count, endpoint.other_pending_tokens = total.get(
                endpoint.endpoint_id, (0, 0)
            )
        self._view.loads_applied_s = self._clock.monotonic_s()
