"""Confidence threshold that gives a route the wanted share of good answers."""

from collections import deque

MAX_CONFIDENCE = 100
# Weight of the prior, evenly spread confidences, as a number of answers.
PRIOR_WEIGHT = 20.0
# Share of good answers among them.
PRIOR_MEAN_SHARE = 0.5


class QualityTarget:
    """Derives the threshold from the recent confidences of one route's first answers.

    A confidence over 100 estimates the chance that an answer is good enough; an answer
    of the largest model counts as good. Replacing the answers with the lowest
    confidence reaches a given share of good answers with the fewest replacements.

    Parameters
    ----------
    target_share : float
        Wanted share of good answers.
    window_count : int
        Number of recent confidences that count.
    """

    __slots__ = (
        "_credit",
        "_level_sum",
        "_recent",
        "_weights",
        "target_share",
        "window_count",
    )

    def __init__(self, *, target_share: float, window_count: int) -> None:
        self.target_share = target_share
        self.window_count = window_count
        self._recent: deque[int] = deque()
        bin_count = MAX_CONFIDENCE + 1
        self._weights = [PRIOR_WEIGHT / bin_count] * bin_count
        # Sum of the recent confidences.
        self._level_sum = 0
        self._credit = 0.0

    def observe(self, confidence: float) -> None:
        """Record the confidence of a smallest model's answer, unless out of range."""
        if not 0.0 <= confidence <= MAX_CONFIDENCE:
            return
        level = int(confidence)
        self._recent.append(level)
        self._weights[level] += 1.0
        self._level_sum += level
        if len(self._recent) > self.window_count:
            oldest = self._recent.popleft()
            self._weights[oldest] -= 1.0
            self._level_sum -= oldest

    @property
    def unaided_share(self) -> float:
        """Expected share of good answers if none is replaced."""
        good = PRIOR_WEIGHT * PRIOR_MEAN_SHARE + _chance(self._level_sum)
        return good / self._total_weight

    def threshold(self, headroom: float) -> float:
        """Return the confidence below which answers are replaced.

        Parameters
        ----------
        headroom : float
            Share of optional work that may be added, from 0 to 1. At 0, no answer is
            replaced.
        """
        missing = self._missing_share(headroom) * self._total_weight
        for level, weight in enumerate(self._weights):
            if missing <= 0.0:
                return float(level)
            missing -= weight * (1.0 - _chance(level))
        return float(MAX_CONFIDENCE)

    def take_largest(self, headroom: float) -> bool:
        """Return whether to ask the largest model for this request, without a choice.

        If answers can't be replaced, the target is reached by asking the largest model
        for as large a share of the requests as is missing, spread evenly.
        """
        failing_share = 1.0 - self.unaided_share
        if failing_share <= 0.0:
            return False
        self._credit += self._missing_share(headroom) / failing_share
        if self._credit < 1.0:
            return False
        self._credit -= 1.0
        return True

    @property
    def _total_weight(self) -> float:
        return PRIOR_WEIGHT + len(self._recent)

    def _missing_share(self, headroom: float) -> float:
        return max(0.0, self.target_share - self.unaided_share) * headroom


def _chance(level: float) -> float:
    return level / MAX_CONFIDENCE
