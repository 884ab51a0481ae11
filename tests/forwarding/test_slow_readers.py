"""Memory that a host holds for answers which their callers do not read."""

import asyncio
import contextlib
import socket
import tracemalloc

from testtools.matchers import Equals, GreaterThan, LessThan
from tornado.testing import gen_test

from tests.front_world import HOST, KEY, PLAIN_SERVICE, SAFE_PATH, FrontWorld
from tests.front_world import configuration as make_configuration
from tests.support import eventually

# Above what the kernel buffers for a connection, below the limit of one answer.
BODY = bytes(7_500_000)


class SlowReaderTest(FrontWorld):
    def setUp(self):
        super().setUp()
        self.store.put("config", "main", make_configuration())
        self.endpoint = self.add_endpoint("e1", PLAIN_SERVICE, event_count=0)
        self.endpoint.body = BODY

    async def ask_without_reading(self, front, *, deadline_ms=3000):
        """Send a request, wait until its answer begins, and do not read it."""
        loop = asyncio.get_running_loop()
        sock = socket.socket()
        sock.setblocking(False)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        ip, _, port = front.host.caller_address.rpartition(":")
        await loop.sock_connect(sock, (ip, int(port)))
        lines = [
            f"GET {SAFE_PATH} HTTP/1.1",
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
