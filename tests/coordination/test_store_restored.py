"""Hosts whose store comes back from a copy, without what was written last."""

from testtools.matchers import Equals, LessThan
from tornado.testing import gen_test

from sesameknot.platform import CRASH_KIND, HOST_KIND
from sesameknot.protocol.fleet_records import RolloutOutcome
from tests.front_world import PLAIN_SERVICE, FrontWorld, configuration
from tests.virtual_time import VirtualTimeMixin

APPLY_LIMIT_S = 2.0
HOST_COUNT = 5


class StoreRestoredTest(VirtualTimeMixin, FrontWorld):
    def setUp(self):
        super().setUp()
        self.store.put("config", "main", configuration(1))
        self.add_endpoint("plain-1", PLAIN_SERVICE, event_count=0)
        self.add_endpoint("plain-2", PLAIN_SERVICE, event_count=0)

    async def start_hosts(self, count=HOST_COUNT):
        """Start hosts of one failure domain; two of them relay to the others."""
        fronts = [await self.start_front(f"host-{n}") for n in range(count)]
        for front in fronts:
            await front.directory.refresh()
        await self.pause(3.0)
        return fronts

    async def restore(self, copy, *, away_s=0.5, rewrite=lambda: None):
        """Let the store go away and come back from ``copy``."""
        self.store.refuse_status = 503
        await self.pause(away_s)
        self.store.restore(copy)
        rewrite()
        self.store.refuse_status = 0

    def versions(self, fronts):
        return [front.view.configuration.version for front in fronts]

    def spec(self, endpoint_id, **fields):
        return {**self.store.get("servers", endpoint_id)["Spec"], **fields}

    @gen_test(timeout=300)
    async def test_change_after_a_restore_reaches_every_host(self):
        """Guards against a change at a revision that hosts know from before the copy.

        Outages of all lengths, so that hosts with relays ask the store themselves or
        don't, and as many changes as were lost, one less, and one more.
        """
        fronts = await self.start_hosts()
        version = 1
        for away_s in (0.1, 0.4, 1.0, 2.0):
            for lost_count in (1, 2, 3):
                copy = self.store.copy()
                for _ in range(lost_count):
                    version += 1
                    self.store.put("config", "main", configuration(version))
                    await self.pause(1.0)
                await self.restore(copy, away_s=away_s)
                for _ in range(3):
                    version += 1
                    self.store.put("config", "main", configuration(version))
                    await self.pause(APPLY_LIMIT_S)
                    case = (away_s, lost_count)
                    expected = [version] * HOST_COUNT
                    self.assertThat(self.versions(fronts), Equals(expected), case)

    @gen_test(timeout=300)
    async def test_changes_before_a_host_calls_again_are_not_missed(self):
        """Guards against a watch that goes on after revisions were given out again."""
        fronts = await self.start_hosts()
        copy = self.store.copy()
        for version in range(2, 5):
            self.store.put("config", "main", configuration(version))
            await self.pause(0.5)

        def rewrite():
            self.store.put("evacuations", "b", {})
            self.store.put("config", "main", configuration(9))
            for number in range(6):
                self.store.put("servers", "plain-1", self.spec("plain-1", Slots=number))

        await self.restore(copy, away_s=1.0, rewrite=rewrite)
        await self.pause(APPLY_LIMIT_S)
        self.assertThat(self.versions(fronts), Equals([9] * HOST_COUNT))
        evacuated = [front.view.evacuated_domains for front in fronts]
        self.assertThat(evacuated, Equals([{"b"}] * HOST_COUNT))

    @gen_test(timeout=300)
    async def test_configuration_never_goes_back(self):
        """Guards against the copy's older configuration that replaces a newer one."""
        fronts = await self.start_hosts()
        copy = self.store.copy()
        self.store.put("config", "main", configuration(7))
        await self.pause(2.0)
        await self.restore(copy)
        for _ in range(10):
            await self.pause(0.2)
            self.assertThat(self.versions(fronts), Equals([7] * HOST_COUNT))
        self.store.put("config", "main", configuration(8))
        await self.pause(APPLY_LIMIT_S)
        self.assertThat(self.versions(fronts), Equals([8] * HOST_COUNT))

    @gen_test(timeout=300)
    async def test_nonsense_instead_of_an_era_harms_nothing(self):
        """Guards against a malformed era that makes hosts list again or go deaf."""
        fronts = await self.start_hosts()
        sound_calls = await self.calls_for_changes(fronts, range(2, 8), ["1"] * 6)
        nonsense = ("", "x", "-1", "9" * 400, "1e3", "77")
        calls = await self.calls_for_changes(fronts, range(8, 14), nonsense)
        self.assertThat(calls, LessThan(2 * sound_calls))

    async def calls_for_changes(self, fronts, versions, eras):
        """Return the store calls that hosts make for changes with these eras."""
        calls_before = self.store.call_count
        for version, era in zip(versions, eras, strict=True):
            self.store.era = era
            self.store.put("config", "main", configuration(version))
            await self.pause(APPLY_LIMIT_S)
            self.assertThat(self.versions(fronts), Equals([version] * HOST_COUNT), era)
        return self.store.call_count - calls_before

    @gen_test(timeout=300)
    async def test_leaving_endpoint_of_the_copy_gets_no_request(self):
        """Guards against an endpoint that is ready in the copy, but has left since."""
        fronts = await self.start_hosts()
        copy = self.store.copy()
        self.store.put(
            "servers", "plain-1", self.spec("plain-1", State="draining", Slots=3)
        )
        self.store.remove("servers", "plain-2")
        await self.pause(2.0)
        await self.restore(copy)
        for _ in range(15):
            await self.pause(0.2)
            for endpoint_id in ("plain-1", "plain-2"):
                used = [
                    front.view.may_send(front.view.endpoints[endpoint_id])
                    for front in fronts
                ]
                self.assertThat(any(used), Equals(False), endpoint_id)

    @gen_test(timeout=300)
    async def test_endpoint_that_registers_again_is_used(self):
        """Guards against a live endpoint taken for one that has left."""
        fronts = await self.start_hosts()
        copy = self.store.copy()
        spec = self.spec("plain-2")
        self.store.remove("servers", "plain-2")
        await self.pause(2.0)
        await self.restore(copy)
        self.store.remove("servers", "plain-2")
        self.store.put("servers", "plain-2", spec)
        await self.pause(APPLY_LIMIT_S)
        used = [
            front.view.may_send(front.view.endpoints["plain-2"]) for front in fronts
        ]
        self.assertThat(all(used), Equals(True), used)

    @gen_test(timeout=300)
    async def test_endpoint_that_the_copy_lacks_stays_usable(self):
        """Guards against live endpoints that hosts drop until they register again."""
        fronts = await self.start_hosts()
        copy = self.store.copy()
        self.add_endpoint("plain-3", PLAIN_SERVICE, event_count=0)
        spec = self.spec("plain-3")
        await self.pause(2.0)
        await self.restore(copy, away_s=0.05)
        for step in range(10):
            await self.pause(0.2)
            used = [
                front.view.may_send(front.view.endpoints["plain-3"]) for front in fronts
            ]
            self.assertThat(all(used), Equals(True), step)
            if step == 5:
                self.store.put("servers", "plain-3", spec)

    @gen_test(timeout=300)
    async def test_evacuation_that_the_copy_lacks_holds_until_it_is_written_again(self):
        """Guards against work for an evacuated failure domain (EVAC)."""
        fronts = await self.start_hosts()
        copy = self.store.copy()
        self.store.put("evacuations", "b", {})
        await self.pause(2.0)
        await self.restore(copy)
        for step in range(30):
            await self.pause(0.1)
            if step == 15:
                self.store.put("evacuations", "b", {})
            evacuated = [front.view.evacuated_domains for front in fronts]
            self.assertThat(evacuated, Equals([{"b"}] * HOST_COUNT), step)
        await self.pause(10.0)
        evacuated = [front.view.evacuated_domains for front in fronts]
        self.assertThat(evacuated, Equals([{"b"}] * HOST_COUNT))
        self.store.remove("evacuations", "b")
        await self.pause(APPLY_LIMIT_S)
        self.assertThat(any(f.view.evacuated_domains for f in fronts), Equals(False))

    @gen_test(timeout=300)
    async def test_evacuation_that_nobody_writes_again_ends(self):
        """Guards against a failure domain that stays out of use for good."""
        fronts = await self.start_hosts()
        copy = self.store.copy()
        self.store.put("evacuations", "b", {})
        await self.pause(2.0)
        await self.restore(copy)
        await self.pause(10.0)
        self.assertThat(any(f.view.evacuated_domains for f in fronts), Equals(False))

    def outcomes(self, fronts):
        return [front.view.rollouts[PLAIN_SERVICE].outcome for front in fronts]

    @gen_test(timeout=300)
    async def test_outcome_of_a_roll_out_is_written_again(self):
        """Guards against a version in use again that was rolled back (EXPOSURE)."""
        fronts = await self.start_hosts()
        order = {"Service": PLAIN_SERVICE, "Target": "v2", "DurationS": 600}
        self.store.put("rollouts", PLAIN_SERVICE, order)
        status = {"Target": "v2", "Share": 0.25, "StartedMs": 1}
        self.store.put_status("rollouts", PLAIN_SERVICE, {**status, "State": "running"})
        await self.pause(2.0)
        running_copy = self.store.copy()
        ended = {**status, "State": "rolled_back"}
        self.store.put_status("rollouts", PLAIN_SERVICE, ended)
        await self.pause(2.0)
        await self.restore(running_copy)
        for _ in range(20):
            await self.pause(0.2)
            expected = [RolloutOutcome.ROLLED_BACK] * HOST_COUNT
            self.assertThat(self.outcomes(fronts), Equals(expected))
        stored = self.store.get("rollouts", PLAIN_SERVICE)["Status"]
        self.assertThat(stored["State"], Equals("rolled_back"))

    @gen_test(timeout=300)
    async def test_roll_out_that_is_ordered_again_keeps_its_outcome(self):
        """Guards against a second roll-out of a version that was rolled back."""
        fronts = await self.start_hosts()
        copy = self.store.copy()
        order = {"Service": PLAIN_SERVICE, "Target": "v2", "DurationS": 600}
        ended = {"Target": "v2", "Share": 0.25, "StartedMs": 1, "State": "rolled_back"}
        self.store.put("rollouts", PLAIN_SERVICE, order)
        self.store.put_status("rollouts", PLAIN_SERVICE, ended)
        await self.pause(2.0)
        await self.restore(copy)
        await self.pause(1.0)
        self.store.put("rollouts", PLAIN_SERVICE, order)
        await self.pause(3.0)
        expected = [RolloutOutcome.ROLLED_BACK] * HOST_COUNT
        self.assertThat(self.outcomes(fronts), Equals(expected))
        stored = self.store.get("rollouts", PLAIN_SERVICE)["Status"]
        self.assertThat(stored["State"], Equals("rolled_back"))

    @gen_test(timeout=300)
    async def test_host_that_the_copy_lacks_registers_again(self):
        """Guards against a host that others never learn of, and that shares no rate."""
        await self.start_hosts(2)
        copy = self.store.copy()
        late_front = await self.start_front("host-late")
        await self.pause(3.0)
        await self.restore(copy)
        await self.pause(30.0)
        self.assertThat(self.store.get(HOST_KIND, "host-late") is None, Equals(False))
        await late_front.directory.deregister()
        await self.pause(30.0)
        self.assertThat(self.store.get(HOST_KIND, "host-late"), Equals(None))

    @gen_test(timeout=300)
    async def test_crash_reports_that_the_copy_lacks_are_written_again(self):
        """Guards against a request that crashes endpoints again after a kill of all."""
        fronts = await self.start_hosts(2)
        copy = self.store.copy()
        for number in range(3):
            fronts[0].crash_guard.record(17, f"e-{number}")
        await self.pause(3.0)
        reports = [item["Metadata"]["Name"] for item in self.store.list(CRASH_KIND)]
        self.assertThat(len(reports), Equals(1))
        await self.restore(copy)
        await self.pause(5.0)
        restored = [item["Metadata"]["Name"] for item in self.store.list(CRASH_KIND)]
        self.assertThat(restored, Equals(reports))
