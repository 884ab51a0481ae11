"""Loads on endpoints that start again under their identifier, as hosts report them."""

import asyncio

from examples.local_deployment import reserve_port
from testtools.matchers import Equals
from tornado.testing import gen_test

from sesameknot.platform.standin import FleetEndpoint
from tests.front_world import (
    MODEL_SERVICE,
    STREAM_PATH,
    FrontWorld,
    configuration,
    server_entry,
)
from tests.support import eventually
from tests.virtual_time import VirtualTimeMixin

COLD_S = 3.0
HOST_COUNT = 4
STREAMS_PER_HOST = 3


class RestartedLoadTest(VirtualTimeMixin, FrontWorld):
    def setUp(self):
        super().setUp()
        service = {"Name": MODEL_SERVICE, "ColdS": COLD_S, "ColdPerS": 4.0}
        self.store.put("config", "main", configuration(Services=[service]))

    def _register(self, port, *, started_ms):
        entry = server_entry(MODEL_SERVICE, f"127.0.0.1:{port}", born=started_ms)
        self.store.put("servers", "e0", entry)

    @gen_test(timeout=60)
    async def test_load_on_a_process_ends_before_the_next_one_is_warm(self):
        """Guards against a warm endpoint that is avoided because of broken streams.

        Hosts exchange loads by the identifier of the endpoint, so that requests at a
        new process count even at hosts that do not know of it yet.
        """
        port = reserve_port()
        endpoint = FleetEndpoint(endpoint_id="e0", event_count=30, event_gap_s=0.5)
        endpoint.server().listen(port, "127.0.0.1")
        self.closing(lambda: self.io_loop.run_sync(endpoint.stop))
        self._register(port, started_ms=1000)
        fronts = [
            await self.start_front(f"host-{n}", domain="ab"[n % 2])
            for n in range(HOST_COUNT)
        ]
        await eventually(lambda: all(len(f.view.hosts) == HOST_COUNT for f in fronts))
        await self.pause(20.0)
        answers = [
            asyncio.create_task(
                self.ask(front, STREAM_PATH, headers={"X-Model": "small"})
            )
            for front in fronts
            for _ in range(STREAMS_PER_HOST)
        ]
        await self.pause(2.0)

        def loads():
            known = [front.view.endpoints["e0"] for front in fronts]
            return [e.in_flight_count + e.other_in_flight_count for e in known]

        total = HOST_COUNT * STREAMS_PER_HOST
        self.assertThat(loads(), Equals([total] * HOST_COUNT))
        await endpoint.stop()
        # The streams break off, as no other endpoint can go on with them.
        await asyncio.gather(*answers, return_exceptions=True)
        await self.pause(0.3)
        endpoint.start_again(port)
        self._register(port, started_ms=2000)
        await self.pause(COLD_S)
        started_ms = {f.view.endpoints["e0"].entry.started_ms for f in fronts}
        self.assertThat(started_ms, Equals({2000}))
        self.assertThat(loads(), Equals([0] * HOST_COUNT))
