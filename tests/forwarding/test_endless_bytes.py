"""Tests of endpoints that send bytes without end, or a few bytes now and then."""

import asyncio

from testtools import TestCase
from testtools.matchers import Equals, LessThan
from tornado.testing import gen_test

from sesameknot.forwarding.events import (
    EVENT_LIMIT_BYTES,
    EventSplitter,
    EventTooLargeError,
)
from sesameknot.policy.answer_buffer import AnswerBuffer
from sesameknot.settings.front import FrontSettings
from tests.front_world import (
    MODEL_SERVICE,
    PLAIN_SERVICE,
    SAFE_PATH,
    STREAM_PATH,
    FrontWorld,
    configuration,
)
from tests.scripted_endpoint import ScriptRunner
from tests.virtual_time import VirtualTimeMixin

# Beyond the limits there are buffers of the sockets and of the HTTP client.
SOCKET_BUFFER_BYTES = 8 * 1024 * 1024
PAUSE_S = 0.01
STREAM_HEAD = (
    b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Server-Stamp: s1\r\n\r\n"
)
PLAIN_HEAD = b"HTTP/1.1 200 OK\r\nX-Server-Stamp: s1\r\n\r\n"
CHUNKED_HEAD = (
    b"HTTP/1.1 200 OK\r\nX-Server-Stamp: s1\r\nTransfer-Encoding: chunked\r\n\r\n"
)
INTERIM_HEAD = b"HTTP/1.1 103 Early Hints\r\n\r\n"
CHUNK = b"x" * 65536


def repeat(piece, *, after=b"", pause_s=0.0):
    """Return a script that sends ``after`` and then ``piece`` without end."""

    async def script(send):
        await send(after)
        while True:
            await send(piece)
            if pause_s:
                await asyncio.sleep(pause_s)

    return script


def event(number, size_bytes=0):
    """Return an event with data of a size."""
    return f"id: {number}\ndata: {'d' * size_bytes}\n\n".encode()


