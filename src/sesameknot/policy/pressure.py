"""How busy a service's endpoints are, by the time to the first part of answers."""

import math

from sesameknot.clock import Clock

# Time after which an observation has lost about two thirds of its weight.
OBSERVATION_LIFE_S = 2.0


class PressureGauge:
    """Mean of the first answers' times as shares of their latency targets.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.
    calm_level : float
        Pressure up to which endpoints count as calm.
    full_level : float
        Pressure from which on nothing may be added.
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
        """Take the time of one attempt to the first part of its answer."""
        self._fade()
        self._sum += first_part_s / target_s
        self._weight += 1.0

    @property
    def level(self) -> float:
        """Mean share of the target; 0 before any observation."""
        self._fade()
        return self._sum / (self._weight + 1.0)

    @property
    def headroom(self) -> float:
        """Part of optional work that may be added, from 1 (calm) to 0 (full)."""
        span = self.full_level - self.calm_level
        return min(1.0, max(0.0, (self.full_level - self.level) / span))

    def _fade(self) -> None:
        now_s = self.clock.monotonic_s()
        factor = math.exp((self._updated_s - now_s) / OBSERVATION_LIFE_S)
        self._sum *= factor
        self._weight *= factor
        self._updated_s = now_s
