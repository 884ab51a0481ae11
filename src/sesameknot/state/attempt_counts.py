"""Counters of this host's attempts by service, version and route."""

from collections import Counter

from sesameknot.policy.stream_pace import pace_level
from sesameknot.protocol.messages import PaceCount, VersionStats

# An answer that takes longer than this share of the latency target counts as slow;
# usual answers take far less.
SLOW_SHARE_OF_TARGET = 0.5
# Routes of a version that are counted apart; the answers of further ones are summed.
ROUTE_LIMIT_COUNT = 100
OTHER_ROUTES = "other routes"


class AttemptCounts:
    """Counters of attempts since the last order of a roll-out, and of stream paces."""

    __slots__ = ("_counts", "_paces")

    def __init__(self) -> None:
        self._counts: dict[tuple[str, str], dict[str, list[int]]] = {}
        self._paces: Counter[tuple[str, str, str, int]] = Counter()

    def count_attempt(
        self, service: str, version: str, *, route: str, failed: bool, slow: bool
    ) -> None:
        """Count one attempt, and whether its answer failed or came late."""
        by_route = self._counts.setdefault((service, version), {})
        if route not in by_route and len(by_route) >= ROUTE_LIMIT_COUNT:
            route = OTHER_ROUTES
        counts = by_route.setdefault(route, [0, 0, 0])
        counts[0] += 1
        counts[1] += int(failed)
        counts[2] += int(slow)

    def forget(self, service: str) -> None:
        """Drop the attempts of a service, whose versions are compared from now on."""
        for key in [key for key in self._counts if key[0] == service]:
            del self._counts[key]

    def count_stream(
        self, service: str, version: str, model: str, *, gap_s: float
    ) -> None:
        """Count a stream with a mean time between events of ``gap_s``."""
        self._paces[service, version, model, pace_level(gap_s)] += 1

    def pace_records(self) -> list[PaceCount]:
        """Return the streams counted by pace as message records."""
        return [
            PaceCount(
                service=service,
                version=version,
                model=model,
                level=level,
                stream_count=count,
            )
            for (service, version, model, level), count in self._paces.items()
        ]

    def records(self) -> list[VersionStats]:
        """Return all counters as message records."""
        return [
            VersionStats(
                model=service,
                version=version,
                route=route,
                request_count=counts[0],
                error_count=counts[1],
                slow_count=counts[2],
            )
            for (service, version), by_route in self._counts.items()
            for route, counts in by_route.items()
        ]
