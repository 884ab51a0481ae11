"""Good answers in time and their cost, by the rule that chooses the model.

Requests of one route whose latency target equals its timeout are played one after the
other in virtual time; the decisions are the product's own. The small model's answer is
good with a chance of its own, of which its confidence is a noisy opinion; the large
model's is always good. An answer counts if it is good and ends before the deadline.
All rules meet the same requests. ``hindsight`` knows all outcomes and asks at once the
smallest model whose answer will count.
"""

import random
from collections.abc import Callable
from dataclasses import dataclass

from benchmarks._figures import Figure, report
from sesameknot.clock import ManualClock
from sesameknot.policy.answer_times import AnswerTimes
from sesameknot.policy.model_choice import judge_answer, largest_must_be_first
from sesameknot.policy.quality_target import QualityTarget

SERVICE, ROUTE, OTHER_ROUTE = "service", "tag", "score"
SMALL, LARGE = "small", "large"
PROMPT_TOKENS = 2368
OTHER_PROMPT_TOKENS = 11992
EVENT_TOKENS = 24
COST_PER_TOKEN = {SMALL: 0.015 / 1000.0, LARGE: 0.21 / 1000.0}
PROMPT_COST_SHARE = 0.25
# Medians; the spread is that of a logarithmic normal distribution.
FIRST_EVENT_S = {SMALL: 0.06, LARGE: 0.35}
REST_S = {SMALL: 0.04, LARGE: 0.35}
TIME_SPREAD = 0.4
# The small model's answer is good in 56 of 100 cases.
LEAST_CHANCE = 0.12
CONFIDENCE_NOISE = 0.15
TIMEOUT_S = 4.0
OTHER_ROUTE_SHARE = 0.3
REQUEST_COUNT = 4000
REQUEST_INTERVAL_S = 1.0
TARGET_SHARE = 0.9
THRESHOLD_BEFORE = 45.0
RUNS_PER_CASE = 5


@dataclass(slots=True, frozen=True)
class Case:
    """One load.

    Parameters
    ----------
    least_time_left_s, most_time_left_s : float
        Bounds of the evenly spread times left.
    headroom : float
        Share of optional work that the load allows.
    slow_factor : float
        Factor on the large model's times in every second block of 200 requests.
    confidence_shift : float
        Amount by which confidences overestimate the chance of a good answer.
    """

    least_time_left_s: float = TIMEOUT_S
    most_time_left_s: float = TIMEOUT_S
    headroom: float = 1.0
    slow_factor: float = 1.0
    confidence_shift: float = 0.0


@dataclass(slots=True, frozen=True)
class Request:
    """A request with the outcomes of both models."""

    time_left_s: float
    small_good: bool
    confidence: float
    first_event_s: dict[str, float]
    answer_s: dict[str, float]


@dataclass(slots=True)
class Outcome:
    """Sums over the requests of one run."""

    counted: int = 0
    cost: float = 0.0
    replaced: int = 0


# Returns the models that a request is sent to, in turn.
Rule = Callable[[Request], tuple[str, ...]]


class LearntRule:
    """The product's rule for routes whose times are learnt."""

    def __init__(self, case: Case, rng: random.Random) -> None:
        self._case = case
        self._random = rng
        self._clock = ManualClock()
        self._times = AnswerTimes(clock=self._clock, quantile=0.9, decay_s=60.0)
        self._target = QualityTarget(target_share=TARGET_SHARE, window_count=200)

    def __call__(self, request: Request) -> tuple[str, ...]:
        """Return the models that the request is sent to."""
        self._clock.advance(REQUEST_INTERVAL_S)
        if self._random.random() < OTHER_ROUTE_SHARE:
            # The large model's answer to a longer prompt of another route.
            first_event_s = 1.5 * request.first_event_s[LARGE]
            self._times.observe_first_event(
                SERVICE, LARGE, OTHER_PROMPT_TOKENS, first_event_s
            )
        models = self._choose(request)
        time_left_s = request.time_left_s
        for model in models:
            first_event_s = request.first_event_s[model]
            self._observe(request, model, first_event_s, time_left_s)
            time_left_s -= first_event_s
        return models

    def _choose(self, request: Request) -> tuple[str, ...]:
        headroom = self._case.headroom
        first_event_s = self._times.first_event_s(SERVICE, SMALL, PROMPT_TOKENS)
        answer_s = self._times.answer_s(SERVICE, LARGE, PROMPT_TOKENS, route=ROUTE)
        if largest_must_be_first(
            smallest_s=first_event_s,
            largest_s=answer_s,
            time_left_s=request.time_left_s,
        ) and self._target.take_largest(headroom):
            return (LARGE,)
        self._target.observe(request.confidence)
        choice = judge_answer(
            confidence=request.confidence,
            threshold=self._target.threshold(headroom),
            needed_s=TIMEOUT_S if answer_s is None else answer_s,
            time_left_s=request.time_left_s - request.first_event_s[SMALL],
            retry_left=True,
        )
        return (SMALL, LARGE) if choice.larger else (SMALL,)

    def _observe(
        self, request: Request, model: str, first_event_s: float, time_left_s: float
    ) -> None:
        if first_event_s > time_left_s:
            self._times.observe_wait_without_event(
                SERVICE, model, PROMPT_TOKENS, time_left_s
            )
            return
        self._times.observe_first_event(SERVICE, model, PROMPT_TOKENS, first_event_s)
        if request.answer_s[model] <= time_left_s:
            rest_s = request.answer_s[model] - first_event_s
            self._times.observe_rest(ROUTE, model, rest_s)


