"""Budget of repeated requests over a sliding window."""

from collections import deque

from sesameknot.clock import Clock

BUCKET_COUNT = 10


class SlidingRetryBudget:
    """Bounds repeated requests by a ratio of the requests of the last window.

    The ratio holds for the sum over all hosts if it holds on each of them.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.
    ratio : float
        Repeated requests per first request.
    window_s : float
        Length of the window.
    slack_count : float
        Repeated requests of this host that are allowed beyond the ratio.
    """

    __slots__ = ("_buckets", "clock", "ratio", "slack_count", "window_s")

    def __init__(
        self, *, clock: Clock, ratio: float, window_s: float, slack_count: float
    ) -> None:
        self.clock = clock
        self.ratio = ratio
        self.window_s = window_s
        self.slack_count = slack_count
        # Start of the bucket, first requests and repeated requests.
        self._buckets: deque[list[float]] = deque()

    def record_request(self) -> None:
        """Count a first request."""
        self._bucket()[1] += 1.0

    def try_spend(self) -> bool:
        """Take one repeated request; return False if the budget is used up."""
        bucket = self._bucket()
        firsts = sum(entry[1] for entry in self._buckets)
        repeats = sum(entry[2] for entry in self._buckets)
        if repeats + 1.0 > self.ratio * firsts + self.slack_count:
            return False
        bucket[2] += 1.0
        return True

    def _bucket(self) -> list[float]:
        now_s = self.clock.monotonic_s()
        while self._buckets and now_s - self._buckets[0][0] >= self.window_s:
            self._buckets.popleft()
        length_s = self.window_s / BUCKET_COUNT
        if not self._buckets or now_s - self._buckets[-1][0] >= length_s:
            self._buckets.append([now_s, 0.0, 0.0])
        return self._buckets[-1]
