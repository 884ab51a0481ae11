"""What the screen remembers between polls: rates, delays and silence."""

from collections import deque

from sesameknot.clock import Clock
from sesameknot.coordination.version_counters import (
    CounterWindow,
    VersionCounters,
    VersionKey,
)
from sesameknot.operator.fleet import RouterAnswer
from sesameknot.protocol.messages import StatsReply, VersionStats
from sesameknot.protocol.objects import ROLLOUTS_PREFIX, StoredObject

RATE_WINDOW_S = 10.0
# A change must be in force everywhere within 3 s.
IN_FORCE_LIMIT_S = 3.0
# Several leases of a running roll-out, and one renewal of a planned one's takeover.
UNATTENDED_LIMIT_S = 20.0
ATTENDED_STATES = ("planned", "running")


class RateTracker:
    """Growth of all counters over the last seconds."""

    __slots__ = ("_clock", "_counters", "_windows")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._counters = VersionCounters()
        self._windows: deque[tuple[float, dict[VersionKey, CounterWindow]]] = deque()

    def update(self, replies: list[StatsReply]) -> None:
        """Take the routers' counters and begin a window for later polls."""
        self._counters.update(replies)
        now_s = self._clock.monotonic_s()
        windows = {
            key: self._counters.window(key) for key in self._counters.version_keys()
        }
        self._windows.append((now_s, windows))
        while now_s - self._windows[0][0] > RATE_WINDOW_S and len(self._windows) > 2:
            self._windows.popleft()

    @property
    def window_s(self) -> float:
        """Length of the window that :meth:`growth` covers."""
        return self._windows[-1][0] - self._windows[0][0] if self._windows else 0.0

    def growth(self) -> list[VersionStats]:
        """Return the growth of each version's counters over the window."""
        if not self._windows:
            return []
        oldest = self._windows[0][1]
        return [
            (oldest.get(key) or self._first_window(key)).growth()
            for key in self._counters.version_keys()
        ]

    def totals(self) -> list[VersionStats]:
        """Return the counters of each version since the routers started."""
        return [self._counters.total(key) for key in self._counters.version_keys()]

    def _first_window(self, key: VersionKey) -> CounterWindow:
        """Return the oldest window of a version that was seen later."""
        return next(windows[key] for _, windows in self._windows if key in windows)


class LagTracker:
    """Hosts that have lacked the newest version of an object for too long."""

    __slots__ = ("_behind_since", "_clock")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._behind_since: dict[tuple[str, str], float] = {}

    def update(self, answers: list[RouterAnswer]) -> dict[str, list[str]]:
        """Return the names of lagging hosts by object key."""
        statuses = [a.status for a in answers if a.status and not a.status.draining]
        newest: dict[str, int] = {}
        for status in statuses:
            for key, version in status.versions.items():
                newest[key] = max(version, newest.get(key, 0))
        behind = {
            (key, status.host_id)
            for status in statuses
            for key, version in newest.items()
            if status.versions.get(key, 0) < version
        }
        now_s = self._clock.monotonic_s()
        self._behind_since = {
            pair: self._behind_since.get(pair, now_s) for pair in behind
        }
        lagging: dict[str, list[str]] = {}
        for (key, name), since_s in sorted(self._behind_since.items()):
            if now_s - since_s > IN_FORCE_LIMIT_S:
                lagging.setdefault(key, []).append(name)
        return lagging


class WithdrawalTracker:
    """Versions whose withdrawal is older than the window of the rates.

    Younger ones still show requests from before the withdrawal.
    """

    __slots__ = ("_clock", "_seen_s")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._seen_s: dict[str, float] = {}

    def update(self, withdrawn: set[str]) -> set[str]:
        """Return the versions that should count no requests any more."""
        now_s = self._clock.monotonic_s()
        self._seen_s = {name: self._seen_s.get(name, now_s) for name in withdrawn}
        limit_s = RATE_WINDOW_S + IN_FORCE_LIMIT_S
        return {name for name, at_s in self._seen_s.items() if now_s - at_s > limit_s}


class SilenceTracker:
    """Active roll-outs whose object has not changed for several leases."""

    __slots__ = ("_clock", "_seen")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._seen: dict[str, tuple[int, float]] = {}

    def update(self, objects: list[StoredObject]) -> set[str]:
        """Return the keys of roll-outs that no controller works on."""
        now_s = self._clock.monotonic_s()
        unattended = set()
        for stored in objects:
            if not stored.key.startswith(ROLLOUTS_PREFIX):
                continue
            version, since_s = self._seen.get(stored.key, (0, now_s))
            if version != stored.version:
                self._seen[stored.key] = (stored.version, now_s)
            elif now_s - since_s > UNATTENDED_LIMIT_S and _active(stored):
                unattended.add(stored.key)
        return unattended


def _active(stored: StoredObject) -> bool:
    value = stored.value
    return isinstance(value, dict) and value.get("state") in ATTENDED_STATES
