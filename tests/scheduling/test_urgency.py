"""Tests of the rank of a request."""

from testtools import TestCase
from testtools.matchers import Equals

from sesameknot.scheduling import urgency_rank


class UrgencyRankTest(TestCase):
    def test_route_decides_among_customers_of_one_priority(self):
        """Guards against urgent routes that wait behind others of the same customer."""
        ranks = [urgency_rank(1, route_priority) for route_priority in range(5)]
        self.assertThat(ranks, Equals([3, 4, 5, 5, 5]))

    def test_customer_goes_before_route(self):
        """Guards against a route's priority that overrides its customer's."""
        self.assertThat(urgency_rank(0, 9), Equals(2))
        self.assertThat(urgency_rank(1, 0), Equals(3))

    def test_rank_is_one_that_endpoints_know(self):
        """Guards against ranks beyond 9, which endpoints take as one."""
        self.assertThat(urgency_rank(7, 2), Equals(9))
