"""Counters of this host's attempts by service and version."""

from collections import Counter

from sesameknot.policy.stream_pace import pace_level
from sesameknot.protocol.messages import PaceCount, VersionStats

# An answer that takes longer than this share of the latency target counts as an error
# of its version; usual answers take far less.
SLOW_SHARE_OF_TARGET = 0.5


class AttemptCounts:
    """Counters of attempts, errors and stream paces since the process started."""

    __slots__ = ("_counts", "_paces")

    def __init__(self) -> None:
        self._counts: dict[tuple[str, str], list[int]] = {}
        self._paces: Counter[tuple[str, str, str, int]] = Counter()

    def count_attempt(self, service: str, version: str, *, bad: bool) -> None:
        """Count one attempt, which is an error of the version if ``bad``."""
        counts = self._counts.setdefault((service, version), [0, 0])
        counts[0] += 1
        counts[1] += int(bad)

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
                request_count=counts[0],
                error_count=counts[1],
            )
            for (service, version), counts in self._counts.items()
        ]
