"""Exponential backoff with jitter."""

import numpy as np


class Backoff:
    """Delays that double up to a limit, each reduced by random jitter.

    Parameters
    ----------
    random_state : numpy.random.Generator
        Source of the jitter.
    first_s : float, default=0.2
        Upper bound on the first delay.
    limit_s : float, default=2.0
        Upper bound on every delay.
    """

    __slots__ = ("_failure_count", "first_s", "limit_s", "random_state")

    def __init__(
        self,
        random_state: np.random.Generator,
        *,
        first_s: float = 0.2,
        limit_s: float = 2.0,
    ) -> None:
        self.random_state = random_state
        self.first_s = first_s
        self.limit_s = limit_s
        self._failure_count = 0

    def next_s(self) -> float:
        """Count a failure and return the delay in seconds before the next attempt."""
        bound_s = min(self.limit_s, self.first_s * 2.0 ** min(self._failure_count, 30))
        self._failure_count += 1
        return bound_s * float(self.random_state.uniform(0.5, 1.0))

    def reset(self) -> None:
        """Reset the delay to its initial value after a success."""
        self._failure_count = 0
