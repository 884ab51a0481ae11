"""Failure tests of membership, replication, freshness and roster together."""

from testtools import TestCase
from testtools.matchers import Equals, Is

from tests.coordination.fleet import Fleet


class FleetTest(TestCase):
    def _fleet(self, count, **options):
        fleet = Fleet(count, **options)
        self.addCleanup(fleet.world.close)
        return fleet

    def test_hosts_join_and_get_a_change_within_three_seconds(self):
        """Guards against a change that does not reach every host in time."""
        for count in (1, 3, 9):
            fleet = self._fleet(count, seed=count)
            self.assertThat(fleet.settle(), Is(True))
            stored = fleet.platform.write("domains/a", {"state": "out"})
            fleet.world.run_for(3.0)
            for host in fleet.hosts.values():
                self.assertThat(host.store.get("domains/a"), Equals(stored))
