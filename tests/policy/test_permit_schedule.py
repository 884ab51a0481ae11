"""Load of requests for an endpoint that takes less than callers want."""

from hypothesis import given, settings
from hypothesis import strategies as st
from testtools import TestCase
from testtools.matchers import Equals

from sesameknot.clock import ManualClock
from sesameknot.policy.permit_schedule import BURST_S, PermitSchedule

WINDOW_S = 4.0


class PermitScheduleTest(TestCase):
    def setUp(self):
        super().setUp()
        self.start()

    def start(self):
        """Begin with an empty schedule."""
        self.clock = ManualClock()
        self.schedule = PermitSchedule(clock=self.clock)

    def sent_s(self, rate_per_s, steps):
        """Return when requests are sent; a step is a pause and a longest wait."""
        times_s = []
        for pause_s, max_wait_s in steps:
            self.clock.advance(pause_s)
            permit = self.schedule.reserve("e", rate_per_s, max_wait_s=max_wait_s)
            if permit.granted:
                times_s.append(self.clock.monotonic_s() + permit.wait_s)
        return times_s

    @settings(deadline=None)
    @given(
        rate_per_s=st.floats(0.1, 50.0),
        steps=st.lists(st.tuples(st.floats(0.0, 1.0), st.floats(0.0, 1.0))),
    )
    def test_no_window_holds_more_than_the_rate_and_a_burst(self, rate_per_s, steps):
        """Guards against a burst of requests that waited or came at once."""
        self.start()
        times_s = sorted(self.sent_s(rate_per_s, steps))
        allowed = rate_per_s * (WINDOW_S + BURST_S) + 2
        for begin_s in times_s:
            count = sum(begin_s <= time_s < begin_s + WINDOW_S for time_s in times_s)
            self.assertThat(count <= allowed + 1e-6, Equals(True), (count, allowed))

    def test_whole_rate_is_used_while_enough_requests_come(self):
        """Guards against callers refused although the endpoint would take them."""
        times_s = self.sent_s(3.0, [(0.1, 0.0)] * 600)
        self.assertThat(len(times_s) >= 0.98 * 3.0 * 60.0, Equals(True), len(times_s))

    def test_endpoint_that_takes_nothing_is_asked_now_and_then(self):
        """Guards against a limit of 0 that never ends, as no answer could end it."""
        times_s = self.sent_s(0.0, [(0.1, 0.0)] * 600)
        self.assertThat(0 < len(times_s) <= 8, Equals(True), len(times_s))

    def test_hosts_that_were_denied_a_permit_come_back_at_different_times(self):
        """Guards against all hosts that ask again at the same moment."""
        self.sent_s(5.0, [(0.0, 0.0)])
        permits = [self.schedule.reserve("e", 5.0, max_wait_s=0.0) for _ in range(5)]
        self.assertThat({permit.granted for permit in permits}, Equals({False}))
        waits_s = [round(permit.wait_s, 3) for permit in permits]
        self.assertThat(waits_s, Equals([0.2, 0.4, 0.6, 0.8, 1.0]))

    def test_higher_limit_takes_effect_at_once(self):
        """Guards against waits that follow from an earlier, lower limit."""
        self.sent_s(0.1, [(0.0, 0.0)] * 5)
        permit = self.schedule.reserve("e", 100.0, max_wait_s=0.05)
        self.assertThat(permit.granted, Equals(True))
