"""Growth of a roll-out's share within a step while the evidence is favourable."""

from sesameknot.clock import Clock
from sesameknot.policy.rollout_statistics import SequentialTest, VersionSample


class RolloutRamp:
    """Share of callers during one step.

    Parameters
    ----------
    test : SequentialTest
        Test whose evidence steers the growth.
    step_share : float
        Share of the step, which the ramp ends at.
    clock : Clock
        Source of time.
    start_ratio : float, default=0.05
        First share, relative to ``step_share``.
    initial_share : float, default=0.0
        Share that callers have already, from the step before or an earlier holder of
        the roll-out; the ramp goes on from it.
    growth_factor : float, default=2.0
        Factor of each growth.
    growth_ratings : int, default=10
        New ratings after which the share may grow.
    idle_s : float, default=1200.0
        Time after which it may grow with fewer, since a small share of callers can
        be idle or empty.

    Notes
    -----
    The share stands still while the evidence speaks against the new version, so few
    callers meet a bad version until the test stops it. It starts at a twentieth of the
    step: from a tenth, callers that met a version with 5% more errors were 0.076 to
    0.125 of those of a fixed schedule, from a twentieth 0.078 to 0.091 (three seeds).
    """

    # Log-likelihood ratio that allows growth. With 0, versions grew whose errors had
    # not shown yet: 6.9 instead of 2.8 callers met a version with 5% more errors.
    GROWTH_LLR = -1.0
    # The same after the idle time. Few callers with few requests would otherwise keep
    # a roll-out undecided for hours.
    IDLE_LLR = 0.5

    __slots__ = (
        "_grown_s",
        "_rating_count",
        "_request_count",
        "_share",
        "clock",
        "growth_factor",
        "growth_ratings",
        "idle_s",
        "step_share",
        "test",
    )

    def __init__(
        self,
        test: SequentialTest,
        step_share: float,
        *,
        clock: Clock,
        start_ratio: float = 0.05,
        initial_share: float = 0.0,
        growth_factor: float = 2.0,
        growth_ratings: int = 10,
        idle_s: float = 1200.0,
    ) -> None:
        self.test = test
        self.step_share = step_share
        self.clock = clock
        self.growth_factor = growth_factor
        self.growth_ratings = growth_ratings
        self.idle_s = idle_s
        self._share = min(step_share, max(initial_share, step_share * start_ratio))
        self._grown_s = clock.monotonic_s()
        self._request_count = 0
        self._rating_count = 0

    @property
    def share(self) -> float:
        """Present share; it never falls, so that sessions keep their version."""
        return self._share

    def update(self, new: VersionSample, stable: VersionSample) -> float:
        """Take the counters since the step began and return the share."""
        idle = self.clock.monotonic_s() - self._grown_s >= self.idle_s
        if new.request_count == self._request_count:
            grows = idle
        else:
            rated = new.rating_count - self._rating_count >= self.growth_ratings
            limit = self.GROWTH_LLR if rated else self.IDLE_LLR
            grows = (rated or idle) and self.test.leaning(new, stable) <= limit
        if grows:
            self._share = min(self.step_share, self._share * self.growth_factor)
            self._request_count = new.request_count
            self._rating_count = new.rating_count
            self._grown_s = self.clock.monotonic_s()
        return self._share
