"""Retries at endpoints that start again under their identifier."""

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


class RestartedRetryTest(VirtualTimeMixin, FrontWorld):
    def setUp(self):
        super().setUp()
        self.store.put("config", "main", configuration())

    def _register(self, endpoint_id, port, *, domain="a", started_ms=1000):
        entry = server_entry(
            PLAIN_SERVICE, f"127.0.0.1:{port}", domain=domain, born=started_ms
        )
        self.store.put("servers", endpoint_id, entry)

    def _start(self, endpoint_id, port, *, domain="a", **options):
        endpoint = FleetEndpoint(endpoint_id=endpoint_id, event_count=0, **options)
        endpoint.server().listen(port, "127.0.0.1")
        self.closing(lambda: self.io_loop.run_sync(endpoint.stop))
        self._register(endpoint_id, port, domain=domain)
        return endpoint

    @gen_test(timeout=30)
    async def test_retry_may_go_to_the_next_process_of_a_tried_endpoint(self):
        """Guards against a lost request while a new process is ready to run it.

        The request is refused by e0, which is down, and its answer from e1 breaks off
        after e0 has started again.
        """
        port = reserve_port()
        restarted = self._start("e0", port)
        # Endpoints of another failure domain are the second choice.
        self._start("e1", reserve_port(), domain="b", delay_s=0.6, cut_body=True)
        front = await self.start_front()
        await restarted.stop()
        answer = asyncio.create_task(self.ask(front, SAFE_PATH))
        await self.pause(0.2)
        restarted.start_again(port)
        self._register("e0", port, started_ms=2000)
        await eventually(lambda: front.view.endpoints["e0"].entry.started_ms == 2000)
        self.assertThat(answer.done(), Equals(False))
        response = await answer
        self.assertThat(response.code, Equals(200))
        self.assertThat(len(restarted.runs), Equals(1))
