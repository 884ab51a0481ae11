"""Stand-in of the rate-limited store of model weights."""

import hashlib

from tornado.web import RequestHandler

from sesameknot.clock import Clock

WEIGHT_BYTES = 64 * 1024


class WeightStore:
    """A token bucket over downloads.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.
    rate_per_s : float, default=5.0
        Downloads per second in the long run.
    burst_count : int, default=5
        Downloads that may happen at once.
    """

    def __init__(
        self, clock: Clock, *, rate_per_s: float = 5.0, burst_count: int = 5
    ) -> None:
        self._clock = clock
        self.rate_per_s = rate_per_s
        self.burst_count = burst_count
        self.download_count = 0
        self.refused_count = 0
        self._tokens = float(burst_count)
        self._filled_s = clock.monotonic_s()

    def take(self) -> float:
        """Count a download and return 0, or return the time to wait for the next."""
        now_s = self._clock.monotonic_s()
        gained = (now_s - self._filled_s) * self.rate_per_s
        self._tokens = min(self.burst_count, self._tokens + gained)
        self._filled_s = now_s
        if self._tokens < 1:
            self.refused_count += 1
            return (1 - self._tokens) / self.rate_per_s
        self._tokens -= 1
        self.download_count += 1
        return 0.0


def weight_bytes(order_id: str) -> bytes:
    """Return the weights that the store holds for ``order_id``."""
    seed = hashlib.sha256(order_id.encode()).digest()
    return seed * (WEIGHT_BYTES // len(seed))


class WeightHandler(RequestHandler):
    """Serve weights, or 429 above the rate limit."""

    def initialize(self, store: WeightStore) -> None:
        """Keep the store."""
        self.store = store

    def get(self, order_id: str) -> None:
        """Answer with the weights of ``order_id``."""
        wait_s = self.store.take()
        if wait_s > 0:
            self.set_status(429)
            self.set_header("Retry-After", f"{wait_s:.3f}")
            self.finish({"error": {"type": "rate_limited", "message": "too fast"}})
            return
        self.set_header("Content-Type", "application/octet-stream")
        self.finish(weight_bytes(order_id))
