"""Counters of this host's attempts by service and version."""

from sesameknot.protocol.messages import VersionStats

# An answer that takes longer than this share of the latency target counts as an error
# of its version; usual answers take far less.
SLOW_SHARE_OF_TARGET = 0.5


class AttemptCounts:
    """Counters of attempts and of errors since the process started."""

    __slots__ = ("_counts",)

    def __init__(self) -> None:
        self._counts: dict[tuple[str, str], list[int]] = {}

    def count_attempt(self, service: str, version: str, *, bad: bool) -> None:
        """Count one attempt, which is an error of the version if ``bad``."""
        counts = self._counts.setdefault((service, version), [0, 0])
        counts[0] += 1
        counts[1] += int(bad)

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
