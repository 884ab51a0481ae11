"""Tests of the rating stand-in and the weight store."""

import numpy as np
from testtools import TestCase
from testtools.matchers import Equals, GreaterThan, LessThan

from sesameknot.clock import ManualClock
from sesameknot.standins.rating import RatingBook, RatingOptions
from sesameknot.standins.weight_store import WeightStore


class RatingTest(TestCase):
    def test_scores_are_late_sparse_noisy_and_seeded(self):
        """Guards against ratings that are easier to use than a real service's."""
        clock = ManualClock()
        options = RatingOptions(
            qualities={"m/v1": 0.6}, noise=0.1, delay_s=5.0, gap_share=0.5
        )
        books = [RatingBook(options, clock=clock) for _ in range(2)]
        for book in books:
            for n in range(400):
                book.rate("m", "v1", f"r{n}", "t00001 ")
        self.assertThat(books[0].published(0), Equals([]))
        clock.advance(5.0)
        first, second = (book.published(0) for book in books)
        self.assertThat(first, Equals(second))
        self.assertThat(abs(len(first) - 200), LessThan(50))
        scores = [rating.score for rating in first]
        self.assertThat(abs(np.mean(scores) - 0.6), LessThan(0.05))
        self.assertThat(np.std(scores), GreaterThan(0.05))

    def test_the_weight_store_refuses_above_its_rate(self):
        """Guards against a store that lets a roll-out download at any rate."""
        clock = ManualClock()
        store = WeightStore(clock, rate_per_s=2.0, burst_count=3)
        waits = [store.take() for _ in range(4)]
        self.assertThat(waits, Equals([0.0, 0.0, 0.0, 0.5]))
        clock.advance(0.5)
        self.assertThat(store.take(), Equals(0.0))
