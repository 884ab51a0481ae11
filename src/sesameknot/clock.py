"""Clocks: a protocol, the system clock and a clock that tests drive."""

import time
from typing import Protocol


class Clock(Protocol):
    """Source of monotonic and wall time."""

    def monotonic_s(self) -> float:
        """Return seconds on a clock that never goes back."""

    def wall_ms(self) -> int:
        """Return milliseconds since the Unix epoch."""


class SystemClock:
    """The clocks of the operating system."""

    __slots__ = ()

    def monotonic_s(self) -> float:
        """Return the monotonic time in seconds."""
        return time.monotonic()

    def wall_ms(self) -> int:
        """Return the wall time in milliseconds."""
        return time.time_ns() // 1_000_000


class ManualClock:
    """A clock that moves only when told to.

    Parameters
    ----------
    start_s : float, default=1000.0
        First value of the monotonic clock.
    """

    __slots__ = ("_now_s",)

    def __init__(self, start_s: float = 1000.0) -> None:
        self._now_s = start_s

    def monotonic_s(self) -> float:
        """Return the monotonic time in seconds."""
        return self._now_s

    def wall_ms(self) -> int:
        """Return the wall time in milliseconds, derived from the monotonic time."""
        return int(self._now_s * 1000)

    def advance(self, duration_s: float) -> None:
        """Move the clock forward by ``duration_s`` seconds."""
        self._now_s += duration_s
