"""Token buckets for rate limits, one per key."""

from dataclasses import dataclass

from sesameknot.clock import Clock


@dataclass(slots=True)
class _Bucket:
    tokens: float
    refilled_s: float


class TokenBuckets:
    """Token buckets by key; the rate is given at each use.

    Parameters
    ----------
    clock : Clock
        Source of time.
    burst_s : float, default=2.0
        Capacity of a bucket, in seconds of its rate; at least one token.
    size_limit : int, default=10000
        Maximum number of buckets; the one used longest ago is evicted first.
    """

    __slots__ = ("_buckets", "burst_s", "clock", "size_limit")

    def __init__(
        self, *, clock: Clock, burst_s: float = 2.0, size_limit: int = 10_000
    ) -> None:
        self.clock = clock
        self.burst_s = burst_s
        self.size_limit = size_limit
        self._buckets: dict[str, _Bucket] = {}

    def wait_s(self, key: str, rate_per_s: float) -> float:
        """Return the time in seconds until a token is available; 0 if one is."""
        missing_tokens = 1.0 - self._refilled_bucket(key, rate_per_s).tokens
        return max(0.0, missing_tokens) / rate_per_s

    def take(self, key: str, rate_per_s: float) -> bool:
        """Take a token; return False if none is available."""
        bucket = self._refilled_bucket(key, rate_per_s)
        if bucket.tokens < 1.0:
            return False
        bucket.tokens -= 1.0
        return True

    def _refilled_bucket(self, key: str, rate_per_s: float) -> _Bucket:
        now_s = self.clock.monotonic_s()
        capacity = max(1.0, rate_per_s * self.burst_s)
        bucket = self._buckets.get(key)
        if bucket is None:
            self._limit_size()
            bucket = self._buckets[key] = _Bucket(capacity, now_s)
            return bucket
        added_tokens = (now_s - bucket.refilled_s) * rate_per_s
        bucket.tokens = min(capacity, bucket.tokens + added_tokens)
        bucket.refilled_s = now_s
        return bucket

    def _limit_size(self) -> None:
        if len(self._buckets) >= self.size_limit:
            # The bucket that was used longest ago has refilled the most, so evicting it
            # changes the rate limit least.
            least_recent_key = min(
                self._buckets, key=lambda k: self._buckets[k].refilled_s
            )
            del self._buckets[least_recent_key]
