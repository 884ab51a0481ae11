"""Traffic counters per version, for controllers, the screen and operators."""

from sesameknot.protocol.messages import VersionStats

# Distinct callers counted per version. The count stops there to bound memory.
CALLER_LIMIT_COUNT = 100_000


class TrafficCounters:
    """Count requests, errors, ratings, cost and distinct callers per version."""

    __slots__ = ("_caller_hashes", "_stats")

    def __init__(self) -> None:
        self._stats: dict[tuple[str, str, str], VersionStats] = {}
        self._caller_hashes: dict[tuple[str, str, str], set[int]] = {}

    def stats_for(self, team: str, model: str, version: str) -> VersionStats:
        """Return the counters of a version; they are created on first use."""
        key = (team, model, version)
        stats = self._stats.get(key)
        if stats is None:
            stats = VersionStats(team=team, model=model, version=version)
            self._stats[key] = stats
            self._caller_hashes[key] = set()
        return stats

    def count_request(self, team: str, model: str, version: str, caller: str) -> None:
        """Count a request, and its caller if it is new."""
        stats = self.stats_for(team, model, version)
        stats.request_count += 1
        caller_hashes = self._caller_hashes[team, model, version]
        if len(caller_hashes) < CALLER_LIMIT_COUNT:
            caller_hashes.add(hash(caller))
            stats.caller_count = len(caller_hashes)

    def count_error(self, team: str, model: str, version: str) -> None:
        """Count a failed attempt."""
        self.stats_for(team, model, version).error_count += 1

    def count_first_token(
        self, team: str, model: str, version: str, duration_ms: float
    ) -> None:
        """Add the time to the first token of an answer."""
        stats = self.stats_for(team, model, version)
        stats.first_token_ms_sum += duration_ms
        stats.first_token_count += 1

    def count_cost(
        self, team: str, model: str, version: str, cost_microunits: int
    ) -> None:
        """Add the cost of an answer."""
        self.stats_for(team, model, version).cost_microunits += cost_microunits

    def count_rating(self, team: str, model: str, version: str, rating: float) -> None:
        """Add a rating between 0 and 1."""
        stats = self.stats_for(team, model, version)
        stats.rating_count += 1
        stats.rating_sum += rating
        stats.rating_square_sum += rating * rating

    def all_stats(self) -> list[VersionStats]:
        """Return the counters of all versions."""
        return list(self._stats.values())
