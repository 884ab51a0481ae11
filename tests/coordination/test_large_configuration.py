"""Tests of relays that pass a large configuration on over links of limited rate."""

import dataclasses
import json
import random

from testtools.matchers import Equals, GreaterThan, LessThan
from tornado.testing import gen_test

from tests.front_world import MODEL_SERVICE, PLAIN_SERVICE, FrontWorld, configuration
from tests.front_world import route as make_route
from tests.slow_links import HostLinks, LinkedTCPClient, LinkProxy
from tests.support import eventually
from tests.virtual_time import VirtualTimeMixin

HOST_COUNT = 12
LINK_BYTES_PER_S = 10e6 / 8
ROUTE_COUNT = 2000
# Limits that operators set for a notice of a leaving endpoint and for a configuration.
BOUNDS = {"endpoint_leave_ms": 3000, "configuration_apply_ms": 3000}
LIMIT_S = 3.0
# From the decision to send a request until it reaches the endpoint.
SEND_TIME_S = 0.15
SLOW_LINK_BYTES_PER_S = 2.5e6 / 8
# Longest pause between calls to a store that does not answer, and time for a retry.
RETURN_S = 1.5
# Two rounds of questions to other hosts, and the transfer.
START_S = 2.0


def large_configuration(version):
    """Return a configuration of about 600 kB."""
    names = random.Random(version)
    routes = [
        make_route(
            f"r-{names.getrandbits(40):x}",
            f"/{names.getrandbits(32):x}/{number}/",
            "streaming",
            MODEL_SERVICE,
            Priority=1,
            MaxAttempts=3,
            Public=False,
            Sticky=True,
            Resumable=True,
            GapTargetMs=1500,
            Sizes=["model-a", "model-b", "model-c"],
        )
        for number in range(ROUTE_COUNT)
    ]
    return configuration(version, routes=routes)


