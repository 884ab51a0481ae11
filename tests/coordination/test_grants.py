"""Tests of endpoint grants in simulations with seeded faults."""

from testtools import TestCase
from testtools.matchers import Equals, GreaterThan, LessThan

from tests.coordination import simple_grants
from tests.coordination.grant_world import GrantWorld

# Each simpler version with a seed under which it exceeds the slots. The test tries this
# seed first, then others.
SIMPLE_VERSIONS = (
    (simple_grants.successor_does_not_wait, 0),
    (simple_grants.polls_free_unexpired_grants, 0),
    (simple_grants.reports_replace_grants, 4),
    (simple_grants.owner_ignores_staleness, 3),
    (simple_grants.expiry_frees_slots, 2),
    (simple_grants.unreported_requests_are_ignored, 9),
    (simple_grants.holder_ignores_expiry, 0),
)
SEEDS = sorted({seed for _, seed in SIMPLE_VERSIONS} | {5, 7, 13})


def run_schedule(seed, *, duration_s=60.0):
    """Run one seeded schedule of faults on a cold endpoint; return the simulation."""
    sim = GrantWorld(
        seed,
        slow_share=0.05 if seed % 2 else 0.0,
        max_duration_s=20.0 if seed % 3 == 0 else 4.0,
    )
    world, random = sim.world, sim.random
    end_s = world.clock.monotonic_s() + duration_s
    undo = []
    while world.clock.monotonic_s() < end_s and sim.endpoint.max_cold_count <= 2:
        world.run_for(random.uniform(0.5, 8.0))
        now_s = world.clock.monotonic_s()
        for entry in [entry for entry in undo if entry[0] <= now_s]:
            undo.remove(entry)
            entry[1]()
        _fault(sim, undo)
    world.close()
    return sim


def _fault(sim, undo):
    world, random = sim.world, sim.random
    names = sorted(sim.routers)
    owner = sim.owner_name()
    name = str(random.choice([*names, owner, owner, owner]))
    subset = {n for n in names if random.random() < 0.5}
    until_s = world.clock.monotonic_s() + random.choice([1.0, 6.0, 12.0, 30.0])
    match random.integers(0, 7):
        case 0:
            world.frozen.add(name)
            undo.append((until_s, lambda: world.frozen.discard(name)))
        case 1:
            sim.without_platform |= subset | {name}
            undo.append((until_s, sim.without_platform.clear))
        case 2:
            world.cut([name], sorted(subset - {name}), both=bool(random.random() < 0.5))
            undo.append((until_s, world.cuts.clear))
        case 3:
            # The owner and some holders do not receive the next roster.
            sim.without_platform |= subset | {owner}
            undo.append((until_s, sim.without_platform.clear))
            sim.change_roster(set(names) - {owner})
        case 4 if name not in world.frozen:
            sim.restart(name)
        case 5:
            world.frozen |= subset - {owner}
            undo.append((until_s, world.frozen.clear))
            sim.change_roster(set(names) - {owner})
        case _:
            members = {member.host_id for member in sim.roster.members} ^ {name}
            if len(members) >= 3:
                sim.change_roster(members)


class ColdEndpointTest(TestCase):
    def test_a_cold_endpoint_never_runs_more_than_its_slots(self):
        """Guards against more requests than slots at an endpoint in cold start."""
        sims = {seed: run_schedule(seed) for seed in SEEDS}
        exceeded = {
            s: n for s, sim in sims.items() if (n := sim.endpoint.max_cold_count) > 2
        }
        self.assertThat(exceeded, Equals({}))
        # Routers that never get a grant would also pass the check above.
        done_count = sum(sim.done_count for sim in sims.values())
        self.assertThat(done_count, GreaterThan(30))

    def test_the_schedules_break_each_simpler_version(self):
        """Guards against fault schedules that do not detect a missing rule."""
        for simpler, first_seed in SIMPLE_VERSIONS:
            with simpler():
                exceeded = any(
                    run_schedule(seed).endpoint.max_cold_count > 2
                    for seed in (first_seed, *range(12))
                )
            self.assertThat(exceeded, Equals(True), simpler.__name__)

    def test_slots_of_a_cold_endpoint_go_round(self):
        """Guards against a holder that keeps all slots while others wait."""
        sim = GrantWorld(4, max_duration_s=1.0, max_travel_s=0.01)
        sim.world.run_for(60.0)
        sim.world.close()
        hosts = {host_id for _, host_id in sim.endpoint.arrivals}
        self.assertThat(len(hosts), Equals(9))
        self.assertThat(sim.done_count, GreaterThan(60))


