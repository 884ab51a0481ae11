"""Test case with a simulated fleet of hosts."""

from testtools import TestCase
from testtools.matchers import Is

from tests.coordination.fleet import Fleet

STALE_LIMIT_S = 3.0


class FleetTestCase(TestCase):
    def start_fleet(self, count, *, seed, **options):
        """Return a fleet in which all hosts have joined and are fresh."""
        fleet = Fleet(count, seed=seed, **options)
        self.addCleanup(fleet.world.close)
        self.assertThat(fleet.settle(), Is(True))
        return fleet

    def write(self, fleet, key, value=1):
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

    def watch_refusals(self, fleet, names):
        """Return a set that collects the hosts that refuse requests from now on."""
        refusals = set()

        def check():
            for name in names:
                if name in fleet.hosts and not fleet.hosts[name].freshness.may_accept():
                    refusals.add(name)

        fleet.world.on_step.append(check)
        return refusals

    def verdicts(self, fleet, names):
        return {fleet.hosts[name].freshness.verdict() for name in names}
