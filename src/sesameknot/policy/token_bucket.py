"""Rate limits: one token bucket per customer."""

from dataclasses import dataclass

from sesameknot.clock import Clock


@dataclass(slots=True)
class _Bucket:
    tokens: float
    filled_s: float


class TokenBuckets:
    """Token buckets by name, with the rate given at each use.

    Parameters
    ----------
    clock : Clock
        Source of time.
    burst_s : float, default=2.0
        Seconds of the rate that a bucket can save up; at least one token.
    size_limit : int, default=10000
        Most buckets that are kept; full ones are dropped first.
    """

    __slots__ = ("_buckets", "burst_s", "clock", "size_limit")

    def __init__(
        self, *, clock: Clock, burst_s: float = 2.0, size_limit: int = 10_000
    ) -> None:
        self.clock = clock
        self.burst_s = burst_s
        self.size_limit = size_limit
        self._buckets: dict[str, _Bucket] = {}

    def wait_s(self, name: str, rate_per_s: float) -> float:
        """Return the time until a token is available; 0 if one is."""
        missing = 1.0 - self._filled(name, rate_per_s).tokens
        return max(0.0, missing) / rate_per_s

    def take(self, name: str, rate_per_s: float) -> bool:
        """Take a token; return False if there is none."""
        bucket = self._filled(name, rate_per_s)
        if bucket.tokens < 1.0:
            return False
        bucket.tokens -= 1.0
        return True

    def _filled(self, name: str, rate_per_s: float) -> _Bucket:
        now_s = self.clock.monotonic_s()
        limit = max(1.0, rate_per_s * self.burst_s)
        bucket = self._buckets.get(name)
        if bucket is None:
            self._limit_size()
            bucket = self._buckets[name] = _Bucket(limit, now_s)
            return bucket
        gained = (now_s - bucket.filled_s) * rate_per_s
        bucket.tokens = min(limit, bucket.tokens + gained)
        bucket.filled_s = now_s
        return bucket

    def _limit_size(self) -> None:
        if len(self._buckets) >= self.size_limit:
            # The bucket that was used longest ago has refilled the most.
            oldest = min(self._buckets, key=lambda k: self._buckets[k].filled_s)
            del self._buckets[oldest]
