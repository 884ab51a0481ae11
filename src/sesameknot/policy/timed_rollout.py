"""Policy for roll-outs that an operator ordered with a duration."""

import math
from collections.abc import Sequence
from dataclasses import dataclass, replace
from enum import StrEnum

from sesameknot.policy.rollout_statistics import SequentialTest, VersionSample
from sesameknot.policy.route_evidence import (
    Fault,
    RouteEvidence,
    VersionPair,
    chance_of_failures,
    evidence_against,
    misses_rise,
)

# Likelihood ratio at which a version counts as bad. A good one reaches it with a chance
# of 0.05 at most; to roll one back harms few callers, to complete a bad one all.
STOP_LLR = math.log(20.0)
# Likelihood ratio at which a version is neither given more sessions nor completed.
DOUBT_LLR = math.log(5.0)
# The same for the chance that a good version would have failed as often.
DOUBT_CHANCE = 0.1
# A version is completed in time only if one with this rise of the share of bad answers
# would have had more of them, with this chance of being wrong.
EXCLUDED_RISE = 0.3
MISS_RATE = 0.05
# Part of the limit on the exposure that the schedule uses if nothing speaks against the
# version. At the other part, a version in doubt is rolled back.
PLANNED_EXPOSURE_PART = 0.8
DOUBTED_EXPOSURE_PART = 0.95
# Steps until a roll-back has reached all hosts.
ROLLBACK_STEP_COUNT = 1.5
# Share of the duration after which a version without enough answers is completed, if
# nothing speaks against it.
LATE_FINISH_AT = 2.0
# Rise of the share of slow streams at which a version counts as slow. The share is far
# from 0 under load. A version that is several times slower raises it by more.
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
    exposure_limit_share : float, default=inf
        Share of the service's requests in the ordered duration that a bad version may
        get.
    """

    started: bool
    share: float
    elapsed_share: float
    time_since_raise_share: float
    target_endpoint_count: int
    step_share: float = 0.0
    exposure_limit_share: float = math.inf

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

    __slots__ = ("_pace_test", "plan")

    def __init__(self, plan: TimedRolloutPlan) -> None:
        self.plan = plan
        self._pace_test = SequentialTest(error_rise=SLOW_RISE, step_count=2)

    def is_bad(self, pairs: Sequence[VersionPair]) -> bool:
        """Return whether the new version fails significantly more often."""
        error_count = max(pair.new.error_count for pair in pairs)
        if error_count < BAD_ANSWER_MIN_COUNT:
            return False
        return evidence_against(pairs).llr >= STOP_LLR

    def is_slow(self, new: VersionSample, stable: VersionSample) -> bool:
        """Return whether significantly more streams of the new version are slow."""
        if new.error_count < BAD_ANSWER_MIN_COUNT:
            return False
        return self._pace_test.stops_on_errors(new, stable)

    def next_action(
        self,
        progress: RolloutProgress,
        pairs: Sequence[VersionPair],
        *,
        new_streams: VersionSample = VersionSample(),  # noqa: B008 - immutable
        stable_streams: VersionSample = VersionSample(),  # noqa: B008 - immutable
    ) -> tuple[RolloutAction, float]:
        """Return the next action and the share of sessions after it.

        Parameters
        ----------
        progress : RolloutProgress
            Progress of the roll-out.
        pairs : sequence of VersionPair
            Answers and faults of the versions: first the failures on all routes
            together, then all others.
        new_streams, stable_streams : VersionSample
            Streams and slow streams of the versions.
        """
        plan = self.plan
        if self.is_bad(pairs) or self.is_slow(new_streams, stable_streams):
            return RolloutAction.ROLL_BACK, 0.0
        if not progress.started:
            return RolloutAction.START, 0.0
        if not progress.target_endpoint_count:
            return RolloutAction.WAIT, progress.share
        if progress.share <= 0.0 and progress.elapsed_share >= plan.first_share_at:
            return RolloutAction.RAISE, plan.first_share
        if self._in_doubt(pairs, new_streams, stable_streams):
            if self._is_overexposed(progress):
                return RolloutAction.ROLL_BACK, 0.0
            return RolloutAction.WAIT, progress.share
        full_share_at = self._full_share_at(progress)
        partial = 0.0 < progress.share < 1.0
        if partial and self._is_stage_over(
            progress, plan.first_share_at, full_share_at
        ):
            return RolloutAction.RAISE, 1.0
        full = progress.share >= 1.0
        if (
            full
            and self._is_stage_over(progress, full_share_at, plan.decide_at)
            and self._has_enough_answers(progress, pairs, new_streams)
        ):
            return RolloutAction.FINISH, 1.0
        return RolloutAction.WAIT, progress.share

    def evidence(self, pairs: Sequence[VersionPair]) -> RouteEvidence:
        """Return the evidence against the new version, for logs."""
        return evidence_against(pairs)

    def _full_share_at(self, progress: RolloutProgress) -> float:
        """Return when all sessions move, so that the exposure stays within its limit.

        Where many requests come, the limit's share binds and its slack does not, but
        the first stage brings enough answers.
        """
        plan = self.plan
        first_share = progress.share if 0.0 < progress.share < 1.0 else plan.first_share
        if first_share >= 1.0:
            return plan.full_share_at
        limit_share = PLANNED_EXPOSURE_PART * progress.exposure_limit_share
        at_first_share = plan.decide_at - first_share * plan.first_share_at
        earliest = (at_first_share - limit_share) / (1.0 - first_share)
        latest = plan.decide_at - 2.0 * progress.step_share
        return max(plan.full_share_at, min(latest, earliest))

    def _is_overexposed(self, progress: RolloutProgress) -> bool:
        """Return whether the new version has had most of what a bad one may get."""
        if progress.elapsed_share >= 1.0:
            return False
        full_share = progress.time_since_raise_share if progress.share >= 1.0 else 0.0
        partial_share = progress.elapsed_share - self.plan.first_share_at - full_share
        exposure_share = full_share + self.plan.first_share * max(0.0, partial_share)
        exposure_share += ROLLBACK_STEP_COUNT * progress.step_share * progress.share
        limit_share = DOUBTED_EXPOSURE_PART * progress.exposure_limit_share
        return exposure_share >= limit_share

    def _in_doubt(
        self,
        pairs: Sequence[VersionPair],
        new_streams: VersionSample,
        stable_streams: VersionSample,
    ) -> bool:
        """Return whether much speaks against a version, which may outlast its time.

        To complete a bad version harms all callers; to complete a good one late does
        not. More answers settle it either way.
        """
        if evidence_against(pairs).llr >= DOUBT_LLR:
            return True
        if chance_of_failures(pairs) < DOUBT_CHANCE:
            return True
        progress = self._pace_test.stop_progress(new_streams, stable_streams)
        return progress >= DOUBT_SHARE

    def _has_enough_answers(
        self,
        progress: RolloutProgress,
        pairs: Sequence[VersionPair],
        new_streams: VersionSample,
    ) -> bool:
        """Return whether a version that is much worse would have shown it.

        In its time, this holds for each route; later, a route with few requests is not
        waited for.
        """
        if progress.elapsed_share >= LATE_FINISH_AT:
            return True
        judged = [_with_streams(pairs[0], new_streams)]
        if progress.may_wait:
            judged += [pair for pair in pairs[1:] if pair.fault is Fault.FAILED]
        return all(misses_rise(pair, EXCLUDED_RISE) <= MISS_RATE for pair in judged)

    def _is_stage_over(
        self, progress: RolloutProgress, stage_start: float, stage_end: float
    ) -> bool:
        """Return whether a stage is over; a late one still takes half of its length."""
        if progress.elapsed_share < stage_end:
            return False
        # The next decision would come later than this one comes early.
        since_raise_share = progress.time_since_raise_share + 0.5 * progress.step_share
        return since_raise_share >= 0.5 * (stage_end - stage_start)


def _with_streams(pair: VersionPair, new_streams: VersionSample) -> VersionPair:
    """Return a pair whose new version's streams count that still run well."""
    new = pair.new
    begun_count = new.error_count + new_streams.request_count
    request_count = max(new.request_count, begun_count)
    return replace(pair, new=replace(new, request_count=request_count))
