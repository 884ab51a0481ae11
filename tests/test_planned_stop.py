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

    async def call(self, reader, writer, path):
        """Send a request on an open connection and read the whole answer."""
        outcome = Outcome(f"p{len(self.outcomes)}")
        self.outcomes.append(outcome)
        outcome.sent_s = self.io_loop.asyncio_loop.time()
        head = (
            f"POST {path} HTTP/1.1\r\nHost: {HOST}\r\n"
            f"X-Request-Id: {outcome.request_id}\r\nX-Deadline-Ms: 3000\r\n"
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
