"""Decaying linear regression of a value on the load under which it was observed."""

import math

# Observations with a deviation of 0.25 from the mean load that are needed to move the
# slope half-way from zero to the fitted one.
_RIDGE = 4 * 0.25**2
# Bounds slopes that are fitted to few observations. For logarithms of times, it is a
# factor of 7.4 between an idle endpoint and a full one.
MAX_SLOPE = 2.0


class LoadLine:
    """Line through observations, of which the older ones count less.

    The slope is never negative: a fuller batch makes no event faster. It is close to
    zero until the loads differ.

    Parameters
    ----------
    decay_s : float
        Time constant of the decay, in seconds.
    """

    __slots__ = (
        "_decay_s",
        "_load_square_sum",
        "_load_sum",
        "_product_sum",
        "_updated_s",
        "_value_sum",
        "weight",
    )

    def __init__(self, decay_s: float) -> None:
        self._decay_s = decay_s
        self.weight = 0.0
        self._load_sum = 0.0
        self._value_sum = 0.0
        self._load_square_sum = 0.0
        self._product_sum = 0.0
        self._updated_s = 0.0

    def add(self, load: float, value: float, now_s: float) -> None:
        """Add an observation."""
        factor = math.exp(min(0.0, self._updated_s - now_s) / self._decay_s)
        self._updated_s = now_s
        self.weight = self.weight * factor + 1.0
        self._load_sum = self._load_sum * factor + load
        self._value_sum = self._value_sum * factor + value
        self._load_square_sum = self._load_square_sum * factor + load * load
        self._product_sum = self._product_sum * factor + load * value

    @property
    def slope(self) -> float:
        """Growth of the value with the load."""
        if not self.weight:
            return 0.0
        mean_load = self._load_sum / self.weight
        variation = self._load_square_sum - mean_load * self._load_sum
        covariation = self._product_sum - mean_load * self._value_sum
        return min(MAX_SLOPE, max(0.0, covariation / (variation + _RIDGE)))

    def value(self, load: float) -> float:
        """Return the expected value under ``load``; needs an observation."""
        mean_value = self._value_sum / self.weight
        return mean_value + self.slope * (load - self._load_sum / self.weight)
