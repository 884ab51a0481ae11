"""Refusal of request bodies that the host's memory can't hold."""

import asyncio
import dataclasses

from examples.local_deployment import reserve_port
from soak._caller import CallerConnection
from testtools.matchers import Contains, Equals, GreaterThan, Is, Not
from tornado.testing import gen_test

from sesameknot.settings.front import FrontSettings, MemorySettings
from tests.front_world import (
    HOST,
    KEY,
    PLAIN_SERVICE,
    SAFE_PATH,
    UNSAFE_PATH,
    FrontWorld,
    configuration,
)
from tests.support import eventually

# The least memory for bodies is 1 MiB, three quarters of it for large ones.
MEMORY = MemorySettings(least_body_mb=1, small_body_share=0.25)
LARGE_BODY = bytes(700_000)
TOO_LARGE_BODY = bytes(900_000)
HEADERS = {
    "Host": HOST,
    "X-Deadline-Ms": "3000",
    "Authorization": f"Bearer {KEY}",
    "Content-Type": "application/octet-stream",
}


class BodyAdmissionTest(FrontWorld):
    def setUp(self):
        super().setUp()
        self.store.put("config", "main", configuration())
        self.endpoint = self.add_endpoint("e1", PLAIN_SERVICE)

    async def start_small_front(self):
        """Start a front whose limit leaves no more than the least memory for bodies."""
        host = dataclasses.replace(self.host_settings(), memory_limit_bytes=1)
        settings = FrontSettings(metrics_port=reserve_port(), memory=MEMORY)
        self.front = await self.start_front_with(host, settings=settings)
        self.budget = self.front.body_admission.budget
        return self.front

    def connect(self):
        connection = CallerConnection(self.front.host.caller_address)
        self.closing(connection.close)
        return connection

    async def send_on(self, connection, request_id, body):
        headers = {**HEADERS, "X-Request-Id": request_id}
        return await connection.request("POST", UNSAFE_PATH, headers, body, 10.0)

    async def begin_body(self, length, **headers):
        """Send a head that declares a body, and return the connection."""
        ip, _, port = self.front.host.caller_address.rpartition(":")
        reader, writer = await asyncio.open_connection(ip, int(port))
        self.closing(writer.close)
        lines = [f"POST {UNSAFE_PATH} HTTP/1.1", f"Content-Length: {length}"]
        all_headers = {**HEADERS, "X-Request-Id": f"begun-{length}", **headers}
        lines += [f"{name}: {value}" for name, value in all_headers.items()]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
        await writer.drain()
        return reader, writer

    @gen_test
    async def test_refused_request_has_not_run_and_its_connection_goes_on(self):
        """Guards against a promise that is broken, and against a reset connection."""
        await self.start_small_front()
        connection = self.connect()
        refused = await self.send_on(connection, "r1", TOO_LARGE_BODY)
        self.assertThat(refused.status, Equals(503))
        self.assertThat(float(refused.headers["retry-after"]), GreaterThan(0.0))
        kept_writer = connection._writer
        served = await self.send_on(connection, "r2", b"small")
        self.assertThat(served.status, Equals(200))
        self.assertThat(connection._writer, Is(kept_writer))
        self.assertThat([run.request_id for run in self.endpoint.runs], Equals(["r2"]))

    @gen_test
    async def test_refusals_are_counted(self):
        """Guards against refusals that operators can't see."""
        front = await self.start_small_front()
        await self.send_on(self.connect(), "r1", TOO_LARGE_BODY)
        url = f"http://127.0.0.1:{front.settings.metrics_port}/metrics"
        page = (await self.http.fetch(url)).body.decode()
        limit_bytes = front.body_admission.budget.limit_bytes
        self.assertThat(
            page, Contains('sesameknot_refused_bodies_total{reason="memory"} 1')
        )
        self.assertThat(page, Contains("sesameknot_body_bytes 0"))
        self.assertThat(page, Contains(f"sesameknot_body_limit_bytes {limit_bytes}"))

    @gen_test
    async def test_refusal_comes_before_the_body_is_sent(self):
        """Guards against reading a body for which there is no memory."""
        await self.start_small_front()
        reader, _ = await self.begin_body(len(TOO_LARGE_BODY))
        head = await reader.readuntil(b"\r\n\r\n")
        self.assertThat(head, Contains(b"HTTP/1.1 503"))

    @gen_test
    async def test_caller_that_waits_for_permission_gets_the_refusal_only(self):
        """Guards against a second answer after the refusal."""
        await self.start_small_front()
        reader, _ = await self.begin_body(len(TOO_LARGE_BODY), Expect="100-continue")
        answer = await reader.read()
        self.assertThat(answer, Contains(b"HTTP/1.1 503"))
        self.assertThat(answer, Not(Contains(b"100 (Continue)")))

    @gen_test
    async def test_body_in_chunks_is_refused_when_it_outgrows_the_memory(self):
        """Guards against bodies without a length that escape the limit."""
        await self.start_small_front()

        async def send_parts(write):
            for start in range(0, len(TOO_LARGE_BODY), 50_000):
                await write(TOO_LARGE_BODY[start : start + 50_000])

        answer = await self.ask(self.front, UNSAFE_PATH, body_producer=send_parts)
        self.assertThat(answer.code, Equals(503))
        self.assertThat(self.endpoint.runs, Equals([]))
        self.assertThat(self.budget.used_bytes, Equals(0))

    @gen_test
    async def test_refusal_in_the_course_of_a_body_does_not_reset_the_connection(self):
        """Guards against a lost answer to callers that got permission to send."""
        await self.start_small_front()
        ip, _, port = self.front.host.caller_address.rpartition(":")
        reader, writer = await asyncio.open_connection(ip, int(port))
        self.closing(writer.close)
        lines = [f"POST {UNSAFE_PATH} HTTP/1.1", "Transfer-Encoding: chunked"]
        headers = {**HEADERS, "X-Request-Id": "r1", "Expect": "100-continue"}
        lines += [f"{name}: {value}" for name, value in headers.items()]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
        permission = await reader.readuntil(b"\r\n\r\n")
        self.assertThat(permission, Contains(b"100 (Continue)"))
        for _ in range(30):
            writer.write(b"%x\r\n%b\r\n" % (30_000, bytes(30_000)))
            await writer.drain()
        writer.write(b"0\r\n\r\n" + b"GET /none HTTP/1.1\r\nHost: x\r\n\r\n")
        head = await reader.readuntil(b"\r\n\r\n")
        self.assertThat(head, Contains(b"HTTP/1.1 503"))
        await reader.readuntil(b"\n")
        next_head = await reader.readuntil(b"\r\n\r\n")
        self.assertThat(next_head, Contains(b"HTTP/1.1 404"))

    @gen_test
    async def test_small_request_is_served_beside_large_ones(self):
        """Guards against small requests that are refused because of large ones."""
        await self.start_small_front()
        _, writer = await self.begin_body(len(LARGE_BODY))
        await eventually(lambda: self.budget.used_bytes == len(LARGE_BODY))
        refused = await self.send_on(self.connect(), "r1", LARGE_BODY)
        small = await self.ask(self.front, SAFE_PATH, body=b"small")
        self.assertThat([refused.status, small.code], Equals([503, 200]))
        # The caller leaves before it has sent its body.
        writer.close()
        await eventually(lambda: self.budget.used_bytes == 0)
        served = await self.send_on(self.connect(), "r2", LARGE_BODY)
        self.assertThat(served.status, Equals(200))

    @gen_test
    async def test_body_that_comes_too_slowly_is_given_up(self):
        """Guards against memory that is reserved for callers who stop sending."""
        await self.start_small_front()
        reader, writer = await self.begin_body(
            len(LARGE_BODY), **{"X-Deadline-Ms": "300"}
        )
        writer.write(LARGE_BODY[:100_000])
        answer = await reader.read()
        self.assertThat(answer, Contains(b"HTTP/1.1 408"))
        await eventually(lambda: self.budget.used_bytes == 0)
        self.assertThat(self.endpoint.runs, Equals([]))

    @gen_test
    async def test_refused_caller_that_goes_on_slowly_is_cut_off(self):
        """Guards against connections that send what is not read for ever."""
        await self.start_small_front()
        reader, writer = await self.begin_body(
            len(TOO_LARGE_BODY), **{"X-Deadline-Ms": "300"}
        )
        writer.write(TOO_LARGE_BODY[:100_000])
        answer = await reader.read()
        self.assertThat(answer.count(b"HTTP/1.1"), Equals(1))
        self.assertThat(answer, Contains(b"HTTP/1.1 503"))

    @gen_test
    async def test_memory_is_free_after_each_end_of_a_request(self):
        """Guards against a budget that shrinks with each request."""
        await self.start_small_front()
        await self.send_on(self.connect(), "answered", LARGE_BODY)
        await eventually(lambda: self.budget.used_bytes == 0)
        unknown_path = await self.ask(self.front, "/none", body=LARGE_BODY)
        self.assertThat(unknown_path.code, Equals(404))
        await eventually(lambda: self.budget.used_bytes == 0)
        self.endpoint.silent = True
        _, writer = await self.begin_body(len(LARGE_BODY))
        writer.write(LARGE_BODY)
        await eventually(lambda: len(self.endpoint.runs) == 2)
        writer.close()
        await eventually(lambda: self.budget.used_bytes == 0)
