"""Tests of the exchange of crash counts between hosts.

The load: one request comes again and again and crashes each endpoint that runs it,
while the endpoints run many other requests for all hosts.
"""

from testtools import TestCase
from testtools.matchers import Equals

from sesameknot.clock import ManualClock
from sesameknot.coordination.crash_exchange import CrashExchange
from sesameknot.policy.crash_guard import CrashGuard

HOST_COUNT = 8
CRASH_LIMIT_COUNT = 3
CRASHING_REQUEST = 1
# Requests of each host at an endpoint that crashes.
OTHERS_AT_ENDPOINT_COUNT = 12
RETENTION_S = 600.0


class CrashExchangeTest(TestCase):
    def setUp(self):
        super().setUp()
        self.clock = ManualClock()
        self.guards = [
            CrashGuard(
                clock=self.clock,
                limit_count=CRASH_LIMIT_COUNT,
                retention_s=RETENTION_S,
            )
            for _ in range(HOST_COUNT)
        ]
        self.exchanges = [CrashExchange(guard) for guard in self.guards]
        self.other_requests = iter(range(1000, 1_000_000))

    def crash(self, host, endpoint_id):
        """Crash an endpoint that runs the request for one host, and others for all."""
        self.guards[host].record(CRASHING_REQUEST, endpoint_id)
        for guard in self.guards:
            for _ in range(OTHERS_AT_ENDPOINT_COUNT):
                self.clock.advance(0.0001)
                guard.record(next(self.other_requests), endpoint_id)

    def exchange(self):
        """Let every host send its counts to every other one."""
        for sender in self.exchanges:
            counts = sender.counts()
            for receiver in self.exchanges:
                if receiver is not sender:
                    receiver.merge(counts)

    def refusing_hosts(self):
        """Return how many hosts refuse the crashing request."""
        return sum(guard.refuses(CRASHING_REQUEST) for guard in self.guards)

    def test_counts_of_a_repeated_request_reach_all_hosts_beside_many_others(self):
        """Guards against counts that other requests push out of every message."""
        for host in range(CRASH_LIMIT_COUNT):
            self.crash(host, f"e{host}")
            self.exchange()
        self.assertThat(self.refusing_hosts(), Equals(HOST_COUNT))

    def test_host_that_missed_the_crashes_learns_of_the_request_later(self):
        """Guards against a started host that lets a known request through."""
        started = self.exchanges.pop()
        for host in range(CRASH_LIMIT_COUNT):
            self.crash(host, f"e{host}")
            self.exchange()
        self.clock.advance(RETENTION_S / 2.0)
        for number in range(CRASH_LIMIT_COUNT, 2 * CRASH_LIMIT_COUNT):
            for _ in range(OTHERS_AT_ENDPOINT_COUNT):
                self.guards[0].record(next(self.other_requests), f"e{number}")
        started.merge(self.exchanges[0].counts())
        self.assertThat(self.refusing_hosts(), Equals(HOST_COUNT))
