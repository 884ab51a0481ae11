"""Tests of what a host concludes from its connection attempts."""

from testtools import TestCase
from testtools.matchers import Equals

from sesameknot.state.endpoint_reachability import EndpointReachability


class EndpointReachabilityTest(TestCase):
    def setUp(self):
        super().setUp()
        self.reachability = EndpointReachability()

    def fail(self, *endpoint_ids, usable_count=6):
        for endpoint_id in endpoint_ids:
            self.reachability.record_failure(
                "s", endpoint_id=endpoint_id, usable_count=usable_count
            )

    def test_several_endpoints_in_a_row_make_a_service_unreachable(self):
        """Guards against handovers because one or two endpoints have crashed."""
        self.fail("e1", "e1", "e1", "e2")
        self.assertFalse(self.reachability.is_unreachable("s"))
        self.fail("e3")
        self.assertTrue(self.reachability.is_unreachable("s"))
        self.assertFalse(self.reachability.is_unreachable("other"))

    def test_a_connection_in_between_starts_the_count_again(self):
        """Guards against failures of a long time that add up."""
        self.fail("e1", "e2")
        self.reachability.record_connected("s", endpoint_id="e4")
        self.fail("e3")
        self.assertFalse(self.reachability.is_unreachable("s"))

    def test_small_services_need_fewer_failures(self):
        """Guards against services of one endpoint that are never handed over."""
        self.fail("e1", usable_count=1)
        self.assertThat(self.reachability.unreachable_services, Equals({"s"}))
        self.reachability.record_connected("s", endpoint_id="e1")
        self.assertThat(self.reachability.unreachable_services, Equals(frozenset()))
