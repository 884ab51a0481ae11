"""Invalid and incomplete answers of the stand-in, and the soak's checks of them."""

from soak._caller import CallerAnswer
from soak._checks import SentRequest, find_violations
from testtools import TestCase
from testtools.matchers import Equals
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

UPLOAD = bytes(3_000_000)


class InvalidAnswerTest(FrontWorld):
    def setUp(self):
        super().setUp()
        self.store.put("config", "main", configuration())

    async def ask_faulty(self, path, service, **fault):
        """Ask a host with one faulty endpoint, and return the answer and the runs."""
        self.add_endpoint("sound", service, event_count=3 * (service == MODEL_SERVICE))
        faulty = self.add_endpoint("faulty", service, **fault)
        front = await self.start_front()
        # An ejected endpoint is asked only if all others were tried.
        front.view.endpoints["sound"].health.ejected_until_s = float("inf")
        response = await self.ask(front, path, body=UPLOAD)
        return response, len(faulty.runs)

    @gen_test
    async def test_upload_is_cut_and_repeated(self):
        """Guards against a stand-in that plays no cut answer, or one that is taken."""
        response, run_count = await self.ask_faulty(
            SAFE_PATH, PLAIN_SERVICE, event_count=0, cut_uploads_from_bytes=1000
        )
        self.assertThat((response.code, response.body), Equals((200, b"answer")))
        self.assertThat(run_count, Equals(1))

    @gen_test
    async def test_cut_stream_is_continued(self):
        """Guards against the same for a stream."""
        response, run_count = await self.ask_faulty(
            STREAM_PATH, MODEL_SERVICE, cut_uploads_from_bytes=1000
        )
        events = b"".join(b"id: %d\ndata: piece %d\n\n" % (n, n) for n in (1, 2, 3))
        self.assertThat((response.code, response.body), Equals((200, events)))
        self.assertThat(run_count, Equals(1))

    @gen_test
    async def test_odd_status_of_a_request_that_may_have_run(self):
        """Guards against a stand-in whose odd status is a valid one."""
        response, run_count = await self.ask_faulty(
            UNSAFE_PATH, PLAIN_SERVICE, event_count=0, odd_status="000"
        )
        self.assertThat((response.code, run_count), Equals((502, 1)))


class SoakCheckTest(TestCase):
    def test_invalid_status_and_part_of_a_body_are_violations(self):
        """Guards against a soak that passes over both faults."""
        headers = {"x-request-id": "q", "x-server-stamp": "s"}
        for status, body in ((0, b"answer"), (600, b"answer"), (200, b"ans")):
            answer = CallerAnswer(
                status=status, headers=headers, body=body, complete=True
            )
            request = SentRequest(
                request_id="q", kind="safe", host_id="h", sent_s=0.0, answer=answer
            )
            violations = find_violations([request], {}, [], event_count=3)
            self.assertThat(len(violations), Equals(1), violations)
