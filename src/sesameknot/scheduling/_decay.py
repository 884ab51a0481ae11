"""Sums whose terms lose weight with time."""

import math


class DecayingSum:
    """Sum with exponential decay.

    Parameters
    ----------
    decay_s : float
        Time constant of the decay in seconds.
    """

    __slots__ = ("_sum", "_updated_s", "decay_s")

    def __init__(self, decay_s: float) -> None:
        self.decay_s = decay_s
        self._sum = 0.0
        self._updated_s = -math.inf

    def add(self, value: float, now_s: float) -> None:
        """Add a term."""
        self._sum = self.value(now_s) + value
        self._updated_s = now_s

    def value(self, now_s: float) -> float:
        """Return the sum as of ``now_s``."""
        if not self._sum:
            return 0.0
        return self._sum * math.exp(min(0.0, self._updated_s - now_s) / self.decay_s)


class DecayingMean:
    """Mean with exponential decay.

    Parameters
    ----------
    decay_s : float
        Time constant of the decay in seconds.
    """

    __slots__ = ("_count", "_sum")

    def __init__(self, decay_s: float) -> None:
        self._sum = DecayingSum(decay_s)
        self._count = DecayingSum(decay_s)

    def add(self, value: float, now_s: float) -> None:
        """Add an observation."""
        self._sum.add(value, now_s)
        self._count.add(1.0, now_s)

    def count(self, now_s: float) -> float:
        """Return the weight of all observations, in observations."""
        return self._count.value(now_s)

    def value(self, now_s: float) -> float:
        """Return the mean; 0 without observations."""
        count = self._count.value(now_s)
        return self._sum.value(now_s) / count if count else 0.0
