"""Decision whether a larger model is asked, and when."""

from dataclasses import dataclass
from enum import Enum

# From this share of the route's timeout on, a latency target says nothing about the
# time that a model needs to its first event.
UNINFORMATIVE_TARGET_SHARE = 0.5
# Up to this share of the retry budget, it does not hold replacements back. The rest is
# mostly left to failed attempts, whose requests would be lost without a retry.
FREE_BUDGET_SHARE = 0.8


class ModelChoiceReason(Enum):
    """Why an answer is replaced or kept, or which model is asked first."""

    BELOW_THRESHOLD = "below_threshold"
    GOOD_ENOUGH = "good_enough"
    TOO_LITTLE_TIME = "too_little_time"
    NO_RETRY_LEFT = "no_retry_left"
    NO_ENDPOINT = "no_endpoint"
    NO_TIME_FOR_TWO = "no_time_for_two"


@dataclass(slots=True, frozen=True)
class ModelChoice:
    """Decision on one answer, or on the first model of a request.

    Parameters
    ----------
    larger : bool
        Whether the larger model is asked: in place of the answer, or first.
    reason : ModelChoiceReason
        Why.
    """

    larger: bool
    reason: ModelChoiceReason


def learns_times(target_ms: int, timeout_ms: int) -> bool:
    """Return whether the time of a route's models is learnt, its target being no guide.

    Parameters
    ----------
    target_ms, timeout_ms : int
        Latency target and timeout of the route.
    """
    return target_ms >= UNINFORMATIVE_TARGET_SHARE * timeout_ms


def replacement_headroom(pressure_headroom: float, used_budget_share: float) -> float:
    """Return the share of optional replacements that load and retry budget allow.

    Parameters
    ----------
    pressure_headroom : float
        Share of optional work that the load of the endpoints allows.
    used_budget_share : float
        Share of the retry budget that is used. Close to its end, a lower threshold
        keeps the remaining retries for the answers with the lowest confidence.
    """
    budget_headroom = (1.0 - used_budget_share) / (1.0 - FREE_BUDGET_SHARE)
    return min(pressure_headroom, max(0.0, budget_headroom))


def scaled_time_s(
    observed_s: float,
    *,
    observed_cost: float | None,
    cost: float | None,
    limit_s: float,
) -> float:
    """Return the time that a model may need which has not been observed yet.

    Its cost per token over that of an observed model bounds the ratio of their times:
    both models wait for a slot and read the same prompt.

    Parameters
    ----------
    observed_s : float
        Time to the first event of the same request by the observed model.
    observed_cost, cost : float or None
        Costs per token of the observed model and of the other one; None if not stated.
    limit_s : float
        Upper limit, and the result if a cost is not stated.
    """
    if not observed_cost or not cost:
        return limit_s
    return min(limit_s, observed_s * max(1.0, cost / observed_cost))


def judge_answer(
    *,
    confidence: float | None,
    threshold: float,
    needed_s: float,
    time_left_s: float,
    retry_left: bool,
) -> ModelChoice:
    """Decide whether a larger model's answer replaces the present one.

    Parameters
    ----------
    confidence : float or None
        The model's confidence in its answer, from 0 to 100; None if it gave none.
    threshold : float
        Confidence from which on the answer is kept.
    needed_s : float
        Time that the larger model needs.
    time_left_s : float
        Time until the caller's deadline.
    retry_left : bool
        Whether attempt limit and retry budget allow another attempt.
    """
    if confidence is None or confidence >= threshold:
        return ModelChoice(False, ModelChoiceReason.GOOD_ENOUGH)
    if time_left_s < needed_s:
        return ModelChoice(False, ModelChoiceReason.TOO_LITTLE_TIME)
    if not retry_left:
        return ModelChoice(False, ModelChoiceReason.NO_RETRY_LEFT)
    return ModelChoice(True, ModelChoiceReason.BELOW_THRESHOLD)


def largest_must_be_first(
    *, smallest_s: float | None, largest_s: float | None, time_left_s: float
) -> bool:
    """Return whether there is time for the largest model's answer, but not for two.

    Parameters
    ----------
    smallest_s : float or None
        Time to the first event of the smallest model; None if it is unknown.
    largest_s : float or None
        Time to the end of the largest model's answer; None if it is unknown.
    time_left_s : float
        Time until the caller's deadline.
    """
    if smallest_s is None or largest_s is None:
        return False
    return largest_s <= time_left_s < smallest_s + largest_s


def first_event_limit_s(
    limit_s: float, *, needed_s: float | None, time_left_s: float
) -> float:
    """Return how long to wait for the first event before another endpoint is asked.

    Parameters
    ----------
    limit_s : float
        Wait after which another endpoint is asked, if it has time to answer.
    needed_s : float or None
        Time to the first event of the model; None if it is unknown.
    time_left_s : float
        Time until the caller's deadline; the wait if another endpoint's first event
        would come later.
    """
    if needed_s is not None and time_left_s - limit_s < needed_s:
        return time_left_s
    return limit_s
