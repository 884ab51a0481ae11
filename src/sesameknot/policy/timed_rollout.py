"""Course of a roll-out that an operator ordered with a duration."""

from dataclasses import dataclass
from enum import StrEnum

from sesameknot.policy.rollout_statistics import SequentialTest, VersionSample

# Rise in the share of bad answers that marks a version as bad.
ERROR_RISE = 0.15
# Fewer bad answers may come from one faulty endpoint or a broken connection.
BAD_ANSWER_MIN_COUNT = 3


class RolloutAction(StrEnum):
    """What to do with a roll-out now."""

    WAIT = "wait"
    START = "start"
    RAISE = "raise"
    FINISH = "finish"
    ROLL_BACK = "roll-back"


@dataclass(slots=True, frozen=True, kw_only=True)
class TimedRolloutPlan:
    """Shares of the duration at which the roll-out moves on.

    Sessions change their version in the second half only, so that none of them is
    moved while the version may still be found bad by others.
    """

    first_share: float
    first_share_at: float
    full_share_at: float
    decide_at: float


@dataclass(slots=True, frozen=True, kw_only=True)
class RolloutProgress:
    """What is known of a roll-out.

    Parameters
    ----------
    started : bool
        Whether its start is recorded.
    share : float
        Share of sessions that use the new version.
    elapsed_share : float
        Time since the order, as a share of its duration.
    time_since_raise_share : float
        Time since the share was last raised, as a share of the duration.
    target_endpoint_count : int
        Endpoints of the new version that may get requests.
    """

    started: bool
    share: float
    elapsed_share: float
    time_since_raise_share: float
    target_endpoint_count: int


class TimedRolloutPolicy:
    """Decides the steps of roll-outs.

    Parameters
    ----------
    plan : TimedRolloutPlan
        When to move on.
    """

    __slots__ = ("_test", "plan")

    def __init__(self, plan: TimedRolloutPlan) -> None:
        self.plan = plan
        self._test = SequentialTest(error_rise=ERROR_RISE, step_count=2)

    def is_bad(self, new: VersionSample, stable: VersionSample) -> bool:
        """Return whether the new version fails more often than the stable one."""
        if new.error_count < BAD_ANSWER_MIN_COUNT:
            return False
        return self._test.stops_on_errors(new, stable)

    def next_action(
        self, progress: RolloutProgress, new: VersionSample, stable: VersionSample
    ) -> tuple[RolloutAction, float]:
        """Return the next step and the share that goes with it."""
        plan = self.plan
        if self.is_bad(new, stable):
            return RolloutAction.ROLL_BACK, 0.0
        if not progress.started:
            return RolloutAction.START, 0.0
        if not progress.target_endpoint_count:
            return RolloutAction.WAIT, progress.share
        if progress.share <= 0.0 and progress.elapsed_share >= plan.first_share_at:
            return RolloutAction.RAISE, plan.first_share
        partial = 0.0 < progress.share < 1.0
        if partial and self._due(progress, plan.first_share_at, plan.full_share_at):
            return RolloutAction.RAISE, 1.0
        full = progress.share >= 1.0
        if full and self._due(progress, plan.full_share_at, plan.decide_at):
            return RolloutAction.FINISH, 1.0
        return RolloutAction.WAIT, progress.share

    def _due(self, progress: RolloutProgress, begin: float, end: float) -> bool:
        """Return whether a stage is over; a late one may take half of its length."""
        if progress.elapsed_share < end:
            return False
        return progress.time_since_raise_share >= 0.5 * (end - begin)
