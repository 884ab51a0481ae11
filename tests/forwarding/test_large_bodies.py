"""Bodies of callers' requests: what reaches endpoints, and what a host holds."""

import random

from testtools.matchers import Equals
from tornado.testing import gen_test

from tests.front_world import PLAIN_SERVICE, SAFE_PATH, FrontWorld, configuration

# Several blocks, the last of them not full.
BODY = random.Random(40).randbytes(300_001)
# The endpoint runs as Tornado's server, which parses bodies without a type as forms.
TYPE = {"Content-Type": "application/octet-stream"}


class LargeBodiesTest(FrontWorld):
    def setUp(self):
        super().setUp()
        self.store.put("config", "main", configuration())
        self.endpoint = self.add_endpoint("e1", PLAIN_SERVICE)

    @gen_test
    async def test_body_with_a_length_arrives_unchanged(self):
        """Guards against blocks of a body that are lost, doubled or out of order."""
        front = await self.start_front()
        answer = await self.ask(front, SAFE_PATH, body=BODY, headers=TYPE)
        self.assertThat(answer.code, Equals(200))
        self.assertThat(self.endpoint.runs[0].body, Equals(BODY))

    @gen_test
    async def test_body_in_chunks_arrives_unchanged(self):
        """Guards against parts of chunked bodies that are lost."""
        front = await self.start_front()

        async def send_parts(write):
            for start in range(0, len(BODY), 7_000):
                await write(BODY[start : start + 7_000])

        answer = await self.ask(
            front, SAFE_PATH, body_producer=send_parts, headers=TYPE
        )
        self.assertThat(answer.code, Equals(200))
        self.assertThat(self.endpoint.runs[0].body, Equals(BODY))

    @gen_test
    async def test_repeated_body_arrives_unchanged(self):
        """Guards against a repetition that lacks what the first attempt sent."""
        self.endpoint.status = 500
        other = self.add_endpoint("e2", PLAIN_SERVICE)
        other.status = 500
        front = await self.start_front()
        await self.ask(front, SAFE_PATH, body=BODY, headers=TYPE)
        runs = [*self.endpoint.runs, *other.runs]
        self.assertThat([run.body for run in runs], Equals([BODY, BODY]))
