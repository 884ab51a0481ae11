"""Tests of requests that crash the endpoints which run them."""

import asyncio

from examples.local_deployment import reserve_port
from testtools.matchers import Equals, HasLength
from tornado.testing import gen_test

from sesameknot.platform.standin import FleetEndpoint
from tests.front_world import (
    MODEL_SERVICE,
    PLAIN_SERVICE,
    STREAM_PATH,
    FrontWorld,
    configuration,
    server_entry,
)
from tests.support import eventually
from tests.virtual_time import VirtualTimeMixin

CRASH_LIMIT_COUNT = 3
# Time after the third crash from which no host may send the request.
CONTACT_S = 3.0
CRASHING_BODY = b"crashing question"
PROMPT = {
    "X-Model": "*",
    "X-Token-Usage": "1000,80",
    "X-Prompt-Prefix": "5c1e:400,91bd:400,e440:200",
}
NEVER_COLD = [{"Name": MODEL_SERVICE}, {"Name": PLAIN_SERVICE}]


class CrashingRequestTest(VirtualTimeMixin, FrontWorld):
    def setUp(self):
        super().setUp()
        self.store.put("config", "main", configuration())

    def add_engines(self, count, **options):
        """Start engines that the request crashes, unsure with the small model."""
        for number in range(count):
            self.add_endpoint(
                f"e{number}",
                MODEL_SERVICE,
                crash_body=CRASHING_BODY,
                confidences={"small": 10, "large": 90},
                **options,
            )

    def crashed(self):
        """Return the endpoints that ran the request."""
        return [endpoint for endpoint in self.endpoints.values() if endpoint.runs]

    async def ask_crashing(self, front):
        """Send the request and check that it gets no answer."""
        response = await self.ask(
            front, STREAM_PATH, body=CRASHING_BODY, headers=PROMPT
        )
        self.assertThat(response.code in (502, 503), Equals(True))

    @gen_test(timeout=30)
    async def test_endpoints_that_crash_after_a_dropped_answer_are_counted(self):
        """Guards against more crashes because an answer was dropped before the crash.

        The cascade drops an unsure answer at its head and asks a larger model; the
        first endpoint crashes all the same.
        """
        self.add_engines(8, crash_after_head_s=0.05)
        front = await self.start_front()
        for _ in range(4):
            await self.ask_crashing(front)
            await self.pause(1.0)
        self.assertThat(self.crashed(), HasLength(CRASH_LIMIT_COUNT))

    @gen_test(timeout=30)
    async def test_endpoint_that_crashes_after_its_caller_left_is_counted(self):
        """Guards against a crash that no one counts because the caller has left."""
        self.add_engines(1, crash_after_head_s=0.2)
        front = await self.start_front()
        _, writer = await asyncio.open_connection(*front.host.caller_address.split(":"))
        writer.write(
            b"POST /advice/x HTTP/1.1\r\nHost: callers.example\r\n"
            b"X-Request-Id: q\r\nX-Deadline-Ms: 3000\r\nX-Model: large\r\n"
            b"Authorization: Bearer key-1\r\n"
            b"Content-Length: %d\r\n\r\n%s" % (len(CRASHING_BODY), CRASHING_BODY)
        )
        await self.pause(0.1)
        writer.close()
        await self.pause(1.0)
        counted = [entry.endpoint_ids for entry in front.crash_guard.entries()]
        self.assertThat(counted, Equals([frozenset({"e0"})]))

    @gen_test(timeout=60)
    async def test_endpoints_that_crash_silently_are_counted(self):
        """Guards against a request that silences one endpoint after the other.

        The connections of a silent endpoint stay open, so that its runs end at a
        time-out, or with their callers.
        """
        self.add_engines(8, crash_silently=True)
        front = await self.start_front()
        for _ in range(6):
            await self.ask(front, STREAM_PATH, body=CRASHING_BODY, headers=PROMPT)
            await self.pause(CONTACT_S)
        self.assertThat(self.crashed(), HasLength(CRASH_LIMIT_COUNT))

    @gen_test(timeout=60)
    async def test_silent_crash_before_the_head_counts_when_the_caller_leaves(self):
        """Guards against a crash that no one counts because its caller gave up."""
        self.add_engines(1, crash_silently=True)
        front = await self.start_front()
        await self.ask(
            front, STREAM_PATH, body=CRASHING_BODY, headers=PROMPT, deadline_ms=400
        )
        await self.pause(CONTACT_S)
        counted = [entry.endpoint_ids for entry in front.crash_guard.entries()]
        self.assertThat(counted, Equals([frozenset({"e0"})]))

    @gen_test(timeout=30)
    async def test_endpoint_that_restarts_under_its_id_is_counted_again(self):
        """Guards against one endpoint that a request crashes over and over."""
        front = await self.start_front()
        lives = []
        for start_ms in range(1, 6):
            self.add_engines(1)
            lives.append(self.endpoints["e0"])
            entry = self.store.get("servers", "e0")["Spec"]
            self.store.put("servers", "e0", {**entry, "born": start_ms})
            await eventually(
                lambda at=start_ms: (
                    "e0" in front.view.endpoints
                    and front.view.endpoints["e0"].entry.started_ms == at
                )
            )
            await self.ask_crashing(front)
        crashed = [endpoint for endpoint in lives if endpoint.runs]
        self.assertThat(crashed, HasLength(CRASH_LIMIT_COUNT))

    def add_restarting_engine(self, endpoint_id, *, down_s, registration_s):
        """Start an engine that crashes silently and starts again under its id."""
        engine = FleetEndpoint(
            endpoint_id=endpoint_id, crash_body=CRASHING_BODY, crash_silently=True
        )
        port = reserve_port()
        engine.server().listen(port, "127.0.0.1")
        self.closing(lambda: self.io_loop.run_sync(engine.stop))
        self.endpoints[endpoint_id] = engine

        def register(started_ms):
            entry = server_entry(MODEL_SERVICE, f"127.0.0.1:{port}", born=started_ms)
            self.store.put("servers", endpoint_id, entry)

        async def restart():
            for number in range(1, 100):
                await eventually(
                    lambda count=number: len(engine.runs) == count,
                    limit_s=60.0,
                    interval_s=0.1,
                )
                await self.pause(down_s)
                engine.start_again(port)
                await self.pause(registration_s)
                register(1000 + round(engine.started_s[-1] * 1000))

        register(1000)
        task = asyncio.create_task(restart())
        self.closing(task.cancel)

    @gen_test(timeout=60)
    async def test_silent_crash_counts_if_the_endpoint_soon_starts_again(self):
        """Guards against crashes that no one counts because the endpoint is back.

        A sound endpoint may be silent for as long, but has no new process. The third
        run of a request lasts until its deadline and is not counted, as its endpoint is
        back by then; two requests show enough crashes.
        """
        self.store.put("config", "main", configuration(2, Services=NEVER_COLD))
        for number in range(8):
            self.add_restarting_engine(f"e{number}", down_s=1.3, registration_s=1.0)
        front = await self.start_front()
        run_counts = []
        for _ in range(4):
            await self.ask(front, STREAM_PATH, body=CRASHING_BODY, headers=PROMPT)
            await self.pause(2.0 * CONTACT_S)
            run_counts.append(sum(len(e.runs) for e in self.endpoints.values()))
        self.assertThat(run_counts, Equals([3, 6, 6, 6]))

    @gen_test(timeout=30)
    async def test_refused_request_stays_refused_after_all_hosts_were_killed(self):
        """Guards against crashes that are needed again after a kill of all hosts."""
        self.add_engines(8)
        front = await self.start_front()
        for _ in range(2):
            await self.ask_crashing(front)
        await self.pause(1.0)
        await front.close()
        started = await self.start_front("host-2")
        await self.pause(0.5)
        await self.ask_crashing(started)
        self.assertThat(self.crashed(), HasLength(CRASH_LIMIT_COUNT))
