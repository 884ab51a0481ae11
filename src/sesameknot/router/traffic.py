"""Counters per version, for controllers, the screen and operators."""

from sesameknot.protocol.messages import VersionStats

# Beyond this many distinct callers the count stops growing; memory stays bounded.
CALLER_LIMIT_COUNT = 100_000


class TrafficCounters:
    """Count requests, errors, ratings, cost and callers per version."""

    __slots__ = ("_callers", "_stats")

    def __init__(self) -> None:
        self._stats: dict[tuple[str, str, str], VersionStats] = {}
        self._callers: dict[tuple[str, str, str], set[int]] = {}

    def of(self, team: str, model: str, version: str) -> VersionStats:
        """Return the counters of one version, created on first use."""
        key = (team, model, version)
        stats = self._stats.get(key)
        if stats is None:
            stats = VersionStats(team=team, model=model, version=version)
            self._stats[key] = stats
            self._callers[key] = set()
        return stats

    def count_request(self, team: str, model: str, version: str, caller: str) -> None:
        """Count a request and its caller."""
        stats = self.of(team, model, version)
        stats.request_count += 1
        callers = self._callers[team, model, version]
        if len(callers) < CALLER_LIMIT_COUNT:
            callers.add(hash(caller))
            stats.caller_count = len(callers)

    def count_error(self, team: str, model: str, version: str) -> None:
        """Count a failed attempt."""
        self.of(team, model, version).error_count += 1

    def count_first_token(
        self, team: str, model: str, version: str, duration_ms: float
    ) -> None:
        """Add the time to the first token of one answer."""
        stats = self.of(team, model, version)
        stats.first_token_ms_sum += duration_ms
        stats.first_token_count += 1

    def count_cost(
        self, team: str, model: str, version: str, cost_microunits: int
    ) -> None:
        """Add the cost of one answer."""
        self.of(team, model, version).cost_microunits += cost_microunits

    def count_rating(self, team: str, model: str, version: str, rating: float) -> None:
        """Add one rating between 0 and 1."""
        stats = self.of(team, model, version)
        stats.rating_count += 1
        stats.rating_sum += rating
        stats.rating_square_sum += rating * rating

    def all(self) -> list[VersionStats]:
        """Return the counters of all versions."""
        return list(self._stats.values())
