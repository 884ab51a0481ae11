"""Time that a model's answer needs, learnt from the answers of recent streams."""

import math
from collections import OrderedDict

from sesameknot.clock import Clock

# Duration buckets grow by this ratio, so that an estimate is at most 20% too high.
BUCKET_RATIO = 1.2
MIN_DURATION_S = 0.001
MAX_DURATION_S = 600.0
# Total weight of observations from which on there is an estimate: three of them, which
# may be somewhat older than now. The estimate from so few is their longest duration.
OBSERVATION_MIN_WEIGHT = 2.5
# The length of a route's answers and the pace of a model change more slowly than the
# wait for the first event. A short memory would let a few more answers be cut off at
# their deadline each time that it fades.
REST_DECAY_FACTOR = 10.0
# Prompt sizes of one class differ by less than this factor.
SIZE_CLASS_RATIO = 4.0
SIZE_CLASS_COUNT = 12
# Limit on the separate estimates; the least recently updated ones are evicted. A
# service with three models and prompts of all sizes needs 36.
ESTIMATE_LIMIT_COUNT = 512


class DecayingQuantile:
    """Quantile of durations whose weights decay exponentially with their age.

    Parameters
    ----------
    quantile : float
        Share of the durations that do not exceed the estimate.
    decay_s : float
        Time constant of the decay.
    """

    __slots__ = ("_updated_s", "_weights", "decay_s", "quantile")

    def __init__(self, *, quantile: float, decay_s: float) -> None:
        self.quantile = quantile
        self.decay_s = decay_s
        self._weights: dict[int, float] = {}
        self._updated_s = 0.0

    def observe(self, duration_s: float, now_s: float) -> None:
        """Record a duration."""
        factor = self._decay_factor(now_s)
        for bucket in self._weights:
            self._weights[bucket] *= factor
        self._updated_s = now_s
        bounded_s = min(MAX_DURATION_S, max(MIN_DURATION_S, duration_s))
        bucket = math.ceil(math.log(bounded_s) / math.log(BUCKET_RATIO))
        self._weights[bucket] = self._weights.get(bucket, 0.0) + 1.0

    def estimate_s(self, now_s: float) -> float | None:
        """Return the quantile; None if there are too few recent observations."""
        total = sum(self._weights.values())
        if total * self._decay_factor(now_s) < OBSERVATION_MIN_WEIGHT:
            return None
        passed = 0.0
        for bucket in sorted(self._weights):
            passed += self._weights[bucket]
            if passed >= self.quantile * total:
                return BUCKET_RATIO**bucket
        return BUCKET_RATIO ** max(self._weights)

    def _decay_factor(self, now_s: float) -> float:
        return math.exp((self._updated_s - now_s) / self.decay_s)


class AnswerTimes:
    """Times that models need to the first event of an answer and from there to its end.

    The time to the first event depends on the service, the model and the size of the
    prompt; the rest of an answer depends on the route, whose answers are about equally
    long, and the model.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.
    quantile : float
        Share of the answers that take at most the estimated time.
    decay_s : float
        Time after which a first event has lost two thirds of its weight; the rest of an
        answer keeps its weight ``REST_DECAY_FACTOR`` times as long.
    """

    __slots__ = ("_estimates", "clock", "decay_s", "quantile")

    def __init__(self, *, clock: Clock, quantile: float, decay_s: float) -> None:
        self.clock = clock
        self.quantile = quantile
        self.decay_s = decay_s
        self._estimates: OrderedDict[tuple[str, str, str, int], DecayingQuantile] = (
            OrderedDict()
        )

    def observe_first_event(
        self, service: str, model: str, prompt_token_count: int, duration_s: float
    ) -> None:
        """Record the time from the start of an attempt to its first event."""
        size_class = _size_class(prompt_token_count)
        self._observe(("first event", service, model, size_class), duration_s)

    def observe_wait_without_event(
        self, service: str, model: str, prompt_token_count: int, waited_s: float
    ) -> None:
        """Record an attempt that ended before its first event.

        Its wait counts if it exceeds the estimate. Otherwise, estimates would follow
        only the fast answers while slow ones are given up.
        """
        estimate_s = self.first_event_s(service, model, prompt_token_count)
        if estimate_s is not None and waited_s > estimate_s:
            self.observe_first_event(service, model, prompt_token_count, waited_s)

    def observe_rest(self, route: str, model: str, duration_s: float) -> None:
        """Record the time from the first event of an answer to its end."""
        self._observe(("rest", route, model, 0), duration_s)

    def observe_unfinished_rest(
        self, route: str, model: str, duration_s: float
    ) -> None:
        """Record an answer that ended early, ``duration_s`` after its first event.

        It counts if it took longer than the estimate. Otherwise, answers that are cut
        off at the deadline would never show that there is too little time for them.
        """
        if duration_s > (self._estimate_s(("rest", route, model, 0)) or 0.0):
            self.observe_rest(route, model, duration_s)

    def first_event_s(
        self, service: str, model: str, prompt_token_count: int
    ) -> float | None:
        """Return the time to the first event; None without enough observations.

        Without enough for prompts of this size, those of the next larger size count,
        which need more time.
        """
        for size_class in range(_size_class(prompt_token_count), SIZE_CLASS_COUNT):
            key = ("first event", service, model, size_class)
            estimate_s = self._estimate_s(key)
            if estimate_s is not None:
                return estimate_s
        return None

    def answer_s(
        self, service: str, model: str, prompt_token_count: int, *, route: str
    ) -> float | None:
        """Return the time to the end of an answer; None without enough observations.

        Until the rest of the route's answers by this model was observed, it counts as
        nothing: otherwise no such answer would ever be asked for and observed.
        """
        first_event_s = self.first_event_s(service, model, prompt_token_count)
        if first_event_s is None:
            return None
        return first_event_s + (self._estimate_s(("rest", route, model, 0)) or 0.0)

    def _observe(self, key: tuple[str, str, str, int], duration_s: float) -> None:
        estimate = self._estimates.get(key)
        if estimate is None:
            decay_s = self.decay_s * (REST_DECAY_FACTOR if key[0] == "rest" else 1.0)
            estimate = self._estimates[key] = DecayingQuantile(
                quantile=self.quantile, decay_s=decay_s
            )
            if len(self._estimates) > ESTIMATE_LIMIT_COUNT:
                self._estimates.popitem(last=False)
        self._estimates.move_to_end(key)
        estimate.observe(duration_s, self.clock.monotonic_s())

    def _estimate_s(self, key: tuple[str, str, str, int]) -> float | None:
        estimate = self._estimates.get(key)
        if estimate is None:
            return None
        return estimate.estimate_s(self.clock.monotonic_s())


def _size_class(prompt_token_count: int) -> int:
    size_class = int(math.log(max(1, prompt_token_count), SIZE_CLASS_RATIO))
    return min(size_class, SIZE_CLASS_COUNT - 1)
