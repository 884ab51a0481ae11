"""Fleet of virtual hosts with their coordination components and one platform."""

from dataclasses import dataclass

import numpy as np

from sesameknot.clock import Clock
from sesameknot.coordination.freshness import Freshness
from sesameknot.coordination.membership import Membership, PingProviders
from sesameknot.coordination.replication import Replication
from sesameknot.coordination.roster_keeper import RosterKeeper
from sesameknot.settings.process import RouterSettings
from sesameknot.state.object_store import ObjectStore
from tests.fakes import FakePlatform, FakePlatformClient
from tests.virtual_hosts import VirtualClient, VirtualWorld


@dataclass(slots=True)
class Host:
    """Coordination components of one router."""

    store: ObjectStore
    membership: Membership
    freshness: Freshness
    replication: Replication
    roster_keeper: RosterKeeper
    platform: FakePlatformClient

    def live_ids(self) -> list[str]:
        return sorted(member.host_id for member in self.membership.live())

    def roster_ids(self) -> list[str]:
        return [member.host_id for member in self.roster_keeper.roster.members]


class SkewedClock:
    """Clock whose wall time is offset by a fixed amount."""

    def __init__(self, clock: Clock, wall_offset_ms: int) -> None:
        self.clock = clock
        self.wall_offset_ms = wall_offset_ms

    def monotonic_s(self) -> float:
        return self.clock.monotonic_s()

    def wall_ms(self) -> int:
        return self.clock.wall_ms() + self.wall_offset_ms


class Fleet:
    """Hosts ``h00``, ``h01``, ... that use the first two as seeds."""

    def __init__(
        self, count: int, *, seed: int, regions: int = 1, domains: int = 4
    ) -> None:
        self.world = VirtualWorld(seed)
        self.platform = FakePlatform()
        self.platform.loop = self.world.add("platform", "platform")
        self.seed = seed
        self.regions = regions
        self.domains = domains
        self.hosts: dict[str, Host] = {}
        self.names = [f"h{index:02d}" for index in range(count)]
        for name in self.names:
            self.start(name)

    def settings(self, name: str) -> RouterSettings:
        index = int(name[1:])
        return RouterSettings(
            host_id=name,
            region=f"region-{index % self.regions}",
            domain=f"domain-{index % self.domains}",
            http_address=f"10.0.0.{index}:80",
            peer_address=address_of(name),
            platform_url="http://10.1.0.1:80",
            seeds=[address_of("h00"), address_of("h01")],
        )

    def start(self, name: str, *, wall_offset_ms: int = 0) -> Host:
        """Start a host without state, its wall clock offset by ``wall_offset_ms``."""
        world, settings = self.world, self.settings(name)
        loop = world.add(name, settings.peer_address)
        random_state = np.random.default_rng([self.seed, int(name[1:])])
        clock = SkewedClock(world.clock, wall_offset_ms)
        client = VirtualClient(world, name)
        store = ObjectStore()
        freshness = Freshness(clock, host_id=name)
        membership = Membership(
            settings,
            client,
            clock=clock,
            random_state=random_state,
            providers=PingProviders(
                digest=store.digest, config_age_ms=freshness.age_ms
            ),
        )
        platform = self.platform.client(name)
        replication = Replication(
            settings,
            store,
            platform,
            client,
            membership,
            freshness,
            clock=clock,
            random_state=random_state,
        )
        roster_keeper = RosterKeeper(
            settings,
            store,
            platform,
            membership,
            freshness,
            clock=clock,
            random_state=random_state,
            publish=replication.publish,
        )
        freshness.roster_ids = lambda: [m.host_id for m in roster_keeper.roster.members]
        freshness.live_ids = lambda: [
            m.host_id for m in membership.live() if m.state == "alive"
        ]
        for component in (membership, replication):
            component.register(world.servers[name])
            loop.call_soon(
                lambda component=component: loop.create_task(component.run())
            )
        loop.call_soon(lambda: loop.create_task(roster_keeper.run()))
        host = Host(store, membership, freshness, replication, roster_keeper, platform)
        self.hosts[name] = host
        return host

    def kill(self, name: str) -> None:
        self.world.kill(name)
        self.hosts.pop(name)

    def settle(self, *, limit_s: float = 30.0) -> bool:
        """Run until all hosts are live, fresh and in the roster; return success."""
        names = sorted(self.hosts)

        def settled() -> bool:
            return all(
                host.live_ids() == names
                and host.roster_ids() == names
                and host.freshness.may_accept()
                for host in self.hosts.values()
            )

        return self.world.run_until(settled, limit_s=limit_s)


def address_of(name: str) -> str:
    """Return the peer address of the host ``name``."""
    return f"10.0.0.{int(name[1:])}:7000"
