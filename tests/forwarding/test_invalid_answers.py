"""Answers that are not valid HTTP, or not complete, from endpoints on raw sockets."""

from testtools.matchers import Equals, LessThan
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
from tests.virtual_time import VirtualTimeMixin

SECOND_EVENT = b"id: 2\ndata: piece 2\n\n"
EVENTS = b"id: 1\ndata: piece 1\n\n" + SECOND_EVENT
STAMP = b"X-Server-Stamp: s1\r\nX-Confidence: 90\r\n"
INVALID_STATUSES = (
    *(b"000", b"099", b"101", b"600", b"777", b"999"),
    *(b"1000", b"20", b"abc", b"2x0", b"-20", b"+200", b""),
)
# Far more than the kernel buffers of both sides of a connection.
UPLOAD = bytes(12_000_000)
BODY = b"answer"


def answer(status, body=BODY, *, headers=b"", reason=b"Some reason"):
    """Return a whole answer with a length and any status."""
    length = b"Content-Length: %d\r\n" % len(body)
    return b"HTTP/1.1 %s %s\r\n%s%s%s\r\n%s" % (
        *(status, reason, STAMP, headers, length),
        body,
    )


class InvalidAnswerWorld(VirtualTimeMixin, FrontWorld):
    def setUp(self):
        super().setUp()
        self.store.put("config", "main", configuration())
        self.runner = ScriptRunner()

    async def start_scripts(self, *scripts, service=PLAIN_SERVICE):
        """Start a host and endpoints that run the scripts, one a request, in order."""
        remaining = list(scripts)

        async def next_script(connection):
            await remaining.pop(0)(connection)

        for number in range(len(scripts)):
            await self.runner.add_endpoint(self, f"e{number}", service, next_script)
        front = await self.start_front()
        self.runner.request_count = 0
        return front

    async def leave(self, front, count):
        """Stop a host and remove its endpoints."""
        for number in range(count):
            self.store.remove("servers", f"e{number}")
        await front.close()


def sending(data):
    """Return a script that sends bytes and keeps the connection open."""

    async def script(connection):
        await connection(data)
        await connection.until_closed()

    return script


class InvalidStatusTest(InvalidAnswerWorld):
    @gen_test(timeout=60)
    async def test_request_is_repeated_after_an_invalid_status(self):
        """Guards against a status outside 200 to 599 that reaches the caller."""
        for status in INVALID_STATUSES:
            front = await self.start_scripts(
                sending(answer(status)), sending(answer(b"200"))
            )
            started_s = self.io_loop.time()
            response = await self.ask(front, SAFE_PATH)
            self.assertThat((response.code, response.body), Equals((200, BODY)), status)
            # The invalid answer ends its attempt at once, not by a time-out.
            duration_s = self.io_loop.time() - started_s
            self.assertThat(duration_s, LessThan(0.2), status)
            await self.leave(front, 2)

    @gen_test(timeout=60)
    async def test_stream_is_continued_after_an_invalid_status(self):
        """Guards against the same for a stream, also with a body without end."""
        sound = sending(answer(b"200", EVENTS))
        for status in INVALID_STATUSES:
            endless = b"HTTP/1.1 %s X\r\n%s\r\n" % (status, STAMP) + EVENTS * 2000
            for data in (answer(status, EVENTS), endless):
                front = await self.start_scripts(
                    sending(data), sound, service=MODEL_SERVICE
                )
                started_s = self.io_loop.time()
                response = await self.ask(front, STREAM_PATH)
                result = (response.code, response.body)
                self.assertThat(result, Equals((200, EVENTS)), status)
                duration_s = self.io_loop.time() - started_s
                self.assertThat(duration_s, LessThan(0.2), status)
                await self.leave(front, 2)

    @gen_test(timeout=60)
    async def test_request_that_may_have_run_is_not_refused_as_not_run(self):
        """Guards against a second run, or 'not run', after an invalid answer.

        An invalid answer can't be trusted when it says that the request has not run.
        """
        for status in INVALID_STATUSES:
            for headers in (b"", b"X-Not-Executed: 1\r\n"):
                script = sending(answer(status, headers=headers))
                front = await self.start_scripts(script, script)
                response = await self.ask(front, UNSAFE_PATH)
                self.assertThat(response.code, Equals(502), status)
                self.assertThat(self.runner.request_count, Equals(1), status)
                await self.leave(front, 2)

    @gen_test
    async def test_answer_after_another_protocol_is_no_answer(self):
        """Guards against bytes of an unknown protocol that are read as an answer."""
        head = b"HTTP/1.1 101 Switching Protocols\r\nUpgrade: h2c\r\n\r\n"
        front = await self.start_scripts(sending(head + answer(b"200")))
        response = await self.ask(front, UNSAFE_PATH)
        self.assertThat(response.code, Equals(502))

    @gen_test(timeout=60)
    async def test_informational_responses_precede_the_answer(self):
        """Guards against sound answers that are lost with the check of the status."""
        heads = [b"HTTP/1.1 %s X\r\n\r\n" % s for s in (b"100", b"103", b"199")]
        for head in [*heads, b"".join(heads)]:
            for status in (b"200", b"204", b"299"):
                body = b"" if status == b"204" else BODY
                data = head + answer(status, body, reason=b"")
                front = await self.start_scripts(sending(data))
                response = await self.ask(front, UNSAFE_PATH)
                result = (response.code, response.body)
                self.assertThat(result, Equals((int(status), body)))
                await self.leave(front, 1)
