"""Roll-out decisions by the sequential test, the share ramp and the monitor."""

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

# False-alarm rate of each round of the monitor. With much traffic a round ends at each
# collection of counters, 43200 times a day: 0.001 stopped 30 good versions in 732000
# seeded collections, 0.000001 none in 800000.
MONITOR_FALSE_ALARM_RATE = 1e-6


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
        """Return the decision on the current step, starting at its stored share."""
        if rollout.state == "complete":
            return _MonitorDecision(plan, rollout.share)
        return _RampDecision(plan, rollout, self.clock)


class _RampDecision:
    """Decision on one step; the ramp sets its share."""

    __slots__ = ("_plan", "_ramp")

    def __init__(
        self, plan: RolloutSettings, rollout: RolloutObject, clock: Clock
    ) -> None:
        step = min(rollout.step, len(plan.step_shares) - 1)
        self._plan = plan
        self._ramp = RolloutRamp(
            _sequential_test(plan),
            plan.step_shares[step],
            clock=clock,
            start_ratio=plan.start_ratio,
            initial_share=rollout.share,
        )

    @property
    def share(self) -> float:
        """Share of the callers that the new version should have now."""
        return self._ramp.share

    def verdict(
        self, stable: VersionStats, new: VersionStats, *, elapsed_s: float
    ) -> StepVerdict:
        """Return whether to continue, advance or stop."""
        return decide_step(stable, new, self._plan, elapsed_s)

    def raise_share(self, stable: VersionStats, new: VersionStats) -> None:
        """Raise :attr:`share` if the counters allow it."""
        self._ramp.update(_sample(new), _sample(stable))


class _MonitorDecision:
    """Decision on a complete roll-out: stop it or continue."""

    __slots__ = ("_monitor", "share")

    def __init__(self, plan: RolloutSettings, share: float) -> None:
        self.share = share
        test = _sequential_test(
            plan, false_alarm_rate=MONITOR_FALSE_ALARM_RATE, step_count=1
        )
        self._monitor = RolloutMonitor(test, VersionSample(), VersionSample())

    def verdict(
        self, stable: VersionStats, new: VersionStats, *, elapsed_s: float
    ) -> StepVerdict:
        """Return whether to continue or stop; ``elapsed_s`` has no effect."""
        # A new holder of the roll-out receives the counters of the stable version one
        # router at a time, and sessions pinned to that version still increase them.
        self._monitor.reference = _sample(stable)
        return self._monitor.update(_sample(new)).value

    def raise_share(self, stable: VersionStats, new: VersionStats) -> None:
        """Do nothing; the share of a complete roll-out is final."""


def decide_step(
    stable: VersionStats,
    new: VersionStats,
    settings: RolloutSettings,
    step_elapsed_s: float,
) -> StepVerdict:
    """Return ``"continue"``, ``"advance"`` or ``"stop"``.

    Parameters
    ----------
    stable : VersionStats
        Counters of the stable version.
    new : VersionStats
        Counters of the new version since the step began.
    settings : RolloutSettings
        Settings of the roll-out.
    step_elapsed_s : float
        Time since the step began, in seconds.
    """
    verdict = _sequential_test(settings).verdict(_sample(new), _sample(stable))
    if verdict == RolloutVerdict.ADVANCE and step_elapsed_s < settings.step_min_s:
        return RolloutVerdict.CONTINUE.value
    return verdict.value


def _sequential_test(
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
