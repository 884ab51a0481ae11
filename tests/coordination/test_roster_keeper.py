"""Tests of roster changes under failures."""

import itertools

from testtools import TestCase
from testtools.matchers import Equals, HasLength, Is

from sesameknot.coordination.freshness import Verdict
from sesameknot.coordination.ownership import ranked_members
from sesameknot.protocol.objects import ROSTER_KEY
from tests.coordination.fleet import Fleet


class RosterTest(TestCase):
    def _fleet(self, count, *, seed):
        fleet = Fleet(count, seed=seed)
        self.addCleanup(fleet.world.close)
        self.assertThat(fleet.settle(), Is(True))
        return fleet

    def _writes(self, fleet):
        return [o for o in fleet.platform.log if o.key == ROSTER_KEY]

    def test_a_minority_that_reaches_the_platform_does_not_change_the_roster(self):
        """Guards against a minority that takes over the claims of the other hosts."""
        fleet = self._fleet(9, seed=1)
        majority, minority = fleet.names[:5], fleet.names[5:]
        fleet.platform.cut_hosts |= set(majority)
        fleet.world.cut(majority, minority)
        before = self._writes(fleet)
        fleet.world.run_for(40.0)
        self.assertThat(self._writes(fleet), Equals(before))
        fresh = {fleet.hosts[name].freshness.verdict() for name in minority}
        self.assertThat(fresh, Equals({Verdict.FRESH}))

    def test_of_two_halves_only_one_changes_the_roster(self):
        """Guards against halves of a partition that remove each other in turn."""
        fleet = self._fleet(8, seed=2)
        low, high = fleet.names[:4], fleet.names[4:]
        before = len(self._writes(fleet))
        fleet.world.cut(low, high)
        fleet.world.run_for(40.0)
        rosters = [
            [member["host_id"] for member in stored.value["members"]]
            for stored in self._writes(fleet)[before:]
        ]
        self.assertThat(rosters[-1], Equals(low))
        self.assertThat(all(set(low) <= set(ids) for ids in rosters), Is(True))

    def test_the_next_in_rank_proposes_when_the_first_has_no_platform(self):
        """Guards against changes that wait for one host's link to the platform."""
        fleet = self._fleet(5, seed=3)
        live = fleet.hosts["h00"].membership.live()
        first, *_, last = [
            m.host_id for m in ranked_members("proposer", ROSTER_KEY, live)
        ]
        fleet.platform.cut_hosts.add(first)
        fleet.kill(last)
        self.assertThat(fleet.settle(limit_s=20.0), Is(True))

    def test_changes_keep_their_distance(self):
        """Guards against a roster that changes faster than claims can be copied."""
        fleet = self._fleet(9, seed=4)
        change_times_s, seen_versions = [], set()

        def record_changes():
            for stored in self._writes(fleet):
                if stored.version not in seen_versions:
                    seen_versions.add(stored.version)
                    change_times_s.append(fleet.world.clock.monotonic_s())

        fleet.world.on_step.append(record_changes)
        for name in fleet.names[:4]:
            fleet.kill(name)
            fleet.world.run_for(0.7)
        fleet.world.run_for(3.0)
        for name in fleet.names[:4]:
            fleet.start(name)
            fleet.world.run_for(0.3)
        self.assertThat(fleet.settle(limit_s=20.0), Is(True))
        gaps_s = [b - a for a, b in itertools.pairwise(change_times_s[1:])]
        self.assertThat([gap_s for gap_s in gaps_s if gap_s < 1.0], Equals([]))

    def test_members_that_no_host_remembers_are_removed(self):
        """Guards against members that died before all current processes started."""
        fleet = self._fleet(5, seed=5)
        for name in fleet.names:
            fleet.kill(name)
        for name in fleet.names[:3]:
            fleet.start(name)
        self.assertThat(fleet.settle(limit_s=30.0), Is(True))

    def test_a_malformed_roster_leaves_the_last_good_one(self):
        """Guards against a malformed object that removes all owners."""
        fleet = self._fleet(3, seed=6)
        stored = fleet.platform.write(ROSTER_KEY, {"members": "none"})
        fleet.world.run_for(3.0)
        for host in fleet.hosts.values():
            self.assertThat(host.roster_ids(), Equals(fleet.names))
            (newest,) = host.store.newest([ROSTER_KEY])
            self.assertThat(newest, Equals(stored))

    def test_a_roster_names_the_one_before(self):
        """Guards against a roster that does not name the previous owners of claims."""
        fleet = self._fleet(5, seed=7)
        old = fleet.hosts["h00"].roster_keeper.roster
        fleet.kill("h04")
        self.assertThat(fleet.settle(limit_s=20.0), Is(True))
        new = fleet.hosts["h00"].roster_keeper.roster
        self.assertThat(new.previous, Equals(old.members))
        self.assertThat(new.previous_version, Equals(old.version))
        self.assertThat(new.members, HasLength(4))