class EndlessBytesTest(VirtualTimeMixin, FrontWorld):
    def setUp(self):
        super().setUp()
        self.store.put("config", "main", configuration())
        self.script_runner = ScriptRunner()

    async def check_another_answers(self, service, path, script, *, limit_bytes):
        """Check that a faulty endpoint is left for a sound one, within a bound."""
        await self.script_runner.add_endpoint(self, "faulty", service, script)
        self.add_endpoint(
            "sound", service, event_count=0 if path == SAFE_PATH else 3, body=b"sound"
        )
        front = await self.start_front()
        # An ejected endpoint is asked only if all others were tried.
        front.view.endpoints["sound"].health.ejected_until_s = float("inf")
        response = await self.ask(front, path)
        self.assertThat(response.code, Equals(200))
        self.assertIn(response.body, (b"sound", sound_events()))
        await self.pause(1.0)
        self.assertThat(self.script_runner.closed_count, Equals(1))
        sent_bytes = self.script_runner.sent_bytes
        self.assertThat(sent_bytes, LessThan(limit_bytes + SOCKET_BUFFER_BYTES))
        self.assertThat(self.runner(front).answer_buffer.used_bytes, Equals(0))

    def runner(self, front):
        return front.ingress._plain_forwarder._retry_policy.runner

    async def check_stream(self, script):
        await self.check_another_answers(
            MODEL_SERVICE, STREAM_PATH, script, limit_bytes=EVENT_LIMIT_BYTES
        )

    async def check_plain(self, script):
        limit_bytes = FrontSettings().attempts.answer_limit_bytes
        await self.check_another_answers(
            PLAIN_SERVICE, SAFE_PATH, script, limit_bytes=limit_bytes
        )

    @gen_test(timeout=60)
    async def test_event_without_end(self):
        """Guards against an incomplete event that fills the memory."""
        await self.check_stream(repeat(CHUNK, after=STREAM_HEAD))

    @gen_test(timeout=60)
    async def test_comments_without_end(self):
        """Guards against comments that keep a stream without events alive."""
        await self.check_stream(repeat(b": x\n\n", after=STREAM_HEAD, pause_s=PAUSE_S))

    @gen_test(timeout=60)
    async def test_large_comments_without_end(self):
        """Guards against comments that are kept until the first event."""
        comment = b": " + b"c" * (EVENT_LIMIT_BYTES // 4) + b"\n\n"
        await self.check_stream(repeat(comment, after=STREAM_HEAD))

    @gen_test(timeout=60)
    async def test_comments_before_the_first_event_are_passed_on_whole(self):
        """Guards against a comment that is cut and swallows the first event."""
        comment = b": " + b"c" * (EVENT_LIMIT_BYTES // 2) + b"\n\n"

        async def script(send):
            await send(STREAM_HEAD + comment + event(1))

        await self.check_sound(script, comment + event(1))

    @gen_test(timeout=60)
    async def test_byte_now_and_then(self):
        """Guards against a stalled stream that never ends, as bytes still come."""
        await self.check_stream(repeat(b"d", after=STREAM_HEAD, pause_s=0.2))

    @gen_test(timeout=60)
    async def test_head_without_end(self):
        """Guards against header lines that fill the memory."""
        await self.check_stream(
            repeat(b"X-A: " + b"a" * 1000 + b"\r\n", after=b"HTTP/1.1 200 OK\r\n")
        )

    @gen_test(timeout=60)
    async def test_informational_responses_without_end(self):
        """Guards against a head that is read again and again."""
        await self.check_stream(repeat(INTERIM_HEAD))

    @gen_test(timeout=60)
    async def test_body_without_end(self):
        """Guards against a plain answer that fills the memory."""
        await self.check_plain(repeat(CHUNK, after=PLAIN_HEAD))

    @gen_test(timeout=60)
    async def test_chunks_without_end(self):
        """Guards against chunks that fill the memory, although each is small."""
        await self.check_plain(
            repeat(b"1000\r\n" + b"c" * 4096 + b"\r\n", after=CHUNKED_HEAD)
        )

    @gen_test(timeout=60)
    async def test_body_byte_now_and_then(self):
        """Guards against a stalled plain answer that is kept until the deadline."""
        await self.check_plain(repeat(b"c", after=PLAIN_HEAD, pause_s=0.2))

    async def check_sound(self, script, expected):
        await self.script_runner.add_endpoint(self, "sound", MODEL_SERVICE, script)
        self.add_endpoint("other", MODEL_SERVICE, silent=True)
        front = await self.start_front()
        front.view.endpoints["other"].health.ejected_until_s = float("inf")
        response = await self.ask(front, STREAM_PATH, deadline_ms=9000)
        self.assertThat(response.body, Equals(expected))

    @gen_test(timeout=60)
    async def test_slow_stream_with_whole_events_lives(self):
        """Guards against a sound stream that is cut since its events are far apart."""

        async def script(send):
            await send(STREAM_HEAD)
            for number in range(1, 5):
                await send(event(number))
                await asyncio.sleep(0.7)

        await self.check_sound(script, b"".join(event(n) for n in range(1, 5)))

    @gen_test(timeout=60)
    async def test_large_event_in_pieces_lives(self):
        """Guards against a sound stream that is cut in a large event."""
        large = event(1, size_bytes=12000)

        async def script(send):
            await send(STREAM_HEAD)
            for start in range(0, len(large), 2000):
                await send(large[start : start + 2000])
                await asyncio.sleep(0.3)

        await self.check_sound(script, large)

    @gen_test(timeout=60)
    async def test_answer_after_informational_responses_is_passed_on(self):
        """Guards against an informational head that is taken for the answer's."""

        async def script(send):
            await send(INTERIM_HEAD + INTERIM_HEAD + STREAM_HEAD + event(1))

        await self.check_sound(script, event(1))


def sound_events():
    """Return the events that a stand-in endpoint streams."""
    return b"".join(f"id: {n}\ndata: piece {n}\n\n".encode() for n in range(1, 4))


class EventSplitterTest(TestCase):
    def test_separator_is_found_across_any_cut(self):
        """Guards against a separator that is missed since its parts come apart."""
        for separator in (b"\n\n", b"\r\n\r\n", b"\r\r"):
            data = b"id: 7" + separator + b"rest"
            for cut in range(len(data)):
                splitter = EventSplitter()
                events = splitter.feed(data[:cut]) + splitter.feed(data[cut:])
                self.assertThat(events, Equals(b"id: 7" + separator))
                self.assertThat(splitter.incomplete, Equals(b"rest"))
                self.assertThat(splitter.last_event_id, Equals("7"))
                self.assertThat(splitter.event_count, Equals(1))

    def test_comments_are_no_events(self):
        """Guards against comments that count as progress."""
        splitter = EventSplitter()
        splitter.feed(b": one\n\n: two\n\n")
        self.assertThat(splitter.event_count, Equals(0))

    def test_event_above_the_limit_is_an_error(self):
        """Guards against a buffer without a bound."""
        splitter = EventSplitter()
        splitter.feed(b"x" * EVENT_LIMIT_BYTES)
        self.assertRaises(EventTooLargeError, splitter.feed, b"x")


class AnswerBufferTest(TestCase):
    def test_small_answers_have_room_beside_large_ones(self):
        """Guards against sound answers that fail since faulty ones fill the limit."""
        buffer = AnswerBuffer(
            answer_limit_bytes=100, total_limit_bytes=20, free_bytes=10
        )
        with buffer.reservation() as large, buffer.reservation() as small:
            self.assertTrue(large.hold(30))
            self.assertThat(buffer.used_bytes, Equals(20))
            self.assertTrue(small.add(10))
            self.assertFalse(small.add(1))
            self.assertTrue(large.hold(15))
            self.assertThat(buffer.used_bytes, Equals(5))
            self.assertTrue(small.add(1))
        self.assertThat(buffer.used_bytes, Equals(0))

    def test_limits_of_one_answer_and_of_all(self):
        """Guards against many answers that fill the memory together."""
        buffer = AnswerBuffer(answer_limit_bytes=10, total_limit_bytes=15)
        with buffer.reservation() as first, buffer.reservation() as second:
            self.assertTrue(first.add(10))
            self.assertFalse(first.add(1))
            self.assertThat(first.reason, Equals("answer above 10 bytes"))
            self.assertFalse(second.add(6))
            self.assertThat(second.reason, Equals("answers above 15 bytes together"))
            self.assertTrue(second.add(5))
        self.assertThat(buffer.used_bytes, Equals(0))
