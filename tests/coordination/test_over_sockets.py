"""Tests of membership, replication and roster over loopback sockets."""

import asyncio

import numpy as np
from testtools.matchers import Equals
from tornado.httpserver import HTTPServer
from tornado.testing import bind_unused_port, gen_test

from sesameknot.clock import SystemClock
from sesameknot.coordination.freshness import Freshness
from sesameknot.coordination.membership import Membership, PingProviders
from sesameknot.coordination.replication import Replication
from sesameknot.coordination.roster_keeper import RosterKeeper
from sesameknot.settings.process import RouterSettings, TimingSettings
from sesameknot.standins.platform import PlatformCore, make_application
from sesameknot.state.object_store import ObjectStore
from sesameknot.transport.peer_client import PeerClient
from sesameknot.transport.peer_server import PeerServer
from sesameknot.transport.platform_client import PlatformClient
from tests.support import LoopTestCase, eventually

TIMING = TimingSettings(heartbeat_s=0.1, roster_change_s=0.1)


class SocketHost:
    """Coordination components of one router on real sockets."""

    def __init__(self, test, name, address, seed_address, url, server):
        clock, random_state = SystemClock(), np.random.default_rng(len(name))
        settings = RouterSettings(
            host_id=name,
            region="r",
            domain=name,
            http_address="127.0.0.1:80",
            peer_address=address,
            platform_url=url,
            seeds=[seed_address],
            timing=TIMING,
        )
        client = PeerClient(name, clock=clock)
        platform = PlatformClient(url)
        test.closing(client.close)
        test.closing(platform.close)
        self.store = ObjectStore()
        self.freshness = Freshness(clock, host_id=name)
        clock_and_random = {"clock": clock, "random_state": random_state}
        providers = PingProviders(
            digest=self.store.digest, config_age_ms=self.freshness.age_ms
        )
        self.membership = Membership(
            settings, client, providers=providers, **clock_and_random
        )
        dependencies = (self.membership, self.freshness)
        self.replication = Replication(
            settings, self.store, platform, client, *dependencies, **clock_and_random
        )
        self.keeper = RosterKeeper(
            settings,
            self.store,
            platform,
            *dependencies,
            publish=self.replication.publish,
            **clock_and_random,
        )
        self.membership.register(server)
        self.replication.register(server)

    def tasks(self):
        for component in (self.membership, self.replication, self.keeper):
            yield asyncio.ensure_future(component.run())


class OverSocketsTest(LoopTestCase):
    @gen_test(timeout=30)
    async def test_three_hosts_share_objects_and_a_roster(self):
        """Guards against components that work only on the virtual network."""
        platform_core = PlatformCore(clock=SystemClock())
        url = f"http://{self.listen(HTTPServer(make_application(platform_core)))}"
        names = ["a", "bb", "ccc"]
        sockets = [bind_unused_port() for _ in names]
        addresses = [f"127.0.0.1:{port}" for _, port in sockets]
        hosts, tasks = [], []
        for name, address, (sock, _) in zip(names, addresses, sockets, strict=True):
            server = PeerServer(name)
            server.add_socket(sock)
            self.closing(server.stop)
            host = SocketHost(self, name, address, addresses[0], url, server)
            hosts.append(host)
            tasks.extend(host.tasks())
        try:
            await eventually(
                lambda: all(len(h.keeper.roster.members) == 3 for h in hosts)
            )
            platform = PlatformClient(url)
            self.closing(platform.close)
            stored = await platform.put(
                "domains/d", {"state": "out"}, expected_version=0, write_id="w"
            )
            await eventually(lambda: all(h.store.get("domains/d") for h in hosts))
            self.assertThat(hosts[2].store.get("domains/d"), Equals(stored))
            self.assertThat(
                [h.freshness.may_accept() for h in hosts], Equals([True] * 3)
            )
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
