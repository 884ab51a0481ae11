"""Sums of the hosts' counters of a roll-out's versions, by route."""

from sesameknot.policy.rollout_statistics import VersionSample
from sesameknot.policy.route_evidence import Fault, VersionPair
from sesameknot.protocol.messages import VersionStats


class RouteCounts:
    """Answers and faults of a new version and of all others."""

    def __init__(self) -> None:
        # Requests and faults of the new version, then those of the others.
        self._counts: dict[tuple[Fault, str], list[int]] = {}

    def add(self, record: VersionStats, *, is_new: bool) -> None:
        """Add a host's counters of one version on one route."""
        faults = {Fault.FAILED: record.error_count, Fault.SLOW: record.slow_count}
        offset = 0 if is_new else 2
        for fault, fault_count in faults.items():
            # Hosts of an earlier build do not tell routes apart.
            for route in {"", record.route}:
                counts = self._counts.setdefault((fault, route), [0, 0, 0, 0])
                counts[offset] += record.request_count
                counts[offset + 1] += fault_count

    def pairs(self) -> list[VersionPair]:
        """Return the failures on all routes together, then all other counters."""
        self._counts.setdefault((Fault.FAILED, ""), [0, 0, 0, 0])
        return [
            VersionPair(
                route=route,
                fault=fault,
                new=VersionSample(*counts[:2]),
                stable=VersionSample(*counts[2:]),
            )
            for (fault, route), counts in sorted(self._counts.items())
        ]
