"""Answers that are not valid HTTP, or not complete, from endpoints on raw sockets."""

import asyncio

from testtools.matchers import Equals, LessThan
from tornado.testing import gen_test

from sesameknot.protocol.fleet_records import HostEntry
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
# The kernel takes the first from the host at once, and has no room for the second.
UPLOADS = (bytes(1_000_000), bytes(12_000_000))
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


async def no_end(connection):
    """Keep the connection open without reading."""
    await asyncio.sleep(0.3)


async def reset(connection):
    """Reset the connection."""
    await asyncio.sleep(0.01)
    connection.reset()


async def close(connection):
    """Close the connection while unread parts of the request have arrived."""


async def half_close(connection):
    """Close the direction to the host and read nothing more."""
    connection.half_close()
    await asyncio.sleep(0.3)


async def half_close_then_reset(connection):
    """Close the direction to the host, and reset the connection right after."""
    connection.half_close()
    connection.reset()


class EarlyAnswerTest(InvalidAnswerWorld):
    """Answers that begin while the request's body is still being sent."""

    ENDS = (reset, close, half_close, half_close_then_reset)

    def script(self, data, end):
        async def early(connection):
            await connection(data)
            await end(connection)

        return early

    def partial_answers(self, body):
        """Return beginnings of answers without length, with one, and in chunks."""
        part = body[: len(body) // 2]
        lines = (b"", b"Content-Length: %d\r\n" % len(body))
        heads = [b"HTTP/1.1 200 OK\r\n" + STAMP + line + b"\r\n" for line in lines]
        chunked = heads[0][:-2] + b"Transfer-Encoding: chunked\r\n\r\n"
        chunk = b"%x\r\n%s\r\n" % (len(part), part)
        return heads[0] + part, heads[1] + part, chunked + chunk, heads[0]

    async def check(self, path, service, body):
        for end in self.ENDS:
            for data in self.partial_answers(body):
                for upload in UPLOADS:
                    front = await self.start_scripts(
                        *(self.script(data, end), self.sound(body)), service=service
                    )
                    response = await self.ask(front, path, body=upload)
                    result = (response.code, response.body)
                    message = f"{end.__name__} {len(upload)} {data}"
                    if path == UNSAFE_PATH:
                        self.assertThat(response.code, Equals(502), message)
                        self.assertThat(self.runner.request_count, Equals(1), message)
                    else:
                        self.assertThat(result, Equals((200, body)), message)
                    await self.leave(front, 2)

    def sound(self, body):
        """Return a script that reads the whole request and then answers.

        A stream is continued after the last event that the caller received.
        """

        async def script(connection):
            await connection.read_body()
            resumed = b"Last-Event-Id: 1" in connection.head
            await connection(answer(b"200", SECOND_EVENT if resumed else body))

        return script

    @gen_test(timeout=120)
    async def test_part_of_a_plain_answer_is_no_answer(self):
        """Guards against a part that reaches the caller as the whole answer."""
        await self.check(SAFE_PATH, PLAIN_SERVICE, BODY)

    @gen_test(timeout=120)
    async def test_part_of_a_stream_is_no_answer(self):
        """Guards against the same for a stream that is cut between two events."""
        await self.check(STREAM_PATH, MODEL_SERVICE, EVENTS)

    @gen_test(timeout=120)
    async def test_part_of_an_answer_to_a_request_that_runs_once(self):
        """Guards against a second run, or 'not run', after such a part."""
        await self.check(UNSAFE_PATH, PLAIN_SERVICE, BODY)

    @gen_test(timeout=60)
    async def test_early_refusal_is_followed_by_another_endpoint(self):
        """Guards against a request that is lost since the text of a refusal is cut."""
        refusal = b"HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\n\r\nno ro"
        for path, service, body in (
            (UNSAFE_PATH, PLAIN_SERVICE, BODY),
            (STREAM_PATH, MODEL_SERVICE, EVENTS),
        ):
            for end in self.ENDS:
                front = await self.start_scripts(
                    *(self.script(refusal, end), self.sound(body)), service=service
                )
                response = await self.ask(front, path, body=UPLOADS[1])
                result = (response.code, response.body)
                self.assertThat(result, Equals((200, body)), end.__name__)
                await self.leave(front, 2)

    @gen_test(timeout=60)
    async def test_whole_early_answer_is_passed_on(self):
        """Guards against a whole answer that is lost with the check of its end."""
        for end in (no_end, reset, close, half_close):
            for status in (b"200", b"413"):
                front = await self.start_scripts(self.script(answer(status), end))
                response = await self.ask(front, UNSAFE_PATH, body=UPLOADS[1])
                result = (response.code, response.body)
                message = f"{end.__name__} {status}"
                self.assertThat(result, Equals((int(status), BODY)), message)
                await self.leave(front, 1)


class HandoverTest(InvalidAnswerWorld):
    """Answers of another host, which takes requests of a host without endpoints."""

    async def check(self, data, end, body=b"question"):
        async def script(connection):
            await connection(data)
            await end(connection)

        await self.runner.add_endpoint(self, "peer", "none", script)
        address = self.store.get("servers", "peer")["Spec"]["Address"]
        front = await self.start_front()
        front.ingress._handover._others = lambda: [
            HostEntry(
                host_id="h2", peer_address="", domain="a", handover_address=address
            )
        ]
        front.reachability.record_failure(
            PLAIN_SERVICE, endpoint_id="e", usable_count=1
        )
        response = await self.ask(front, UNSAFE_PATH, body=body)
        self.assertThat(response.code, Equals(502), f"{end.__name__} {data}")
        self.assertThat(self.runner.request_count, Equals(1))
        self.runner.request_count = 0
        await front.close()

    @gen_test(timeout=60)
    async def test_part_of_an_answer_of_another_host_is_no_answer(self):
        """Guards against a part from a host that is killed while it answers."""
        head = b"HTTP/1.1 200 OK\r\n" + STAMP + b"\r\n"
        await self.check(head + BODY[:3], reset)
        for end in (reset, close, half_close):
            await self.check(head + BODY[:3], end, body=UPLOADS[0])

    @gen_test(timeout=60)
    async def test_invalid_status_of_another_host_is_no_answer(self):
        """Guards against the same for a status that is not valid."""
        for status in (b"000", b"101", b"600"):
            await self.check(answer(status), reset)
