"""Answers of endpoints that start again, as they count for their version."""

import asyncio

from examples.local_deployment import reserve_port
from testtools.matchers import Equals
from tornado.testing import gen_test

from sesameknot.platform.standin import FleetEndpoint
from tests.front_world import (
    PLAIN_SERVICE,
    SAFE_PATH,
    FrontWorld,
    configuration,
    server_entry,
)
from tests.support import eventually
from tests.virtual_time import VirtualTimeMixin

REQUEST_COUNT = 5
# Over half of the route's latency target, so that an answer counts as slow.
COLD_ANSWER_S = 0.3


class RestartedVersionTest(VirtualTimeMixin, FrontWorld):
    def setUp(self):
        super().setUp()
        service = {"Name": PLAIN_SERVICE, "ColdS": 3.0, "ColdPerS": 20.0}
        self.store.put("config", "main", configuration(Services=[service]))

    def _register(self, port, *, started_ms):
        entry = server_entry(PLAIN_SERVICE, f"127.0.0.1:{port}", born=started_ms)
        self.store.put("servers", "e0", entry)

    @gen_test(timeout=30)
    async def test_slow_answers_of_a_cold_process_do_not_count(self):
        """Guards against a version that looks slow because its endpoints crashed.

        The requests are sent after the start of the new process and before its entry
        arrives.
        """
        port = reserve_port()
        endpoint = FleetEndpoint(endpoint_id="e0", event_count=0)
        endpoint.server().listen(port, "127.0.0.1")
        self.closing(lambda: self.io_loop.run_sync(endpoint.stop))
        self._register(port, started_ms=1000)
        front = await self.start_front()
        await endpoint.stop()
        await self.pause(0.3)
        endpoint.start_again(port)
        endpoint.delay_s = COLD_ANSWER_S
        answers = [
            asyncio.create_task(self.ask(front, SAFE_PATH))
            for _ in range(REQUEST_COUNT)
        ]
        await eventually(lambda: len(endpoint.runs) == REQUEST_COUNT)
        self._register(port, started_ms=2000)
        await eventually(lambda: front.view.endpoints["e0"].entry.started_ms == 2000)
        self.assertThat([answer.done() for answer in answers], Equals([False] * 5))
        codes = [response.code for response in await asyncio.gather(*answers)]
        self.assertThat(codes, Equals([200] * REQUEST_COUNT))
        (counts,) = front.attempt_counts.records()
        self.assertThat(counts.request_count, Equals(REQUEST_COUNT))
        self.assertThat(counts.slow_count, Equals(0))
