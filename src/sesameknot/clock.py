"""Clock protocol, with the system clock and a manual clock for tests."""

import time
from typing import Protocol


class Clock(Protocol):
    """Source of monotonic time and wall-clock time."""

    def monotonic_s(self) -> float:
        """Return the time of a clock that never goes backwards, in seconds."""

    def boot_s(self) -> float:
        """Return a time that also passes while the host is suspended, in seconds."""

    def wall_ms(self) -> int:
        """Return milliseconds since the Unix epoch."""


class SystemClock:
    """Monotonic and wall clock of the operating system."""

    __slots__ = ()

    def monotonic_s(self) -> float:
        """Return the monotonic time in seconds."""
        return time.monotonic()

    def boot_s(self) -> float:
        """Return the time since the boot, suspensions included, in seconds."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall_ms(self) -> int:
        """Return the wall time in milliseconds."""
        return time.time_ns() // 1_000_000


class ManualClock:
    """Clock that only moves when :meth:`advance` is called.

    Parameters
    ----------
    start_s : float, default=1000.0
        Initial monotonic time in seconds.
    """

    __slots__ = ("_now_s",)

    def __init__(self, start_s: float = 1000.0) -> None:
        self._now_s = start_s

    def monotonic_s(self) -> float:
        """Return the monotonic time in seconds."""
        return self._now_s

    def boot_s(self) -> float:
        """Return the monotonic time in seconds."""
        return self._now_s

    def wall_ms(self) -> int:
        """Return the monotonic time in milliseconds as the wall time."""
        return int(self._now_s * 1000)

    def advance(self, duration_s: float) -> None:
        """Move the clock forward by ``duration_s`` seconds."""
        self._now_s += duration_s
