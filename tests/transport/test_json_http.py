"""Tests of the HTTP client for JSON calls."""

import asyncio
import contextlib
import socket
from unittest import mock

from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPHeaders, HTTPServerRequest, ResponseStartLine
from tornado.iostream import IOStream, StreamClosedError
from tornado.tcpclient import TCPClient
from tornado.testing import gen_test

from sesameknot.errors import PlatformError, PlatformTimeoutError
from sesameknot.transport.json_http import JsonHttpClient
from tests.support import LoopTestCase
from tests.virtual_time import VirtualTimeMixin

CALL_TIMEOUT_S = 1.0
PART_COUNT = 10


class JsonHttpClientTest(LoopTestCase):
    @gen_test
    async def test_connection_that_closes_as_it_opens_is_a_platform_error(self):
        """Guards against an AttributeError, which ends the follower of a kind."""

        async def connect(client, *args, **options):
            stream = IOStream(socket.socket())
            stream.close()
            return stream

        client = JsonHttpClient("http://127.0.0.1:1")
        self.closing(client.close)
        with (
            mock.patch.object(TCPClient, "connect", connect),
            self.assertRaises(PlatformError) as caught,
        ):
            await client.fetch("GET", "/", step="list")
        self.assertEqual("list", caught.exception.step)


class SlowAnswerTest(VirtualTimeMixin, LoopTestCase):
    def serve_parts(self, gap_s, *, part_count=PART_COUNT):
        """Serve an answer of parts with a gap before each; return its URL."""

        async def write(request: HTTPServerRequest) -> None:
            headers = HTTPHeaders({"Content-Length": str(part_count * 1000)})
            with contextlib.suppress(StreamClosedError):
                await request.connection.write_headers(
                    ResponseStartLine("HTTP/1.1", 200, "OK"), headers
                )
                for _ in range(part_count):
                    await asyncio.sleep(gap_s)
                    await request.connection.write(b"x" * 1000)
                request.connection.finish()

        def answer(request: HTTPServerRequest) -> None:
            tasks.add(asyncio.create_task(write(request)))

        tasks = set()
        return f"http://{self.listen(HTTPServer(answer))}"

    def make_client(self, url):
        """Return a client that is closed at the end of the test."""
        client = JsonHttpClient(url, timeout_s=CALL_TIMEOUT_S)
        self.closing(client.close)
        return client

    @gen_test(timeout=30)
    async def test_answer_that_arrives_slowly_is_read_to_its_end(self):
        """Guards against a large answer that is asked for again and again."""
        client = self.make_client(self.serve_parts(0.3))
        response = await client.fetch("GET", "/", step="watch")
        self.assertEqual(PART_COUNT * 1000, len(response.body))
        self.assertEqual(200, response.code)
        self.assertIsNone(response.error)

    @gen_test(timeout=30)
    async def test_answer_that_stops_arriving_is_given_up(self):
        """Guards against a wait without end for the rest of an answer."""
        client = self.make_client(self.serve_parts(0.3 * 10))
        started_s = self.io_loop.asyncio_loop.time()
        with self.assertRaises(PlatformTimeoutError):
            await client.fetch("GET", "/", step="watch")
        self.assertLess(self.io_loop.asyncio_loop.time() - started_s, 2.1)

    @gen_test(timeout=30)
    async def test_answer_without_end_is_given_up(self):
        """Guards against bytes that come now and then without end."""
        client = self.make_client(self.serve_parts(0.5, part_count=1000))
        started_s = self.io_loop.asyncio_loop.time()
        with self.assertRaises(PlatformTimeoutError):
            await client.fetch("GET", "/", step="watch")
        self.assertLess(self.io_loop.asyncio_loop.time() - started_s, 15.0)

    @gen_test(timeout=30)
    async def test_answer_read_after_a_pause_is_given_up(self):
        """Guards against an answer as old as a pause of this process."""
        client = self.make_client(self.serve_parts(0.3))
        loop = self.io_loop.asyncio_loop
        loop.call_later(1.0, lambda: loop.pause(5.0))
        with self.assertRaises(PlatformTimeoutError):
            await client.fetch("GET", "/", step="watch")

    @gen_test(timeout=30)
    async def test_call_that_is_cancelled_leaves_its_answer_alone(self):
        """Guards against errors of answers that go on to arrive after their calls.

        A watch is cancelled when another one shows that the store is away.
        """
        client = self.make_client(self.serve_parts(0.5))
        call = asyncio.create_task(client.fetch("GET", "/", step="watch"))
        await asyncio.sleep(1.2)
        call.cancel()
        with self.assertNoLogs("tornado.application"):
            await asyncio.sleep(5.0)
        self.assertTrue(call.cancelled())
