"""Fakes for the roll-out runner: router views, engines and a shared platform."""

import asyncio

import msgspec

from sesameknot.clock import ManualClock
from sesameknot.coordination.ownership import ranked_members
from sesameknot.coordination.rollout_runner import RolloutRunner
from sesameknot.errors import RouterError
from sesameknot.protocol.messages import EndpointReport, StatsReply, VersionStats
from sesameknot.protocol.orders import EngineState, OrderFencedError
from sesameknot.protocol.rollout_object import RolloutObject, rollout_from_value
from sesameknot.protocol.roster import Roster, RosterMember, roster_from_value
from sesameknot.settings.loader import team_from_value
from sesameknot.standins.platform import InProcessPlatform, PlatformCore

SHARES = [0.01, 0.25, 1.0]
KEY = "rollouts/feed.july"
WITHDRAWAL_KEY = "withdrawals/feed.small.v2"
ORDER_TIMEOUT_S = 4.0
LEASE_S = 5.0
MARGIN_S = 0.5


def team_value(fencing=True, **rollout):
    """Return a team's settings with three engines and one roll-out."""
    engine = {"domain": "idku", "models": ["small"], "fencing": fencing}
    value = {
        "team": "feed",
        "models": [
            {
                "name": "small",
                "versions": [{"name": "v1"}, {"name": "v2"}],
                "stable_version": "v1",
            }
        ],
        "endpoints": [
            {"endpoint_id": f"e{n}", "url": f"http://10.0.0.{n}:1", **engine}
            for n in range(3)
        ],
        "rollouts": [
            {
                "name": "july",
                "model": "small",
                "to_version": "v2",
                "step_shares": SHARES,
                **rollout,
            }
        ],
    }
    return msgspec.to_builtins(team_from_value(value, source="team"))


class FakeEngine:
    """An engine that may ignore fences or delay orders."""

    def __init__(self, *, fencing):
        self.fencing = fencing
        self.fence = 0
        self.versions = {"small/v1"}
        self.accepted: list[int] = []
        self.release: asyncio.Event | None = None

    async def load(self, name, fence):
        if self.release is not None:
            await self.release.wait()
        if self.fencing and fence < self.fence:
            raise OrderFencedError(f"fence {fence} is refused")
        self.fence = max(self.fence, fence)
        self.accepted.append(fence)
        self.versions.add(name)


class FakeEngineClient:
    def __init__(self, world):
        self.world = world
        self.engines = world.engines
        self.sent: list[tuple[str, int]] = []
        self.unauthorised: list[tuple[str, int]] = []

    async def fetch_load(self, endpoint_id, url):
        versions = sorted(self.engines[url].versions)
        return EndpointReport(endpoint_id=endpoint_id, versions=versions)

    async def order(self, url, order, *, timeout_s):
        self.sent.append((url, order.fence))
        if order.fence < self.world.rollout.fence:
            self.unauthorised.append((url, order.fence))
        engine = self.engines[url]
        execution = engine.load(f"{order.model}/{order.version}", order.fence)
        # The engine executes the order even if the sender dies meanwhile.
        await asyncio.shield(asyncio.ensure_future(execution))
        return EngineState(versions=sorted(engine.versions), fence=engine.fence)


class FakeView:
    """View of the platform's objects.

    It keeps old objects while ``frozen``, and fails while ``unreachable``.
    """

    def __init__(self, world):
        self.world = world
        self.frozen = False
        self.unreachable = False
        self._objects = {}

    async def refresh(self):
        if self.unreachable:
            raise RouterError("router is unreachable", step="refresh")
        if not self.frozen:
            table = self.world.core.table.below("")
            self._objects = {o.key: o for o in table.objects if not o.deleted}

    def get(self, key):
        return self._objects.get(key)

    def below(self, prefix):
        return [o for key, o in sorted(self._objects.items()) if key.startswith(prefix)]

    async def stats(self):
        return self.world.stats()

    async def push(self, stored):
        return


def stats_reply(request_count):
    """Return a reply with one router's counters of the new version."""
    new = VersionStats(
        team="feed", model="small", version="v2", request_count=request_count
    )
    return [StatsReply(host_id="h1", incarnation=1, versions=[new])]


