"""Exposure experiment: sequential roll-outs against a fixed schedule."""

import math
from collections.abc import Callable
from dataclasses import dataclass
from statistics import NormalDist

import numpy as np

from sesameknot.experiment._traffic import TICK_S, RolloutTraffic
from sesameknot.experiment.settings import ExposureSettings
from sesameknot.policy.rollout_ramp import RolloutRamp
from sesameknot.policy.rollout_statistics import (
    RolloutVerdict,
    SequentialTest,
    VersionSample,
    balanced_rating_share,
)

# Time after which a roll-out that is not decided is given up.
LIMIT_S = 72_000.0


@dataclass(slots=True, frozen=True)
class ExposureOutcome:
    """Result of one schedule.

    Parameters
    ----------
    schedule : str
        Name of the schedule.
    false_alarm_share : float
        Good roll-outs that were stopped.
    miss_share : float
        Bad roll-outs that were completed.
    exposed_count : float
        Mean number of callers that met a bad version.
    good_duration_s : float
        Mean time of completed good roll-outs.
    """

    schedule: str
    false_alarm_share: float
    miss_share: float
    exposed_count: float
    good_duration_s: float


@dataclass(slots=True, frozen=True)
class _Trial:
    stopped: bool
    exposed_count: int
    duration_s: float


Schedule = Callable[[RolloutTraffic], bool]


def run_exposure(settings: ExposureSettings) -> list[ExposureOutcome]:
    """Run the fixed and the sequential schedule on good and bad versions.

    Notes
    -----
    Two stronger baselines follow: a fixed schedule with as many ratings as the
    sequential one, and one that also takes as long for good versions.
    """
    step_s = settings.fixed_step_s
    fixed = _outcome("fixed", _fixed(settings, step_s, balanced=False), settings)
    sequential = _outcome("sequential", _sequential(settings), settings)
    rated = _fixed(settings, step_s, balanced=True)
    step_s = max(TICK_S, sequential.good_duration_s / len(settings.step_shares))
    slow = _fixed(settings, step_s, balanced=True)
    return [
        fixed,
        sequential,
        _outcome("fixed, same ratings", rated, settings),
        _outcome("fixed, same ratings and duration", slow, settings),
    ]


def _outcome(
    name: str, schedule: Schedule, settings: ExposureSettings
) -> ExposureOutcome:
    good = [_trial(schedule, settings, False, i) for i in range(settings.trial_count)]
    bad = [_trial(schedule, settings, True, i) for i in range(settings.trial_count)]
    complete = [trial.duration_s for trial in good if not trial.stopped]
    return ExposureOutcome(
        schedule=name,
        false_alarm_share=float(np.mean([trial.stopped for trial in good])),
        miss_share=float(np.mean([not trial.stopped for trial in bad])),
        exposed_count=float(np.mean([trial.exposed_count for trial in bad])),
        good_duration_s=float(np.mean(complete)) if complete else math.inf,
    )


def _trial(
    schedule: Schedule, settings: ExposureSettings, bad: bool, index: int
) -> _Trial:
    traffic = RolloutTraffic(
        settings, bad=bad, trial=index, tick_count=int(LIMIT_S / TICK_S)
    )
    stopped = schedule(traffic)
    return _Trial(stopped, traffic.exposed_count, traffic.now_s)


def _sequential(settings: ExposureSettings) -> Schedule:
    test = SequentialTest(
        false_alarm_rate=settings.false_alarm_rate,
        step_count=len(settings.step_shares),
    )

    def run(traffic: RolloutTraffic) -> bool:
        shares = settings.step_shares
        ramp = RolloutRamp(test, shares[0], clock=traffic.clock)
        if _step(test, traffic, settings, ramp.update) is RolloutVerdict.STOP:
            return True
        return any(
            _step(test, traffic, settings, lambda *_, share=share: share)
            is RolloutVerdict.STOP
            for share in shares[1:]
        )

    return run


def _step(
    test: SequentialTest,
    traffic: RolloutTraffic,
    settings: ExposureSettings,
    share_of: Callable[[VersionSample, VersionSample], float],
) -> RolloutVerdict:
    began = traffic.new
    verdict = RolloutVerdict.CONTINUE
    while verdict is RolloutVerdict.CONTINUE and traffic.now_s < LIMIT_S:
        new = traffic.new.added_since(began)
        share = share_of(new, traffic.stable)
        rating_share = balanced_rating_share(settings.rating_share, share)
        traffic.advance(share, rating_share=rating_share)
        verdict = test.verdict(traffic.new.added_since(began), traffic.stable)
    return verdict if verdict is not RolloutVerdict.CONTINUE else RolloutVerdict.STOP


def _fixed(settings: ExposureSettings, step_s: float, *, balanced: bool) -> Schedule:
    # Each of the two comparisons per step gets an equal part of the false-alarm rate.
    level = settings.false_alarm_rate / len(settings.step_shares) / 2.0

    def run(traffic: RolloutTraffic) -> bool:
        for share in settings.step_shares:
            began = traffic.new
            rating_share = settings.rating_share
            if balanced:
                rating_share = balanced_rating_share(rating_share, share)
            for _ in range(max(1, round(step_s / TICK_S))):
                traffic.advance(share, rating_share=rating_share)
            if _is_worse(traffic.new.added_since(began), traffic.stable, level):
                return True
        return False

    return run


def _is_worse(new: VersionSample, stable: VersionSample, level: float) -> bool:
    """Return whether a test of fixed size finds the new version worse."""
    if min(new.rating_count, stable.rating_count) >= 2:
        spread = _variance(new) / new.rating_count
        spread += _variance(stable) / stable.rating_count
        score = (stable.rating_mean - new.rating_mean) / math.sqrt(spread + 1e-12)
        if score > NormalDist().inv_cdf(1.0 - level):
            return True
    return _error_tail(new, stable) < level


def _variance(sample: VersionSample) -> float:
    mean_square = sample.rating_square_sum / sample.rating_count
    return max(0.0, mean_square - sample.rating_mean**2)


def _error_tail(new: VersionSample, stable: VersionSample) -> float:
    """Return the probability of as many errors on the new version by chance."""
    errors = new.error_count + stable.error_count
    requests = new.request_count + stable.request_count
    if not errors or not new.request_count:
        return 1.0
    odds = math.log(new.request_count / max(1, stable.request_count))
    rest = errors * math.log(max(1, stable.request_count) / requests)
    below = sum(
        math.exp(_log_choices(errors, k) + k * odds + rest)
        for k in range(new.error_count)
    )
    return 1.0 - below


def _log_choices(count: int, chosen: int) -> float:
    total = math.lgamma(count + 1)
    return total - math.lgamma(chosen + 1) - math.lgamma(count - chosen + 1)
