"""Tests of the control room screen."""

import asyncio
import dataclasses

import msgspec
from testtools.matchers import Contains, Equals, Is
from tornado.httpclient import HTTPRequest
from tornado.httpserver import HTTPServer
from tornado.simple_httpclient import SimpleAsyncHTTPClient
from tornado.testing import gen_test

from sesameknot.apps.screen import make_application
from sesameknot.clock import ManualClock
from sesameknot.errors import RouterError
from sesameknot.operator.fleet import RouterFleet
from sesameknot.operator.screen import ScreenPoller
from sesameknot.protocol.messages import MemberInfo, VersionStats
from sesameknot.protocol.objects import StoredObject
from sesameknot.protocol.operator_api import PushedObject
from sesameknot.protocol.rollout_object import RolloutObject
from tests.coordination.rollout_fakes import team_value
from tests.operator.fakes import TOKEN, FakeRouter
from tests.support import LoopTestCase, eventually
from tests.virtual_time import VirtualTimeMixin


class FakeSource:
    """Objects and members of a router that may be cut off."""

    def __init__(self):
        self.objects = {}
        self.version = 0
        self.hosts = []
        self.cut = False

    def put(self, key, value):
        self.version += 1
        version = self.version
        self.objects[key] = StoredObject(key, version, value)

    async def refresh(self):
        if self.cut:
            raise RouterError("cut off", step="refresh")

    def below(self, prefix):
        return [o for key, o in sorted(self.objects.items()) if key.startswith(prefix)]

    async def members(self):
        return self.hosts


