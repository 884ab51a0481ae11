"""Estimate of the quality and cost of one model for one request kind.

References
----------
.. [1] E. S. Page, "Continuous inspection schemes", Biometrika 41, 1954.
"""

import math

from sesameknot.clock import Clock


class WindowedEstimate:
    """Mean quality and cost that forget old observations.

    Parameters
    ----------
    prior_quality : float
        Quality assumed before ratings arrive.
    clock : Clock
        Source of time.
    window_count : float, default=2000.0
        Number of ratings after which an old rating has lost most of its weight.
    memory_s : float, default=3600.0
        Time in which an unrefreshed estimate loses most of its weight to the prior.
    prior_count : float, default=4.0
        Weight of the prior, in ratings.

    Notes
    -----
    The window is long, so that the estimate is accurate. A two-sided cumulative sum
    test [1]_ notices a shift within tens of ratings and then shortens the window.
    """

    # Standardised shift that the test ignores, and its threshold: a shift of one
    # standard deviation is noticed after about 20 ratings, a false one is expected
    # once in about 20000.
    DRIFT = 0.25
    THRESHOLD = 16.0
    # Ratings that keep their weight after a shift.
    KEPT_COUNT = 10.0
    # Ratings needed for an estimate of the deviation, and its least value.
    DEVIATION_COUNT = 20.0
    DEVIATION_FLOOR = 0.05

    __slots__ = (
        "_cost_count",
        "_cost_sum",
        "_count",
        "_drop",
        "_last_s",
        "_rise",
        "_square_sum",
        "_sum",
        "clock",
        "memory_s",
        "prior_count",
        "prior_quality",
        "window_count",
    )

    def __init__(
        self,
        prior_quality: float,
        *,
        clock: Clock,
        window_count: float = 2000.0,
        memory_s: float = 3600.0,
        prior_count: float = 4.0,
    ) -> None:
        self.prior_quality = prior_quality
        self.clock = clock
        self.window_count = window_count
        self.memory_s = memory_s
        self.prior_count = prior_count
        self._count = 0.0
        self._sum = 0.0
        self._square_sum = 0.0
        self._rise = 0.0
        self._drop = 0.0
        self._cost_count = 0.0
        self._cost_sum = 0.0
        self._last_s = clock.monotonic_s()

    def add_quality(self, quality: float) -> None:
        """Add a rating."""
        self._watch(quality)
        now_s = self.clock.monotonic_s()
        keep = (1.0 - 1.0 / self.window_count) * self._fade(now_s)
        self._count = self._count * keep + 1.0
        self._sum = self._sum * keep + quality
        self._square_sum = self._square_sum * keep + quality * quality
        self._last_s = now_s

    def add_cost(self, cost: float) -> None:
        """Add the cost of one answer."""
        keep = 1.0 - 1.0 / self.window_count
        self._cost_count = self._cost_count * keep + 1.0
        self._cost_sum = self._cost_sum * keep + cost

    @property
    def count(self) -> float:
        """Weight of the ratings that still count."""
        return self._count * self._fade(self.clock.monotonic_s())

    @property
    def quality(self) -> float:
        """Estimated quality."""
        fade = self._fade(self.clock.monotonic_s())
        total = self._sum * fade + self.prior_quality * self.prior_count
        return total / (self._count * fade + self.prior_count)

    def cost(self, listed: float) -> float:
        """Return the mean observed cost, or ``listed`` before any was observed."""
        return self._cost_sum / self._cost_count if self._cost_count else listed

    def _watch(self, quality: float) -> None:
        if self._count < self.DEVIATION_COUNT:
            return
        mean = self._sum / self._count
        variance = self._square_sum / self._count - mean * mean
        deviation = max(self.DEVIATION_FLOOR, math.sqrt(max(0.0, variance)))
        residual = (quality - mean) / deviation
        self._rise = max(0.0, self._rise + residual - self.DRIFT)
        self._drop = max(0.0, self._drop - residual - self.DRIFT)
        if max(self._rise, self._drop) > self.THRESHOLD:
            self._forget()

    def _forget(self) -> None:
        share = min(1.0, self.KEPT_COUNT / self._count)
        self._count *= share
        self._sum *= share
        self._square_sum *= share
        self._rise = self._drop = 0.0

    def _fade(self, now_s: float) -> float:
        # Linear decay: cheaper than an exponential on the request path.
        return max(0.0, 1.0 - (now_s - self._last_s) / self.memory_s)
