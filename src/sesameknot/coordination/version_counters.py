"""Sums of the routers' counters per version, and their growth since a step began."""

import dataclasses

from sesameknot.protocol.messages import StatsReply, VersionStats

# (team, model, version)
VersionKey = tuple[str, str, str]
# (host_id, incarnation)
RouterKey = tuple[str, int]

_COUNTERS = tuple(
    field.name
    for field in dataclasses.fields(VersionStats)
    if field.name not in ("team", "model", "version")
)


class VersionCounters:
    """Latest counters of each router incarnation.

    A router counts from its start, so the counters of a restarted router add to those
    of its earlier incarnations.
    """

    __slots__ = ("_latest",)

    def __init__(self) -> None:
        self._latest: dict[RouterKey, dict[VersionKey, VersionStats]] = {}

    def update(self, replies: list[StatsReply]) -> None:
        """Take the routers' answers."""
        for reply in replies:
            self._latest[reply.host_id, reply.incarnation] = {
                (stats.team, stats.model, stats.version): stats
                for stats in reply.versions
            }

    def version_keys(self) -> list[VersionKey]:
        """Return the versions that routers counted, sorted."""
        return sorted({key for found in self._latest.values() for key in found})

    def total(self, key: VersionKey) -> VersionStats:
        """Return the sum over all routers since they started."""
        return _sum(key, [found.get(key) for found in self._latest.values()])

    def window(self, key: VersionKey) -> "CounterWindow":
        """Return a window that begins now."""
        return CounterWindow(self, key)

    def by_router(self, key: VersionKey) -> dict[RouterKey, VersionStats]:
        """Return the counters of one version per router."""
        empty = _sum(key, [])
        return {router: found.get(key, empty) for router, found in self._latest.items()}


class CounterWindow:
    """Growth of one version's counters since the window was made."""

    __slots__ = ("_base", "_counters", "_key")

    def __init__(self, counters: VersionCounters, key: VersionKey) -> None:
        self._counters = counters
        self._key = key
        self._base = counters.by_router(key)

    def growth(self) -> VersionStats:
        """Return the sum of the routers' growth."""
        grown = []
        for router, stats in self._counters.by_router(self._key).items():
            base = self._base.get(router)
            if base is None:
                base = self._base[router] = self._first_base(router, stats)
            grown.append(_combine(self._key, stats, base, -1))
        return _sum(self._key, grown)

    def _first_base(self, router: RouterKey, stats: VersionStats) -> VersionStats:
        # The first answer of an unknown router may count work from before the
        # window; that of a known router's next incarnation cannot.
        if any(host_id == router[0] for host_id, _ in self._base):
            return _sum(self._key, [])
        return stats


def _sum(key: VersionKey, items: list[VersionStats | None]) -> VersionStats:
    team, model, version = key
    total = VersionStats(team=team, model=model, version=version)
    for stats in items:
        if stats is not None:
            total = _combine(key, total, stats, 1)
    return total


def _combine(
    key: VersionKey, left: VersionStats, right: VersionStats, sign: int
) -> VersionStats:
    team, model, version = key
    counters = {
        name: getattr(left, name) + sign * getattr(right, name) for name in _COUNTERS
    }
    return VersionStats(team=team, model=model, version=version, **counters)