class ScreenTest(VirtualTimeMixin, LoopTestCase):
    def setUp(self):
        super().setUp()
        self.clock = ManualClock()
        self.source = FakeSource()
        self.routers = [FakeRouter("h1"), FakeRouter("h2")]
        addresses = [self.listen(HTTPServer(r.application)) for r in self.routers]
        self.fleet = RouterFleet(addresses, clock=self.clock, token=TOKEN)
        self.closing(self.fleet.close)
        self.poller = ScreenPoller(self.fleet, sources=[self.source], clock=self.clock)

    def count(self, router, version, **counters):
        stats = VersionStats(team="feed", model="small", version=version, **counters)
        others = [s for s in router.traffic if s.version != version]
        router.traffic = [*others, stats]

    async def poll(self, seconds=1.0):
        self.clock.advance(seconds)
        return await self.poller.poll()

    async def codes(self, seconds=1.0):
        state = await self.poll(seconds)
        return {alarm.code for alarm in state.alarms}

    @gen_test
    async def test_many_viewers_share_one_poll_loop(self):
        """Guards against each screen in the room polling every router."""
        url = f"http://{self.listen(HTTPServer(make_application(self.poller)))}"
        client = SimpleAsyncHTTPClient(force_instance=True, max_clients=9)
        self.closing(client.close)
        pictures = [[] for _ in range(4)]
        for seen in pictures:
            request = HTTPRequest(f"{url}/events", streaming_callback=seen.append)
            viewing = asyncio.ensure_future(client.fetch(request, raise_error=False))
            self.closing(viewing.cancel)
        for number in range(1, 4):
            await self.poll()
            mark = b"id: %d\n" % number
            await eventually(
                lambda mark=mark: all(mark in b"".join(s) for s in pictures)
            )
        self.assertThat([r.status_calls for r in self.routers], Equals([3, 3]))
        self.assertThat(len({b"".join(seen) for seen in pictures}), Equals(1))

    @gen_test
    async def test_a_slow_viewer_gets_the_latest_picture_only(self):
        """Guards against pictures that pile up for a viewer that does not read."""
        for _ in range(5):
            await self.poll()
        sequence, picture = await self.poller.next_after(1)
        self.assertThat(sequence, Equals(5))
        self.assertThat(picture, Equals(self.poller.latest))

    @gen_test
    async def test_rates_survive_the_restart_of_a_router(self):
        """Guards against a negative rate, and against old counts shown as a burst."""
        first, second = self.routers
        self.count(first, "v1", request_count=1000)
        second.down = True
        await self.poll()
        second.down = False
        self.count(first, "v1", request_count=1010)
        self.count(second, "v1", request_count=500)
        await self.poll()
        first.status = dataclasses.replace(first.status, incarnation=2)
        self.count(first, "v1", request_count=5)
        self.count(second, "v1", request_count=505)
        state = await self.poll()
        (row,) = state.versions
        # 10 and then 5 of the first router, 5 of the second, in 2 s.
        self.assertThat(row.requests_per_s, Equals(10.0))

    @gen_test
    async def test_versions_show_share_role_and_targets(self):
        """Guards against a share of the wrong total and a missed target unseen."""
        self.source.put("settings/feed", team_value())
        rollout = RolloutObject(
            team="feed",
            name="july",
            model="small",
            from_version="v1",
            to_version="v2",
            step=1,
            share=0.25,
            state="running",
        )
        self.source.put(rollout.key, rollout.to_value())
        await self.poll()
        for router in self.routers:
            self.count(router, "v1", request_count=0)
            self.count(router, "v2", request_count=0)
        await self.poll()
        for router in self.routers:
            self.count(router, "v1", request_count=30, error_count=0)
            self.count(
                router,
                "v2",
                request_count=10,
                error_count=5,
                caller_count=4,
                first_token_count=10,
                first_token_ms_sum=9000.0,
            )
        state = await self.poll()
        shares = {row.version: (row.role, row.request_share) for row in state.versions}
        self.assertThat(shares, Equals({"v1": ("stable", 0.75), "v2": ("new", 0.25)}))
        (shown,) = state.rollouts
        self.assertThat((shown.request_share, shown.caller_count), Equals((0.25, 8)))
        codes = {alarm.code for alarm in state.alarms}
        self.assertThat(codes, Equals({"errors", "target-missed"}))

    @gen_test
    async def test_alarms_of_hosts_and_objects(self):
        """Guards against a host or a change that is wrong without an alarm."""
        first, second = self.routers
        self.source.hosts = [MemberInfo(host_id="h3", domain="idku", state="dead")]
        first.objects["settings/feed"] = PushedObject(key="settings/feed", version=2)
        self.assertThat(await self.codes(), Equals({"host-dead"}))
        self.assertThat(await self.codes(4.0), Contains("not-in-force"))
        second.objects = first.objects
        self.assertThat(await self.codes(), Equals({"host-dead"}))
        second.status = dataclasses.replace(second.status, verdict="stale")
        first.status = dataclasses.replace(first.status, verdict="platform-outage")
        self.source.put("domains/idku", {"state": "out"})
        self.assertThat(
            await self.codes(),
            Equals({"host-dead", "host-stale", "host-platform-outage", "domain-out"}),
        )
        second.down = True
        self.assertThat(await self.codes(), Contains("host-silent"))
        self.source.cut = True
        self.assertThat(await self.codes(), Contains("objects-old"))

    @gen_test
    async def test_alarms_of_withdrawals_and_rollouts(self):
        """Guards against a withdrawn version in use and a roll-out without holder."""
        rollout = RolloutObject(
            team="feed", name="july", model="small", from_version="v1", to_version="v2"
        )
        self.source.put(rollout.key, rollout.to_value())
        self.source.put("withdrawals/feed.small.v2", {"withdrawn": True})
        self.count(self.routers[0], "v2", request_count=1)
        await self.poll()
        self.count(self.routers[0], "v2", request_count=2)
        self.assertThat(await self.codes(), Equals(set()))
        await self.poll(21.0)
        self.count(self.routers[0], "v2", request_count=3)
        self.assertThat(
            await self.codes(), Equals({"withdrawn-traffic", "rollout-unattended"})
        )
        stopped = dataclasses.replace(rollout, state="stopped")
        self.source.put(rollout.key, stopped.to_value())
        self.source.put("settings/feed", team_value())
        self.assertThat(await self.codes(), Contains("rollout-stopped"))
        self.source.put("settings/feed", {**team_value(), "rollouts": []})
        self.assertThat(await self.codes(), Equals({"withdrawn-traffic"}))

    @gen_test
    async def test_the_page_is_served_without_outside_resources(self):
        """Guards against a wall display that needs the internet."""
        url = f"http://{self.listen(HTTPServer(make_application(self.poller)))}"
        client = SimpleAsyncHTTPClient(force_instance=True)
        self.closing(client.close)
        for path in ("", "screen.js", "screen.css"):
            response = await client.fetch(f"{url}/{path}")
            self.assertThat(b"http" in response.body, Is(False))
            self.assertThat(b"url(" in response.body, Is(False))
            policy = response.headers["Content-Security-Policy"]
            self.assertThat(policy, Equals("default-src 'self'"))

    @gen_test
    async def test_a_picture_is_plain_json(self):
        """Guards against a picture that the page cannot parse."""
        await self.poll()
        picture = msgspec.json.decode(self.poller.latest)
        self.assertThat(
            [host["condition"] for host in picture["hosts"]], Equals(["fresh", "fresh"])
        )
