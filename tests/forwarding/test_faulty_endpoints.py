"""Faulty endpoints: refusals written twice, errors after a stream, half a head."""

import asyncio

from testtools.matchers import Contains, Equals, Not, StartsWith
from tornado.testing import gen_test

from tests.front_world import (
    MODEL_SERVICE,
    PLAIN_SERVICE,
    SAFE_PATH,
    STREAM_PATH,
    UNSAFE_PATH,
    FrontWorld,
    configuration,
)
from tests.scripted_endpoint import ScriptRunner
from tests.support import eventually
from tests.virtual_time import VirtualTimeMixin

NOT_RUN_STATUSES = (408, 421, 429, 503)
EVENTS = b"id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\n"
STREAM_HEAD = (
    b"HTTP/1.1 200 OK\r\nX-Server-Stamp: s1\r\nX-Confidence: 90\r\n"
    b"Content-Type: text/event-stream\r\nContent-Length: 9000\r\n\r\n"
)
ERROR_TEXT = b"engine ran out of luck"
# Ends of a chunked body, and of the head that precedes it.
LAST_CHUNK = b"0\r\n\r\n"
HEAD_PARTS = (
    b"HTTP/1.1 200 OK",
    b"HTTP/1.1 200 OK\r\n",
    b"HTTP/1.1 200 OK\r\nX-Server-Stamp: s1\r\nContent-Le",
    b"HTTP/1.1 200 OK\r\nX-Server-Stamp: s1\r\nContent-Length: 6\r\n",
    b"HTTP/1.1 200 OK\r\nX-Server-Stamp: s1\r\nContent-Length: 6\r\n\r",
)


def refusal(request_id):
    """Return a refusal of the request ``request_id``."""
    return (
        b"HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\n"
        b"X-Request-Id: %s\r\nContent-Length: 0\r\n\r\n" % request_id
    )


def error_answer(status):
    """Return a script that answers with an error and its text."""

    async def script(connection):
        await connection(
            b"HTTP/1.1 %d Failed\r\nX-Server-Stamp: s2\r\nContent-Length: %d\r\n\r\n%s"
            % (status, len(ERROR_TEXT), ERROR_TEXT)
        )

    return script


async def broken_stream(connection):
    """Send two events and close the connection."""
    await connection(STREAM_HEAD + EVENTS)


