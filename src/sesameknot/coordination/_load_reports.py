"""Loads on endpoints, as hosts report them to each other."""

from collections.abc import Collection, Iterable

from sesameknot.clock import Clock
from sesameknot.coordination._pace_reports import PaceReports
from sesameknot.coordination._report_table import ReportTable
from sesameknot.protocol.messages import EndpointLoads
from sesameknot.state.fleet_view import FleetView

# Time after which a load report is no longer used.
LOAD_LIFE_S = 2.0

# Requests in flight and pending prompt tokens, by endpoint.
Loads = dict[str, tuple[int, int]]


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
    paces : PaceReports or None
        Paces of endpoints, which some of the messages hold too; None if they are not
        learnt.
    clock : Clock
        Source of monotonic time.
    """

    def __init__(
        self, view: FleetView, *, paces: PaceReports | None, clock: Clock
    ) -> None:
        self._view = view
        self._paces = paces
        self._clock = clock
        self._reports: ReportTable[Loads] = ReportTable(
            view, life_s=LOAD_LIFE_S, clock=clock
        )

    def add_host(self, host_id: str, columns: EndpointLoads) -> None:
        """Record the loads that a host of this failure domain reports of itself."""
        self._view.peer_loads_s = self._clock.monotonic_s()
        self._reports.add_host(host_id, parse_loads(columns))
        if self._paces is not None:
            self._paces.add_host(host_id, columns)

    def add_relay(self, host_id: str, columns: EndpointLoads) -> None:
        """Record the sum of loads that a relay reports."""
        self._view.peer_loads_s = self._clock.monotonic_s()
        self._reports.add_relay(host_id, parse_loads(columns))
        if self._paces is not None:
            self._paces.add_relay(host_id, columns)

    def own(self, *, with_paces: bool = False) -> EndpointLoads:
        """Return the loads from this host as a message record."""
        columns = load_columns(self._own())
        if with_paces and self._paces is not None:
            self._paces.add_own(columns)
        return columns

    def domain(self, *, with_paces: bool = False) -> EndpointLoads:
        """Return the loads from this failure domain as a message record."""
        columns = load_columns(sum_loads([self._own(), *self._hosts()]))
        if with_paces and self._paces is not None:
            self._paces.add_domain(columns)
        return columns

    def answer(
        self, host_id: str, *, same_domain: bool, with_paces: bool
    ) -> EndpointLoads:
        """Return the loads that are news to a host, as a message record."""
        loads = sum_loads([self._own(), *self._hosts(without=host_id)])
        if same_domain:
            loads = sum_loads([loads, self._relayed()])
        columns = load_columns(loads)
        if with_paces and self._paces is not None:
            self._paces.add_answer(columns, host_id, same_domain=same_domain)
        return columns

    def _own(self) -> Loads:
        return {
            endpoint.endpoint_id: (endpoint.in_flight_count, endpoint.pending_tokens)
            for endpoint in self._view.endpoints.values()
            if endpoint.in_flight_count
        }

    def _hosts(self, *, without: str = "") -> list[Loads]:
        return [
            report.content
            for host_id, report in self._reports.hosts()
            if host_id != without
        ]

    def _relayed(self) -> Loads:
        """Return the loads that relays reported, from the latest report of a domain."""
        relayed = self._reports.relayed().values()
        return sum_loads(report.content for report in relayed)

    def serves_hosts_besides(self, host_ids: Collection[str]) -> bool:
        """Return whether a host that is not in ``host_ids`` has reported lately."""
        return self._reports.has_hosts_besides(host_ids)

    def apply(self) -> None:
        """Set the load of other hosts on each endpoint."""
        self._reports.forget_outdated()
        total = sum_loads([self._relayed(), *self._hosts()])
        for endpoint in self._view.endpoints.values():
            endpoint.other_in_flight_count, endpoint.other_pending_tokens = total.get(
                endpoint.endpoint_id, (0, 0)
            )
        self._view.loads_applied_s = self._clock.monotonic_s()

    def paces_due(self, turn_count: int | None) -> bool:
        """Return whether paces are learnt, and exchanged in this turn if it is one."""
        if self._paces is None or turn_count is None:
            return False
        return self._paces.is_due(turn_count)

    def refresh_paces(self, *, is_relay: bool) -> None:
        """Sum the paces, if they are learnt, and apply them to the endpoints."""
        if self._paces is not None:
            self._paces.refresh(is_relay=is_relay)
