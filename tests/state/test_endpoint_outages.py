"""Tests of outages, after which endpoints count as cold until a restart shows."""

from testtools import TestCase
from testtools.matchers import Equals

from sesameknot.clock import ManualClock
from sesameknot.protocol.configuration import Configuration, ServiceConfiguration
from sesameknot.protocol.fleet_records import EndpointEntry
from sesameknot.state.fleet_view import FleetView

ENTRY_LIFE_S = 3.6
LEAVE_S = 2.0
COLD_S = 3.0


class EndpointOutagesTest(TestCase):
    def setUp(self):
        super().setUp()
        self.clock = ManualClock()
        self.view = FleetView(
            self.clock, entry_life_s=ENTRY_LIFE_S, endpoint_leave_s=LEAVE_S
        )
        service = ServiceConfiguration(name="s", cold_s=COLD_S, cold_rate_per_s=12.0)
        self.view.set_configuration(
            Configuration(version=1, routes=[], services=[service])
        )
        self.view.replace_endpoints([self._entry(started_ms=1000)])
        self.clock.advance(100.0)

    def _entry(self, *, started_ms):
        return EndpointEntry(
            endpoint_id="e",
            service="s",
            address="127.0.0.1:1",
            domain="a",
            version="v1",
            started_ms=started_ms,
        )

    @property
    def _endpoint(self):
        return self.view.endpoints["e"]

    def _cold_left_s(self):
        return round(self.view.cold_left_s(self._endpoint), 6)

    def test_endpoint_that_was_down_is_held_for_cold(self):
        """Guards against the usual load on a process that has just started.

        It may start up to three heartbeats after the outage, its entry takes a while to
        arrive, and it is cold from its start on.
        """
        self.assertThat(self._cold_left_s(), Equals(0.0))
        self.view.outages.note(self._endpoint.incarnation_id)
        self.assertThat(self._cold_left_s(), Equals(ENTRY_LIFE_S + LEAVE_S + COLD_S))
        self.clock.advance(ENTRY_LIFE_S + LEAVE_S + COLD_S)
        self.assertThat(self._cold_left_s(), Equals(0.0))

    def test_entry_of_the_next_process_replaces_the_outage(self):
        """Guards against a suspicion that outlives the process that it is about."""
        self.view.outages.note(self._endpoint.incarnation_id)
        self.view.put_endpoint(self._entry(started_ms=2000))
        self.assertThat(self._cold_left_s(), Equals(COLD_S))

    def test_later_outage_extends_the_suspicion(self):
        """Guards against an endpoint that is down for longer than it is suspected."""
        self.view.outages.note(self._endpoint.incarnation_id)
        self.clock.advance(4.0)
        self.assertThat(
            self.view.outages.note(self._endpoint.incarnation_id), Equals(True)
        )
        self.assertThat(self._cold_left_s(), Equals(ENTRY_LIFE_S + LEAVE_S + COLD_S))

    def test_report_of_a_known_outage_is_no_news(self):
        """Guards against hosts that extend one outage by telling each other of it."""
        self.view.outages.note(self._endpoint.incarnation_id)
        self.clock.advance(0.6)
        news = self.view.outages.note(self._endpoint.incarnation_id, age_s=0.4)
        self.assertThat(news, Equals(False))
        age_s = self.view.outages.ages_s()[self._endpoint.incarnation_id]
        self.assertThat(round(age_s, 6), Equals(0.6))

    def test_outages_are_forgotten(self):
        """Guards against records that grow with the restarts of endpoints."""
        self.view.outages.note(self._endpoint.incarnation_id)
        self.clock.advance(61.0)
        self.view.forget_outdated()
        self.assertThat(self.view.outages.ages_s(), Equals({}))
