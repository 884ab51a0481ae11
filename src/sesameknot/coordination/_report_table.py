"""Latest reports of the hosts and relays that exchange with this host."""

from collections.abc import Collection, Iterator
from dataclasses import dataclass
from typing import Generic, TypeVar

from sesameknot.clock import Clock
from sesameknot.state.fleet_view import FleetView

T = TypeVar("T")


@dataclass(slots=True)
class Report(Generic[T]):
    """What another host reported, and the monotonic time of the report."""

    content: T
    received_s: float


class ReportTable(Generic[T]):
    """Reports by host; a later one replaces the earlier, so nothing counts twice.

    Parameters
    ----------
    view : FleetView
        Hosts and their failure domains.
    life_s : float
        Time in seconds after which a report is no longer used.
    clock : Clock
        Source of monotonic time.
    """

    def __init__(self, view: FleetView, *, life_s: float, clock: Clock) -> None:
        self._view = view
        self._life_s = life_s
        self._clock = clock
        self._by_host: dict[str, Report[T]] = {}
        self._by_relay: dict[str, Report[T]] = {}

    def add_host(self, host_id: str, content: T) -> None:
        """Record what a host of this failure domain reports of itself."""
        self._by_host[host_id] = Report(content, self._clock.monotonic_s())

    def add_relay(self, host_id: str, content: T) -> None:
        """Record the sum that a relay reports."""
        self._by_relay[host_id] = Report(content, self._clock.monotonic_s())

    def hosts(self) -> Iterator[tuple[str, Report[T]]]:
        """Yield the reports of hosts, by host."""
        for host_id, report in self._by_host.items():
            if self._is_fresh(report):
                yield host_id, report

    def relayed(self) -> dict[str, Report[T]]:
        """Return the latest report of a relay of each failure domain, by domain."""
        latest: dict[str, Report[T]] = {}
        for host_id, report in self._by_relay.items():
            host = self._view.hosts.get(host_id)
            if host is None or not self._is_fresh(report):
                continue
            previous = latest.get(host.domain)
            if previous is None or previous.received_s < report.received_s:
                latest[host.domain] = report
        return latest

    def forget_outdated(self) -> None:
        """Drop the reports that are no longer used, such as those of replaced hosts."""
        for reports in (self._by_host, self._by_relay):
            for host_id, report in list(reports.items()):
                if not self._is_fresh(report):
                    del reports[host_id]

    def has_hosts_besides(self, host_ids: Collection[str]) -> bool:
        """Return whether a host that is not in ``host_ids`` has reported lately."""
        return any(host_id not in host_ids for host_id, _ in self.hosts())

    def _is_fresh(self, report: Report[T]) -> bool:
        return self._clock.monotonic_s() - report.received_s < self._life_s
