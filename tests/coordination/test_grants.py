"""Failure tests of endpoint grants."""

from testtools import TestCase
from testtools.matchers import Equals, GreaterThan

from tests.coordination.grant_world import GrantWorld


def run_schedule(seed, *, duration_s=45.0):
    """Run one seeded schedule of faults on a cold endpoint and return its world."""
    sim = GrantWorld(
        seed,
        slow_share=0.05 if seed % 2 else 0.0,
        longest_s=20.0 if seed % 3 == 0 else 4.0,
    )
    world, random = sim.world, sim.random
    end_s = world.clock.monotonic_s() + duration_s
    undo = []
    while world.clock.monotonic_s() < end_s and sim.endpoint.largest_count <= 2:
        world.run_for(random.uniform(0.3, 4.0))
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
    some = {n for n in names if random.random() < 0.5}
    until_s = world.clock.monotonic_s() + random.choice([1.0, 6.0, 12.0, 30.0])
    match random.integers(0, 7):
        case 0:
            world.frozen.add(name)
            undo.append((until_s, lambda: world.frozen.discard(name)))
        case 1:
            sim.no_platform |= some | {name}
            undo.append((until_s, sim.no_platform.clear))
        case 2:
            world.cut([name], sorted(some - {name}), both=bool(random.random() < 0.5))
            undo.append((until_s, world.cuts.clear))
        case 3:
            # The owner and some holders do not learn of the next roster.
            sim.no_platform |= some | {owner}
            undo.append((until_s, sim.no_platform.clear))
            sim.change_roster(set(names) - {owner})
        case 4 if name not in world.frozen:
            sim.restart(name)
        case 5:
            world.frozen |= some - {owner}
            undo.append((until_s, world.frozen.clear))
            sim.change_roster(set(names) - {owner})
        case _:
            members = {member.host_id for member in sim.roster.members} ^ {name}
            if len(members) >= 3:
                sim.change_roster(members)


class ColdEndpointTest(TestCase):
    def test_a_cold_endpoint_never_runs_more_than_its_slots(self):
        """Guards against a cold start that gets more load than it can carry."""
        done_count = 0
        for seed in range(12):
            sim = run_schedule(seed)
            done_count += sim.done_count
            largest = sim.endpoint.largest_count
            self.assertThat((seed, min(largest, 3)), Equals((seed, min(largest, 2))))
        # The grants are not just refused.
        self.assertThat(done_count, GreaterThan(50))
