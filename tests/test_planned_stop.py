"""Tests of a planned stop while callers keep sending."""

import asyncio
from dataclasses import dataclass

from testtools.matchers import Equals, GreaterThan, HasLength
from tornado.testing import gen_test

from sesameknot._front_shutdown import FINISH_GRACE_SHARE
from tests.front_world import (
    HOST,
    KEY,
    MODEL_SERVICE,
    PLAIN_SERVICE,
    STREAM_PATH,
    UNSAFE_PATH,
    FrontWorld,
    configuration,
)
from tests.virtual_time import VirtualTimeMixin

CALLER_COUNT = 12
LOAD_BEFORE_STOP_S = 0.5
# The endpoint answers later than callers send, so requests are in flight all the time.
PLAIN_TIME_S = 0.15
STREAM_EVENT_COUNT = 10
EVENT_GAP_S = 0.1
# Streams of this length end when requests are accepted only if they end in time.
LONG_STREAM_EVENT_COUNT = 31
# Closing the components of a process takes time in which its event loop still runs.
CLOSING_TIME_S = 0.1
# Shorter than the time limit of the routes, so that requests outlast it.
GRACE_S = 4.0


@dataclass(slots=True)
class Outcome:
    """What a caller saw of one request; ``status`` is 0 without a whole answer."""

    request_id: str
    status: int = 0
    sent_s: float = 0.0