class LargeConfigurationTest(VirtualTimeMixin, FrontWorld):
    """Pattern: one failure domain of hosts with links of 10 Mbit/s.

    A configuration of 600 kB takes half a second on such a link, and a relay passes it
    on to several hosts. Most cases have a store that turns the relayed hosts away, so
    that only the relays can tell them of changes.
    """

    def setUp(self):
        super().setUp()
        self.network = {}
        self.store_proxies = {}
        self.store.put("config", "main", configuration())
        self.add_endpoint("e1", PLAIN_SERVICE)

    async def start_linked_front(self, host_id, *, seeds=(), until_ready=True):
        """Start a host whose connections to peers and the store pass its links."""
        settings = self.host_settings(host_id, seeds=seeds, **BOUNDS)
        links = HostLinks(LINK_BYTES_PER_S)
        self.network[settings.peer_address] = links
        proxy = LinkProxy(
            self.store_address, requests=[links.outward], answers=[links.inward]
        )
        self.closing(proxy.close)
        self.store_proxies[host_id] = proxy
        settings = dataclasses.replace(settings, store_address=await proxy.start())
        client = LinkedTCPClient(self.network, settings.peer_address)
        self.closing(client.close)
        return await self.start_front_with(
            settings, tcp_client=client, until_ready=until_ready
        )

    async def start_hosts(self):
        """Start hosts; return the relays and the hosts that they serve."""
        fronts = [await self.start_linked_front(f"host-{n}") for n in range(HOST_COUNT)]
        for front in fronts:
            await front.directory.refresh()
        relays = fronts[0].relay_order.relays("a")
        direct = [f for f in fronts if f.host.host_id in relays]
        relayed = [f for f in fronts if f.host.host_id not in relays]
        await eventually(
            lambda: (
                all(f.store_link.relayed for f in relayed)
                and not any(f.store_link.relayed for f in direct)
            )
        )
        await self.pause(3.0)
        return direct, relayed

    def turn_away(self, fronts):
        """Let the store refuse the connections of hosts."""
        for front in fronts:
            self.store_proxies[front.host.host_id].refuse()

    def now_s(self):
        """Return the loop's time."""
        return self.io_loop.asyncio_loop.time()

    def leave(self, endpoint_id):
        """Let an endpoint report that it leaves."""
        entry = self.store.get("servers", endpoint_id)["Spec"]
        self.store.put("servers", endpoint_id, {**entry, "State": "draining"})

    async def time_until(self, condition):
        """Return the seconds until ``condition`` holds."""
        started_s = self.now_s()
        await eventually(condition, limit_s=8.0)
        return self.now_s() - started_s

    @gen_test(timeout=120)
    async def test_leaving_notice_is_not_delayed_by_a_large_configuration(self):
        """Guards against a notice that waits behind copies of a configuration."""
        direct, relayed = await self.start_hosts()
        self.turn_away(relayed)
        self.store.put("config", "main", large_configuration(7))
        await self.pause(1.0)
        self.leave("e1")
        elapsed_s = await self.time_until(
            lambda: (
                not any(
                    f.view.may_send(f.view.endpoints["e1"]) for f in direct + relayed
                )
            )
        )
        self.assertThat(elapsed_s, LessThan(LIMIT_S - SEND_TIME_S))

    @gen_test(timeout=120)
    async def test_large_configuration_reaches_hosts_that_the_store_turns_away(self):
        """Guards against relays whose answers are too long to arrive in time."""
        direct, relayed = await self.start_hosts()
        self.turn_away(relayed)
        self.store.put("config", "main", large_configuration(7))
        elapsed_s = await self.time_until(
            lambda: all(f.view.configuration.version == 7 for f in direct + relayed)
        )
        self.assertThat(elapsed_s, LessThan(LIMIT_S))

    @gen_test(timeout=120)
    async def test_large_configurations_in_quick_succession_arrive_in_time(self):
        """Guards against transfers that newer versions end again and again."""
        direct, relayed = await self.start_hosts()
        for version in (7, 8, 9):
            self.store.put("config", "main", large_configuration(version))
            await self.pause(0.3)
        elapsed_s = await self.time_until(
            lambda: {f.view.configuration.version for f in direct + relayed} == {9}
        )
        self.assertThat(elapsed_s + 0.3, LessThan(LIMIT_S))

    @gen_test(timeout=120)
    async def test_large_configuration_costs_each_link_a_few_copies_at_most(self):
        """Guards against copies that are sent again because they are late."""
        direct, relayed = await self.start_hosts()
        for links in self.network.values():
            links.inward.passed_bytes = 0
        self.store.put("config", "main", large_configuration(7))
        await eventually(
            lambda: all(f.view.configuration.version == 7 for f in direct + relayed),
            limit_s=8.0,
        )
        await self.pause(2.0)
        copy_bytes = len(str(self.store.get("config", "main")["Spec"]))
        most_bytes = max(links.inward.passed_bytes for links in self.network.values())
        self.assertThat(most_bytes, LessThan(2.5 * copy_bytes))
        self.assertThat([f.store_link.relayed for f in relayed], Equals([True] * 10))

    @gen_test(timeout=120)
    async def test_host_that_the_store_takes_back_reads_a_large_configuration(self):
        """Guards against an answer that is given up while it arrives, each time.

        The link is so slow that one copy takes longer than a short watch waits.
        """
        front = await self.start_linked_front("host-0")
        await self.pause(1.0)
        proxy = self.store_proxies["host-0"]
        proxy.refuse()
        await self.pause(1.0)
        links = self.network[front.host.peer_address]
        links.inward.rate_bytes_per_s = SLOW_LINK_BYTES_PER_S
        self.store.put("config", "main", large_configuration(7))
        copy_bytes = len(json.dumps(self.store.get("config", "main")))
        proxy.refusing = False
        elapsed_s = await self.time_until(lambda: front.view.configuration.version == 7)
        transfer_s = copy_bytes / SLOW_LINK_BYTES_PER_S
        self.assertThat(transfer_s, GreaterThan(1.0))
        self.assertThat(elapsed_s, LessThan(transfer_s + RETURN_S))

    @gen_test(timeout=120)
    async def test_host_that_starts_in_an_outage_gets_a_large_configuration(self):
        """Guards against a host that never starts, as its peers' answers are long."""
        direct, relayed = await self.start_hosts()
        self.store.put("config", "main", large_configuration(7))
        hosts = direct + relayed
        await eventually(
            lambda: all(f.view.configuration.version == 7 for f in hosts), limit_s=8.0
        )
        self.store.refuse_status = 503
        seeds = [f.host.peer_address for f in hosts[:3]]
        front = await self.start_linked_front(
            "host-late", seeds=seeds, until_ready=False
        )
        elapsed_s = await self.time_until(lambda: front.view.ready)
        self.assertThat(elapsed_s, LessThan(START_S))
        self.assertThat(front.view.configuration.version, Equals(7))
