"""Retry budget over a sliding time window."""

from collections import deque

from sesameknot.clock import Clock

WINDOW_BUCKET_COUNT = 10


class SlidingRetryBudget:
    """Bounds the ratio of retries to requests over a sliding window.

    If every host keeps the ratio, it also holds for the sum over all hosts.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.
    ratio : float
        Retries per request.
    window_s : float
        Length of the window, in seconds.
    slack_count : float
        Retries of this host that are allowed beyond the ratio.
    """

    __slots__ = ("_buckets", "clock", "ratio", "slack_count", "window_s")

    def __init__(
        self, *, clock: Clock, ratio: float, window_s: float, slack_count: float
    ) -> None:
        self.clock = clock
        self.ratio = ratio
        self.window_s = window_s
        self.slack_count = slack_count
        # Each bucket holds its start time, its number of requests and of retries.
        self._buckets: deque[list[float]] = deque()

    def record_request(self) -> None:
        """Count a request, retries excluded."""
        self._current_bucket()[1] += 1.0

    @property
    def available(self) -> bool:
        """Whether the budget has a retry left."""
        retry_count, limit_count = self._counts()
        return retry_count + 1.0 <= limit_count

    @property
    def used_share(self) -> float:
        """Share of the window's retries that are used; 1 if there are none."""
        retry_count, limit_count = self._counts()
        return min(1.0, retry_count / limit_count) if limit_count else 1.0

    def try_spend(self) -> bool:
        """Take one retry from the budget; return False if the budget is exhausted."""
        if not self.available:
            return False
        self._current_bucket()[2] += 1.0
        return True

    def _counts(self) -> tuple[float, float]:
        """Return the retries of the window and their limit."""
        self._current_bucket()
        request_count = sum(entry[1] for entry in self._buckets)
        retry_count = sum(entry[2] for entry in self._buckets)
        return retry_count, self.ratio * request_count + self.slack_count

    def _current_bucket(self) -> list[float]:
        now_s = self.clock.monotonic_s()
        while self._buckets and now_s - self._buckets[0][0] >= self.window_s:
            self._buckets.popleft()
        bucket_length_s = self.window_s / WINDOW_BUCKET_COUNT
        if not self._buckets or now_s - self._buckets[-1][0] >= bucket_length_s:
            self._buckets.append([now_s, 0.0, 0.0])
        return self._buckets[-1]
