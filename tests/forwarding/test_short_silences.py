"""Sound endpoints that fall silent for about a second and go on."""

import asyncio

from testtools.matchers import Equals, HasLength
from tornado.testing import gen_test

from tests.front_world import (
    MODEL_SERVICE,
    PLAIN_SERVICE,
    SAFE_PATH,
    STREAM_PATH,
    UNSAFE_PATH,
    FrontWorld,
    configuration,
    route,
)
from tests.virtual_time import VirtualTimeMixin

SILENCE_S = 1.2
EVENT_COUNT = 3
PROMPT = {"X-Model": "*", "X-Prompt-Prefix": "5c1e:400,91bd:400,e440:200"}


class ShortSilenceTest(VirtualTimeMixin, FrontWorld):
    def setUp(self):
        super().setUp()
        # A pause of a second between events is within this route's target.
        slow = route(
            "slow",
            "/slow/",
            "streaming",
            MODEL_SERVICE,
            Resumable=True,
            MaxAttempts=3,
            TargetLatencyMs=1500,
            GapTargetMs=1000,
        )
        self.store.put("config", "main", configuration(routes=[slow]))

    @gen_test(timeout=60)
    async def test_stream_goes_on_after_a_silence(self):
        """Guards against a sound stream that is cut, and run again elsewhere."""
        endpoint = self.add_endpoint(
            "e", MODEL_SERVICE, event_count=EVENT_COUNT, event_gap_s=SILENCE_S
        )
        other = self.add_endpoint(
            "f", MODEL_SERVICE, event_count=EVENT_COUNT, event_gap_s=SILENCE_S
        )
        front = await self.start_front()
        response = await self.ask(
            front, "/slow/x", headers=PROMPT, deadline_ms=20000, method="GET"
        )
        self.assertThat(response.code, Equals(200))
        self.assertThat(response.body.count(b"id: "), Equals(EVENT_COUNT))
        self.assertThat(len(endpoint.runs) + len(other.runs), Equals(1))

    @gen_test(timeout=60)
    async def test_silent_endpoint_is_not_counted_as_crashed(self):
        """Guards against sound requests refused since endpoints fell silent.

        The request's time-out passes within the silence; a check then finds that the
        endpoint accepts no connection, which it does a moment later.
        """
        endpoint = self.add_endpoint("e", PLAIN_SERVICE, event_count=0)
        self.add_endpoint("other", MODEL_SERVICE)
        endpoint.silent = True
        front = await self.start_front()
        asked = asyncio.create_task(
            self.ask(front, UNSAFE_PATH, deadline_ms=400, method="POST")
        )
        await self.pause(0.1)
        port = self.stop_listening(endpoint)
        await asked
        await self.pause(SILENCE_S - 0.5)
        self.listen_again(endpoint, port)
        await self.pause(5.0)
        self.assertThat(front.crash_guard.entries(), HasLength(0))

    def stop_listening(self, endpoint):
        """Refuse new connections to an endpoint; return its port."""
        entry = self.store.get("servers", endpoint.endpoint_id)["Spec"]
        endpoint._server.stop()
        return int(entry["Address"].rpartition(":")[2])

    def listen_again(self, endpoint, port):
        """Accept connections at the endpoint's port again."""
        server = endpoint.server()
        server.listen(port, "127.0.0.1", reuse_port=False)
        self.closing(server.stop)

    @gen_test(timeout=60)
    async def test_callers_are_served_while_one_endpoint_is_silent(self):
        """Guards against requests that wait at a silent endpoint for their deadline."""
        silent = self.add_endpoint("silent", PLAIN_SERVICE, event_count=0)
        self.add_endpoint("other", PLAIN_SERVICE, event_count=0)
        front = await self.start_front()
        silent.silent = True
        asked = []
        for _ in range(10):
            asked.append(
                asyncio.create_task(
                    self.ask(front, SAFE_PATH, method="GET", deadline_ms=1000)
                )
            )
            await self.pause(SILENCE_S / 10)
        codes = [response.code for response in await asyncio.gather(*asked)]
        self.assertThat(set(codes), Equals({200}))

    @gen_test(timeout=60)
    async def test_streams_are_served_while_one_engine_is_silent(self):
        """Guards against streams that wait at a silent engine for their deadline."""
        silent = self.add_endpoint("silent", MODEL_SERVICE)
        self.add_endpoint("other", MODEL_SERVICE)
        front = await self.start_front()
        silent.silent = True
        responses = await asyncio.gather(
            *(self.ask(front, STREAM_PATH, headers=PROMPT) for _ in range(6))
        )
        self.assertThat({r.code for r in responses}, Equals({200}))
