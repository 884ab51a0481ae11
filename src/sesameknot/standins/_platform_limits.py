"""Call counters, rate limits and switches of the platform stand-in."""

from collections import Counter
from dataclasses import dataclass, field

from sesameknot.clock import Clock
from sesameknot.protocol.objects import PlatformHost
from sesameknot.settings._struct import SettingsStruct
from sesameknot.settings.tree import Count

OUTAGE_MODES = ("none", "refuse", "hang")


class Switches(SettingsStruct):
    """Faults that tests turn on.

    Parameters
    ----------
    outage : {"none", "refuse", "hang"}, default="none"
        Whether connections are closed unanswered or left without an answer.
    slow_ms : int, default=0
        Delay of each answer.
    lose_write_answers : int, default=0
        Next writes whose connection is closed after they took effect.
    old_data : bool, default=False
        Whether reads and watches see the objects as they were when this was
        turned on.
    """

    outage: str = "none"
    slow_ms: Count = 0
    lose_write_answers: Count = 0
    old_data: bool = False


class RateLimit:
    """Token bucket that holds at most one second of calls."""

    __slots__ = ("_clock", "_level", "_updated_s", "per_s")

    def __init__(self, per_s: float, *, clock: Clock) -> None:
        self.per_s = per_s
        self._clock = clock
        self._level = per_s
        self._updated_s = clock.monotonic_s()

    def take(self) -> bool:
        """Take one call and return whether it is within the limit."""
        now_s = self._clock.monotonic_s()
        self._level = min(
            self.per_s, self._level + (now_s - self._updated_s) * self.per_s
        )
        self._updated_s = now_s
        if self._level < 1.0:
            return False
        self._level -= 1.0
        return True


@dataclass(slots=True)
class CallCounts:
    """Calls by kind; a waiting watch counts as one."""

    calls: Counter[str] = field(default_factory=Counter)
    limited: Counter[str] = field(default_factory=Counter)


class HostList:
    """Registered hosts, read as they were ``lag_s`` ago."""

    __slots__ = ("_changes", "_clock", "lag_s")

    def __init__(self, lag_s: float, *, clock: Clock) -> None:
        self.lag_s = lag_s
        self._clock = clock
        self._changes: list[tuple[float, PlatformHost]] = []

    def set(self, host: PlatformHost) -> None:
        """Record a host's state; state ``gone`` removes it from the list."""
        self._changes.append((self._clock.monotonic_s(), host))

    def visible(self) -> list[PlatformHost]:
        """Return the hosts as the lagging list shows them."""
        until_s = self._clock.monotonic_s() - self.lag_s
        shown = {h.host_id: h for at_s, h in self._changes if at_s <= until_s}
        return [host for host in shown.values() if host.state != "gone"]
