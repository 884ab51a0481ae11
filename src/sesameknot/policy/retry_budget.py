"""Retry budget: retries are a bounded ratio of requests."""


class RetryBudget:
    """Token budget that requests fill and retries spend.

    Parameters
    ----------
    ratio : float, default=0.2
        Retries per request over time, between 0 and 1.
    burst_count : float, default=10.0
        Most retries that can be saved up; also the first balance, so that a router
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
        """Retries that are available now."""
        return self._tokens

    def deposit(self) -> None:
        """Count a first attempt."""
        self._tokens = min(self.burst_count, self._tokens + self.ratio)

    def try_spend(self) -> bool:
        """Take one retry from the budget; return False if it is exhausted."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
