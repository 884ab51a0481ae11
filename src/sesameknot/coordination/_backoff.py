"""Exponential backoff with jitter."""

import numpy as np


class Backoff:
    """Pauses that double up to a limit, each shortened by a random share.

    Parameters
    ----------
    random_state : numpy.random.Generator
        Source of the jitter.
    first_s : float, default=0.2
        Longest first pause.
    limit_s : float, default=2.0
        Longest pause.
    """

    __slots__ = ("_failures", "first_s", "limit_s", "random_state")

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
        self._failures = 0

    def next_s(self) -> float:
        """Return the pause after one more failure."""
        longest_s = min(self.limit_s, self.first_s * 2.0 ** min(self._failures, 30))
        self._failures += 1
        return longest_s * float(self.random_state.uniform(0.5, 1.0))

    def reset(self) -> None:
        """Start over after a success."""
        self._failures = 0
