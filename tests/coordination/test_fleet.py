"""Fault-injection tests of membership, replication and freshness."""

import pytest
from testtools.matchers import Equals, HasLength, Is, LessThan

from sesameknot.coordination.freshness import Verdict
from tests.coordination.fleet import Fleet
from tests.coordination.fleet_case import STALE_LIMIT_S, FleetTestCase


class FleetTest(FleetTestCase):
    def test_a_change_reaches_every_host_within_three_seconds(self):
        """Guards against a change that is not replicated to every host in time."""
        for count, regions in ((1, 1), (3, 1), (9, 1), (40, 2)):
            fleet = self.start_fleet(count, seed=count, regions=regions)
            refusals = self.watch_refusals(fleet, fleet.names)
            stored = self.write(fleet, "domains/a")
            fleet.world.run_for(3.0)
            for host in fleet.hosts.values():
                self.assertThat(host.store.get("domains/a"), Equals(stored))
            self.assertThat(refusals, Equals(set()))

    def test_a_killed_host_is_removed_and_nobody_else(self):
        """Guards against undetected and false failures, and against a lost watcher."""
        fleet = self.start_fleet(9, seed=1)
        watcher = next(n for n, h in fleet.hosts.items() if h.replication.is_watcher())
        fleet.kill(watcher)
        refusals = self.watch_refusals(fleet, fleet.names)
        self.assertThat(fleet.settle(limit_s=8.0), Is(True))
        self.write(fleet, "withdrawals/t.m.v2")
        fleet.world.run_for(10.0)
        self.assertThat(fleet.settle(limit_s=0.0), Is(True))
        self.assertThat(refusals, Equals(set()))

    def test_a_frozen_host_wakes_and_accepts_only_after_catching_up(self):
        """Guards against a resumed host that trusts its state from before the pause."""
        for seed in range(4):
            fleet = self.start_fleet(9, seed=seed)
            name = f"h{seed + 3:02d}"
            fleet.world.frozen.add(name)
            fleet.world.run_for(10.0)
            for number in range(10):
                self.write(fleet, "withdrawals/t.m.v2", number)
                fleet.world.run_for(2.0)
            self.assertThat(name in fleet.hosts["h00"].live_ids(), Is(False))
            fleet.world.run_for(2.0)
            fleet.world.frozen.clear()
            fleet.world.run_for(0.01)
            self.assertThat(fleet.settle(limit_s=8.0), Is(True))

    def test_an_answer_that_waited_through_a_pause_is_as_old_as_its_question(self):
        """Guards against an age that is measured from the receipt of the reply."""
        fleet = self.start_fleet(3, seed=19)
        name = next(n for n, h in fleet.hosts.items() if h.replication.is_watcher())
        platform = fleet.hosts[name].platform
        calls = platform.call_count
        fleet.world.run_until(lambda: platform.call_count > calls, limit_s=3.0)
        fleet.world.frozen.add(name)
        fleet.world.cut([name], [other for other in fleet.names if other != name])
        fleet.world.run_for(1.2)
        self.write(fleet, "domains/a")
        fleet.world.run_for(1.2)
        fleet.platform.cut_hosts.add(name)
        fleet.world.frozen.clear()
        fleet.world.run_for(8.0)
        self.assertThat(self.verdicts(fleet, [name]), Equals({Verdict.STALE}))

    def test_a_host_that_was_cut_off_is_back_in_seconds(self):
        """Guards against a live host that never refutes that it was declared dead."""
        for seed in range(5):
            fleet = self.start_fleet(5, seed=seed)
            fleet.world.cut(["h03"], ["h00", "h01", "h02", "h04"])
            fleet.world.run_for(20.0)
            self.assertThat("h03" in fleet.hosts["h00"].live_ids(), Is(False))
            fleet.world.cuts.clear()
            self.assertThat(fleet.settle(limit_s=6.0), Is(True))

    def test_a_host_that_wakes_suspects_nobody(self):
        """Guards against a host that suspects its peers after its own pause."""
        for seed in range(6):
            fleet = self.start_fleet(9, seed=seed)
            suspected_ids = set()

            def record_state(member, suspected_ids=suspected_ids):
                if member.state in ("suspect", "dead"):
                    suspected_ids.add(member.host_id)

            for host in fleet.hosts.values():
                host.membership.subscribe(record_state)
            fleet.world.run_for(float(fleet.world.random.uniform(0.0, 2.0)))
            fleet.world.frozen.add("h04")
            fleet.world.run_for(30.0)
            fleet.world.frozen.clear()
            fleet.world.run_for(15.0)
            self.assertThat(suspected_ids, Equals({"h04"}))

    def test_a_watch_resumes_after_its_history_is_gone(self):
        """Guards against a watcher that misses changes older than the watch history."""
        fleet = self.start_fleet(3, seed=16)
        fleet.platform.history_count = 2
        fleet.platform.down = True
        fleet.world.run_for(5.0)
        for number in range(10):
            self.write(fleet, f"settings/team-{number}")
        fleet.platform.write("settings/team-3", None, deleted=True)
        fleet.platform.down = False
        fleet.world.run_for(10.0)
        for host in fleet.hosts.values():
            self.assertThat(host.store.list("settings/"), HasLength(9))
            self.assertThat(host.freshness.verdict(), Is(Verdict.FRESH))

    def test_ten_changes_slept_through_are_caught_up_without_the_platform(self):
        """Guards against an outage verdict with an outdated configuration."""
        fleet = self.start_fleet(9, seed=2)
        fleet.world.frozen.add("h05")
        for number in range(10):
            self.write(fleet, f"settings/team-{number}")
            fleet.world.run_for(1.0)
        fleet.world.run_for(5.0)
        fleet.platform.down = True
        fleet.world.run_for(15.0)
        fleet.world.frozen.clear()
        paused = fleet.hosts["h05"]
        self.assertThat(paused.freshness.may_accept(), Is(False))
        accepts = paused.freshness.may_accept
        self.assertThat(fleet.world.run_until(accepts, limit_s=8.0), Is(True))
        self.assertThat(paused.store.list("settings/"), HasLength(10))

    def test_no_host_refuses_in_a_platform_outage_or_after_it(self):
        """Guards against a stale verdict between fresh and platform-outage."""
        for count in (3, 9, 32):
            fleet = self.start_fleet(count, seed=count)
            fleet.world.check_interval_s = 0.02
            refusals = self.watch_refusals(fleet, fleet.names)
            fleet.platform.down = True
            fleet.world.run_for(20.0)
            verdicts = self.verdicts(fleet, fleet.names)
            self.assertThat(verdicts, Equals({Verdict.PLATFORM_OUTAGE}))
            self.assertThat(refusals, Equals(set()))
            fleet.platform.down = False
            fleet.world.run_for(20.0)
            self.assertThat(self.verdicts(fleet, fleet.names), Equals({Verdict.FRESH}))
            self.assertThat(refusals, Equals(set()))

    def test_one_way_loss_between_two_hosts_kills_nobody(self):
        """Guards against declaring a host dead that only one other cannot reach."""
        fleet = self.start_fleet(9, seed=4)
        fleet.world.cut(["h02"], ["h07"], both=False)
        states = []
        for host in fleet.hosts.values():
            host.membership.subscribe(lambda m: states.append(m.state))
        refusals = self.watch_refusals(fleet, fleet.names)
        fleet.world.run_for(40.0)
        self.assertThat("dead" in states, Is(False))
        self.assertThat(refusals, Equals(set()))

    def test_a_host_cut_from_everything_refuses_in_three_seconds(self):
        """Guards against a minority that takes a partition for a platform outage."""
        fleet = self.start_fleet(9, seed=5)
        isolated = ["h01", "h02", "h03", "h04"]
        majority = [name for name in fleet.names if name not in isolated]
        fleet.platform.cut_hosts |= set(isolated)
        fleet.world.cut(isolated, majority)
        fleet.world.run_for(STALE_LIMIT_S)
        self.write(fleet, "domains/a")
        self.assertThat(self.verdicts(fleet, isolated), Equals({Verdict.STALE}))
        fleet.world.run_for(90.0)
        self.assertThat(self.verdicts(fleet, majority), Equals({Verdict.FRESH}))
        self.assertThat(fleet.hosts["h00"].roster_ids(), Equals(majority))
        fleet.platform.cut_hosts.clear()
        fleet.world.cuts.clear()
        self.assertThat(fleet.settle(limit_s=30.0), Is(True))

    def test_split_halves(self):
        """Guards against two partitions that both serve an outdated configuration."""
        fleet = self.start_fleet(8, seed=6, regions=2)
        even = ["h00", "h02", "h04", "h06"]
        odd = ["h01", "h03", "h05", "h07"]
        fleet.world.cut(even, odd)
        refusals = self.watch_refusals(fleet, fleet.names)
        self.write(fleet, "domains/a")
        fleet.world.run_for(30.0)
        self.assertThat(refusals, Equals(set()))
        fleet.platform.cut_hosts |= set(odd)
        fleet.world.run_for(STALE_LIMIT_S + 0.1)
        self.assertThat(self.verdicts(fleet, even), Equals({Verdict.FRESH}))
        self.assertThat(self.verdicts(fleet, odd), Equals({Verdict.STALE}))
        fleet.platform.down = True
        fleet.world.run_for(10.0)
        outage = {Verdict.PLATFORM_OUTAGE}
        self.assertThat(self.verdicts(fleet, odd), Equals({Verdict.STALE}))
        self.assertThat(self.verdicts(fleet, even), Equals(outage))

    def test_a_host_without_peers_watches_the_platform_itself(self):
        """Guards against an isolated host that refuses with the platform in reach."""
        for seed in range(7, 13):
            fleet = self.start_fleet(9, seed=seed)
            name = next(
                n for n, h in fleet.hosts.items() if not h.replication.is_watcher()
            )
            fleet.world.run_for(float(fleet.world.random.uniform(0.0, 2.0)))
            fleet.world.cut([name], [other for other in fleet.names if other != name])
            refusals = self.watch_refusals(fleet, [name])
            self.write(fleet, "domains/a")
            fleet.world.run_for(15.0)
            self.assertThat(refusals, Equals(set()))

    def test_a_part_without_watchers_elects_its_own_in_time(self):
        """Guards against waiting for membership to detect unreachable watchers."""
        for seed in range(20, 24):
            fleet = self.start_fleet(9, seed=seed)
            watching = {n for n, h in fleet.hosts.items() if h.replication.is_watcher()}
            partition = [name for name in fleet.names if name not in watching][:3]
            fleet.world.run_for(float(fleet.world.random.uniform(0.0, 2.0)))
            fleet.world.cut(partition, [n for n in fleet.names if n not in partition])
            refusals = self.watch_refusals(fleet, fleet.names)
            self.write(fleet, "domains/a")
            fleet.world.run_for(15.0)
            self.assertThat(refusals, Equals(set()))

    def test_ages_stay_below_the_point_where_hosts_ask(self):
        """Guards against freshness that depends on polling peers in steady state."""
        for count, regions in ((9, 1), (40, 2)):
            fleet = self.start_fleet(count, seed=count, regions=regions)
            fleet.world.check_interval_s = 0.05
            fleet.world.run_for(5.0)
            ages = []
            fleet.world.on_step.append(
                lambda fleet=fleet, ages=ages: ages.append(
                    max(host.freshness.age_s() for host in fleet.hosts.values())
                )
            )
            fleet.world.run_for(20.0)
            self.assertThat(max(ages), LessThan(2.25))

    def test_platform_calls_do_not_grow_with_hosts(self):
        """Guards against hosts that call the platform without being watchers."""
        for count in (9, 40):
            fleet = self.start_fleet(count, seed=count)
            fleet.world.run_for(5.0)
            before = sum(host.platform.call_count for host in fleet.hosts.values())
            fleet.world.run_for(20.0)
            after = sum(host.platform.call_count for host in fleet.hosts.values())
            self.assertThat((after - before) / 20, LessThan(3.0))


