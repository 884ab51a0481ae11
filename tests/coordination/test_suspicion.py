"""Tests of the suspicion timers."""

from testtools import TestCase
from testtools.matchers import Equals

from sesameknot.clock import ManualClock
from sesameknot.coordination._suspicion import SuspicionTimers


class SuspicionTimersTest(TestCase):
    def test_a_pause_of_this_process_does_not_count_against_suspects(self):
        """Guards against declaring suspects dead after a pause of this process."""
        clock = ManualClock()
        timers = SuspicionTimers(
            clock, heartbeat_s=1.0, suspicion_s=3.0, retention_s=60.0
        )
        timers.start_suspicion("a")
        clock.advance(1.0)
        timers.tick()
        clock.advance(30.0)
        timers.tick()
        self.assertThat(timers.expired_suspects(), Equals([]))
        for _ in range(3):
            clock.advance(1.0)
            timers.tick()
        self.assertThat(timers.expired_suspects(), Equals(["a"]))

    def test_dead_hosts_are_forgotten_after_their_retention(self):
        """Guards against a member table that grows with every replaced host."""
        clock = ManualClock()
        timers = SuspicionTimers(
            clock, heartbeat_s=1.0, suspicion_s=3.0, retention_s=60.0
        )
        timers.start_retention("a")
        clock.advance(59.0)
        self.assertThat(timers.pop_expired_dead(), Equals([]))
        clock.advance(1.0)
        self.assertThat(timers.pop_expired_dead(), Equals(["a"]))
        self.assertThat(timers.pop_expired_dead(), Equals([]))
