"""Tests of the endpoint table."""

from testtools import TestCase
from testtools.matchers import Equals, Is

from sesameknot.clock import ManualClock
from sesameknot.protocol.messages import EndpointReport
from sesameknot.state.endpoint_table import EndpointSpec, EndpointState, EndpointTable


class EndpointTableTest(TestCase):
    def setUp(self):
        super().setUp()
        self.clock = ManualClock()
        self.table = EndpointTable(clock=self.clock)
        self.table.configure([EndpointSpec(endpoint_id="e", url="http://10.2.0.1:80")])

    def _report(self, state, age_ms=0, **values):
        report = EndpointReport(endpoint_id="e", state=state, age_ms=age_ms, **values)
        return self.table.record_report(report)

    def test_a_lagging_report_does_not_undo_an_inference(self):
        """Guards against warm load because of a report older than a cold start."""
        self._report("warm")
        self.clock.advance(5.0)
        self.table.set_inferred_state("e", EndpointState.COLD)
        self.clock.advance(0.5)
        self._report("warm", age_ms=1000)
        self.assertThat(self.table.state("e"), Equals(EndpointState.COLD))
        self.clock.advance(1.0)
        self._report("warm", age_ms=1000)
        self.assertThat(self.table.state("e"), Equals(EndpointState.WARM))

    def test_a_much_later_first_token_shows_a_cold_start_unless_there_is_a_queue(self):
        """Guards against mistaking a queue for a cold start, and missing one."""
        self._report("warm")
        for _ in range(10):
            self.assertThat(self.table.record_first_token("e", 0.2), Is(False))
        self.assertThat(self.table.record_first_token("e", 0.7), Is(False))
        self.assertThat(self.table.record_first_token("e", 1.5), Is(True))
        self.clock.advance(1.0)
        self._report("warm", queued_count=3)
        self.assertThat(self.table.record_first_token("e", 1.5), Is(False))

    def test_a_report_without_known_prefixes_keeps_them(self):
        """Guards against losing prefixes that an owner omits because they are known."""
        self._report("warm", prefix_hashes=[1, 2, 3], prefix_digest=7)
        self.clock.advance(1.0)
        self._report("warm", prefix_digest=7)
        self.table.observe("e", "warm", running_count=1, queued_count=0)
        self.assertThat(self.table.cached_block_count("e", [1, 2, 9, 3]), Equals(2))
        self.assertThat(self.table.latest_report("e").prefix_hashes, Equals([1, 2, 3]))

    def test_requests_since_the_report_are_counted(self):
        """Guards against counting a reported request twice."""
        self.table.add_in_flight("e")
        self.clock.advance(1.0)
        self._report("warm", running_count=1)
        self.clock.advance(1.0)
        in_flight_id = self.table.add_in_flight("e")
        self.assertThat(self.table.summary("e").sent_since_report_count, Equals(1))
        self.table.remove_in_flight("e", in_flight_id)
        summary = self.table.summary("e")
        self.assertThat(summary.sent_since_report_count, Equals(0))
        self.assertThat(summary.in_flight_count, Equals(1))
