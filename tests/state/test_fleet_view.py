"""Tests of a host's local view of the fleet."""

from dataclasses import fields

from testtools import TestCase
from testtools.matchers import Equals, HasLength

from sesameknot.clock import ManualClock
from sesameknot.protocol.configuration import Configuration, ServiceConfiguration
from sesameknot.protocol.fleet_records import (
    EndpointEntry,
    EndpointState,
    RolloutOrder,
    RolloutOutcome,
)
from sesameknot.state.endpoint_health import EndpointHealth
from sesameknot.state.endpoint_limits import NamedLimit
from sesameknot.state.fleet_view import FleetView
from sesameknot.state.known_endpoint import KnownEndpoint
from sesameknot.state.store_availability import RECENT_OUTAGE_S


def endpoint(endpoint_id="e1", **fields):
    """Return an endpoint's entry."""
    values = {
        "service": "s",
        "address": "1.2.3.4:5",
        "domain": "a",
        "version": "v1",
        "started_ms": 10,
        **fields,
    }
    return EndpointEntry(endpoint_id=endpoint_id, **values)


def shallow_values(record):
    """Return the values of a record's fields by name."""
    return {field.name: getattr(record, field.name) for field in fields(record)}


class FleetViewTest(TestCase):
    def setUp(self):
        super().setUp()
        self.clock = ManualClock()
        self.view = FleetView(self.clock)
        service = ServiceConfiguration(name="s", cold_s=3.0, cold_rate_per_s=12.0)
        self.view.set_configuration(
            Configuration(version=1, routes=[], services=[service])
        )
        self.view.replace_endpoints([endpoint("e1"), endpoint("e2")])
        self.clock.advance(1.0)

    def usable(self):
        versions = self.view.allowed_versions("s", 0.5)
        return [e.endpoint_id for e in self.view.usable("s", versions)]

    def cold(self, endpoint_id):
        known_endpoint = self.view.endpoints[endpoint_id]
        return self.clock.monotonic_s() < known_endpoint.cold_until_s

    def fail_for(self, duration_s, *, timed_out=False):
        """Let the store fail this host's calls and then answer again."""
        self.view.note_store_failure(timed_out=timed_out)
        self.clock.advance(duration_s)
        self.view.store.note_answer()

    def test_entry_that_lapsed_in_an_outage_stays_usable_for_two_seconds(self):
        """Guards against refusals after an outage in which all entries expired."""
        self.fail_for(2.5)
        self.view.replace_endpoints([])
        self.assertThat(self.usable(), Equals(["e1", "e2"]))
        self.view.put_endpoint(endpoint("e1"))
        self.clock.advance(2.01)
        self.assertThat(self.usable(), Equals(["e1"]))
        self.assertFalse(self.cold("e1"))

    def test_entry_removed_late_after_an_outage_is_gone_in_time(self):
        """Guards against requests to an endpoint that left, after an outage (DRAIN).

        Only the host was cut off, so that the entry did not expire.
        """
        self.fail_for(6.0)
        self.clock.advance(2.5)
        self.view.remove_endpoint("e1")
        self.assertThat(self.usable(), Equals(["e1", "e2"]))
        self.clock.advance(max(RECENT_OUTAGE_S, self.view.endpoint_leave_s) - 2.5)
        self.assertThat(self.usable(), Equals(["e2"]))

    def test_entry_removed_in_calm_times_is_gone_at_once(self):
        """Guards against requests to endpoints that were removed without notice."""
        self.clock.advance(10.0)
        self.view.remove_endpoint("e1")
        self.assertThat(self.usable(), Equals(["e2"]))

    def test_entry_removed_after_a_short_failure_is_gone_at_once(self):
        """Guards against requests to an endpoint that left beside a lost connection.

        No entry can expire in a failure that is shorter than two heartbeats.
        """
        self.fail_for(2.3)
        self.view.remove_endpoint("e1")
        self.assertThat(self.usable(), Equals(["e2"]))

    def test_time_out_counts_from_the_last_answer(self):
        """Guards against an outage that looks short because a watch noticed it late."""
        self.view.store.note_answer()
        self.clock.advance(2.0)
        self.fail_for(0.5, timed_out=True)
        self.view.remove_endpoint("e1")
        self.assertThat(self.usable(), Equals(["e1", "e2"]))

    def test_leaving_binds_while_the_store_is_away(self):
        """Guards against an outage that makes a leaving endpoint usable again."""
        self.view.put_endpoint(endpoint("e1", state=EndpointState.LEAVING))
        self.fail_for(2.5)
        self.view.remove_endpoint("e1")
        self.assertThat(self.usable(), Equals(["e2"]))

    def test_endpoint_that_starts_during_traffic_is_cold(self):
        """Guards against full load on an endpoint that has just started."""
        self.assertFalse(self.cold("e1"))
        self.view.put_endpoint(endpoint("e3"))
        self.assertTrue(self.cold("e3"))
        self.view.put_endpoint(endpoint("e1", started_ms=20))
        self.assertTrue(self.cold("e1"))

    def test_endpoint_that_starts_again_after_its_removal_is_cold(self):
        """Guards against full load on a new process whose entry names no cold time."""
        self.clock.advance(10.0)
        self.view.remove_endpoint("e1")
        self.clock.advance(1.0)
        self.view.put_endpoint(endpoint("e1", started_ms=20))
        cold_s = self.view.endpoints["e1"].cold_until_s - self.clock.monotonic_s()
        self.assertThat(cold_s, Equals(3.0))

    def test_endpoint_that_starts_again_has_no_past(self):
        """Guards against what one process said or did that binds the next one."""
        before = self.view.endpoints["e1"]
        for name in ("paused_until_s", "full_until_s"):
            setattr(before, name, self.clock.monotonic_s() + 60.0)
        before.overload_limit_per_s = 5.0
        before.in_flight_count, before.pending_tokens = 3, 900
        before.health.unreachable()
        self.view.note_leaving(before)
        self.view.note_misdirected(before)
        limit = NamedLimit(2.0, self.clock.monotonic_s())
        self.view.endpoint_limits.merge(before.incarnation_id, limit)
        entry = endpoint("e1", started_ms=20)
        self.view.put_endpoint(entry)
        known = self.view.endpoints["e1"]
        fresh = KnownEndpoint(entry, EndpointHealth(self.clock))
        fresh.cold_until_s = self.clock.monotonic_s() + 3.0
        self.assertThat(shallow_values(known), Equals(shallow_values(fresh)))
        limits = self.view.endpoint_limits
        self.assertThat(limits.rate_per_s(known.incarnation_id), Equals(None))
        self.assertThat(self.usable(), Equals(["e1", "e2"]))

    def test_process_that_registers_again_after_its_removal_is_not_cold(self):
        """Guards against a warm process that is held for cold after an outage."""
        self.clock.advance(10.0)
        self.view.remove_endpoint("e1")
        self.clock.advance(1.0)
        self.view.put_endpoint(endpoint("e1"))
        self.assertFalse(self.cold("e1"))

    def test_delayed_report_of_the_incarnation_before_is_ignored(self):
        """Guards against applying the state of a process that no longer exists."""
        self.view.put_endpoint(endpoint("e1", started_ms=20, address="9.9.9.9:9"))
        self.view.put_endpoint(endpoint("e1", state=EndpointState.LEAVING))
        self.assertThat(self.usable(), Equals(["e1", "e2"]))

    def test_domain_that_returns_is_cold(self):
        """Guards against full load on a domain that has just returned to service."""
        self.view.set_evacuated({"a"})
        self.assertThat(self.usable(), HasLength(0))
        self.view.set_evacuated(set())
        self.assertTrue(self.cold("e1"))

    def test_new_version_without_an_order_is_held(self):
        """Guards against sessions on a version whose order has not arrived yet."""
        self.view.put_endpoint(endpoint("new1", version="v2"))
        self.view.put_endpoint(endpoint("new2", version="v2"))
        self.assertThat(self.usable(), Equals(["e1", "e2"]))
        self.clock.advance(4.1)
        self.assertThat(self.usable(), HasLength(4))

    def order(self, outcome, share=0.0):
        self.view.put_endpoint(endpoint("new", version="v2"))
        self.view.rollouts["s"] = RolloutOrder(
            service="s",
            target_version="v2",
            duration_s=10.0,
            outcome=outcome,
            share=share,
        )

    def test_versions_by_the_state_of_the_roll_out(self):
        """Guards against sessions on a version that the roll-out excludes."""
        self.order(RolloutOutcome.REQUESTED)
        self.assertThat(self.usable(), Equals(["e1", "e2"]))
        self.order(RolloutOutcome.RUNNING, share=0.4)
        self.assertThat(self.usable(), Equals(["e1", "e2"]))
        self.order(RolloutOutcome.SUCCEEDED)
        self.assertThat(self.usable(), Equals(["new"]))
        self.order(RolloutOutcome.ROLLED_BACK)
        self.assertThat(self.usable(), Equals(["e1", "e2"]))

    def test_session_inside_the_share_prefers_the_new_version(self):
        """Guards against a session that changes its version with each request."""
        self.order(RolloutOutcome.RUNNING, share=0.6)
        versions = self.view.allowed_versions("s", 0.5)
        found = versions.narrow(self.view.usable("s", versions))
        self.assertThat([e.endpoint_id for e in found], Equals(["new"]))

    def test_new_version_is_used_where_no_other_is_left(self):
        """Guards against refusing all requests after missing a roll-out's end."""
        self.order(RolloutOutcome.RUNNING)
        self.view.replace_endpoints([endpoint("new", version="v2")])
        self.assertThat(self.usable(), Equals(["new"]))
