"""Sequential test of whether a request crashes the endpoints that run it.

The test compares two hypotheses: the request crashes each endpoint that begins to run
it, or it is sound and was in flight when endpoints crashed for another reason. Its
samples are trials, groups of runs that were in flight together: endpoints that crash
at one moment, as those of a failure domain may, are one trial, however many they are.
A trial that ends in a crash raises the log-likelihood ratio; a sound answer of a run
that began later, which a request that crashes endpoints can't have, ends the test at
its lower boundary, from which it starts again.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass, replace

# Share of the trials of a sound request that end in the crash of one endpoint, while
# others crash endpoints one after the other.
SOUND_CRASH_RATE = 0.1
# The same for a crash of several endpoints at one moment. Two trials of which one is of
# this kind refuse a request after three crashes, two single crashes do not.
SOUND_GROUP_CRASH_RATE = 0.03
# The same for a single crash at which a request with more crashes was present.
EXPLAINED_CRASH_RATE = 0.5
# Chance that a request which crashes endpoints counts as sound although it was refused
# at the upper boundary of the test otherwise.
MISS_RATE = 0.01
# Trials without which no request is refused.
FEWEST_TRIALS_COUNT = 2


@dataclass(slots=True, frozen=True)
class Crash:
    """Crash of one endpoint while it ran a request.

    Parameters
    ----------
    ended_s : float
        Monotonic time at which the first run at the endpoint was found to have ended.
    began_s : float or None, default=None
        Time at which that run had been sent; None if it is not known, in which case the
        crash counts as a trial of its own.
    answered : bool, default=False
        Whether the request was answered soundly after the crash.
    """

    ended_s: float
    began_s: float | None = None
    answered: bool = False

    def merged(self, other: "Crash") -> "Crash":
        """Return what this and another host's record of the crash say together."""
        answered = self.answered or other.answered
        if self.began_s is None or other.began_s is None:
            timed = other if self.began_s is None else self
            return replace(timed, answered=answered)
        return Crash(
            min(self.ended_s, other.ended_s),
            min(self.began_s, other.began_s),
            answered,
        )


class CrashTest:
    """Sequential probability ratio test with both error rates.

    Parameters
    ----------
    limit_count : int
        Crashes one after the other at which a request without answers is refused.

    Attributes
    ----------
    upper : float
        Log-likelihood ratio from which the request is refused. A sound request without
        answers reaches it with a chance of ``exp(-upper)`` at most, if the rates hold.
    lower : float
        Log-likelihood ratio after an answer. One that crashes endpoints is there with a
        chance of ``MISS_RATE`` at most.
    """

    __slots__ = ("limit_count", "lower", "upper")

    def __init__(self, limit_count: int) -> None:
        self.limit_count = limit_count
        self.upper = (limit_count - 0.5) * -math.log(SOUND_CRASH_RATE)
        self.lower = math.log(MISS_RATE)

    def refuses(
        self,
        crashes: Iterable[Crash],
        *,
        explained: Iterable[Crash] = (),
        answered_before: bool = False,
    ) -> bool:
        """Return whether the request is refused.

        Parameters
        ----------
        crashes : iterable of Crash
            Crashes after the last sound answer.
        explained : iterable of Crash
            Those at which a request with more crashes was present.
        answered_before : bool, default=False
            Whether the request was answered soundly a short time before.
        """
        ratio = self.lower if answered_before else 0.0
        ratio += sum(map(_trial_weight, trial_sizes(crashes)))
        ratio += len(trial_sizes(explained)) * -math.log(EXPLAINED_CRASH_RATE)
        return ratio >= self.upper


def trial_sizes(crashes: Iterable[Crash]) -> list[int]:
    """Return the numbers of crashes of independent trials.

    A run that began after an endpoint had crashed is independent of that crash. Runs
    that were in flight then belong to one trial.
    """
    sizes: list[int] = []
    trial_ended_s = float("-inf")
    for crash in sorted(crashes, key=lambda crash: crash.ended_s):
        if crash.began_s is not None and crash.began_s < trial_ended_s:
            sizes[-1] += 1
        else:
            sizes.append(1)
            trial_ended_s = crash.ended_s
    return sizes


def _trial_weight(size: int) -> float:
    """Return what a trial of ``size`` crashes adds to the log-likelihood ratio."""
    rate = SOUND_CRASH_RATE if size == 1 else SOUND_GROUP_CRASH_RATE
    return -math.log(rate)
