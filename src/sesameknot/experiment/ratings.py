"""Fake of the rating service: late, noisy and sparse ratings."""

import heapq
from collections.abc import Iterator
from dataclasses import dataclass, field

import numpy as np


@dataclass(slots=True, frozen=True, order=True)
class DueRating:
    """A rating that arrives at ``due_s``."""

    due_s: float
    index: int
    quality: float = field(compare=False)


class RatingFake:
    """Ratings of a share of the answers, after a random delay.

    Parameters
    ----------
    share : float
        Share of answers that are rated.
    delay_s : float
        Mean of the exponential delay.
    random_generator : numpy.random.Generator
        Source of draws.
    concentration : float, default=6.0
        Sum of the parameters of the beta distribution of ratings; at a quality of
        0.8, the standard deviation is 0.15.
    """

    __slots__ = ("_due", "concentration", "delay_s", "random_generator", "share")

    def __init__(
        self,
        *,
        share: float,
        delay_s: float,
        random_generator: np.random.Generator,
        concentration: float = 6.0,
    ) -> None:
        self.share = share
        self.delay_s = delay_s
        self.random_generator = random_generator
        self.concentration = concentration
        self._due: list[DueRating] = []

    def submit(self, index: int, quality: float, now_s: float) -> bool:
        """Send an answer to the service; return whether it will be rated."""
        if self.random_generator.random() >= self.share:
            return False
        rating = self.random_generator.beta(
            self.concentration * quality, self.concentration * (1.0 - quality)
        )
        due_s = now_s + self.random_generator.exponential(self.delay_s)
        heapq.heappush(self._due, DueRating(due_s, index, float(rating)))
        return True

    def arrived(self, now_s: float) -> Iterator[DueRating]:
        """Yield the ratings that are due."""
        while self._due and self._due[0].due_s <= now_s:
            yield heapq.heappop(self._due)
