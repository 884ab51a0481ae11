"""Slots and loads that the scheduler takes from what a host knows."""

from testtools import TestCase
from testtools.matchers import Equals, GreaterThan

from sesameknot.clock import ManualClock
from sesameknot.coordination._load_reports import LoadReports, load_columns
from sesameknot.forwarding.service_schedule import ServiceSchedule
from sesameknot.protocol.configuration import Configuration, ServiceConfiguration
from sesameknot.protocol.fleet_records import EndpointEntry, HostEntry
from sesameknot.scheduling import (
    ORDERINGS,
    AdmissionQueue,
    HostRoom,
    RoomLimits,
    WorkEstimator,
)
from sesameknot.state.fleet_view import FleetView

SLOT_COUNT = 16


class ServiceSlotsTest(TestCase):
    def setUp(self):
        super().setUp()
        self.clock = ManualClock()
        self.view = FleetView(self.clock)
        service = ServiceConfiguration(name="s", cold_s=4.0, cold_rate_per_s=2.0)
        self.view.set_configuration(
            Configuration(version=1, routes=(), services=(service,))
        )
        self.view.replace_endpoints(self.entry(f"e{n}") for n in range(3))
        self.view.hosts = {
            name: HostEntry(host_id=name, peer_address="", domain="a")
            for name in ("h1", "h2")
        }
        self.reports = LoadReports(self.view, paces=None, clock=self.clock)
        self.schedule = ServiceSchedule(
            "s",
            view=self.view,
            queue=AdmissionQueue(ordering=ORDERINGS.get("least_cost"), limit_count=9),
            room=HostRoom(RoomLimits(endpoint_queue_share=0.0)),
            estimator=WorkEstimator(
                prefill_ms_per_token=0.015, output_ms_per_token=10.0, uncached_share=0.5
            ),
        )
        self.report({})

    def entry(self, endpoint_id, **fields):
        return EndpointEntry(
            endpoint_id=endpoint_id,
            service="s",
            address=f"{endpoint_id}:1",
            domain="a",
            version="v1",
            **{"slot_count": SLOT_COUNT, **fields},
        )

    def report(self, loads):
        """Let the other host report its loads."""
        self.clock.advance(0.4)
        self.reports.add_host("h2", load_columns(loads))
        self.reports.apply()

    def taken_share(self):
        self.clock.advance(0.1)
        self.schedule.update(self.clock.monotonic_s())
        return self.schedule.room.taken_share

    def test_loads_of_other_hosts_count(self):
        """Guards against a share of the slots that others have taken."""
        self.report({"e0": (10, 0), "e1": (14, 0)})
        self.assertThat(self.taken_share(), Equals(0.5))

    def test_ejected_endpoints_do_not_count(self):
        """Guards against room on endpoints that are gone but still listed."""
        self.report({"e0": (16, 0), "e1": (8, 0)})
        self.view.endpoints["e2"].health.unreachable()
        self.assertThat(self.taken_share(), Equals(24 / 32))

    def test_cold_endpoint_counts_with_what_it_may_be_sent(self):
        """Guards against room on endpoints that take two requests a second."""
        self.report({"e0": (16, 0), "e1": (1, 0)})
        self.view.put_endpoint(self.entry("e3"))
        self.assertThat(self.taken_share(), Equals(17 / 50))

    def test_silent_peers_leave_an_equal_part(self):
        """Guards against a host that takes all slots as it hears of no load."""
        for _ in range(18):
            self.schedule.room.occupy()
        self.assertThat(self.taken_share(), Equals(18 / 48))
        self.clock.advance(2.0)
        self.assertThat(self.taken_share(), Equals(18 / 24))

    def test_short_requests_and_unknown_slots_are_not_scheduled(self):
        """Guards against waits at services that load reports say nothing about."""
        now_s = self.clock.monotonic_s()
        self.assertThat(self.schedule.is_active(now_s), Equals(False))
        for _ in range(10):
            self.schedule.queue.record_run(0.05, now_s)
        self.assertThat(self.schedule.is_active(now_s), Equals(False))
        for _ in range(10):
            self.schedule.queue.record_run(4.0, now_s)
        self.assertThat(self.schedule.is_active(now_s), Equals(True))
        self.assertThat(self.schedule.room.limit, GreaterThan(23))
        self.view.put_endpoint(self.entry("e4", slot_count=0))
        self.clock.advance(0.1)
        self.assertThat(
            self.schedule.is_active(self.clock.monotonic_s()), Equals(False)
        )
