"""Admission control that sheds low-value requests before limits are reached."""

from bisect import bisect_left, bisect_right, insort
from collections import deque
from dataclasses import dataclass
from enum import StrEnum

import numpy as np

from sesameknot.clock import Clock
from sesameknot.policy.token_bucket import TokenBuckets


class AdmissionReason(StrEnum):
    """Reason for an admission decision; a request that is not admitted was not run."""

    ADMITTED = "admitted"
    RATE_LIMIT = "rate-limit"
    CONCURRENCY_LIMIT = "concurrency-limit"
    DEADLINE = "deadline"
    LOW_VALUE = "low-value"


@dataclass(slots=True, frozen=True)
class AdmissionRequest:
    """Attributes of a request that its admission depends on.

    Parameters
    ----------
    customer : str
        Name of the customer.
    value : float
        Value of the request, for example the customer's weight times the priority.
    deadline_s : float
        Time until the deadline, in seconds.
    rate_limit_per_s : float
        Rate limit of the customer, in requests per second.
    """

    customer: str
    value: float
    deadline_s: float
    rate_limit_per_s: float


@dataclass(slots=True, frozen=True)
class AdmissionLoad:
    """Load at the time of an admission decision.

    Parameters
    ----------
    in_flight_count, limit_count : int
        Admitted requests in flight and the concurrency limit.
    estimated_wait_s : float, default=0.0
        Expected time until the request starts to run, in seconds.
    estimated_service_time_s : float, default=0.0
        Expected service time of the request, in seconds.
    """

    in_flight_count: int
    limit_count: int
    estimated_wait_s: float = 0.0
    estimated_service_time_s: float = 0.0

    def slack_s(self, deadline_s: float) -> float:
        """Return how long a request with this deadline can wait, in seconds."""
        return deadline_s - self.estimated_service_time_s


@dataclass(slots=True, frozen=True)
class AdmissionResult:
    """Result of an admission decision; ``retry_after_s`` is 0 if it is not known."""

    reason: AdmissionReason
    retry_after_s: float = 0.0

    @property
    def admitted(self) -> bool:
        """Whether the request may run."""
        return self.reason is AdmissionReason.ADMITTED


class RecentValues:
    """Sorted sliding window of the most recent values.

    Parameters
    ----------
    window_count : int, default=512
        Number of values in the window.
    """

    __slots__ = ("_recent", "_sorted", "window_count")

    def __init__(self, window_count: int = 512) -> None:
        self.window_count = window_count
        self._recent: deque[float] = deque()
        self._sorted: list[float] = []

    def add(self, value: float) -> None:
        """Add a value and evict the oldest one if the window is full."""
        if len(self._recent) >= self.window_count:
            oldest = self._recent.popleft()
            del self._sorted[bisect_left(self._sorted, oldest)]
        self._recent.append(value)
        insort(self._sorted, value)

    def quantile(self, lower_share: float) -> float:
        """Return the value below which ``lower_share`` of the values lie."""
        return self._sorted[int(lower_share * (len(self._sorted) - 1))]

    def rank(self, value: float) -> tuple[float, float]:
        """Return the shares of values below, and of values not above ``value``."""
        size = max(1, len(self._sorted))
        share_below = bisect_left(self._sorted, value) / size
        share_not_above = bisect_right(self._sorted, value) / size
        return share_below, share_not_above


class Admission:
    """Admission controller of a router.

    Parameters
    ----------
    clock : Clock
        Source of time.
    random_generator : numpy.random.Generator
        Breaks ties between requests of equal value.
    limit_start : float, default=0.6
        Share of the concurrency limit above which requests are shed. The shed share
        grows linearly and reaches 1 at the limit, so that slots remain for valuable
        requests.
    wait_start : float, default=0.1
        The same threshold for the estimated wait, as a share of the reference slack.
        The estimate is uncertain: at twice the load, 7.6% of the requests were
        admitted and then late with 0.6, and 2.7% with 0.1.
    window_count : int, default=512
        Number of recent requests whose values and slacks are compared with.

    Notes
    -----
    The shed share does not depend on the request: the wait is compared with a
    reference slack, a low quantile of the slacks of recent requests. Comparing it with
    each request's own slack admitted low-value requests with long deadlines until
    high-value requests with short deadlines were late.
    """

    __slots__ = (
        "_buckets",
        "_slacks",
        "_values",
        "clock",
        "limit_start",
        "random_generator",
        "wait_start",
    )

    # One request in ten may have less slack than the reference.
    REFERENCE_QUANTILE = 0.1

    def __init__(
        self,
        *,
        clock: Clock,
        random_generator: np.random.Generator,
        limit_start: float = 0.6,
        wait_start: float = 0.1,
        window_count: int = 512,
    ) -> None:
        _check_start("limit_start", limit_start)
        _check_start("wait_start", wait_start)
        self.clock = clock
        self.random_generator = random_generator
        self.limit_start = limit_start
        self.wait_start = wait_start
        self._buckets = TokenBuckets(clock=clock)
        self._values = RecentValues(window_count)
        self._slacks = RecentValues(window_count)

    def admit(self, request: AdmissionRequest, load: AdmissionLoad) -> AdmissionResult:
        """Decide whether a request may run.

        Returns
        -------
        AdmissionResult
            Includes ``retry_after_s`` if the customer exceeds its rate limit.
        """
        wait_s = self._buckets.wait_s(request.customer, request.rate_limit_per_s)
        if wait_s > 0.0:
            return AdmissionResult(AdmissionReason.RATE_LIMIT, wait_s)
        self._values.add(request.value)
        self._slacks.add(load.slack_s(request.deadline_s))
        reason = self._decide(request, load)
        if reason is AdmissionReason.ADMITTED:
            self._buckets.take(request.customer, request.rate_limit_per_s)
        return AdmissionResult(reason)

    def _decide(
        self, request: AdmissionRequest, load: AdmissionLoad
    ) -> AdmissionReason:
        if load.in_flight_count >= load.limit_count:
            return AdmissionReason.CONCURRENCY_LIMIT
        if load.estimated_wait_s >= load.slack_s(request.deadline_s):
            return AdmissionReason.DEADLINE
        shed_share = self._shed_share(load)
        if shed_share > 0.0 and self._is_shed(request.value, shed_share):
            return AdmissionReason.LOW_VALUE
        return AdmissionReason.ADMITTED

    def _shed_share(self, load: AdmissionLoad) -> float:
        occupancy = load.in_flight_count / load.limit_count
        slack_s = max(1e-9, self._slacks.quantile(self.REFERENCE_QUANTILE))
        return max(
            _linear_shed_share(occupancy, self.limit_start),
            _linear_shed_share(load.estimated_wait_s / slack_s, self.wait_start),
        )

    def _is_shed(self, value: float, shed_share: float) -> bool:
        share_below, share_not_above = self._values.rank(value)
        if shed_share <= share_below:
            return False
        if shed_share >= share_not_above:
            return True
        tie_share = (shed_share - share_below) / (share_not_above - share_below)
        return float(self.random_generator.random()) < tie_share


def _linear_shed_share(level: float, start: float) -> float:
    return (level - start) / (1.0 - start)


def _check_start(name: str, start: float) -> None:
    if not 0.0 <= start < 1.0:
        raise ValueError(f"{name} is {start!r}, expected a value from 0 to below 1")
