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
class Pressure:
    """Load at the time of the decision.

    Parameters
    ----------
    in_flight_count, limit_count : int
        Admitted requests and their limit.
    estimated_wait_s : float, default=0.0
        Time until the request would get its first byte.
    """

    in_flight_count: int
    limit_count: int
    estimated_wait_s: float = 0.0

    def level(self, deadline_s: float) -> float:
        """Return the pressure; from 1 on, nothing can be admitted."""
        occupied = self.in_flight_count / max(1, self.limit_count)
        late = self.estimated_wait_s / deadline_s if deadline_s > 0.0 else 1.0
        return max(occupied, late)


@dataclass(slots=True, frozen=True)
class AdmissionResult:
    """Outcome of a decision; ``retry_after_s`` is 0 where it is not known."""

    reason: AdmissionReason
    retry_after_s: float = 0.0

    @property
    def admitted(self) -> bool:
        """Whether the request may run."""
        return self.reason is AdmissionReason.ADMITTED


class ValueRanks:
    """Ranks of values among the most recent ones.

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
    shed_start : float, default=0.6
        Pressure from which on work is shed. The shed share grows linearly to
        everything at pressure 1, so that slots remain for valuable work.
    window_count : int, default=512
        Requests whose values the ranks refer to.
    """

    __slots__ = ("_buckets", "_ranks", "clock", "random_generator", "shed_start")

    def __init__(
        self,
        *,
        clock: Clock,
        random_generator: np.random.Generator,
        shed_start: float = 0.6,
        window_count: int = 512,
    ) -> None:
        if not 0.0 <= shed_start < 1.0:
            raise ValueError(
                f"shed_start is {shed_start!r}, expected a value from 0 to below 1"
            )
        self.clock = clock
        self.random_generator = random_generator
        self.shed_start = shed_start
        self._buckets = TokenBuckets(clock=clock)
        self._ranks = ValueRanks(window_count)

    def admit(self, request: AdmissionRequest, pressure: Pressure) -> AdmissionResult:
        """Decide about a request.

        Returns
        -------
        AdmissionResult
            With ``retry_after_s`` for a customer above its rate limit.
        """
        wait_s = self._buckets.wait_s(request.customer, request.rate_limit_per_s)
        if wait_s > 0.0:
            return AdmissionResult(AdmissionReason.RATE_LIMIT, wait_s)
        self._ranks.add(request.value)
        reason = self._reason(request, pressure)
        if reason is AdmissionReason.ADMITTED:
            self._buckets.take(request.customer, request.rate_limit_per_s)
        return AdmissionResult(reason)

    def _reason(self, request: AdmissionRequest, pressure: Pressure) -> AdmissionReason:
        if pressure.in_flight_count >= pressure.limit_count:
            return AdmissionReason.CONCURRENCY_LIMIT
        if pressure.estimated_wait_s >= request.deadline_s:
            return AdmissionReason.DEADLINE
        level = pressure.level(request.deadline_s)
        shed_share = (level - self.shed_start) / (1.0 - self.shed_start)
        if shed_share > 0.0 and self._is_shed(request.value, shed_share):
            return AdmissionReason.LOW_VALUE
        return AdmissionReason.ADMITTED

    def _is_shed(self, value: float, shed_share: float) -> bool:
        below, not_above = self._ranks.rank(value)
        if shed_share <= below:
            return False
        if shed_share >= not_above:
            return True
        tie_share = (shed_share - below) / (not_above - below)
        return float(self.random_generator.random()) < tie_share
