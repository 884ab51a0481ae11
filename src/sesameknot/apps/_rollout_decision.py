"""Decide a roll-out's next move by the sequential test."""

from sesameknot.policy.rollout_test import RolloutTest, Verdict, VersionSample
from sesameknot.protocol.messages import VersionStats
from sesameknot.settings.tree import RolloutSettings


def decide(
    stable: VersionStats,
    new: VersionStats,
    settings: RolloutSettings,
    step_elapsed_s: float,
) -> str:
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
    test = RolloutTest(
        quality_drop=settings.quality_drop,
        error_rise=settings.error_rise,
        step_count=len(settings.step_shares),
        min_ratings=settings.step_min_ratings,
    )
    verdict = test.verdict(_sample(new), _sample(stable))
    if verdict == Verdict.ADVANCE and step_elapsed_s < settings.step_min_s:
        return Verdict.CONTINUE.value
    return verdict.value


def _sample(stats: VersionStats) -> VersionSample:
    return VersionSample(
        request_count=stats.request_count,
        error_count=stats.error_count,
        rating_count=stats.rating_count,
        rating_sum=stats.rating_sum,
        rating_square_sum=stats.rating_square_sum,
    )
