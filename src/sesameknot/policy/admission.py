"""Admission control: shed the least valuable work first, and early."""

from bisect import bisect_left, bisect_right, insort
from collections import deque
from dataclasses import dataclass
from enum import StrEnum

import numpy as np

from sesameknot.clock import Clock
from sesameknot.policy.token_bucket import TokenBuckets


class AdmissionReason(StrEnum):
    """Why a request was admitted or refused; every refusal means "not run"."""

    ADMITTED = "admitted"
    RATE_LIMIT = "rate-limit"
    CONCURRENCY_LIMIT = "concurrency-limit"
    DEADLINE = "deadline"
    LOW_VALUE = "low-value"


@dataclass(slots=True, frozen=True)
class AdmissionRequest:
    """A request that asks for admission.

    Parameters
    ----------
    customer : str
        Name of the customer.
    value : float
        Worth of the request, for example the customer's weight times the priority.
    deadline_s : float
        Time that is left.
    rate_limit_per_s : float
        Requests per second that the customer may make.
    """

    customer: str
    value: float
    deadline_s: float
    rate_limit_per_s: float


@dataclass(slots=True, frozen=True)
class AdmissionLoad:
    """Load at the time of the decision.

    Parameters
    ----------
    in_flight_count, limit_count : int
        Admitted requests and their limit.
    estimated_wait_s : float, default=0.0
        Time until the request would start to run.
    estimated_service_time_s : float, default=0.0
        Time that it would then take.
    """

    in_flight_count: int
    limit_count: int
    estimated_wait_s: float = 0.0
    estimated_service_time_s: float = 0.0

    def slack_s(self, deadline_s: float) -> float:
        """Return the time that a request with this deadline can wait."""
        return deadline_s - self.estimated_service_time_s


@dataclass(slots=True, frozen=True)
class AdmissionResult:
    """Outcome of a decision; ``retry_after_s`` is 0 where it is not known."""

    reason: AdmissionReason
    retry_after_s: float = 0.0

    @property
    def admitted(self) -> bool:
        """Whether the request may run."""
        return self.reason is AdmissionReason.ADMITTED


class RecentValues:
    """The most recent values, in order.

    Parameters
    ----------
    window_count : int, default=512
        Values that are kept.
    """

    __slots__ = ("_recent", "_sorted", "window_count")

    def __init__(self, window_count: int = 512) -> None:
        self.window_count = window_count
        self._recent: deque[float] = deque()
        self._sorted: list[float] = []

    def add(self, value: float) -> None:
        """Take in a value and drop the oldest one of a full window."""
        if len(self._recent) >= self.window_count:
            oldest = self._recent.popleft()
            del self._sorted[bisect_left(self._sorted, oldest)]
        self._recent.append(value)
        insort(self._sorted, value)

    def quantile(self, share: float) -> float:
        """Return the value that ``share`` of the values lie below."""
        return self._sorted[int(share * (len(self._sorted) - 1))]

    def rank(self, value: float) -> tuple[float, float]:
        """Return the shares of values below, and of values not above ``value``."""
        size = max(1, len(self._sorted))
        below = bisect_left(self._sorted, value) / size
        not_above = bisect_right(self._sorted, value) / size
        return below, not_above


class Admission:
    """Decides which requests run.

    Parameters
    ----------
    clock : Clock
        Source of time.
    random_generator : numpy.random.Generator
        Draws between requests of equal value.
    limit_start : float, default=0.6
        Share of the concurrency limit from which on work is shed. The shed share
        grows linearly to everything at the limit, so that slots remain for valuable
        work.
    wait_start : float, default=0.1
        The same for the wait, as share of the time that a usual request can wait.
        The estimate is uncertain: with 0.6, 7.6% of the requests at twice the load
        were admitted and then late, with 0.1, 2.7%.
    window_count : int, default=512
        Requests whose values the ranks refer to.

    Notes
    -----
    The pressure is the same for all requests: it relates the wait to the shortest
    time that a usual request can wait. A pressure by each request's own deadline
    admitted cheap work with long deadlines until valuable work with short ones was
    late.
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

    # One request in ten may have a shorter time to wait than the reference.
    REFERENCE_SHARE = 0.1

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

    def admit(
        self, request: AdmissionRequest, pressure: AdmissionLoad
    ) -> AdmissionResult:
        """Decide about a request.

        Returns
        -------
        AdmissionResult
            With ``retry_after_s`` for a customer above its rate limit.
        """
        wait_s = self._buckets.wait_s(request.customer, request.rate_limit_per_s)
        if wait_s > 0.0:
            return AdmissionResult(AdmissionReason.RATE_LIMIT, wait_s)
        self._values.add(request.value)
        self._slacks.add(pressure.slack_s(request.deadline_s))
        reason = self._reason(request, pressure)
        if reason is AdmissionReason.ADMITTED:
            self._buckets.take(request.customer, request.rate_limit_per_s)
        return AdmissionResult(reason)

    def _reason(
        self, request: AdmissionRequest, pressure: AdmissionLoad
    ) -> AdmissionReason:
        if pressure.in_flight_count >= pressure.limit_count:
            return AdmissionReason.CONCURRENCY_LIMIT
        if pressure.estimated_wait_s >= pressure.slack_s(request.deadline_s):
            return AdmissionReason.DEADLINE
        shed_share = self._shed_share(pressure)
        if shed_share > 0.0 and self._is_shed(request.value, shed_share):
            return AdmissionReason.LOW_VALUE
        return AdmissionReason.ADMITTED

    def _shed_share(self, pressure: AdmissionLoad) -> float:
        occupied = pressure.in_flight_count / pressure.limit_count
        slack_s = max(1e-9, self._slacks.quantile(self.REFERENCE_SHARE))
        return max(
            _ramp(occupied, self.limit_start),
            _ramp(pressure.estimated_wait_s / slack_s, self.wait_start),
        )

    def _is_shed(self, value: float, shed_share: float) -> bool:
        below, not_above = self._values.rank(value)
        if shed_share <= below:
            return False
        if shed_share >= not_above:
            return True
        tie_share = (shed_share - below) / (not_above - below)
        return float(self.random_generator.random()) < tie_share


def _ramp(level: float, start: float) -> float:
    return (level - start) / (1.0 - start)


def _check_start(name: str, start: float) -> None:
    if not 0.0 <= start < 1.0:
        raise ValueError(f"{name} is {start!r}, expected a value from 0 to below 1")
