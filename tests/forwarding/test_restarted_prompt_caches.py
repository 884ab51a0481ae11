"""Placement by cached prompts at endpoints that start again under their identifier."""

from examples.local_deployment import reserve_port
from testtools.matchers import Equals
from tornado.testing import gen_test

from sesameknot.platform.standin import FleetEndpoint
from sesameknot.policy.rendezvous import unit_hash
from tests.front_world import (
    MODEL_SERVICE,
    STREAM_PATH,
    FrontWorld,
    configuration,
    server_entry,
)
from tests.support import eventually
from tests.virtual_time import VirtualTimeMixin

# A shared part whose affinity endpoint is e1.
SHARED_PART = next(
    part
    for number in range(100)
    if unit_hash(part := f"{number:x}", "e1") > unit_hash(part, "e0")
)
PROMPT = {"X-Model": "small", "X-Prompt-Prefix": f"{SHARED_PART}:20000,e440:200"}
REQUEST_COUNT = 6


class RestartedPromptCacheTest(VirtualTimeMixin, FrontWorld):
    def setUp(self):
        super().setUp()
        service = {"Name": MODEL_SERVICE}
        self.store.put("config", "main", configuration(Services=[service]))
        self._ports = {}

    def _start(self, endpoint_id):
        endpoint = FleetEndpoint(endpoint_id=endpoint_id)
        self._ports[endpoint_id] = reserve_port()
        endpoint.server().listen(self._ports[endpoint_id], "127.0.0.1")
        self.closing(lambda: self.io_loop.run_sync(endpoint.stop))
        self.endpoints[endpoint_id] = endpoint
        self._register(endpoint_id, started_ms=1000)
        return endpoint

    def _register(self, endpoint_id, *, started_ms):
        address = f"127.0.0.1:{self._ports[endpoint_id]}"
        entry = server_entry(MODEL_SERVICE, address, born=started_ms)
        self.store.put("servers", endpoint_id, entry)

    async def _run_counts(self, front):
        """Send requests with the prompt; return how many ran at each endpoint."""
        before = {e.endpoint_id: len(e.runs) for e in self.endpoints.values()}
        for _ in range(REQUEST_COUNT):
            response = await self.ask(front, STREAM_PATH, headers=PROMPT)
            self.assertThat(response.code, Equals(200))
        return {
            e.endpoint_id: len(e.runs) - before[e.endpoint_id]
            for e in self.endpoints.values()
        }

    async def _start_with_prompt_at_e0(self):
        """Return a host whose requests with the prompt all went to e0 so far."""
        self._start("e0")
        front = await self.start_front()
        await self._run_counts(front)
        self._start("e1")
        await eventually(lambda: "e1" in front.view.endpoints)
        return front

    @gen_test(timeout=60)
    async def test_prompt_stays_at_the_process_that_has_it(self):
        """Guards against a prompt that a second endpoint has to process as well."""
        front = await self._start_with_prompt_at_e0()
        counts = await self._run_counts(front)
        self.assertThat(counts, Equals({"e0": REQUEST_COUNT, "e1": 0}))

    @gen_test(timeout=60)
    async def test_prompt_leaves_an_endpoint_that_started_again(self):
        """Guards against requests that go to an empty cache as if it had their prompt.

        The prompt's affinity endpoint is the best choice once no cache holds it.
        """
        front = await self._start_with_prompt_at_e0()
        await self.endpoints["e0"].stop()
        self.endpoints["e0"].start_again(self._ports["e0"])
        self._register("e0", started_ms=2000)
        await eventually(lambda: front.view.endpoints["e0"].entry.started_ms == 2000)
        counts = await self._run_counts(front)
        self.assertThat(counts, Equals({"e0": 0, "e1": REQUEST_COUNT}))