class PlannedStopTest(VirtualTimeMixin, FrontWorld):
    def setUp(self):
        super().setUp()
        self.store.put("config", "main", configuration())
        self.outcomes = []

    async def call(self, reader, writer, path, *, deadline_ms=3000):
        """Send a request on an open connection and read the whole answer."""
        outcome = Outcome(f"p{len(self.outcomes)}")
        self.outcomes.append(outcome)
        outcome.sent_s = self.io_loop.asyncio_loop.time()
        head = (
            f"POST {path} HTTP/1.1\r\nHost: {HOST}\r\n"
            f"X-Request-Id: {outcome.request_id}\r\nX-Deadline-Ms: {deadline_ms}\r\n"
            f"Authorization: Bearer {KEY}\r\nContent-Length: 0\r\n\r\n"
        )
        writer.write(head.encode())
        answer_head = await reader.readuntil(b"\r\n\r\n")
        status = int(answer_head.split()[1])
        if b"chunked" in answer_head.lower():
            await reader.readuntil(b"\r\n0\r\n\r\n")
        else:
            length = answer_head.lower().split(b"content-length:")[1].split()[0]
            await reader.readexactly(int(length))
        outcome.status = status
        return b"connection: close" not in answer_head.lower()

    async def keep_calling(self, front, path):
        """Send requests one after the other until the host takes no connection."""
        ip, _, port = front.host.caller_address.partition(":")
        while True:
            try:
                reader, writer = await asyncio.open_connection(ip, int(port))
            except OSError:
                return
            try:
                while await self.call(reader, writer, path):
                    await asyncio.sleep(0.01)
            except (OSError, asyncio.IncompleteReadError):
                pass
            writer.close()
            await asyncio.sleep(0.01)

    async def stop_under_load(self, service, path, **options):
        """Stop a host while callers send; return the ids that an endpoint ran."""
        for name in ("e1", "e2"):
            self.add_endpoint(name, service, confidences={"small": 90}, **options)
        front = await self.start_front()
        callers = [
            asyncio.create_task(self.keep_calling(front, path))
            for _ in range(CALLER_COUNT)
        ]
        await self.pause(LOAD_BEFORE_STOP_S)
        await front.shut_down()
        await asyncio.gather(*callers)
        return {run.request_id for e in self.endpoints.values() for run in e.runs}

    def check_outcomes(self, run_ids):
        for outcome in self.outcomes:
            # A refusal or a closed connection is right only for what was not run.
            answered = outcome.status == 200
            self.assertEqual(outcome.request_id in run_ids, answered, outcome)
        answered = [outcome for outcome in self.outcomes if outcome.status == 200]
        self.assertThat(len(answered), GreaterThan(CALLER_COUNT))

    @gen_test(timeout=60)
    async def test_plain_requests_are_answered_or_not_run(self):
        """Guards against a request that was accepted and then cut off."""
        run_ids = await self.stop_under_load(
            PLAIN_SERVICE, UNSAFE_PATH, event_count=0, delay_s=PLAIN_TIME_S
        )
        self.check_outcomes(run_ids)

    @gen_test(timeout=60)
    async def test_streams_are_finished_or_not_begun(self):
        """Guards against a stream that is cut, begun just before the last second."""
        run_ids = await self.stop_under_load(
            MODEL_SERVICE,
            STREAM_PATH,
            event_count=STREAM_EVENT_COUNT,
            event_gap_s=EVENT_GAP_S,
        )
        self.check_outcomes(run_ids)

    async def stream_then_book(self, front, pause_s):
        """Ask for a stream, then book on the same connection."""
        ip, _, port = front.host.caller_address.partition(":")
        reader, writer = await asyncio.open_connection(ip, int(port))
        self.closing(writer.close)
        try:
            if await self.call(reader, writer, STREAM_PATH, deadline_ms=4000):
                await asyncio.sleep(pause_s)
                await self.call(reader, writer, UNSAFE_PATH, deadline_ms=1000)
        except (OSError, asyncio.IncompleteReadError):
            pass

    @gen_test(timeout=60)
    async def test_requests_after_answers_that_began_before_the_stop_are_answered(self):
        """Guards against a request that is passed on at the last moment and dropped.

        The answers began before the stop, so they could not ask callers to close their
        connections, and all of them end at the same moment.
        """
        self.add_endpoint("e1", PLAIN_SERVICE, event_count=0, delay_s=PLAIN_TIME_S)
        self.add_endpoint(
            "e2",
            MODEL_SERVICE,
            confidences={"small": 90},
            event_count=LONG_STREAM_EVENT_COUNT,
            event_gap_s=EVENT_GAP_S,
        )
        for pauses_s in ([0.001], [0.003, 0.008], [0.001, 0.005, 0.013]):
            front = await self.start_front(f"host-{len(pauses_s)}")
            front._stack.push_async_callback(asyncio.sleep, CLOSING_TIME_S)
            callers = [
                asyncio.create_task(self.stream_then_book(front, pause_s))
                for pause_s in pauses_s * CALLER_COUNT
            ]
            await self.pause(LOAD_BEFORE_STOP_S)
            await front.shut_down()
            await asyncio.gather(*callers)
        runs = {run.request_id for e in self.endpoints.values() for run in e.runs}
        self.check_outcomes(runs)

    async def stop_during_upload(self, *, rest_after_s, deadline_ms, grace_s):
        """Stop a host while a body comes; return the answer and what ran."""
        self.add_endpoint("e1", PLAIN_SERVICE, event_count=0, delay_s=PLAIN_TIME_S)
        front = await self.start_front(grace_s=grace_s)
        ip, _, port = front.host.caller_address.partition(":")
        reader, writer = await asyncio.open_connection(ip, int(port))
        self.closing(writer.close)
        head = (
            f"POST {UNSAFE_PATH} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: p1\r\n"
            f"X-Deadline-Ms: {deadline_ms}\r\nAuthorization: Bearer {KEY}\r\n"
            "Content-Length: 8\r\n\r\nhalf"
        )
        writer.write(head.encode())
        await self.pause(0.1)
        stop = asyncio.create_task(front.shut_down())
        await self.pause(rest_after_s)
        writer.write(b"rest")
        answer = await reader.read()
        await stop
        return answer, len(self.endpoints["e1"].runs)

    @gen_test(timeout=60)
    async def test_body_that_comes_during_the_stop_is_answered(self):
        """Guards against an idle host that ends while it reads a body."""
        answer, run_count = await self.stop_during_upload(
            rest_after_s=2.5, deadline_ms=3000, grace_s=2.0 * GRACE_S
        )
        self.assertThat(answer.split()[1:2], Equals([b"200"]))
        self.assertIn(b"connection: close", answer.lower())
        self.assertThat(run_count, Equals(1))

    @gen_test(timeout=60)
    async def test_body_that_outlasts_the_grace_time_is_refused(self):
        """Guards against a connection that ends without a word on its request."""
        answer, run_count = await self.stop_during_upload(
            rest_after_s=GRACE_S, deadline_ms=9000, grace_s=GRACE_S
        )
        self.assertThat(answer.split()[1:2], Equals([b"503"]))
        self.assertThat(run_count, Equals(0))

    @gen_test(timeout=60)
    async def test_answer_that_begins_during_the_stop_closes_its_connection(self):
        """Guards against a connection that callers keep as its request came before."""
        self.add_endpoint("e1", PLAIN_SERVICE, event_count=0, delay_s=PLAIN_TIME_S)
        front = await self.start_front()
        ip, _, port = front.host.caller_address.partition(":")
        reader, writer = await asyncio.open_connection(ip, int(port))
        self.closing(writer.close)
        call = asyncio.create_task(self.call(reader, writer, UNSAFE_PATH))
        await self.pause(PLAIN_TIME_S / 2)
        stop = asyncio.create_task(front.shut_down())
        self.assertThat(await call, Equals(False))
        await stop

    async def stop_beside_silent_endpoint(self, *, sent_after_s, deadline_s):
        """Stop a host; return the status of a request whose endpoint never answers."""
        self.add_endpoint("e1", PLAIN_SERVICE, silent=True)
        front = await self.start_front(grace_s=GRACE_S)
        ip, _, port = front.host.caller_address.partition(":")
        reader, writer = await asyncio.open_connection(ip, int(port))
        self.closing(writer.close)
        stop = asyncio.create_task(front.shut_down())
        await self.pause(sent_after_s)
        head = (
            f"POST {UNSAFE_PATH} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: p1\r\n"
            f"X-Deadline-Ms: {round(deadline_s * 1000)}\r\n"
            f"Authorization: Bearer {KEY}\r\nContent-Length: 0\r\n\r\n"
        )
        writer.write(head.encode())
        answer = await reader.read()
        await stop
        self.assertThat(self.endpoints["e1"].runs, HasLength(1))
        return int(answer.split()[1]) if answer else 0

    @gen_test(timeout=60)
    async def test_request_in_flight_at_the_end_of_the_grace_time_is_answered(self):
        """Guards against a request that was passed on and cut without an answer."""
        status = await self.stop_beside_silent_endpoint(sent_after_s=1.0, deadline_s=30)
        self.assertThat(status, Equals(504))

    @gen_test(timeout=60)
    async def test_request_whose_deadline_is_the_end_of_the_grace_time_is_answered(
        self,
    ):
        """Guards against a request accepted late, whose answer comes after the end."""
        sent_after_s = 2.2
        deadline_s = FINISH_GRACE_SHARE * GRACE_S - sent_after_s
        status = await self.stop_beside_silent_endpoint(
            sent_after_s=sent_after_s, deadline_s=deadline_s
        )
        self.assertThat(status, Equals(504))
