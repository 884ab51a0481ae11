"""Simulation of routers with grant owners and holders, one endpoint and the roster."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

import numpy as np

from sesameknot.coordination.grant_holder import GrantError, GrantHolder, SlotOutcome
from sesameknot.coordination.grant_owner import GrantOwner
from sesameknot.protocol.messages import EndpointReport
from sesameknot.protocol.roster import Roster, RosterMember
from sesameknot.settings.process import TimingSettings
from sesameknot.state.endpoint_table import EndpointSpec, EndpointState, EndpointTable
from sesameknot.transport.endpoint_client import ObservedLoad
from tests.virtual_hosts import VirtualClient, VirtualWorld

ENDPOINT = "e1"
LOAD_LAG_S = 1.0


class SlowWorld(VirtualWorld):
    """World whose network delays some messages, partly beyond the expiry of a grant.

    Attributes
    ----------
    slow_share : float
        Probability that a message is delayed.
    """

    slow_share = 0.0

    def deliver(self, source, target, action):
        if self.random.random() < self.slow_share:
            loop = self.loops.get(target)
            if loop is not None and (source, target) not in self.cuts:
                delay_s = self.random.uniform(0.2, 6.0)
                loop.call_at(self.clock.monotonic_s() + delay_s, action)
            return
        super().deliver(source, target, action)


@dataclass
class FakeEndpoint:
    """Endpoint that counts its requests and reports its load with a lag."""

    world: VirtualWorld
    state: str = "cold"
    running: set[object] = field(default_factory=set)
    on_lost: dict[object, Callable[[], None]] = field(default_factory=dict)
    arrivals: list[tuple[float, str]] = field(default_factory=list)
    max_cold_count: int = 0
    history: list[tuple[float, str, int]] = field(default_factory=list)

    def record_history(self) -> None:
        entry = (self.world.clock.monotonic_s(), self.state, len(self.running))
        self.history.append(entry)

    def set_state(self, state: str, *, drop: bool = False) -> None:
        """Change the state; ``drop`` loses the running requests."""
        self.state = state
        if drop:
            for notify in self.on_lost.values():
                notify()
            self.on_lost.clear()
            self.running.clear()
        self.record_history()

    def arrive(self, host_id: str) -> object:
        """Start a request."""
        self.arrivals.append((self.world.clock.monotonic_s(), host_id))
        request = object()
        self.running.add(request)
        if self.state == "cold":
            self.max_cold_count = max(self.max_cold_count, len(self.running))
        self.record_history()
        return request

    def finish(self, request: object) -> bool:
        """End a request; return False if a state change lost it."""
        self.on_lost.pop(request, None)
        kept = request in self.running
        self.running.discard(request)
        self.record_history()
        return kept

    def load(self) -> EndpointReport:
        """Return the load as it was before the load lag."""
        limit_s = self.world.clock.monotonic_s() - LOAD_LAG_S
        state, count = self.history[0][1:]
        for at_s, old_state, old_count in reversed(self.history):
            if at_s <= limit_s:
                state, count = old_state, old_count
                break
        return EndpointReport(endpoint_id=ENDPOINT, state=state, running_count=count)


@dataclass
class Router:
    """One incarnation of a host."""

    member: RosterMember
    table: EndpointTable
    grant_owner: GrantOwner
    grant_holder: GrantHolder
    roster: Roster
    confirmed_s: float


class GrantWorld:
    """Routers that send requests to one endpoint, and the platform's roster.

    Parameters
    ----------
    seed : int
        Seed of the network and of all delays.
    router_count : int, default=9
        Routers in the first roster.
    cold_slot_count : int, default=2
        Concurrent requests of the endpoint in cold start.
    slow_share : float, default=0.0
        Probability that a message is delayed.
    request_rate_per_s : float, default=1.0
        Requests per second of each router.
    max_duration_s : float, default=8.0
        Longest time from the first token of a request to its end.
    max_travel_s : float, default=0.4
        Longest time from the grant check of a request to its arrival.
    capacity_count : int, default=18
        Concurrent requests of the endpoint when warm.
    state : str, default="cold"
        First state of the endpoint.
    """

    def __init__(
        self,
        seed: int,
        *,
        router_count: int = 9,
        cold_slot_count: int = 2,
        slow_share: float = 0.0,
        request_rate_per_s: float = 1.0,
        max_duration_s: float = 8.0,
        max_travel_s: float = 0.4,
        capacity_count: int = 18,
        state: str = "cold",
    ) -> None:
        self.world = SlowWorld(seed)
        self.world.slow_share = slow_share
        self.random = np.random.default_rng([seed, 1])
        self.timing = TimingSettings()
        self.spec = EndpointSpec(
            endpoint_id=ENDPOINT,
            url="http://10.2.0.1:80",
            capacity_count=capacity_count,
            cold_slot_count=cold_slot_count,
        )
        self.endpoint = FakeEndpoint(self.world, state)
        self.endpoint.record_history()
        self.request_rate_per_s = request_rate_per_s
        self.max_duration_s = max_duration_s
        self.max_travel_s = max_travel_s
        self.done_count = 0
        self.without_platform: set[str] = set()
        self.routers: dict[str, Router] = {}
        members = tuple(self._member(index, 1) for index in range(router_count))
        self.roster = Roster(version=1, members=members)
        for member in members:
            self.start(member)

    def _member(self, index: int, incarnation: int) -> RosterMember:
        name = f"r{index}"
        return RosterMember(
            name, incarnation, f"10.0.0.{index}:7000", "region", f"d{index % 4}"
        )

    def start(self, member: RosterMember) -> None:
        """Start a router without any state."""
        name, clock = member.host_id, self.world.clock
        loop = self.world.add(name, member.address)
        client = VirtualClient(self.world, name)
        table = EndpointTable(clock=clock)
        table.configure([self.spec])
        owner = GrantOwner(
            name,
            member.incarnation,
            clock=clock,
            table=table,
            roster=lambda: router.roster,
            stale=lambda: clock.monotonic_s() - router.confirmed_s > 3.0,
            poll=lambda endpoint_id, url: self._poll(),
            peers=client,
            timing=self.timing,
        )
        holder = GrantHolder(
            name,
            member.incarnation,
            member.address,
            clock=clock,
            table=table,
            roster=lambda: router.roster,
            peers=client,
            grant_owner=owner,
            timing=self.timing,
        )
        now_s = clock.monotonic_s()
        router = Router(member, table, owner, holder, self.roster, now_s)
        self.routers[name] = router
        owner.register(self.world.servers[name])
        holder.register(self.world.servers[name])
        for job in (
            owner.run,
            holder.run,
            self._roster_reader(router),
            self._request_sender(router),
        ):
            loop.call_soon(lambda job=job: loop.create_task(job()))

    async def _poll(self) -> EndpointReport:
        await asyncio.sleep(self.random.uniform(0.001, 0.05))
        return self.endpoint.load()

    def _roster_reader(self, router: Router):
        async def read():
            while True:
                sent_s = self.world.clock.monotonic_s()
                roster = self.roster
                await asyncio.sleep(self.random.uniform(0.001, 0.5))
                if router.member.host_id not in self.without_platform:
                    router.roster = max(router.roster, roster, key=lambda r: r.version)
                    router.confirmed_s = max(router.confirmed_s, sent_s)
                await asyncio.sleep(0.3)

        return read

    def _request_sender(self, router: Router):
        async def send_all():
            tasks = set()
            while True:
                await asyncio.sleep(
                    self.random.exponential(1 / self.request_rate_per_s)
                )
                task = asyncio.create_task(self._request(router))
                tasks.add(task)
                task.add_done_callback(tasks.discard)

        return send_all

    async def _request(self, router: Router) -> None:
        slot = await router.grant_holder.acquire_any([ENDPOINT], timeout_s=2.0)
        if slot is None:
            return
        # Time to connect, in some cases longer than the lifetime of a grant.
        slow = self.random.random() < 0.1
        await asyncio.sleep(self.random.uniform(0.0, 3.0 if slow else 0.05))
        try:
            slot.check()
        except GrantError:
            slot.release(SlotOutcome.NOT_SENT)
            return
        slot.release(await self._send(router))

    async def _send(self, router: Router) -> SlotOutcome:
        """Run a request; the endpoint continues it while this host is frozen."""
        answer = asyncio.get_running_loop().create_future()
        name = router.member.host_id
        clock = self.world.clock
        endpoint_loop = self._endpoint_loop()
        sent_s = clock.monotonic_s()

        def arrive() -> None:
            request = self.endpoint.arrive(name)
            first_token_delay_s = 0.4 if self.endpoint.state == "cold" else 0.1
            duration_s = first_token_delay_s + self.random.uniform(
                0.05, self.max_duration_s
            )
            endpoint_loop.call_later(first_token_delay_s, lambda: start(request))
            endpoint_loop.call_later(duration_s, lambda: finish(request))
            self.endpoint.on_lost[request] = lambda: self._answer(
                name, answer, SlotOutcome.BROKEN
            )

        def start(request: object) -> None:
            if request in self.endpoint.running:
                load = ObservedLoad(self.endpoint.state, len(self.endpoint.running), 0)
                self.world.deliver("endpoint", name, lambda: observe(load))

        def observe(load: ObservedLoad) -> None:
            router.grant_holder.observe(ENDPOINT, load)
            router.grant_holder.record_first_token(
                ENDPOINT, clock.monotonic_s() - sent_s
            )

        def finish(request: object) -> None:
            if self.endpoint.finish(request):
                self.done_count += 1
                self._answer(name, answer, SlotOutcome.DONE)

        endpoint_loop.call_later(self.random.uniform(0.001, self.max_travel_s), arrive)
        return await answer

    def _endpoint_loop(self):
        if "endpoint" not in self.world.loops:
            self.world.add("endpoint", "10.2.0.1:80")
        return self.world.loops["endpoint"]

    def _answer(self, name: str, answer: asyncio.Future, outcome: SlotOutcome) -> None:
        def settle():
            if not answer.done():
                answer.set_result(outcome)

        self.world.deliver("endpoint", name, settle)

    def change_roster(self, names: set[str]) -> None:
        """Commit a roster that consists of the routers called ``names``."""
        members = tuple(
            r.member for name, r in sorted(self.routers.items()) if name in names
        )
        self.roster = Roster(
            version=self.roster.version + 1,
            members=members,
            previous=self.roster.members,
            previous_version=self.roster.version,
        )

    def restart(self, name: str) -> None:
        """Kill a router and start its next incarnation without any state."""
        member = self.routers[name].member
        self.world.kill(name)
        self.world.frozen.discard(name)
        self.start(self._member(int(name[1:]), member.incarnation + 1))

    def owner_name(self) -> str:
        """Return the owner of the endpoint under the committed roster."""
        router = next(iter(self.routers.values()))
        saved_roster, router.roster = router.roster, self.roster
        owner = router.grant_owner.owner_map.owner(ENDPOINT)
        router.roster = saved_roster
        return owner.host_id

    def states(self) -> dict[str, EndpointState]:
        """Return the state of the endpoint in each router's table."""
        return {n: r.table.state(ENDPOINT) for n, r in self.routers.items()}
