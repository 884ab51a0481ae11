"""Sums of the routers' counters per version, and their growth within a window."""

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
    """Latest counters of each incarnation of each router.

    A router counts from its start, so the counters of a restarted router are added to
    those of its earlier incarnations.
    """

    __slots__ = ("_latest",)

    def __init__(self) -> None:
        self._latest: dict[RouterKey, dict[VersionKey, VersionStats]] = {}

    def update(self, replies: list[StatsReply]) -> None:
        """Store the counters of the routers' replies."""
        for reply in replies:
            self._latest[reply.host_id, reply.incarnation] = {
                (stats.team, stats.model, stats.version): stats
                for stats in reply.versions
            }

    def version_keys(self) -> list[VersionKey]:
        """Return the keys of all versions with counters, sorted."""
        return sorted({key for counters in self._latest.values() for key in counters})

    def total(self, key: VersionKey) -> VersionStats:
        """Return the sum over all routers since they started."""
        return _sum(key, [counters.get(key) for counters in self._latest.values()])

    def window(self, key: VersionKey) -> "CounterWindow":
        """Return a window that begins with the latest counters."""
        return CounterWindow(self, key)

    def by_router(self, key: VersionKey) -> dict[RouterKey, VersionStats]:
        """Return the counters of one version per router."""
        empty = _sum(key, [])
        return {
            router: counters.get(key, empty)
            for router, counters in self._latest.items()
        }


class CounterWindow:
    """Growth of one version's counters since the window was made."""

    __slots__ = ("_baseline", "_counters", "_key")

    def __init__(self, counters: VersionCounters, key: VersionKey) -> None:
        self._counters = counters
        self._key = key
        self._baseline = counters.by_router(key)

    def growth(self) -> VersionStats:
        """Return the sum of the routers' growth since the window began."""
        growth_by_router = []
        for router, stats in self._counters.by_router(self._key).items():
            baseline = self._baseline.get(router)
            if baseline is None:
                baseline = self._baseline[router] = self._initial_baseline(
                    router, stats
                )
            growth_by_router.append(_add_scaled(self._key, stats, baseline, -1))
        return _sum(self._key, growth_by_router)

    def _initial_baseline(self, router: RouterKey, stats: VersionStats) -> VersionStats:
        # The first reply of a router that is new to the window may include requests
        # from before the window began. The first reply of a later incarnation of a
        # router in the window cannot, so it counts from zero.
        if any(host_id == router[0] for host_id, _ in self._baseline):
            return _sum(self._key, [])
        return stats


def _sum(key: VersionKey, items: list[VersionStats | None]) -> VersionStats:
    team, model, version = key
    total = VersionStats(team=team, model=model, version=version)
    for stats in items:
        if stats is not None:
            total = _add_scaled(key, total, stats, 1)
    return total


def _add_scaled(
    key: VersionKey, left: VersionStats, right: VersionStats, factor: int
) -> VersionStats:
    team, model, version = key
    counters = {
        name: getattr(left, name) + factor * getattr(right, name) for name in _COUNTERS
    }
    return VersionStats(team=team, model=model, version=version, **counters)