@pytest.mark.parametrize("seed", range(6))
def test_random_faults(seed):
    """Guards against combined faults that let a host accept outdated objects."""
    fleet = Fleet(7, seed=seed, regions=2)
    try:
        assert fleet.settle()
        _run_random_faults(fleet)
    finally:
        fleet.world.close()


def _run_random_faults(fleet):
    random, world = fleet.world.random, fleet.world
    writes = []

    def check():
        # Hosts may accept requests in an outage, so only fresh hosts are checked.
        now_s = world.clock.monotonic_s()
        due = [stored for at_s, stored in writes if at_s < now_s - STALE_LIMIT_S]
        for name, host in fleet.hosts.items():
            if name in world.frozen or host.freshness.verdict() is not Verdict.FRESH:
                continue
            for stored in due[-3:]:
                current = host.store.get(stored.key)
                version = current.version if current else 0
                assert version >= stored.version, name

    world.on_step.append(check)
    for number in range(25):
        names = list(random.permutation(fleet.names))
        match int(random.integers(7)):
            case 0:
                world.frozen.add(names[0])
            case 1:
                world.frozen.clear()
            case 2:
                world.cut(names[:2], names[2:], both=bool(random.integers(2)))
            case 3:
                world.cuts.clear()
            case 4:
                fleet.platform.cut_hosts = set(names[: int(random.integers(5))])
            case 5:
                fleet.platform.down = not fleet.platform.down
            case 6 if names[0] not in world.frozen:
                fleet.kill(names[0])
                fleet.start(names[0])
        key = f"settings/team-{number % 4}"
        writes.append((world.clock.monotonic_s(), fleet.platform.write(key, number)))
        world.run_for(float(random.uniform(0.5, 6.0)))
    world.frozen.clear()
    world.cuts.clear()
    fleet.platform.cut_hosts.clear()
    fleet.platform.down = False
    assert fleet.settle(limit_s=120.0)
