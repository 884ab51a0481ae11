"""Memory that a host holds for callers and endpoints that read slowly."""

import asyncio
import contextlib
import dataclasses
import socket
import tracemalloc

from examples.local_deployment import reserve_port
from testtools.matchers import Equals, GreaterThan, LessThan
from tornado.testing import gen_test

from sesameknot.settings.front import AttemptSettings, FrontSettings, MemorySettings
from tests.front_world import (
    HOST,
    KEY,
    MODEL_SERVICE,
    PLAIN_SERVICE,
    SAFE_PATH,
    STREAM_PATH,
    FrontWorld,
)
from tests.front_world import configuration as make_configuration
from tests.scripted_endpoint import ScriptRunner
from tests.support import eventually
from tests.virtual_time import VirtualTimeMixin

# Above what the kernel buffers for a connection, below the limit of one answer.
BODY = bytes(7_500_000)
STREAM_HEAD = (
    b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
    b"X-Server-Stamp: s1\r\nX-Confidence: 90\r\n\r\n"
)
# What a host may hold for a stream whose caller does not read. It holds about 200 kB,
# and held 530 kB when it read 64 KiB at a time from endpoints.
STREAM_MEMORY_BYTES = 256 * 1024
HOST_CODE = ("*/sesameknot/*", "*/tornado/*")


def held_bytes():
    """Return the traced memory that the code of the host has allocated."""
    filters = [tracemalloc.Filter(True, pattern) for pattern in HOST_CODE]
    snapshot = tracemalloc.take_snapshot().filter_traces(filters)
    return sum(statistic.size for statistic in snapshot.statistics("filename"))


class SlowReaderWorld(FrontWorld):
    def setUp(self):
        super().setUp()
        self.store.put("config", "main", make_configuration())
        self.endpoint = self.add_endpoint("e1", PLAIN_SERVICE, event_count=0)
        self.endpoint.body = BODY

    async def ask_without_reading(self, front, *, path=SAFE_PATH, deadline_ms=3000):
        """Send a request, wait until its answer begins, and do not read it."""
        loop = asyncio.get_running_loop()
        sock = socket.socket()
        sock.setblocking(False)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        ip, _, port = front.host.caller_address.rpartition(":")
        await loop.sock_connect(sock, (ip, int(port)))
        lines = [
            f"GET {path} HTTP/1.1",
            f"Host: {HOST}",
            "X-Request-Id: slow",
            f"X-Deadline-Ms: {deadline_ms}",
            f"Authorization: Bearer {KEY}",
        ]
        await loop.sock_sendall(sock, "\r\n".join(lines).encode() + b"\r\n\r\n")
        self.assertThat(await loop.sock_recv(sock, 8), Equals(b"HTTP/1.1"))
        return sock

    def answer_buffer(self, front):
        return front.ingress._runner.answer_buffer


