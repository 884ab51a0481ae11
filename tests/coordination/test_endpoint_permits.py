"""Load of many hosts on endpoints that limit the sum of their requests.

Simulated hosts on one clock, each with a list of hosts and a schedule of its own, all
ask for permits as fast as they may.
"""

import asyncio
from types import SimpleNamespace

from testtools import TestCase
from testtools.matchers import Equals

from sesameknot.coordination.endpoint_permits import EndpointPermits
from sesameknot.coordination.host_calls import HostCalls
from sesameknot.protocol.fleet_records import HostEntry
from sesameknot.protocol.messages import EndpointPermitRequest
from sesameknot.state.endpoint_limits import NamedLimit
from sesameknot.state.fleet_view import FleetView
from tests.virtual_hosts import VirtualClient, VirtualWorld

RATE_PER_S = 4.0
WINDOW_S = 4.0
OVERAGE = 1.5
SLACK_COUNT = 5
ALLOWED_COUNT = OVERAGE * RATE_PER_S * WINDOW_S + SLACK_COUNT
ENDPOINT = SimpleNamespace(endpoint_id="e", incarnation_id="e@1")


class PermitFleet:
    """Hosts that all know a limit, and the times at which they send requests."""

    def __init__(self, seed, host_count):
        self.world = VirtualWorld(seed)
        self.names = [f"host-{n}" for n in range(host_count)]
        self.started_s = self.world.clock.monotonic_s()
        self.sent = []
        self.permits = {}
        for name in self.names:
            self.add(name, self.names)

    def add(self, name, known_names, *, joined_s=float("-inf")):
        """Start a host that knows these hosts, and let it press on the endpoint."""
        world = self.world
        loop = world.add(name, name)
        view = FleetView(world.clock)
        view.hosts = {
            other: HostEntry(host_id=other, peer_address=other, domain="a")
            for other in known_names
        }
        limit = NamedLimit(RATE_PER_S, world.clock.monotonic_s())
        view.endpoint_limits.merge(ENDPOINT.incarnation_id, limit)
        permits = EndpointPermits(
            view=view,
            calls=HostCalls(
                view=view, peers=VirtualClient(world, name), clock=world.clock
            ),
            host_id=name,
            joined_s=lambda: joined_s,
            settle_s=12.0,
            leaving=lambda: False,
            clock=world.clock,
        )
        world.servers[name].handle(EndpointPermitRequest)(permits.answer)
        self.permits[name] = permits
        loop.create_task(self._press(name, view, permits))

    async def _press(self, name, view, permits):
        limits = view.endpoint_limits
        while True:
            await asyncio.sleep(0.05)
            if limits.wait_s(ENDPOINT.incarnation_id):
                continue
            if await permits.acquire(ENDPOINT, request_id="r", max_wait_s=0.1):
                now_s = self.world.clock.monotonic_s()
                self.sent.append((now_s - self.started_s, name))

    def most_in_window(self, *, without=()):
        """Return the most requests in a window, without those of some hosts."""
        times_s = [time_s for time_s, name in self.sent if name not in without]
        return max(
            sum(begin_s <= time_s < begin_s + WINDOW_S for time_s in times_s)
            for begin_s in times_s
        )

    def rate_per_s(self, begin_s, end_s):
        """Return the request rate in a span of time."""
        count = sum(begin_s <= time_s < end_s for time_s, _ in self.sent)
        return count / (end_s - begin_s)


class ManyHostsTest(TestCase):
    def fleet(self, seed, host_count):
        fleet = PermitFleet(seed, host_count)
        self.addCleanup(fleet.world.close)
        return fleet

    def check(self, fleet, **options):
        most = fleet.most_in_window(**options)
        self.assertThat(most <= ALLOWED_COUNT, Equals(True), most)

    def test_hosts_of_all_sizes_press_on_one_endpoint(self):
        """Guards against a sum that grows with the hosts, and a limit left unused."""
        for host_count in (1, 2, 9, 70, 195):
            fleet = self.fleet(host_count, host_count)
            fleet.world.run_for(12.0)
            self.check(fleet)
            used = fleet.rate_per_s(2.0, 12.0) / RATE_PER_S
            self.assertThat(used >= 0.9, Equals(True), (host_count, used))

    def test_owner_is_killed_and_comes_back(self):
        """Guards against two owners at a time, and against none."""
        for seed in range(10):
            fleet = self.fleet(seed, 9)
            fleet.world.run_for(5.0)
            owner = fleet.permits["host-0"]._owners(ENDPOINT.incarnation_id)[0]
            fleet.world.kill(owner)
            fleet.world.run_for(6.0)
            fleet.add(owner, fleet.names)
            fleet.world.run_for(6.0)
            self.check(fleet)
            used = fleet.rate_per_s(6.0, 11.0) / RATE_PER_S
            self.assertThat(used >= 0.8, Equals(True), (seed, used))

    def test_owner_is_frozen_and_wakes(self):
        """Guards against the permits of an owner that others had replaced."""
        for seed in range(10):
            fleet = self.fleet(seed, 9)
            fleet.world.run_for(5.0)
            owner = fleet.permits["host-0"]._owners(ENDPOINT.incarnation_id)[0]
            fleet.world.frozen.add(owner)
            fleet.world.run_for(5.0)
            fleet.world.frozen.discard(owner)
            fleet.world.run_for(6.0)
            self.check(fleet, without={owner})

    def test_host_joins_that_only_some_know(self):
        """Guards against two owners while the lists of hosts differ."""
        for seed in range(10):
            fleet = self.fleet(seed, 8)
            fleet.world.run_for(5.0)
            newcomers = [f"new-{n}" for n in range(8)]
            names = fleet.names + newcomers
            joined_s = fleet.world.clock.monotonic_s()
            for newcomer in newcomers:
                fleet.add(newcomer, names, joined_s=joined_s)
            fleet.world.run_for(10.0)
            self.check(fleet)

    def test_host_that_reaches_no_other_uses_its_part(self):
        """Guards against a host without an owner that sends nothing, or too much."""
        fleet = self.fleet(1, 9)
        alone = "host-3"
        fleet.world.cut([alone], [name for name in fleet.names if name != alone])
        fleet.world.run_for(30.0)
        self.check(fleet, without={alone})
        self.assertThat(sum(name == alone for _, name in fleet.sent) > 5, Equals(True))
