"""Error answers that the router itself sends when no endpoint's answer is sent."""

import random
from dataclasses import dataclass

from sesameknot.errors import RouterError

NOT_RUN_STATUS = 503
REQUEST_TIMEOUT_STATUS = 408
UNSUITED_STATUS = 421
UNKNOWN_OUTCOME_STATUS = 502
TIMEOUT_STATUS = 504
# Relative jitter, so that callers rejected at the same moment do not retry together.
RETRY_AFTER_JITTER = 0.3
# Upper limit of Retry-After, as a share of the time until the caller's deadline.
RETRY_AFTER_SHARE_OF_TIME_LEFT = 0.33
# Short, because the caller's next connection goes to another host.
LEAVING_WAIT_S = 0.05


class RequestEndedError(RouterError):
    """The request ends with an error answer from the router itself.

    Parameters
    ----------
    error_answer : ErrorAnswer
        The answer to send.
    """

    def __init__(self, error_answer: "ErrorAnswer") -> None:
        super().__init__(error_answer.reason, step="refuse")
        self.error_answer = error_answer


@dataclass(slots=True, frozen=True, kw_only=True)
class ErrorAnswer:
    """Status, reason and retry time of an error answer.

    Parameters
    ----------
    status : int
        HTTP status; 503 promises that the request has not run and never will.
    reason : str
        Reason, sent to the caller and logged.
    retry_after_s : float, default=0.0
        Value of Retry-After; 0 sends none.
    unreachable : bool, default=False
        Whether this host reaches no endpoint, which it tells to other hosts.
    """

    status: int
    reason: str
    retry_after_s: float = 0.0
    unreachable: bool = False


def not_run_answer(
    reason: str, *, estimated_wait_s: float, time_left_s: float
) -> ErrorAnswer:
    """Return an answer that promises that the request has not run and never will.

    Parameters
    ----------
    estimated_wait_s : float
        Estimated time until an endpoint could run the request.
    time_left_s : float
        Time until the caller's deadline; limits Retry-After.
    """
    jittered_s = estimated_wait_s * random.uniform(
        1.0 - RETRY_AFTER_JITTER, 1.0 + RETRY_AFTER_JITTER
    )
    limit_s = max(0.05, RETRY_AFTER_SHARE_OF_TIME_LEFT * time_left_s)
    return ErrorAnswer(
        status=NOT_RUN_STATUS, reason=reason, retry_after_s=min(jittered_s, limit_s)
    )


def leaving_answer(*, time_left_s: float) -> ErrorAnswer:
    """Return the answer to a request that would outlast this host.

    It promises that the request has not run; the parameter is the one of
    :func:`not_run_answer`.
    """
    return not_run_answer(
        "host is leaving", estimated_wait_s=LEAVING_WAIT_S, time_left_s=time_left_s
    )


def unsuited_answer() -> ErrorAnswer:
    """Return the answer to a request for a model that its route does not have.

    It promises that the request has not run; a retry would be refused as well.
    """
    return ErrorAnswer(status=UNSUITED_STATUS, reason="no such model on this route")


def unknown_outcome_answer(reason: str) -> ErrorAnswer:
    """Return the answer to a request that may have run."""
    return ErrorAnswer(status=UNKNOWN_OUTCOME_STATUS, reason=reason)


def timeout_answer() -> ErrorAnswer:
    """Return the answer to a request that may have run and reached its deadline."""
    return ErrorAnswer(status=TIMEOUT_STATUS, reason="deadline passed")