class FakeDecision:
    """A verdict set by the test, and a share that starts at a quarter of the step."""

    def __init__(self, world):
        self.world = world

    def step_decision(self, plan, rollout):
        return FakeStepDecision(
            self.world, plan.step_shares[rollout.step], rollout.share
        )


class FakeStepDecision:
    def __init__(self, world, step_share, stored_share):
        self.world = world
        self.step_share = step_share
        self.share = min(step_share, max(stored_share, step_share / 4))

    def verdict(self, stable, new, *, elapsed_s):
        self.world.tested_count = new.request_count
        return self.world.verdict

    def raise_share(self, stable, new):
        raised_share = self.share * self.world.growth_factor
        self.share = min(self.step_share, raised_share)


class World:
    """One platform with a roll-out, and controllers on hosts h0, h1 and h2."""

    def __init__(self, *, fencing=True, decision=None, **rollout):
        self.clock = ManualClock()
        self.growth_factor = 2.0
        self.decision = decision(self.clock) if decision else FakeDecision(self)
        self.core = PlatformCore(clock=self.clock)
        self.verdict = "continue"
        self.views = {}
        team = team_value(fencing, **rollout)
        self.engines = {
            entry["url"]: FakeEngine(fencing=fencing) for entry in team["endpoints"]
        }
        self.engine_client = FakeEngineClient(self)
        members = tuple(
            RosterMember(f"h{n}", 1, f"10.0.1.{n}:1", "r", f"d{n}") for n in range(3)
        )
        planned = RolloutObject(
            team="feed", name="july", model="small", from_version="v1", to_version="v2"
        )
        self.put("settings/feed", team)
        self.put("roster/main", Roster(members=members).to_value())
        self.put(KEY, planned.to_value())

    def put(self, key, value):
        stored = self.core.table.present(key)
        version = 0 if stored.deleted else stored.version
        self.core.table.put(key, value, expected_version=version, write_id="operator")

    def write_as_operator(self, **changes):
        self.put(KEY, {**self.core.table.get(KEY).value, **changes})

    def runner(self, host_id):
        self.views[host_id] = FakeView(self)
        return RolloutRunner(
            host_id,
            view=self.views[host_id],
            platform=InProcessPlatform(self.core),
            engine_client=self.engine_client,
            decision=self.decision,
            clock=self.clock,
            order_timeout_s=ORDER_TIMEOUT_S,
        )

    def stats(self):
        return stats_reply(1)

    @property
    def rollout(self):
        return rollout_from_value(self.core.table.get(KEY).value, key=KEY)

    @property
    def withdrawn(self):
        stored = self.core.table.get(WITHDRAWAL_KEY)
        return stored is not None and stored.value["withdrawn"]


async def settle():
    """Let background orders run, which take a few iterations of the event loop."""
    for _ in range(20):
        await asyncio.sleep(0)


async def tick(runner, times=1):
    """Let ``runner`` tick and its orders run."""
    for _ in range(times):
        await runner.tick()
        await settle()


def asynchronous(test):
    """Run a test method in its own event loop."""

    def run(self):
        asyncio.run(test(self))

    run.__name__, run.__doc__ = test.__name__, test.__doc__
    return run


def by_rank(world):
    """Return runners in the order in which they may acquire the roll-out."""
    stored = world.core.table.get("roster/main")
    members = roster_from_value(stored.value, stored.version).members
    return [world.runner(m.host_id) for m in ranked_members("rollout", KEY, members)]


async def run_to(world, runner, state, limit=60):
    """Tick until the roll-out is in ``state``."""
    for _ in range(limit):
        if world.rollout.state == state:
            return
        world.clock.advance(0.5)
        await tick(runner)
    raise AssertionError(f"{world.rollout} did not become {state}")


async def run_to_share(world, runner, share, limit=60):
    """Tick until the roll-out has ``share``."""
    for _ in range(limit):
        if world.rollout.share == share:
            return
        world.clock.advance(0.5)
        await tick(runner)
    raise AssertionError(f"{world.rollout} did not reach {share}")
