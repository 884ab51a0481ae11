"""Retry budget that bounds the ratio of retries to requests."""


class RetryBudget:
    """Token bucket that requests fill and retries drain.

    Parameters
    ----------
    ratio : float, default=0.2
        Long-term ratio of retries to requests, between 0 and 1.
    burst_count : float, default=10.0
        Capacity of the bucket, in retries. The bucket starts full, so that a router
        with little traffic can retry.
    """

    __slots__ = ("_tokens", "burst_count", "ratio")

    def __init__(self, ratio: float = 0.2, *, burst_count: float = 10.0) -> None:
        if not 0.0 <= ratio <= 1.0:
            raise ValueError(f"ratio is {ratio!r}, expected a value from 0 to 1")
        self.ratio = ratio
        self.burst_count = burst_count
        self._tokens = burst_count if ratio else 0.0

    @property
    def tokens(self) -> float:
        """Number of retries that are available."""
        return self._tokens

    def deposit(self) -> None:
        """Add the retry allowance of one first attempt."""
        self._tokens = min(self.burst_count, self._tokens + self.ratio)

    def try_spend(self) -> bool:
        """Take one retry from the budget; return False if the budget is exhausted."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
