"""Relative time per event of streams by endpoint, learnt from all hosts' observations.

A host observes one endpoint of a large service about once a minute, so hosts exchange
decaying sums of their observations. An observation is the logarithm of the time per
event over the one that is expected for the service, model and load.
"""

import functools
import math
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass

from sesameknot.clock import Clock
from sesameknot.policy._load_line import LoadLine
from sesameknot.policy.rendezvous import key_hash

# Time constant of the decay. An endpoint of 12 slots with streams of 8 s gives 90
# observations in it.
DECAY_S = 60.0
# Observations from which on an endpoint's pace counts. A slowdown of 0.6 s reaches the
# streams in the endpoint's slots, and a few more.
MIN_COUNT = 24.0
# Observations without a difference that are added to an endpoint's own. With them, 14
# streams of 1 s with a slowdown of 0.6 s to 2.5 times stay within EVEN_RATIO.
PRIOR_COUNT = 6.0
# Endpoints of a service that are needed for a mean, and their share. With fewer, the
# ones that are known first would decide which of them is slow.
MIN_ENDPOINT_COUNT = 3
MIN_ENDPOINT_SHARE = 0.5
# Larger differences of one stream have other reasons than the endpoint's speed.
MAX_LOG_RATIO = math.log(2.0)
# Differences up to a quarter do not change the placement.
EVEN_RATIO = 1.25
# Observations of a service and model from which on others are compared with them.
LINE_MIN_COUNT = 5.0
# Callers may name any model.
LINE_LIMIT_COUNT = 256
# Sums with less weight are forgotten.
FORGOTTEN_COUNT = 0.05

# Sum of logarithms and number of observations, by the key of an incarnation.
Paces = dict[int, tuple[float, float]]


@functools.lru_cache(maxsize=4096)
def pace_key(incarnation_id: str) -> int:
    """Return the key of an endpoint's incarnation in messages: 32 bits of a hash.

    A collision among 730 incarnations has a chance of 6 in 100,000, and only mixes the
    paces of two endpoints.
    """
    return key_hash(incarnation_id) & 0xFFFFFFFF


def decay_factor(age_s: float) -> float:
    """Return the weight of observations that are ``age_s`` older."""
    return math.exp(-max(0.0, age_s) / DECAY_S)


def sum_paces(weighted_paces: Iterable[tuple[Paces, float]]) -> Paces:
    """Return the sum of several hosts' observations, each with a weight."""
    total: Paces = {}
    for paces, weight in weighted_paces:
        for key, (log_sum, count) in paces.items():
            total_sum, total_count = total.get(key, (0.0, 0.0))
            total[key] = (total_sum + weight * log_sum, total_count + weight * count)
    return total


def subtract_paces(total: Paces, part: Paces, weight: float) -> Paces:
    """Return ``total`` without ``part``, which it includes with this weight."""
    remaining = dict(total)
    for key, (log_sum, count) in part.items():
        total_sum, total_count = remaining.pop(key, (0.0, 0.0))
        if total_count - weight * count >= FORGOTTEN_COUNT:
            remaining[key] = (
                total_sum - weight * log_sum,
                total_count - weight * count,
            )
    return remaining


@dataclass(slots=True)
class _OwnSum:
    log_sum: float = 0.0
    count: float = 0.0
    updated_s: float = 0.0

    def decay(self, now_s: float) -> None:
        factor = decay_factor(now_s - self.updated_s)
        self.log_sum *= factor
        self.count *= factor
        self.updated_s = now_s


class EndpointPace:
    """Observations of this host, and the estimates from those of all hosts.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.
    """

    __slots__ = ("_clock", "_lines", "_log_ratios", "_own")

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._own: dict[int, _OwnSum] = {}
        self._lines: dict[tuple[str, str], LoadLine] = {}
        self._log_ratios: dict[int, float] = {}

    def observe(
        self,
        service: str,
        model: str,
        incarnation_id: str,
        *,
        gap_s: float,
        load_share: float,
    ) -> None:
        """Record the mean time between the events of one stream.

        Parameters
        ----------
        gap_s : float
            The time, in seconds.
        load_share : float
            Requests in flight at the endpoint meanwhile, over its slots.
        """
        if gap_s <= 0.0:
            return
        line = self._line(service, model)
        if line is None:
            return
        now_s = self._clock.monotonic_s()
        key = pace_key(incarnation_id)
        log_gap = math.log(gap_s)
        if line.weight >= LINE_MIN_COUNT:
            expected = line.value(load_share)
            difference = min(MAX_LOG_RATIO, max(-MAX_LOG_RATIO, log_gap - expected))
            own = self._own.setdefault(key, _OwnSum(updated_s=now_s))
            own.decay(now_s)
            own.log_sum += difference
            own.count += 1.0
            log_gap = expected + difference
        # Fast endpoints get more requests. Without the known differences, the line
        # would take their speed for an effect of the load.
        line.add(load_share, log_gap - self._log_ratios.get(key, 0.0), now_s)

    def _line(self, service: str, model: str) -> LoadLine | None:
        line = self._lines.get((service, model))
        if line is None and len(self._lines) < LINE_LIMIT_COUNT:
            line = self._lines[service, model] = LoadLine(DECAY_S)
        return line

    def own(self) -> Paces:
        """Return this host's observations, and forget outdated ones."""
        now_s = self._clock.monotonic_s()
        for key, own in list(self._own.items()):
            own.decay(now_s)
            if own.count < FORGOTTEN_COUNT:
                del self._own[key]
        return {key: (own.log_sum, own.count) for key, own in self._own.items()}

    def set_totals(
        self, totals: Paces, incarnation_ids: Mapping[str, Collection[str]]
    ) -> dict[str, float]:
        """Take the observations of all hosts, and return the relative times per event.

        Parameters
        ----------
        totals : Paces
            Observations of all hosts, this one included.
        incarnation_ids : mapping of str to collection of str
            Present incarnations of the endpoints, by service.

        Returns
        -------
        dict of str to float
            Time per event over the mean of the service's endpoints, by incarnation;
            only those that differ from it by more than a quarter.
        """
        self._log_ratios = {}
        uneven: dict[str, float] = {}
        for service_ids in incarnation_ids.values():
            estimates = _estimates(totals, service_ids)
            wanted_count = MIN_ENDPOINT_SHARE * len(service_ids)
            if len(estimates) < max(MIN_ENDPOINT_COUNT, wanted_count):
                continue
            mean = sum(estimates.values()) / len(estimates)
            for incarnation_id, estimate in estimates.items():
                log_ratio = estimate - mean
                self._log_ratios[pace_key(incarnation_id)] = log_ratio
                if abs(log_ratio) > math.log(EVEN_RATIO):
                    uneven[incarnation_id] = math.exp(log_ratio)
        return uneven


def _estimates(totals: Paces, incarnation_ids: Iterable[str]) -> dict[str, float]:
    """Return the mean logarithms of endpoints with enough observations."""
    estimates = {}
    for incarnation_id in incarnation_ids:
        log_sum, count = totals.get(pace_key(incarnation_id), (0.0, 0.0))
        if count >= MIN_COUNT:
            estimates[incarnation_id] = log_sum / (count + PRIOR_COUNT)
    return estimates
