"""Policy for roll-outs that an operator ordered with a duration."""

from dataclasses import dataclass
from enum import StrEnum

from sesameknot.policy.rollout_statistics import SequentialTest, VersionSample

# Increase of the share of bad answers at which a version counts as bad.
ERROR_RISE = 0.15
# The same for the share of slow streams, which is far from 0 under load. A version that
# is several times slower raises it by more.
SLOW_RISE = 0.5
# Share of the evidence that stops a version at which its end is put off while there is
# time for more.
DOUBT_SHARE = 0.5
# Fewer bad answers may be caused by one faulty endpoint or a broken connection.
BAD_ANSWER_MIN_COUNT = 3


class RolloutAction(StrEnum):
    """Next action on a roll-out."""

    WAIT = "wait"
    START = "start"
    RAISE = "raise"
    FINISH = "finish"
    ROLL_BACK = "roll-back"


@dataclass(slots=True, frozen=True, kw_only=True)
class TimedRolloutPlan:
    """Shares of the duration at which the roll-out advances.

    Sessions change their version only in the second half, so that no session is moved
    while other traffic may still show that the version is bad.
    """

    first_share: float
    first_share_at: float
    full_share_at: float
    decide_at: float


@dataclass(slots=True, frozen=True, kw_only=True)
class RolloutProgress:
    """Observed progress of a roll-out.

    Parameters
    ----------
    started : bool
        Whether the start is recorded in the store.
    share : float
        Share of sessions that use the new version, from 0 to 1.
    elapsed_share : float
        Time since the order, as a share of the ordered duration.
    time_since_raise_share : float
        Time since ``share`` was last raised, as a share of the ordered duration.
    target_endpoint_count : int
        Endpoints of the new version that can receive requests.
    step_share : float, default=0.0
        Time between two decisions, as a share of the ordered duration.
    """

    started: bool
    share: float
    elapsed_share: float
    time_since_raise_share: float
    target_endpoint_count: int
    step_share: float = 0.0

    @property
    def may_wait(self) -> bool:
        """Whether the next decision still comes in time."""
        return self.elapsed_share + 2.0 * self.step_share < 1.0


class TimedRolloutPolicy:
    """Decides when a roll-out starts, advances, finishes or is rolled back.

    Parameters
    ----------
    plan : TimedRolloutPlan
        When the roll-out advances.
    """

    __slots__ = ("_pace_test", "_test", "plan")

    def __init__(self, plan: TimedRolloutPlan) -> None:
        self.plan = plan
        self._test = SequentialTest(error_rise=ERROR_RISE, step_count=2)
        self._pace_test = SequentialTest(error_rise=SLOW_RISE, step_count=2)

    def is_bad(self, new: VersionSample, stable: VersionSample) -> bool:
        """Return whether the new version fails significantly more often."""
        if new.error_count < BAD_ANSWER_MIN_COUNT:
            return False
        return self._test.stops_on_errors(new, stable)

    def is_slow(self, new: VersionSample, stable: VersionSample) -> bool:
        """Return whether significantly more streams of the new version are slow."""
        if new.error_count < BAD_ANSWER_MIN_COUNT:
            return False
        return self._pace_test.stops_on_errors(new, stable)

    def next_action(
        self,
        progress: RolloutProgress,
        new: VersionSample,
        stable: VersionSample,
        *,
        new_streams: VersionSample = VersionSample(),  # noqa: B008 - immutable
        stable_streams: VersionSample = VersionSample(),  # noqa: B008 - immutable
    ) -> tuple[RolloutAction, float]:
        """Return the next action and the share of sessions after it.

        Parameters
        ----------
        progress : RolloutProgress
            Progress of the roll-out.
        new, stable : VersionSample
            Answers and bad answers of the versions.
        new_streams, stable_streams : VersionSample
            Streams and slow streams of the versions.
        """
        plan = self.plan
        if self.is_bad(new, stable) or self.is_slow(new_streams, stable_streams):
            return RolloutAction.ROLL_BACK, 0.0
        if not progress.started:
            return RolloutAction.START, 0.0
        if not progress.target_endpoint_count:
            return RolloutAction.WAIT, progress.share
        if progress.share <= 0.0 and progress.elapsed_share >= plan.first_share_at:
            return RolloutAction.RAISE, plan.first_share
        partial = 0.0 < progress.share < 1.0
        if partial and self._is_stage_over(
            progress, plan.first_share_at, plan.full_share_at
        ):
            return RolloutAction.RAISE, 1.0
        full = progress.share >= 1.0
        if full and self._is_stage_over(progress, plan.full_share_at, plan.decide_at):
            doubt_share = max(
                self._test.stop_progress(new, stable),
                self._pace_test.stop_progress(new_streams, stable_streams),
            )
            if doubt_share < DOUBT_SHARE or not progress.may_wait:
                return RolloutAction.FINISH, 1.0
        return RolloutAction.WAIT, progress.share

    def _is_stage_over(
        self, progress: RolloutProgress, stage_start: float, stage_end: float
    ) -> bool:
        """Return whether a stage is over; a late one still takes half of its length."""
        if progress.elapsed_share < stage_end:
            return False
        return progress.time_since_raise_share >= 0.5 * (stage_end - stage_start)
