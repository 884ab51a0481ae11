"""Requests that wait or are refused while endpoints lack room."""

import asyncio
from dataclasses import replace

from testtools.matchers import Contains, Equals, GreaterThan, LessThan
from tornado.testing import gen_test

from sesameknot.settings.front import FrontSettings, SchedulingSettings
from tests.front_world import (
    MODEL_SERVICE,
    STREAM_PATH,
    FrontWorld,
    configuration,
    reserve_port,
)
from tests.support import eventually
from tests.virtual_time import VirtualTimeMixin

SLOT_COUNT = 4
# Slots and a fifth of them beyond, which endpoints may hold, in whole requests.
HELD_COUNT = 4
RUN_S = 1.2
DEADLINE_MS = 9000
# Requests wait for half of the latency target.
LONGEST_WAIT_S = 2.0
HEADERS = {"X-Token-Usage": "1000,80", "X-Prompt-Prefix": "5c1e:800,e440:200"}


class RequestSchedulerTest(VirtualTimeMixin, FrontWorld):
    def setUp(self):
        super().setUp()
        content = configuration()
        for route in content["Routes"]:
            route |= {"TimeoutMs": DEADLINE_MS, "TargetLatencyMs": 4000, "Sizes": []}
        self.store.put("config", "main", content)
        self.endpoint = self.add_endpoint("e1", MODEL_SERVICE, delay_s=RUN_S)

    async def start(self, *, memory_limited=True):
        """Start a host that knows how long requests run."""
        host = replace(self.host_settings(), endpoint_memory_limited=memory_limited)
        settings = FrontSettings(
            metrics_port=reserve_port(),
            scheduling=SchedulingSettings(enabled=True, wait_share=0.5),
        )
        front = await self.start_front_with(host, settings=settings)
        # A front process knows its own entry; other hosts do not report here.
        await eventually(lambda: front.view.hosts)
        for _ in range(2):
            await self.burst(front, SLOT_COUNT - 1)
        self.endpoint.runs.clear()
        return front

    async def ask_timed(self, front):
        started_s = asyncio.get_running_loop().time()
        response = await self.ask(
            front, STREAM_PATH, headers=HEADERS, deadline_ms=DEADLINE_MS
        )
        return response, asyncio.get_running_loop().time() - started_s

    async def burst(self, front, count):
        """Send requests at once; return the answers with their durations."""
        return await asyncio.gather(*(self.ask_timed(front) for _ in range(count)))

    def schedule(self, front):
        return front.ingress._scheduler._services[MODEL_SERVICE]

    def assert_nothing_left(self, front):
        schedule = self.schedule(front)
        self.assertThat(schedule.room.in_use_count, Equals(0))
        self.assertThat(len(schedule.queue) + len(schedule.waiters), Equals(0))
        self.assertThat(front.ingress._scheduler._admitted, Equals({}))

    @gen_test(timeout=60)
    async def test_overload_runs_what_fits_and_refuses_the_rest_early(self):
        """Guards against endless waits, lost wake-ups and refusals at the deadline.

        20 requests for 4 slots, each of which serves two within the longest wait.
        """
        front = await self.start()
        answers = await self.burst(front, 20)
        refused = [(r, s) for r, s in answers if r.code == 503]
        served = [r for r, _ in answers if r.code == 200]
        self.assertThat(len(refused) + len(served), Equals(20))
        self.assertThat(len(served), Equals(2 * HELD_COUNT))
        for response, duration_s in refused:
            self.assertThat(duration_s, LessThan(LONGEST_WAIT_S + 0.3))
            retry_after_s = float(response.headers["Retry-After"])
            self.assertThat(retry_after_s, GreaterThan(0.0))
            self.assertThat(retry_after_s, LessThan(DEADLINE_MS / 3000.0 + 0.1))
        self.assertThat(len(self.endpoint.runs), Equals(len(served)))
        self.assert_nothing_left(front)
        page = await self.http.fetch(
            f"http://127.0.0.1:{front.settings.metrics_port}/metrics"
        )
        for name in ("refusals_total", "wait_seconds", "queue", "slots"):
            self.assertThat(
                page.body.decode(), Contains(f"sesameknot_scheduling_{name}")
            )

    @gen_test(timeout=60)
    async def test_other_deployments_are_served_as_before(self):
        """Guards against waits on hosts whose node file lists no such contract."""
        front = await self.start(memory_limited=False)
        answers = await self.burst(front, 20)
        self.assertThat({r.code for r, _ in answers}, Equals({200}))
        self.assertThat(max(s for _, s in answers), LessThan(RUN_S + 0.5))

    @gen_test(timeout=60)
    async def test_caller_that_leaves_frees_its_place(self):
        """Guards against places in the queue that nobody waits for."""
        front = await self.start()
        running = asyncio.ensure_future(self.burst(front, HELD_COUNT))
        await eventually(lambda: len(self.endpoint.runs) == HELD_COUNT)
        waiting = asyncio.open_connection(*front.host.caller_address.split(":"))
        _, writer = await waiting
        head = [
            f"POST {STREAM_PATH} HTTP/1.1",
            "Host: callers.example",
            "X-Request-Id: gone",
            "Authorization: Bearer key-1",
            "Content-Length: 0",
        ]
        writer.write("\r\n".join(head).encode() + b"\r\n\r\n")
        await eventually(lambda: len(self.schedule(front).queue) == 1)
        writer.close()
        await eventually(lambda: not len(self.schedule(front).queue))
        await running
        self.assertThat(len(self.endpoint.runs), Equals(HELD_COUNT))
        self.assert_nothing_left(front)

    @gen_test(timeout=60)
    async def test_failed_requests_give_their_slots_back(self):
        """Guards against slots that are lost with each error of an endpoint."""
        front = await self.start()
        self.endpoint.status = 400
        await self.burst(front, 20)
        self.assert_nothing_left(front)
        self.endpoint.status = 200
        self.endpoint.cut_after_count = 0
        await self.burst(front, SLOT_COUNT)
        self.assert_nothing_left(front)

    @gen_test(timeout=60)
    async def test_host_resumed_after_a_pause_serves_again(self):
        """Guards against a queue that a frozen host never clears."""
        front = await self.start()
        burst = asyncio.ensure_future(self.burst(front, 12))
        await eventually(lambda: len(self.schedule(front).queue) > HELD_COUNT)
        self.io_loop.asyncio_loop.pause(4.0)
        await burst
        self.assert_nothing_left(front)
        answers = await self.burst(front, SLOT_COUNT - 1)
        self.assertThat({r.code for r, _ in answers}, Equals({200}))