class SlowReaderTest(SlowReaderWorld):
    @gen_test
    async def test_unread_answer_counts_until_its_caller_has_it(self):
        """Guards against answers beyond all limits while callers read slowly."""
        front = await self.start_front()
        with contextlib.closing(await self.ask_without_reading(front)):
            await asyncio.sleep(0.1)
            used_bytes = self.answer_buffer(front).used_bytes
            self.assertThat(used_bytes, GreaterThan(len(BODY) // 2))
        await eventually(lambda: self.answer_buffer(front).used_bytes == 0)

    @gen_test
    async def test_unread_answer_is_held_once(self):
        """Guards against a whole second copy of an answer."""
        front = await self.start_front()
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        with contextlib.closing(await self.ask_without_reading(front)):
            # The endpoint runs in this process and has its own copy until then.
            await asyncio.sleep(0.3)
            held_bytes, _ = tracemalloc.get_traced_memory()
            self.assertThat(held_bytes, LessThan(1.5 * len(BODY)))

    @gen_test
    async def test_caller_that_does_not_read_is_cut_off_at_its_deadline(self):
        """Guards against answers that are held for callers without end."""
        front = await self.start_front()
        slow = await self.ask_without_reading(front, deadline_ms=500)
        with contextlib.closing(slow):
            await eventually(lambda: front.drain.in_flight_count == 0, limit_s=3.0)
            self.assertThat(self.answer_buffer(front).used_bytes, Equals(0))

    @gen_test
    async def test_endpoint_is_free_while_its_caller_reads(self):
        """Guards against endpoints that look busy while callers read their answers."""
        front = await self.start_front()
        with contextlib.closing(await self.ask_without_reading(front)):
            await asyncio.sleep(0.1)
            self.assertThat(front.drain.in_flight_count, Equals(1))
            endpoint = front.view.endpoints["e1"]
            self.assertThat(endpoint.in_flight_count, Equals(0))


class SlowStreamTest(VirtualTimeMixin, SlowReaderWorld):
    async def start_streams(self, event_bytes, **limits):
        """Start a host whose model endpoints send events without end."""

        async def script(connection):
            await connection(STREAM_HEAD)
            event = b"id: 1\ndata: %s\n\n" % bytes(event_bytes).replace(b"\0", b"x")
            while True:
                await connection(event)

        runner = ScriptRunner()
        for number in range(4):
            await runner.add_endpoint(self, f"m{number}", MODEL_SERVICE, script)
        self.endpoint.body = b"answer"
        settings = FrontSettings(
            metrics_port=reserve_port(), attempts=AttemptSettings(**limits)
        )
        return await self.start_front_with(self.host_settings(), settings=settings)

    async def begin_streams(self, front, count):
        """Ask for streams without reading them, until they fill the connections."""
        socks = [
            await self.ask_without_reading(front, path=STREAM_PATH, deadline_ms=4000)
            for _ in range(count)
        ]
        await asyncio.sleep(0.5)
        return socks

    @gen_test(timeout=30)
    async def test_unread_streams_hold_little(self):
        """Guards against hundreds of slow callers that fill the memory of a host."""
        front = await self.start_streams(1000)
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        before_bytes = held_bytes()
        socks = await self.begin_streams(front, 6)
        count = front.drain.in_flight_count
        self.assertThat(count, GreaterThan(0))
        stream_bytes = (held_bytes() - before_bytes) / count
        self.assertThat(stream_bytes, LessThan(STREAM_MEMORY_BYTES))
        self.assertThat((await self.ask(front, SAFE_PATH)).body, Equals(b"answer"))
        for sock in socks:
            sock.close()
        await eventually(lambda: front.drain.in_flight_count == 0, limit_s=6.0)
        self.assertThat(self.answer_buffer(front).used_bytes, Equals(0))

    @gen_test(timeout=30)
    async def test_unread_streams_count_against_the_limit_of_all_answers(self):
        """Guards against streams that are held beyond all limits for slow callers."""
        limit_bytes = 70_000
        front = await self.start_streams(
            1000, all_answers_limit_bytes=limit_bytes, small_answer_bytes=1024
        )
        socks = await self.begin_streams(front, 6)
        used_bytes = self.answer_buffer(front).used_bytes
        self.assertThat(used_bytes, GreaterThan(0))
        self.assertThat(used_bytes, LessThan(limit_bytes + 1))
        # A stream counts about 32 KiB, so two or three have room.
        in_flight_count = front.drain.in_flight_count
        self.assertThat(in_flight_count, GreaterThan(0))
        self.assertThat(in_flight_count, LessThan(4))
        self.assertThat((await self.ask(front, SAFE_PATH)).body, Equals(b"answer"))
        failures = [
            endpoint.health.failure_share for endpoint in front.view.endpoints.values()
        ]
        self.assertThat(max(failures), Equals(0.0))
        for sock in socks:
            sock.close()
        await eventually(lambda: self.answer_buffer(front).used_bytes == 0)


class SlowEndpointTest(FrontWorld):
    @gen_test(timeout=30)
    async def test_request_that_its_endpoint_reads_slowly(self):
        """Guards against copies of a body, and against a budget that is never freed."""

        async def read_nothing(connection):
            await asyncio.sleep(4.0)

        self.store.put("config", "main", make_configuration())
        await ScriptRunner().add_endpoint(self, "slow", PLAIN_SERVICE, read_nothing)
        sound = self.add_endpoint("sound", PLAIN_SERVICE, event_count=0)
        memory = MemorySettings(least_body_mb=1, small_body_share=0.25)
        front = await self.start_front_with(
            dataclasses.replace(self.host_settings(), memory_limit_bytes=1),
            settings=FrontSettings(metrics_port=reserve_port(), memory=memory),
        )
        budget = front.body_admission.budget
        health = front.view.endpoints["sound"].health
        health.ejected_until_s = float("inf")
        body = bytes(700_000)
        upload = asyncio.ensure_future(
            self.ask(front, "/booking/x", body=body, deadline_ms=2000)
        )
        await eventually(lambda: front.view.endpoints["slow"].in_flight_count == 1)
        await asyncio.sleep(0.2)
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        health.ejected_until_s = 0.0
        self.assertThat(budget.used_bytes, Equals(len(body)))
        refused = await self.ask(front, SAFE_PATH, body=body)
        self.assertThat(refused.code, Equals(503))
        front.view.endpoints["slow"].health.ejected_until_s = float("inf")
        answers = [await self.ask(front, SAFE_PATH) for _ in range(5)]
        self.assertThat([a.code for a in answers], Equals([200] * 5))
        self.assertThat(len(sound.runs), Equals(5))
        self.assertThat(held_bytes(), LessThan(len(body) // 2))
        self.assertThat((await upload).code, Equals(504))
        await eventually(lambda: budget.used_bytes == 0)
