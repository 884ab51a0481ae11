"""Tests of the limit on the memory for bodies of requests."""

from testtools import TestCase
from testtools.matchers import Equals, Is

from sesameknot.policy.memory_budget import MemoryBudget


class MemoryBudgetTest(TestCase):
    def setUp(self):
        super().setUp()
        self.budget = MemoryBudget(1000, small_bytes=10, small_share=0.2)

    def test_large_bodies_leave_room_to_small_ones(self):
        """Guards against small requests that are refused because of large ones."""
        large = self.budget.reservation()
        self.assertThat(large.hold(800), Is(True))
        self.assertThat(self.budget.reservation().hold(11), Is(False))
        held = [self.budget.reservation().hold(10) for _ in range(21)]
        self.assertThat(held, Equals([True] * 20 + [False]))

    def test_refused_bytes_are_not_counted(self):
        """Guards against a budget that fills up with what was refused."""
        reservation = self.budget.reservation()
        reservation.hold(300)
        self.assertThat(reservation.hold(801), Is(False))
        self.assertThat(self.budget.used_bytes, Equals(300))

    def test_a_reservation_counts_its_size_once(self):
        """Guards against growing bodies that are counted again with each part."""
        reservation = self.budget.reservation()
        for size_bytes in (100, 400, 800):
            self.assertThat(reservation.hold(size_bytes), Is(True))
        self.assertThat(self.budget.used_bytes, Equals(800))

    def test_released_bytes_are_free_again(self):
        """Guards against memory that is lost, or given back twice."""
        reservation = self.budget.reservation()
        reservation.hold(800)
        reservation.release()
        reservation.release()
        self.assertThat(self.budget.used_bytes, Equals(0))
