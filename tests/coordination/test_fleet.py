"""Fault-injection tests of membership, replication, freshness and roster."""

import pytest
from testtools import TestCase
from testtools.matchers import Equals, HasLength, Is, LessThan

from sesameknot.coordination.freshness import Verdict
from sesameknot.protocol.messages import Done, ObjectPush, ObjectRecord
from tests.coordination.fleet import Fleet

STALE_LIMIT_S = 3.0


class FleetTest(TestCase):
    def _fleet(self, count, *, seed, **options):
        """Return a fleet in which all hosts have joined and are fresh."""
        fleet = Fleet(count, seed=seed, **options)
        self.addCleanup(fleet.world.close)
        self.assertThat(fleet.settle(), Is(True))
        return fleet

    def _write(self, fleet, key, value=1):
        """Write an object to the platform and check its replication after each step.

        While the platform is up, a host that accepts requests must have every write
        older than the stale limit, whatever faults are injected.
        """
        stored = fleet.platform.write(key, value)
        due_s = fleet.world.clock.monotonic_s() + STALE_LIMIT_S

        def check():
            if fleet.world.clock.monotonic_s() <= due_s:
                return
            for name, host in fleet.hosts.items():
                (current,) = host.store.newest([key]) or [None]
                if name in fleet.world.frozen or (
                    current and current.version >= stored.version
                ):
                    continue
                assert not host.freshness.may_accept(), (
                    f"{name} accepts requests without {key}"
                )

        fleet.world.on_step.append(check)
        return stored

    def _watch_refusals(self, fleet, names):
        """Return a set that collects the hosts that refuse requests from now on."""
        refusals = set()

        def check():
            for name in names:
                if name in fleet.hosts and not fleet.hosts[name].freshness.may_accept():
                    refusals.add(name)

        fleet.world.on_step.append(check)
        return refusals

    def _verdicts(self, fleet, names):
        return {fleet.hosts[name].freshness.verdict() for name in names}

    def test_a_change_reaches_every_host_within_three_seconds(self):
        """Guards against a change that is not replicated to every host in time."""
        for count, regions in ((1, 1), (3, 1), (9, 1), (40, 2)):
            fleet = self._fleet(count, seed=count, regions=regions)
            refusals = self._watch_refusals(fleet, fleet.names)
            stored = self._write(fleet, "domains/a")
            fleet.world.run_for(3.0)
            for host in fleet.hosts.values():
                self.assertThat(host.store.get("domains/a"), Equals(stored))
            self.assertThat(refusals, Equals(set()))

    def test_a_killed_host_is_removed_and_nobody_else(self):
        """Guards against undetected and false failures, and against a lost watcher."""
        fleet = self._fleet(9, seed=1)
        watcher = next(n for n, h in fleet.hosts.items() if h.replication.is_watcher())
        fleet.kill(watcher)
        refusals = self._watch_refusals(fleet, fleet.names)
        self.assertThat(fleet.settle(limit_s=8.0), Is(True))
        self._write(fleet, "withdrawals/t.m.v2")
        fleet.world.run_for(10.0)
        self.assertThat(fleet.settle(limit_s=0.0), Is(True))
        self.assertThat(refusals, Equals(set()))

    def test_a_frozen_host_wakes_and_accepts_only_after_catching_up(self):
        """Guards against a resumed host that trusts its state from before the pause."""
        for seed in range(4):
            fleet = self._fleet(9, seed=seed)
            name = f"h{seed + 3:02d}"
            fleet.world.frozen.add(name)
            fleet.world.run_for(10.0)
            for number in range(10):
                self._write(fleet, "withdrawals/t.m.v2", number)
                fleet.world.run_for(2.0)
            self.assertThat(name in fleet.hosts["h00"].live_ids(), Is(False))
            fleet.world.run_for(2.0)
            fleet.world.frozen.clear()
            fleet.world.run_for(0.01)
            self.assertThat(fleet.settle(limit_s=8.0), Is(True))

    def test_an_answer_that_waited_through_a_pause_is_as_old_as_its_question(self):
        """Guards against an age that is measured from the receipt of the reply."""
        fleet = self._fleet(3, seed=19)
        name = next(n for n, h in fleet.hosts.items() if h.replication.is_watcher())
        platform = fleet.hosts[name].platform
        calls = platform.call_count
        fleet.world.run_until(lambda: platform.call_count > calls, limit_s=3.0)
        fleet.world.frozen.add(name)
        fleet.world.cut([name], [other for other in fleet.names if other != name])
        fleet.world.run_for(1.2)
        self._write(fleet, "domains/a")
        fleet.world.run_for(1.2)
        fleet.platform.cut_hosts.add(name)
        fleet.world.frozen.clear()
        fleet.world.run_for(8.0)
        self.assertThat(self._verdicts(fleet, [name]), Equals({Verdict.STALE}))

    def test_a_host_that_was_cut_off_is_back_in_seconds(self):
        """Guards against a live host that never refutes that it was declared dead."""
        for seed in range(5):
            fleet = self._fleet(5, seed=seed)
            fleet.world.cut(["h03"], ["h00", "h01", "h02", "h04"])
            fleet.world.run_for(20.0)
            self.assertThat("h03" in fleet.hosts["h00"].live_ids(), Is(False))
            fleet.world.cuts.clear()
            self.assertThat(fleet.settle(limit_s=6.0), Is(True))

    def test_a_host_that_wakes_suspects_nobody(self):
        """Guards against a host that suspects its peers after its own pause."""
        for seed in range(6):
            fleet = self._fleet(9, seed=seed)
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
        fleet = self._fleet(3, seed=16)
        fleet.platform.history_count = 2
        fleet.platform.down = True
        fleet.world.run_for(5.0)
        for number in range(10):
            self._write(fleet, f"settings/team-{number}")
        fleet.platform.write("settings/team-3", None, deleted=True)
        fleet.platform.down = False
        fleet.world.run_for(10.0)
        for host in fleet.hosts.values():
            self.assertThat(host.store.list("settings/"), HasLength(9))
            self.assertThat(host.freshness.verdict(), Is(Verdict.FRESH))

    def test_ten_changes_slept_through_are_caught_up_without_the_platform(self):
        """Guards against an outage verdict with an outdated configuration."""
        fleet = self._fleet(9, seed=2)
        fleet.world.frozen.add("h05")
        for number in range(10):
            self._write(fleet, f"settings/team-{number}")
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
            fleet = self._fleet(count, seed=count)
            fleet.world.check_interval_s = 0.02
            refusals = self._watch_refusals(fleet, fleet.names)
            fleet.platform.down = True
            fleet.world.run_for(20.0)
            verdicts = self._verdicts(fleet, fleet.names)
            self.assertThat(verdicts, Equals({Verdict.PLATFORM_OUTAGE}))
            self.assertThat(refusals, Equals(set()))
            fleet.platform.down = False
            fleet.world.run_for(20.0)
            self.assertThat(self._verdicts(fleet, fleet.names), Equals({Verdict.FRESH}))
            self.assertThat(refusals, Equals(set()))

    def test_one_way_loss_between_two_hosts_kills_nobody(self):
        """Guards against declaring a host dead that only one other cannot reach."""
        fleet = self._fleet(9, seed=4)
        fleet.world.cut(["h02"], ["h07"], both=False)
        states = []
        for host in fleet.hosts.values():
            host.membership.subscribe(lambda m: states.append(m.state))
        refusals = self._watch_refusals(fleet, fleet.names)
        fleet.world.run_for(40.0)
        self.assertThat("dead" in states, Is(False))
        self.assertThat(refusals, Equals(set()))

    def test_a_host_cut_from_everything_refuses_in_three_seconds(self):
        """Guards against a minority that takes a partition for a platform outage."""
        fleet = self._fleet(9, seed=5)
        isolated = ["h01", "h02", "h03", "h04"]
        majority = [name for name in fleet.names if name not in isolated]
        fleet.platform.cut_hosts |= set(isolated)
        fleet.world.cut(isolated, majority)
        fleet.world.run_for(STALE_LIMIT_S)
        self._write(fleet, "domains/a")
        self.assertThat(self._verdicts(fleet, isolated), Equals({Verdict.STALE}))
        fleet.world.run_for(90.0)
        self.assertThat(self._verdicts(fleet, majority), Equals({Verdict.FRESH}))
        self.assertThat(fleet.hosts["h00"].roster_ids(), Equals(majority))
        fleet.platform.cut_hosts.clear()
        fleet.world.cuts.clear()
        self.assertThat(fleet.settle(limit_s=30.0), Is(True))

    def test_split_halves(self):
        """Guards against two partitions that both serve an outdated configuration."""
        fleet = self._fleet(8, seed=6, regions=2)
        even = ["h00", "h02", "h04", "h06"]
        odd = ["h01", "h03", "h05", "h07"]
        fleet.world.cut(even, odd)
        refusals = self._watch_refusals(fleet, fleet.names)
        self._write(fleet, "domains/a")
        fleet.world.run_for(30.0)
        self.assertThat(refusals, Equals(set()))
        fleet.platform.cut_hosts |= set(odd)
        fleet.world.run_for(STALE_LIMIT_S + 0.1)
        self.assertThat(self._verdicts(fleet, even), Equals({Verdict.FRESH}))
        self.assertThat(self._verdicts(fleet, odd), Equals({Verdict.STALE}))
        fleet.platform.down = True
        fleet.world.run_for(10.0)
        outage = {Verdict.PLATFORM_OUTAGE}
        self.assertThat(self._verdicts(fleet, odd), Equals({Verdict.STALE}))
        self.assertThat(self._verdicts(fleet, even), Equals(outage))

    def test_a_host_without_peers_watches_the_platform_itself(self):
        """Guards against an isolated host that refuses with the platform in reach."""
        for seed in range(7, 13):
            fleet = self._fleet(9, seed=seed)
            name = next(
                n for n, h in fleet.hosts.items() if not h.replication.is_watcher()
            )
            fleet.world.run_for(float(fleet.world.random.uniform(0.0, 2.0)))
            fleet.world.cut([name], [other for other in fleet.names if other != name])
            refusals = self._watch_refusals(fleet, [name])
            self._write(fleet, "domains/a")
            fleet.world.run_for(15.0)
            self.assertThat(refusals, Equals(set()))

    def test_a_part_without_watchers_elects_its_own_in_time(self):
        """Guards against waiting for membership to detect unreachable watchers."""
        for seed in range(20, 24):
            fleet = self._fleet(9, seed=seed)
            watching = {n for n, h in fleet.hosts.items() if h.replication.is_watcher()}
            partition = [name for name in fleet.names if name not in watching][:3]
            fleet.world.run_for(float(fleet.world.random.uniform(0.0, 2.0)))
            fleet.world.cut(partition, [n for n in fleet.names if n not in partition])
            refusals = self._watch_refusals(fleet, fleet.names)
            self._write(fleet, "domains/a")
            fleet.world.run_for(15.0)
            self.assertThat(refusals, Equals(set()))

    def test_a_new_host_without_the_platform_serves_but_owns_nothing(self):
        """Guards against a host that serves before it has the configuration."""
        fleet = self._fleet(5, seed=8)
        self._write(fleet, "settings/a")
        fleet.world.run_for(5.0)
        fleet.platform.down = True
        fleet.world.run_for(20.0)
        new = fleet.start("h09")
        self.assertThat(new.freshness.may_accept(), Is(False))
        accepts = new.freshness.may_accept
        self.assertThat(fleet.world.run_until(accepts, limit_s=5.0), Is(True))
        self.assertThat("h09" in new.roster_ids(), Is(False))
        self.assertThat(new.roster_ids(), HasLength(5))

    def test_objects_beyond_one_frame_reach_a_new_host(self):
        """Guards against a difference that exceeds a frame and is never resolved."""
        fleet = self._fleet(3, seed=17)
        for number in range(10):
            self._write(fleet, f"settings/team-{number}", "x" * 300_000)
        fleet.world.run_for(5.0)
        fleet.platform.down = True
        new = fleet.start("h09")
        accepts = new.freshness.may_accept
        self.assertThat(fleet.world.run_until(accepts, limit_s=10.0), Is(True))
        self.assertThat(new.store.list("settings/"), HasLength(10))

    def test_a_push_from_a_tool_is_taken_without_its_malformed_records(self):
        """Guards against a malformed record that blocks the replication of others."""
        fleet = self._fleet(3, seed=18)
        push = ObjectPush(
            objects=[
                ObjectRecord(key="settings/a", version=90, value=b"{"),
                ObjectRecord(key="bills/b", version=91, value=b"1"),
                ObjectRecord(key="domains/c", version=92, value=b'"out"'),
            ]
        )
        handler = fleet.world.servers["h02"].handlers[ObjectPush]
        loop, replies = fleet.world.loops["h02"], []

        async def receive():
            replies.append(await handler(push))

        fleet.platform.down = True
        loop.call_soon(lambda: loop.create_task(receive()))
        fleet.world.run_for(5.0)
        self.assertThat(replies, Equals([Done(detail="1")]))
        for host in fleet.hosts.values():
            self.assertThat(host.store.get("domains/c").value, Equals("out"))
            self.assertThat(host.store.get("settings/a"), Is(None))

    def test_old_platform_answers_change_nothing_and_prove_nothing(self):
        """Guards against a lagging platform replica that reverts a change."""
        fleet = self._fleet(5, seed=9)
        old_version = fleet.platform.version
        stored = self._write(fleet, "withdrawals/t.m.v2")
        fleet.world.run_for(2.0)
        fleet.platform.lag_version = old_version
        fleet.start("h06")
        fleet.world.run_for(10.0)
        for host in fleet.hosts.values():
            self.assertThat(host.store.get("withdrawals/t.m.v2"), Equals(stored))
        verdicts = self._verdicts(fleet, fleet.hosts)
        self.assertThat(Verdict.FRESH in verdicts, Is(False))
        fleet.platform.lag_version = None
        self.assertThat(fleet.settle(limit_s=8.0), Is(True))

    def test_a_lost_write_answer_changes_the_roster_once(self):
        """Guards against a proposer that repeats a write that has taken effect."""
        fleet = self._fleet(5, seed=10)
        fleet.platform.lose_write_answers = 1
        fleet.kill("h03")
        self.assertThat(fleet.settle(limit_s=10.0), Is(True))
        self.assertThat(fleet.platform.lose_write_answers, Equals(0))
        fleet.world.run_for(10.0)
        writes = [o for o in fleet.platform.log if o.key == "roster/main"]
        rosters = [[m["host_id"] for m in o.value["members"]] for o in writes]
        self.assertThat(rosters[-2:], Equals([fleet.names, sorted(fleet.hosts)]))

    def test_the_roster_recovers_when_all_hosts_restart(self):
        """Guards against a roster that waits for incarnations that no longer exist."""
        fleet = self._fleet(5, seed=11)
        for name in fleet.names:
            fleet.kill(name)
        for name in fleet.names:
            fleet.start(name)
        incarnations = {
            name: host.membership.self_info.incarnation
            for name, host in fleet.hosts.items()
        }

        def recovered():
            members = fleet.hosts["h00"].roster_keeper.roster.members
            return {m.host_id: m.incarnation for m in members} == incarnations

        self.assertThat(fleet.world.run_until(recovered, limit_s=20.0), Is(True))

    def test_a_host_that_restarts_with_its_clock_set_back_raises_its_incarnation(self):
        """Guards against a new process that peers take for its predecessor."""
        fleet = self._fleet(5, seed=13)
        for name in ("h00", "h03"):
            old = fleet.hosts[name].membership.self_info
            fleet.kill(name)
            new = fleet.start(name, wall_offset_ms=-500_000)

            def is_recognised(name=name, new=new, old=old):
                records = [h.membership.member(name) for h in fleet.hosts.values()]
                in_roster = fleet.hosts["h01"].roster_keeper.roster.member(name)
                incarnation = new.membership.self_info.incarnation
                return (
                    incarnation > old.incarnation
                    and {r.incarnation for r in records if r} == {incarnation}
                    and in_roster is not None
                    and in_roster.incarnation == incarnation
                )

            self.assertThat(
                fleet.world.run_until(is_recognised, limit_s=20.0), Is(True)
            )

    def test_a_slow_platform_stops_no_host(self):
        """Guards against a watch that waits for changes although replies are slow.

        A host above the stale limit may refuse requests for the few milliseconds
        between another host's read of a change and its own.
        """
        fleet = self._fleet(9, seed=14)
        clock = fleet.world.clock
        refused_s, before_s = dict.fromkeys(fleet.names, 0.0), [clock.monotonic_s()]

        def check():
            now_s = clock.monotonic_s()
            for name, host in fleet.hosts.items():
                if not host.freshness.may_accept():
                    refused_s[name] += now_s - before_s[0]
            before_s[0] = now_s

        fleet.world.on_step.append(check)
        for slow_s in (0.5, 1.0, 1.5, 1.9, 2.5, 0.0):
            fleet.platform.slow_s = slow_s
            self._write(fleet, f"settings/slow-{slow_s}")
            fleet.world.run_for(15.0)
        self.assertThat(max(refused_s.values()), LessThan(0.05))

    def test_a_small_part_of_a_large_fleet_refuses_in_seconds(self):
        """Guards against an outage verdict from an outdated member table."""
        # With seed 24, one host accepts requests if only live hosts are sampled.
        fleet = self._fleet(40, seed=24)
        fleet.world.check_interval_s = 0.05
        isolated, majority = fleet.names[:10], fleet.names[10:]
        fleet.platform.cut_hosts |= set(isolated)
        fleet.world.cut(isolated, majority)
        fleet.world.run_for(STALE_LIMIT_S)
        accepting = set()

        def check():
            accepting.update(
                n for n in isolated if fleet.hosts[n].freshness.may_accept()
            )

        fleet.world.on_step.append(check)
        fleet.world.run_for(15.0)
        self.assertThat(accepting, Equals(set()))
        self.assertThat(self._verdicts(fleet, majority), Equals({Verdict.FRESH}))

    def test_a_leaving_host_is_out_of_the_roster_in_seconds(self):
        """Guards against a draining host that counts as live."""
        fleet = self._fleet(9, seed=12)
        leaving = fleet.hosts["h04"].membership
        loop = fleet.world.loops["h04"]
        loop.call_soon(lambda: loop.create_task(leaving.leave()))
        rest = [name for name in fleet.names if name != "h04"]
        gone = fleet.world.run_until(
            lambda: all(h.roster_ids() == rest for h in fleet.hosts.values()),
            limit_s=5.0,
        )
        self.assertThat(gone, Is(True))
        self.assertThat(fleet.hosts["h04"].live_ids(), Equals(rest))
        fleet.kill("h04")
        fleet.world.run_for(20.0)
        self.assertThat(fleet.settle(limit_s=0.0), Is(True))

    def test_ages_stay_below_the_point_where_hosts_ask(self):
        """Guards against freshness that depends on polling peers in steady state."""
        for count, regions in ((9, 1), (40, 2)):
            fleet = self._fleet(count, seed=count, regions=regions)
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
            fleet = self._fleet(count, seed=count)
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
