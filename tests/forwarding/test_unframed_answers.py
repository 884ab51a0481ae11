"""Tests of answers without length and chunks, which end with the connection."""

import asyncio

from testtools import TestCase
from testtools.matchers import Equals
from tornado.testing import gen_test

from sesameknot.forwarding.sound_answer import SOUND_AFTER_S, SoundAnswerWatch
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

HEAD = b"HTTP/1.1 200 OK\r\nX-Server-Stamp: s1\r\nX-Confidence: 90\r\n\r\n"
EVENTS = b"id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\n"
THIRD_EVENT = b"id: 3\ndata: piece 3\n\n"


async def whole_stream(connection):
    """Send two events, then close the connection."""
    await connection(HEAD + EVENTS)


async def rest_of_stream(connection):
    """Send the third event, then close the connection."""
    await connection(HEAD + THIRD_EVENT)


async def stream_cut_inside_an_event(connection):
    """Close the connection in the middle of the third event."""
    await connection(HEAD + EVENTS + THIRD_EVENT[:9])


async def head_only(connection):
    """Close the connection after the head, as an endpoint that crashes may."""
    await connection(HEAD)


async def whole_body(connection):
    """Send a body, then close the connection."""
    await connection(HEAD)
    await asyncio.sleep(0.05)
    await connection(b"answer")


class UnframedAnswerTest(VirtualTimeMixin, FrontWorld):
    def setUp(self):
        super().setUp()
        self.store.put("config", "main", configuration())
        self.script_runner = ScriptRunner()

    async def ask_scripts(self, *scripts, service=MODEL_SERVICE, path=STREAM_PATH):
        """Ask a host; the first request runs the first script, and so on."""
        remaining = list(scripts)

        async def next_script(connection):
            await remaining.pop(0)(connection)

        for number in range(len(scripts)):
            await self.script_runner.add_endpoint(
                self, f"e{number}", service, next_script
            )
        front = await self.start_front()
        return await self.ask(front, path)

    @gen_test
    async def test_whole_stream_is_passed_on(self):
        """Guards against a stream that is cut because it has no length."""
        response = await self.ask_scripts(whole_stream)
        self.assertThat((response.code, response.body), Equals((200, EVENTS)))

    @gen_test
    async def test_stream_that_ends_inside_an_event_is_continued(self):
        """Guards against a broken stream that is taken as complete."""
        response = await self.ask_scripts(stream_cut_inside_an_event, rest_of_stream)
        self.assertThat(response.body, Equals(EVENTS + THIRD_EVENT))

    @gen_test
    async def test_head_without_any_event_is_no_answer(self):
        """Guards against an empty answer of an endpoint that crashed at its start."""
        response = await self.ask_scripts(head_only, whole_stream)
        self.assertThat((response.code, response.body), Equals((200, EVENTS)))

    @gen_test
    async def test_whole_body_is_passed_on(self):
        """Guards against a plain answer that is dropped because it has no length."""
        response = await self.ask_scripts(
            whole_body, service=PLAIN_SERVICE, path=SAFE_PATH
        )
        self.assertThat((response.code, response.body), Equals((200, b"answer")))


class _Attempt:
    """An attempt whose answer ends with the connection."""

    request = "request"
    ends_with_connection = True


class _Detector:
    def __init__(self):
        self.sound = []

    def record_answer(self, request):
        self.sound.append(request)


class SoundAnswerWatchTest(TestCase):
    def test_end_of_the_connection_shows_no_sound_answer(self):
        """Guards against a crash that passes for an answer of its prompt parts."""
        detector = _Detector()
        watch = SoundAnswerWatch(_Attempt(), detector)
        watch.event_received(0.0)
        watch.answer_ended()
        self.assertThat(detector.sound, Equals([]))

    def test_answer_that_goes_on_is_sound(self):
        """Guards against long streams that never count as sound."""
        detector = _Detector()
        watch = SoundAnswerWatch(_Attempt(), detector)
        for now_s in (0.0, 2.0 * SOUND_AFTER_S, 3.0 * SOUND_AFTER_S):
            watch.event_received(now_s)
        self.assertThat(detector.sound, Equals(["request"]))
