"""Decide a roll-out's moves by the sequential test, the ramp and the watch."""

from sesameknot.clock import Clock
from sesameknot.coordination.rollout_decision import StepDecision, StepVerdict
from sesameknot.policy.rollout_monitor import RolloutMonitor
from sesameknot.policy.rollout_ramp import RolloutRamp
from sesameknot.policy.rollout_statistics import (
    RolloutVerdict,
    SequentialTest,
    VersionSample,
)
from sesameknot.protocol.messages import VersionStats
from sesameknot.protocol.rollout_object import RolloutObject
from sesameknot.settings.tree import RolloutSettings

# Share of the watch's rounds that stop a good version. With much traffic a round ends
# at each collection of counters, 43200 times a day: 0.001 stopped 30 good versions in
# 732000 seeded collections, 0.000001 none in 800000.
WATCH_FALSE_ALARM_RATE = 1e-6


class SequentialDecision:
    """Decisions by the sequential test.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    __slots__ = ("clock",)

    def __init__(self, clock: Clock) -> None:
        self.clock = clock

    def step_decision(
        self, plan: RolloutSettings, rollout: RolloutObject
    ) -> StepDecision:
        """Return the decision on the present step, from the stored share on."""
        if rollout.state == "complete":
            return _WatchDecision(plan, rollout.share)
        return _RampDecision(plan, rollout, self.clock)


class _RampDecision:
    """Decision on a step, whose share follows the ramp."""

    __slots__ = ("_plan", "_ramp")

    def __init__(
        self, plan: RolloutSettings, rollout: RolloutObject, clock: Clock
    ) -> None:
        step = min(rollout.step, len(plan.step_shares) - 1)
        self._plan = plan
        self._ramp = RolloutRamp(
            _test(plan),
            plan.step_shares[step],
            clock=clock,
            start_ratio=plan.start_ratio,
            initial_share=rollout.share,
        )

    @property
    def share(self) -> float:
        """Share that the step should have now."""
        return self._ramp.share

    def verdict(
        self, stable: VersionStats, new: VersionStats, *, elapsed_s: float
    ) -> StepVerdict:
        """Return the next move, ``elapsed_s`` after the step began."""
        return decide(stable, new, self._plan, elapsed_s)

    def raise_share(self, stable: VersionStats, new: VersionStats) -> None:
        """Raise :attr:`share` if the counters allow it."""
        self._ramp.update(_sample(new), _sample(stable))


class _WatchDecision:
    """Decision on a complete roll-out: stop it, or leave it as it is."""

    __slots__ = ("_watch", "share")

    def __init__(self, plan: RolloutSettings, share: float) -> None:
        self.share = share
        test = _test(plan, false_alarm_rate=WATCH_FALSE_ALARM_RATE, step_count=1)
        self._watch = RolloutMonitor(test, VersionSample(), VersionSample())

    def verdict(
        self, stable: VersionStats, new: VersionStats, *, elapsed_s: float
    ) -> StepVerdict:
        """Return the next move; the time makes no difference."""
        # A successor gets the counters of the stable version router by router, and
        # sessions that keep the stable version still add to them.
        self._watch.reference = _sample(stable)
        return self._watch.update(_sample(new)).value

    def raise_share(self, stable: VersionStats, new: VersionStats) -> None:
        """Leave the share as it is."""


def decide(
    stable: VersionStats,
    new: VersionStats,
    settings: RolloutSettings,
    step_elapsed_s: float,
) -> StepVerdict:
    """Return ``"continue"``, ``"advance"`` or ``"stop"``.

    Parameters
    ----------
    stable : VersionStats
        Counters of the version that served before.
    new : VersionStats
        Growth of the new version's counters since the step began.
    settings : RolloutSettings
        The roll-out as operators planned it.
    step_elapsed_s : float
        Time since the step began.
    """
    verdict = _test(settings).verdict(_sample(new), _sample(stable))
    if verdict == RolloutVerdict.ADVANCE and step_elapsed_s < settings.step_min_s:
        return RolloutVerdict.CONTINUE.value
    return verdict.value


def _test(
    settings: RolloutSettings,
    *,
    false_alarm_rate: float = 0.05,
    step_count: int | None = None,
) -> SequentialTest:
    return SequentialTest(
        quality_drop=settings.quality_drop,
        error_rise=settings.error_rise,
        false_alarm_rate=false_alarm_rate,
        step_count=step_count or len(settings.step_shares),
        min_ratings=settings.step_min_ratings,
    )


def _sample(stats: VersionStats) -> VersionSample:
    return VersionSample(
        request_count=stats.request_count,
        error_count=stats.error_count,
        rating_count=stats.rating_count,
        rating_sum=stats.rating_sum,
        rating_square_sum=stats.rating_square_sum,
    )
