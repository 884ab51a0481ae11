"""Tests of hosts that learn the pace of endpoints from their streams."""

import asyncio

from examples.local_deployment import reserve_port
from testtools.matchers import Contains, Equals, GreaterThan, LessThan
from tornado.testing import gen_test

from sesameknot.settings.front import FrontSettings, PlacementSettings
from tests.front_world import MODEL_SERVICE, STREAM_PATH, FrontWorld, configuration
from tests.support import eventually

GAPS_S = {"e1": 0.006, "e2": 0.01, "e3": 0.01, "e4": 0.03}
SLOT_COUNT = 4
ALL_SLOTS_COUNT = SLOT_COUNT * len(GAPS_S)


class UnevenEndpointsTest(FrontWorld):
    async def start(self, *, learn_pace):
        self.store.put(
            "config", "main", configuration(Services=[{"Name": MODEL_SERVICE}])
        )
        for name, gap_s in GAPS_S.items():
            self.add_endpoint(name, MODEL_SERVICE, event_count=6, event_gap_s=gap_s)
        placement = PlacementSettings(strategy="least_busy", learn_pace=learn_pace)
        settings = FrontSettings(metrics_port=reserve_port(), placement=placement)
        return await self.start_front(settings=settings)

    async def send_streams(self, front, *, batch_count, size):
        for _ in range(batch_count):
            answers = await asyncio.gather(
                *(self.ask(front, STREAM_PATH) for _ in range(size))
            )
            self.assertThat({answer.code for answer in answers}, Equals({200}))

    def relative_times(self, front):
        return {
            name: endpoint.relative_event_time
            for name, endpoint in front.view.endpoints.items()
        }

    @gen_test(timeout=40)
    async def test_slow_endpoint_is_found_and_gets_less(self):
        """Guards against streams, settings or placement that are not connected."""
        front = await self.start(learn_pace=True)
        await self.send_streams(front, batch_count=12, size=ALL_SLOTS_COUNT)
        await eventually(lambda: self.relative_times(front)["e4"] > 1.25, limit_s=4.0)
        self.assertThat(self.relative_times(front)["e1"], LessThan(1.0))
        before = {n: len(e.runs) for n, e in self.endpoints.items()}
        # With all slots in use, all endpoints would get the same.
        await self.send_streams(front, batch_count=8, size=ALL_SLOTS_COUNT // 2)
        added = {n: len(e.runs) - before[n] for n, e in self.endpoints.items()}
        self.assertThat(added["e1"], GreaterThan(added["e4"]))
        page = await self.http.fetch(
            f"http://127.0.0.1:{front.settings.metrics_port}/metrics"
        )
        count = front.view.uneven_count
        self.assertThat(
            page.body.decode(), Contains(f"sesameknot_uneven_endpoints {count}\n")
        )

    @gen_test(timeout=40)
    async def test_nothing_is_learnt_by_default(self):
        """Guards against a changed placement of deployments that did not ask for it."""
        front = await self.start(learn_pace=False)
        await self.send_streams(front, batch_count=12, size=ALL_SLOTS_COUNT)
        await self.pause(2.5)
        self.assertThat(set(self.relative_times(front).values()), Equals({1.0}))
        self.assertThat(FrontSettings().placement.learn_pace, Equals(False))
