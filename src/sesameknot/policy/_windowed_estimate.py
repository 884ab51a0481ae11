"""Estimate of the mean quality and cost of one model for one request kind.

References
----------
.. [1] E. S. Page, "Continuous inspection schemes", Biometrika 41, 1954.
"""

import math

from sesameknot.clock import Clock


class WindowedEstimate:
    """Mean quality and cost over a window of recent observations.

    Parameters
    ----------
    prior_quality : float
        Quality that is assumed before ratings arrive.
    clock : Clock
        Source of time.
    window_count : float, default=2000.0
        Number of ratings after which a rating has lost about two thirds of its weight.
    decay_s : float, default=3600.0
        Time in seconds without a new rating after which the quality estimate has
        decayed to the prior.
    prior_count : float, default=4.0
        Weight of the prior, as a number of ratings.

    Notes
    -----
    A long window keeps the variance of the estimate low. A two-sided cumulative sum
    (CUSUM) test [1]_ detects a shift of the mean within tens of ratings and then
    shortens the window.
    """

    # Slack and decision threshold of the CUSUM test, in standard deviations. A shift of
    # one standard deviation is detected after about 20 ratings; a false alarm is
    # expected once in about 20000 ratings.
    CUSUM_SLACK = 0.25
    CUSUM_THRESHOLD = 16.0
    # Weight, in ratings, that the past keeps after a detected shift.
    RETAINED_COUNT = 10.0
    # Ratings needed to estimate the standard deviation, and its lower bound.
    DEVIATION_MIN_COUNT = 20.0
    DEVIATION_FLOOR = 0.05

    __slots__ = (
        "_cost_count",
        "_cost_sum",
        "_downward_cusum",
        "_last_rating_s",
        "_quality_square_sum",
        "_quality_sum",
        "_rating_count",
        "_upward_cusum",
        "clock",
        "decay_s",
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
        decay_s: float = 3600.0,
        prior_count: float = 4.0,
    ) -> None:
        self.prior_quality = prior_quality
        self.clock = clock
        self.window_count = window_count
        self.decay_s = decay_s
        self.prior_count = prior_count
        self._rating_count = 0.0
        self._quality_sum = 0.0
        self._quality_square_sum = 0.0
        self._upward_cusum = 0.0
        self._downward_cusum = 0.0
        self._cost_count = 0.0
        self._cost_sum = 0.0
        self._last_rating_s = clock.monotonic_s()

    def add_quality(self, quality: float) -> None:
        """Add a rating."""
        self._detect_shift(quality)
        now_s = self.clock.monotonic_s()
        retained_share = (1.0 - 1.0 / self.window_count) * self._decay_factor(now_s)
        self._rating_count = self._rating_count * retained_share + 1.0
        self._quality_sum = self._quality_sum * retained_share + quality
        self._quality_square_sum = (
            self._quality_square_sum * retained_share + quality * quality
        )
        self._last_rating_s = now_s

    def add_cost(self, cost: float) -> None:
        """Add the cost of one answer."""
        retained_share = 1.0 - 1.0 / self.window_count
        self._cost_count = self._cost_count * retained_share + 1.0
        self._cost_sum = self._cost_sum * retained_share + cost

    @property
    def count(self) -> float:
        """Total weight of the ratings in the estimate, as a number of ratings."""
        return self._rating_count * self._decay_factor(self.clock.monotonic_s())

    @property
    def quality(self) -> float:
        """Estimated quality."""
        decay_factor = self._decay_factor(self.clock.monotonic_s())
        quality_sum = (
            self._quality_sum * decay_factor + self.prior_quality * self.prior_count
        )
        return quality_sum / (self._rating_count * decay_factor + self.prior_count)

    def cost(self, default_cost: float) -> float:
        """Return the mean observed cost, or ``default_cost`` before any is observed."""
        return self._cost_sum / self._cost_count if self._cost_count else default_cost

    def _detect_shift(self, quality: float) -> None:
        if self._rating_count < self.DEVIATION_MIN_COUNT:
            return
        mean = self._quality_sum / self._rating_count
        variance = self._quality_square_sum / self._rating_count - mean * mean
        deviation = max(self.DEVIATION_FLOOR, math.sqrt(max(0.0, variance)))
        residual = (quality - mean) / deviation
        self._upward_cusum = max(0.0, self._upward_cusum + residual - self.CUSUM_SLACK)
        self._downward_cusum = max(
            0.0, self._downward_cusum - residual - self.CUSUM_SLACK
        )
        if max(self._upward_cusum, self._downward_cusum) > self.CUSUM_THRESHOLD:
            self._shorten_window()

    def _shorten_window(self) -> None:
        retained_share = min(1.0, self.RETAINED_COUNT / self._rating_count)
        self._rating_count *= retained_share
        self._quality_sum *= retained_share
        self._quality_square_sum *= retained_share
        self._upward_cusum = self._downward_cusum = 0.0

    def _decay_factor(self, now_s: float) -> float:
        # Linear decay is cheaper than an exponential on the request path.
        return max(0.0, 1.0 - (now_s - self._last_rating_s) / self.decay_s)