class WarmEndpointTest(TestCase):
    def _loaded(self, seed, *, rate_per_s=2.0):
        sim = GrantWorld(
            seed,
            max_duration_s=4.0,
            max_travel_s=0.01,
            state="warm",
            request_rate_per_s=rate_per_s,
        )
        self.addCleanup(sim.world.close)
        sim.world.run_for(10.0 + seed * 0.37)
        return sim

    def _arrivals_after_cold_start(self, seed, *, drop):
        sim = self._loaded(seed)
        before_count = len(sim.endpoint.arrivals)
        self.assertThat(before_count, GreaterThan(20))
        sim.endpoint.set_state("cold", drop=drop)
        all_cold = sim.world.run_until(
            lambda: set(sim.states().values()) == {"cold"}, limit_s=10.0
        )
        self.assertThat(all_cold, Equals(True))
        return len(sim.endpoint.arrivals) - before_count

    def test_few_requests_reach_an_endpoint_that_turned_cold_without_notice(self):
        """Guards against routers that send warm load until the next load report."""
        for drop in (True, False):
            counts = [self._arrivals_after_cold_start(n, drop=drop) for n in range(3)]
            # One request per router.
            self.assertThat(max(counts), LessThan(9 + 1))
        with simple_grants.outcomes_are_ignored():
            count = self._arrivals_after_cold_start(0, drop=True)
        self.assertThat(count, GreaterThan(9))

    def test_without_an_owner_each_router_sends_one_request_to_a_cold_endpoint(self):
        """Guards against fallback slots at an endpoint whose state is outdated."""
        for seed in range(2):
            sim = self._loaded(seed)
            owner = sim.owner_name()
            others = sorted(set(sim.routers) - {owner})
            sim.world.cut([owner], others)
            sim.world.run_for(10.0)
            before_count = len(sim.endpoint.arrivals)
            sim.endpoint.set_state("cold")
            sim.world.run_for(15.0)
            sent = [host for _, host in sim.endpoint.arrivals[before_count:]]
            counts = {host: sent.count(host) for host in others}
            self.assertThat(max(counts.values()), Equals(1))

    def _late_arrivals_at_leaving(self, seed):
        # At this rate a disconnected router may get no answer that shows the state.
        sim = self._loaded(seed, rate_per_s=0.3)
        owner = sim.owner_name()
        frozen, cut = sorted(set(sim.routers) - {owner})[:2]
        sim.world.frozen.add(frozen)
        sim.world.cut([cut], [owner])
        leaving_s = sim.world.clock.monotonic_s()
        sim.endpoint.set_state("leaving")
        sim.world.run_for(5.0)
        sim.world.frozen.clear()
        sim.world.run_for(4.0)
        return [n for at_s, n in sim.endpoint.arrivals if at_s > leaving_s + 3.0]

    def test_a_leaving_endpoint_gets_no_new_work_after_three_seconds(self):
        """Guards against frozen or disconnected routers that continue to send."""
        for seed in range(5):
            self.assertThat(self._late_arrivals_at_leaving(seed), Equals([]))
        with simple_grants.fallback_ignores_state_age():
            late = any(self._late_arrivals_at_leaving(seed) for seed in (4, 0, 1, 2, 3))
        self.assertThat(late, Equals(True))
