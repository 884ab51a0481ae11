"""Answers of slow endpoints while no retry is left."""

import asyncio

from testtools.matchers import Equals, HasLength
from tornado.testing import gen_test

from tests.front_world import (
    MODEL_SERVICE,
    PLAIN_SERVICE,
    SAFE_PATH,
    STREAM_PATH,
    FrontWorld,
    configuration,
)
from tests.virtual_time import VirtualTimeMixin

EVENT_COUNT = 4
# The routes give an attempt up after 0.8 s without an answer or an event.
SLOW_S = 1.2
DEADLINE_MS = 9000
NO_RETRIES = {"retry_ratio": 0.0, "retry_slack_count": 0.0}


class SpentRetryBudgetTest(VirtualTimeMixin, FrontWorld):
    def setUp(self):
        super().setUp()
        content = configuration()
        for route in content["Routes"]:
            route["TimeoutMs"] = DEADLINE_MS
        self.store.put("config", "main", content)

    def add_endpoints(self, service, **options):
        for number in range(3):
            self.add_endpoint(f"{service}-{number}", service, **options)

    async def ask_slowly(self, front, path):
        return await self.ask(front, path, deadline_ms=DEADLINE_MS)

    @gen_test(timeout=60)
    async def test_slow_stream_goes_on_to_its_end(self):
        """Guards against a stream that is broken off since its retry is refused."""
        self.add_endpoints(
            MODEL_SERVICE,
            confidences={"small": 90},
            event_count=EVENT_COUNT,
            event_gap_s=SLOW_S,
        )
        front = await self.start_front(**NO_RETRIES)
        response = await self.ask_slowly(front, STREAM_PATH)
        self.assertThat(response.code, Equals(200))
        self.assertThat(response.body.count(b"piece"), Equals(EVENT_COUNT))

    @gen_test(timeout=60)
    async def test_slow_plain_answer_is_waited_for(self):
        """Guards against a failure in place of an answer that comes in time."""
        self.add_endpoints(PLAIN_SERVICE, event_count=0, delay_s=SLOW_S)
        front = await self.start_front(**NO_RETRIES)
        response = await self.ask_slowly(front, SAFE_PATH)
        self.assertThat(response.code, Equals(200))

    @gen_test(timeout=60)
    async def test_streams_that_turn_slow_together_all_end(self):
        """Guards against streams that count on the same last retry."""
        self.add_endpoints(
            MODEL_SERVICE,
            confidences={"small": 90},
            event_count=EVENT_COUNT,
            event_gap_s=SLOW_S,
        )
        front = await self.start_front(retry_ratio=0.2, retry_slack_count=0.0)
        responses = await asyncio.gather(
            *(self.ask_slowly(front, STREAM_PATH) for _ in range(12))
        )
        whole = [r for r in responses if r.body.count(b"piece") == EVENT_COUNT]
        self.assertThat(whole, HasLength(12))