def rules(case: Case, rng: random.Random) -> dict[str, Rule]:
    """Return the rules by name."""
    return {
        "small": lambda request: (SMALL,),
        "large": lambda request: (LARGE,),
        "before": lambda request: _chosen_before(case, request),
        "learnt": LearntRule(case, rng),
        "hindsight": _best,
    }


def play(case: Case, random_state: int) -> dict[str, Outcome]:
    """Return the outcome of each rule on the same requests."""
    rng = random.Random(random_state)
    requests = [_request(case, rng, number) for number in range(REQUEST_COUNT)]
    outcomes = {}
    for name, rule in rules(case, rng).items():
        outcome = outcomes[name] = Outcome()
        for request in requests:
            models = rule(request)
            outcome.counted += _counts(request, models)
            outcome.replaced += len(models) > 1
            # A dropped answer costs at most as much as a whole one.
            outcome.cost += sum(map(_cost, models))
    return outcomes


def _request(case: Case, rng: random.Random, number: int) -> Request:
    chance = rng.uniform(LEAST_CHANCE, 1.0)
    opinion = chance + case.confidence_shift + rng.gauss(0.0, CONFIDENCE_NOISE)
    slow = case.slow_factor if number // 200 % 2 else 1.0
    factors = {SMALL: 1.0, LARGE: slow}
    first_event_s, answer_s = {}, {}
    for model, factor in factors.items():
        first_s = factor * FIRST_EVENT_S[model] * rng.lognormvariate(0.0, TIME_SPREAD)
        rest_s = factor * REST_S[model] * rng.lognormvariate(0.0, TIME_SPREAD)
        first_event_s[model], answer_s[model] = first_s, first_s + rest_s
    return Request(
        time_left_s=rng.uniform(case.least_time_left_s, case.most_time_left_s),
        small_good=rng.random() < chance,
        confidence=100.0 * min(1.0, max(0.0, opinion)),
        first_event_s=first_event_s,
        answer_s=answer_s,
    )


def _counts(request: Request, models: tuple[str, ...]) -> bool:
    """Return whether the last model's answer is good and in time."""
    last = models[-1]
    took_s = sum(request.first_event_s[model] for model in models[:-1])
    in_time = took_s + request.answer_s[last] <= request.time_left_s
    return in_time and (last == LARGE or request.small_good)


def _best(request: Request) -> tuple[str, ...]:
    return (LARGE,) if not _counts(request, (SMALL,)) else (SMALL,)


def _chosen_before(case: Case, request: Request) -> tuple[str, ...]:
    """Return the models by a fixed threshold, with the latency target as the time."""
    choice = judge_answer(
        confidence=request.confidence,
        threshold=THRESHOLD_BEFORE * case.headroom,
        needed_s=TIMEOUT_S,
        time_left_s=request.time_left_s - request.first_event_s[SMALL],
        retry_left=True,
    )
    return (SMALL, LARGE) if choice.larger else (SMALL,)


def _cost(model: str) -> float:
    tokens = EVENT_TOKENS + PROMPT_COST_SHARE * PROMPT_TOKENS
    return tokens * COST_PER_TOKEN[model]


@dataclass(slots=True, frozen=True)
class Bounds:
    """Bounds on the product's rule in one case.

    Parameters
    ----------
    least_gain : float
        Answers that count, over those of the rule before.
    least_of_best : float
        Answers that count, over those in hindsight.
    most_cost : float
        Cost over that of always asking the large model.
    """

    least_gain: float
    least_of_best: float
    most_cost: float


CASES = {
    "calm": (Case(), Bounds(1.5, 0.85, 0.65)),
    "short": (Case(0.3, 2.0), Bounds(1.2, 0.75, 0.4)),
    "slowdowns": (Case(0.5, 4.0, slow_factor=2.5), Bounds(1.2, 0.75, 0.4)),
    "half_load": (Case(headroom=0.5), Bounds(1.2, 0.68, 0.35)),
    "full_load": (Case(headroom=0.0), Bounds(1.0, 0.5, 0.08)),
    "overconfident": (Case(confidence_shift=0.15), Bounds(1.35, 0.77, 0.5)),
}


def main() -> bool:
    """Print the figures and return whether all are within their bounds."""
    figures = []
    for name, (case, bounds) in CASES.items():
        runs = [play(case, seed) for seed in range(RUNS_PER_CASE)]
        total = RUNS_PER_CASE * REQUEST_COUNT
        counted = {rule: sum(run[rule].counted for run in runs) for rule in runs[0]}
        cost = {rule: sum(run[rule].cost for run in runs) for rule in runs[0]}
        replaced = sum(run["learnt"].replaced for run in runs)
        prefix = f"model_choice_{name}"
        for rule in counted:
            figures += [
                Figure(f"{prefix}_{rule}_good", counted[rule] / total, "-"),
                Figure(f"{prefix}_{rule}_cost", cost[rule] / cost["large"], "-"),
            ]
        figures += [
            Figure(f"{prefix}_replaced", replaced / total, "-"),
            Figure(
                f"{prefix}_gain",
                counted["learnt"] / counted["before"],
                "-",
                at_least=bounds.least_gain,
            ),
            Figure(
                f"{prefix}_of_best",
                counted["learnt"] / counted["hindsight"],
                "-",
                at_least=bounds.least_of_best,
            ),
            Figure(
                f"{prefix}_cost_of_large",
                cost["learnt"] / cost["large"],
                "-",
                at_most=bounds.most_cost,
            ),
        ]
    return report(figures)
