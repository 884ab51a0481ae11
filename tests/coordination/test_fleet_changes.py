"""Fault-injection tests of hosts that start, leave or restart, and of the roster."""

from testtools.matchers import Equals, HasLength, Is, LessThan

from sesameknot.coordination.freshness import Verdict
from sesameknot.protocol.messages import Done, ObjectPush, ObjectRecord
from tests.coordination.fleet_case import STALE_LIMIT_S, FleetTestCase


class FleetChangeTest(FleetTestCase):
    def test_a_new_host_without_the_platform_serves_but_owns_nothing(self):
        """Guards against a host that serves before it has the configuration."""
        fleet = self.start_fleet(5, seed=8)
        self.write(fleet, "settings/a")
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
        fleet = self.start_fleet(3, seed=17)
        for number in range(10):
            self.write(fleet, f"settings/team-{number}", "x" * 300_000)
        fleet.world.run_for(5.0)
        fleet.platform.down = True
        new = fleet.start("h09")
        accepts = new.freshness.may_accept
        self.assertThat(fleet.world.run_until(accepts, limit_s=10.0), Is(True))
        self.assertThat(new.store.list("settings/"), HasLength(10))

    def test_a_push_from_a_tool_is_taken_without_its_malformed_records(self):
        """Guards against a malformed record that blocks the replication of others."""
        fleet = self.start_fleet(3, seed=18)
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
        fleet = self.start_fleet(5, seed=9)
        old_version = fleet.platform.version
        stored = self.write(fleet, "withdrawals/t.m.v2")
        fleet.world.run_for(2.0)
        fleet.platform.lag_version = old_version
        fleet.start("h06")
        fleet.world.run_for(10.0)
        for host in fleet.hosts.values():
            self.assertThat(host.store.get("withdrawals/t.m.v2"), Equals(stored))
        verdicts = self.verdicts(fleet, fleet.hosts)
        self.assertThat(Verdict.FRESH in verdicts, Is(False))
        fleet.platform.lag_version = None
        self.assertThat(fleet.settle(limit_s=8.0), Is(True))

    def test_a_lost_write_answer_changes_the_roster_once(self):
        """Guards against a proposer that repeats a write that has taken effect."""
        fleet = self.start_fleet(5, seed=10)
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
        fleet = self.start_fleet(5, seed=11)
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
        fleet = self.start_fleet(5, seed=13)
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
        fleet = self.start_fleet(9, seed=14)
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
            self.write(fleet, f"settings/slow-{slow_s}")
            fleet.world.run_for(15.0)
        self.assertThat(max(refused_s.values()), LessThan(0.05))

    def test_a_small_part_of_a_large_fleet_refuses_in_seconds(self):
        """Guards against an outage verdict from an outdated member table."""
        # With seed 24, one host accepts requests if only live hosts are sampled.
        fleet = self.start_fleet(40, seed=24)
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
        self.assertThat(self.verdicts(fleet, majority), Equals({Verdict.FRESH}))

    def test_a_leaving_host_is_out_of_the_roster_in_seconds(self):
        """Guards against a draining host that counts as live."""
        fleet = self.start_fleet(9, seed=12)
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
