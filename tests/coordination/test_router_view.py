"""Tests of the router view and the runner over connections to real servers."""

from types import SimpleNamespace

from testtools.matchers import Equals
from tornado.httpserver import HTTPServer
from tornado.testing import gen_test

from sesameknot.clock import SystemClock
from sesameknot.coordination._object_records import batch_records
from sesameknot.coordination.rollout_runner import RolloutRunner
from sesameknot.coordination.router_view import RouterView
from sesameknot.protocol.messages import (
    MemberInfo,
    MembersReply,
    MembersRequest,
    ObjectSync,
    ObjectSyncReply,
    StatsReply,
    StatsRequest,
    VersionStats,
)
from sesameknot.protocol.objects import StoredObject
from sesameknot.protocol.rollout_object import RolloutObject
from sesameknot.protocol.roster import Roster, RosterMember
from sesameknot.standins.endpoint import EndpointStandin, EngineOptions
from sesameknot.standins.platform import PlatformCore, make_application
from sesameknot.state.object_store import ObjectStore
from sesameknot.transport.endpoint_client import EndpointClient
from sesameknot.transport.peer_server import PeerServer
from sesameknot.transport.platform_client import PlatformClient
from tests.coordination.rollout_fakes import (
    KEY,
    SHARES,
    FakeDecision,
    settle,
    team_value,
)
from tests.support import LoopTestCase


class RouterTestCase(LoopTestCase):
    def setUp(self):
        super().setUp()
        self.store = ObjectStore()
        self.server = PeerServer("h1")
        self.address = self.listen(self.server)
        self.server.handle(ObjectSync)(self.answer_sync)
        self.server.handle(MembersRequest)(self.answer_members)
        self.server.handle(StatsRequest)(self.answer_stats)
        self.view = RouterView(self.address, peer=self.client)
        self.sync_count = 0

    async def answer_sync(self, message):
        self.sync_count += 1
        reply = ObjectSyncReply(digest=self.store.digest())
        if message.versions or not message.digest:
            difference = self.store.difference_from(message.versions)
            reply.objects = next(batch_records(difference.objects), [])
        return reply

    async def answer_members(self, message):
        states = {"h1": "alive", "h2": "dead"}
        return MembersReply(
            members=[
                MemberInfo(host_id=name, address=self.address, state=state)
                for name, state in states.items()
            ]
        )

    async def answer_stats(self, message):
        stats = VersionStats(team="feed", model="small", version="v2", request_count=3)
        return StatsReply(host_id="h1", incarnation=1, versions=[stats])


class RouterViewTest(RouterTestCase):
    @gen_test
    async def test_a_view_reads_all_batches_and_then_only_the_digest(self):
        """Guards against objects missing beyond one frame and against full re-reads."""
        value = "x" * 300_000
        self.store.merge(StoredObject(f"settings/t{n}", n + 1, value) for n in range(4))
        await self.view.refresh()
        self.assertThat(len(self.view.below("settings/")), Equals(4))
        before = self.sync_count
        await self.view.refresh()
        self.assertThat(self.sync_count, Equals(before + 1))
        self.store.merge([StoredObject("settings/t0", 9, None, deleted=True)])
        await self.view.refresh()
        self.assertThat(self.view.get("settings/t0"), Equals(None))

    @gen_test
    async def test_counters_come_from_members_that_are_not_dead(self):
        """Guards against waiting for hosts that the members list as dead."""
        replies = await self.view.stats()
        self.assertThat([reply.host_id for reply in replies], Equals(["h1"]))
        self.assertThat(replies[0].versions[0].request_count, Equals(3))


class RunnerOverHttpTest(RouterTestCase):
    @gen_test(timeout=30)
    async def test_a_rollout_loads_real_engines_and_begins(self):
        """Guards against orders that the engines' HTTP interface does not accept."""
        core = PlatformCore(clock=SystemClock(), host_lag_s=0.0)
        url = f"http://{self.listen(HTTPServer(make_application(core)))}"
        platform = PlatformClient(url)
        endpoints = EndpointClient(clock=SystemClock())
        self.closing(platform.close)
        self.closing(endpoints.close)
        engines = self._put_objects(core)
        runner = RolloutRunner(
            "h1",
            view=self.view,
            platform=platform,
            engine_client=endpoints,
            decision=FakeDecision(SimpleNamespace(verdict="continue")),
            clock=SystemClock(),
        )
        while core.table.get(KEY).value["state"] != "running":
            self.store.merge(core.table.below(("",)).objects)
            await runner.tick()
            await settle()
        self.assertThat(core.table.get(KEY).value["share"], Equals(SHARES[0] / 4))
        loaded = [e for e in engines if "small/v2" in e.engine.versions]
        self.assertThat(len(loaded), Equals(1))
        self.assertThat(loaded[0].engine.highest_fence >= 1, Equals(True))

    def _put_objects(self, core):
        team = team_value()
        engines = []
        for entry in team["endpoints"]:
            options = EngineOptions(versions=("small/v1",), fencing=True)
            engines.append(EndpointStandin(options, clock=SystemClock()))
            entry["url"] = f"http://{self.listen(engines[-1].server())}"
        member = RosterMember("h1", 1, self.address, "r", "d")
        planned = RolloutObject(
            team="feed", name="july", model="small", from_version="v1", to_version="v2"
        )
        for key, value in [
            ("settings/feed", team),
            ("roster/main", Roster(members=(member,)).to_value()),
            (KEY, planned.to_value()),
        ]:
            core.table.put(key, value, expected_version=0, write_id="operator")
        return engines
