"""Latency pressure of a service, from the time to the first part of its answers."""

import math

from sesameknot.clock import Clock

# Time constant of the exponential decay of an observation's weight.
OBSERVATION_DECAY_S = 2.0


class PressureGauge:
    """Decaying mean of the time to the first part, as a share of the latency target.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.
    calm_level : float
        Pressure up to which all optional work may be added.
    full_level : float
        Pressure from which on no optional work may be added.
    """

    __slots__ = ("_sum", "_updated_s", "_weight", "calm_level", "clock", "full_level")

    def __init__(self, *, clock: Clock, calm_level: float, full_level: float) -> None:
        if not 0.0 <= calm_level < full_level:
            raise ValueError(
                f"calm_level is {calm_level!r} and full_level {full_level!r}, "
                "expected 0 <= calm_level < full_level"
            )
        self.clock = clock
        self.calm_level = calm_level
        self.full_level = full_level
        self._sum = 0.0
        self._weight = 0.0
        self._updated_s = clock.monotonic_s()

    def observe(self, first_part_s: float, target_s: float) -> None:
        """Record the time that an attempt took to the first part of its answer."""
        self._decay()
        self._sum += first_part_s / target_s
        self._weight += 1.0

    @property
    def level(self) -> float:
        """Mean share of the target; a prior observation of 0 damps the first ones."""
        self._decay()
        return self._sum / (self._weight + 1.0)

    @property
    def headroom(self) -> float:
        """Share of optional work that may be added, from 1 (calm) to 0 (full)."""
        span = self.full_level - self.calm_level
        return min(1.0, max(0.0, (self.full_level - self.level) / span))

    def _decay(self) -> None:
        now_s = self.clock.monotonic_s()
        decay_factor = math.exp((self._updated_s - now_s) / OBSERVATION_DECAY_S)
        self._sum *= decay_factor
        self._weight *= decay_factor
        self._updated_s = now_s