class FaultyEndpointTest(VirtualTimeMixin, FrontWorld):
    def setUp(self):
        super().setUp()
        self.store.put("config", "main", configuration())
        self.runner = ScriptRunner()

    async def start(self, *scripts, service, handed_over=False):
        """Start a host and endpoints that run the scripts, one a request.

        With ``handed_over``, the host reaches no endpoint itself and another one does.
        """
        remaining = list(scripts)

        async def next_script(connection):
            await remaining.pop(0)(connection)

        for number in range(len(scripts)):
            await self.runner.add_endpoint(self, f"e{number}", service, next_script)
        front = await self.start_front()
        if handed_over:
            await self.start_front("host-2")
            await front.directory.refresh()
            await eventually(lambda: len(front.view.hosts) == 2)
            front.reachability.record_failure(service, endpoint_id="e", usable_count=1)
        return front

    async def read_stream(self, front):
        """Send a streamed request and return all bytes until the connection ends."""
        address = front.host.caller_address.split(":")
        reader, writer = await asyncio.open_connection(*address)
        writer.write(
            b"POST %s HTTP/1.1\r\nHost: callers.example\r\nX-Request-Id: q\r\n"
            b"X-Deadline-Ms: 3000\r\nX-Model: large\r\nConnection: close\r\n"
            b"Authorization: Bearer key-1\r\nContent-Length: 0\r\n\r\n"
            % STREAM_PATH.encode()
        )
        received = await reader.read()
        writer.close()
        return received

    async def check_broken_stream(self, status, *, handed_over):
        """Break a stream off, answer its continuation with an error, read it all."""
        answers = [error_answer(status)] * 2
        front = await self.start(
            broken_stream, *answers, service=MODEL_SERVICE, handed_over=handed_over
        )
        received = await self.read_stream(front)
        self.assertThat(received, StartsWith(b"HTTP/1.1 200"))
        self.assertThat(received, Contains(b"piece 2"))
        for part in (ERROR_TEXT, b"HTTP/1.1 5", b"Failed", b"s2", LAST_CHUNK):
            self.assertThat(received, Not(Contains(part)))
        handovers = front.metrics.handovers.get_all()
        self.assertThat(bool(handovers), Equals(handed_over))

    @gen_test
    async def test_error_after_a_broken_stream_is_not_part_of_it(self):
        """Guards against an error's text within a stream, or a stream cut as whole."""
        await self.check_broken_stream(500, handed_over=False)

    @gen_test
    async def test_refusal_after_a_broken_stream_is_not_part_of_it(self):
        """Guards against the same where the next endpoint has no room."""
        await self.check_broken_stream(503, handed_over=False)

    @gen_test
    async def test_error_after_a_broken_stream_of_another_host(self):
        """Guards against the same where another host forwards the request."""
        await self.check_broken_stream(500, handed_over=True)

    @gen_test
    async def test_refusal_that_is_written_twice_reaches_no_other_request(self):
        """Guards against 'not run' for a request that runs.

        The endpoint writes its refusal once more on the same connection, while the next
        request runs, and once more on the connection of that request.
        """

        async def refuse_twice(connection):
            await connection(refusal(b"r1"))
            await asyncio.sleep(0.05)
            await connection(refusal(b"r1"))

        async def stale_refusal(connection):
            await connection(refusal(b"r1"))

        front = await self.start(
            refuse_twice, stale_refusal, stale_refusal, service=PLAIN_SERVICE
        )
        response = await self.ask(front, UNSAFE_PATH, request_id="r2")
        self.assertThat(response.code, Equals(502))
        self.assertThat(self.runner.request_count, Equals(1))
        response = await self.ask(front, UNSAFE_PATH, request_id="r3")
        self.assertThat(response.code, Equals(502))
        self.assertThat(self.runner.request_count, Equals(2))

    @gen_test
    async def test_half_a_head_is_no_answer(self):
        """Guards against 200 with an empty body after a head that stopped half-way."""
        for part in HEAD_PARTS:
            front = await self.start(*[self.half_head(part)] * 2, service=PLAIN_SERVICE)
            unsafe = await self.ask(front, UNSAFE_PATH)
            self.assertThat(unsafe.code, Equals(502), part)
            for number in range(2):
                self.store.remove("servers", f"e{number}")
            await front.close()

    def half_head(self, part):
        """Return a script that sends a part of a head and closes the connection."""

        async def script(connection):
            await connection(part)

        return script

    @gen_test
    async def test_request_is_repeated_after_half_a_head(self):
        """Guards against an error for a request that another endpoint can answer."""

        async def whole(connection):
            await connection(HEAD_PARTS[-1] + b"\nanswer")

        for part in HEAD_PARTS:
            front = await self.start(self.half_head(part), whole, service=PLAIN_SERVICE)
            response = await self.ask(front, SAFE_PATH)
            self.assertThat((response.code, response.body), Equals((200, b"answer")))
            for number in range(2):
                self.store.remove("servers", f"e{number}")
            await front.close()

    @gen_test
    async def test_half_a_head_of_a_stream_is_no_answer(self):
        """Guards against an empty stream after a head that stopped half-way."""
        for part in HEAD_PARTS:
            front = await self.start(*[self.half_head(part)] * 3, service=MODEL_SERVICE)
            received = await self.read_stream(front)
            self.assertThat(received, StartsWith(b"HTTP/1.1 502"), part)
            for number in range(3):
                self.store.remove("servers", f"e{number}")
            await front.close()
