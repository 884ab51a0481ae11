"""Load on endpoints that refuse requests and name a time for which they want none."""

import asyncio

from testtools.matchers import Equals
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

RETRY_AFTER_S = 3.0
# The users allow two requests from half a second after the refusal on.
SETTLE_S = 0.5
ALLOWED_COUNT = 2


class RetryAfterTest(VirtualTimeMixin, FrontWorld):
    def setUp(self):
        super().setUp()
        self.store.put("config", "main", configuration())

    def now_s(self):
        return self.io_loop.asyncio_loop.time()

    async def press(self, front, *, duration_s, rate_per_s=30.0, path=SAFE_PATH):
        """Send requests at a rate and return the responses."""
        tasks = []
        for _ in range(round(rate_per_s * duration_s)):
            tasks.append(asyncio.create_task(self.ask(front, path, method="GET")))
            await self.pause(1.0 / rate_per_s)
        return await asyncio.gather(*tasks)

    def unwanted_count(self, endpoint):
        """Return the most requests that one refusal should have kept away."""
        times_s = [run.received_s for run in endpoint.runs] + endpoint.refused_s
        return max(
            (
                sum(at + SETTLE_S < t < at + RETRY_AFTER_S for t in times_s)
                for at in endpoint.refused_s
            ),
            default=0,
        )

    @gen_test(timeout=60)
    async def test_endpoint_is_left_alone_for_the_time_that_it_names(self):
        """Guards against requests that an endpoint has asked to be spared.

        Another endpoint serves all callers meanwhile, and this one gets requests again
        after the time.
        """
        full = self.add_endpoint(
            "full",
            PLAIN_SERVICE,
            event_count=0,
            not_run=True,
            retry_after=f"{RETRY_AFTER_S:g}",
        )
        self.add_endpoint("other", PLAIN_SERVICE, event_count=0)
        front = await self.start_front()
        responses = await self.press(front, duration_s=7.0)
        self.assertThat({r.code for r in responses}, Equals({200}))
        self.assertThat(self.unwanted_count(full) <= ALLOWED_COUNT, Equals(True))
        full.not_run = False
        await self.press(front, duration_s=4.0)
        self.assertThat(len(full.runs) > 0, Equals(True))

    @gen_test(timeout=60)
    async def test_callers_are_refused_at_once_while_all_endpoints_are_left_alone(self):
        """Guards against waits and sends while every endpoint has asked for a pause.

        Callers are told to come back when the first endpoint takes requests again.
        """
        endpoints = [
            self.add_endpoint(
                f"e{n}",
                PLAIN_SERVICE,
                event_count=0,
                not_run=True,
                retry_after=f"{RETRY_AFTER_S:g}",
            )
            for n in range(3)
        ]
        front = await self.start_front()
        await self.press(front, duration_s=0.3)
        started_s = self.now_s()
        response = await self.ask(front, SAFE_PATH, method="GET", deadline_ms=30000)
        self.assertThat(response.code, Equals(503))
        self.assertThat(self.now_s() - started_s < 0.1, Equals(True))
        retry_after_s = float(response.headers["Retry-After"])
        self.assertThat(0.5 < retry_after_s <= RETRY_AFTER_S, Equals(True))
        await self.press(front, duration_s=5.0)
        for endpoint in endpoints:
            unwanted = self.unwanted_count(endpoint)
            self.assertThat(unwanted <= ALLOWED_COUNT, Equals(True), unwanted)

    @gen_test(timeout=60)
    async def test_streams_spare_the_endpoint_as_well(self):
        """Guards against a pause that is kept for plain requests only."""
        full = self.add_endpoint(
            "full", MODEL_SERVICE, not_run=True, retry_after=f"{RETRY_AFTER_S:g}"
        )
        self.add_endpoint("other", MODEL_SERVICE)
        front = await self.start_front()
        responses = await self.press(
            front, duration_s=5.0, rate_per_s=10.0, path=STREAM_PATH
        )
        self.assertThat({r.code for r in responses}, Equals({200}))
        self.assertThat(self.unwanted_count(full) <= ALLOWED_COUNT, Equals(True))

    @gen_test(timeout=60)
    async def test_nonsense_instead_of_a_time_harms_nothing(self):
        """Guards against a malformed time that takes an endpoint out of use."""
        endpoint = self.add_endpoint("e", PLAIN_SERVICE, event_count=0)
        front = await self.start_front()
        values = (
            "soon",
            "-3",
            "nan",
            "inf",
            "1e9",
            "9" * 3000,
            "1,5",
            "\xff",
            "999999999",
            "Fri, 04 Dec 2026 21:00:00 GMT",
        )
        for value in values:
            endpoint.not_run = True
            endpoint.retry_after = value
            await self.ask(front, SAFE_PATH, method="GET")
            endpoint.not_run = False
            response = await self.ask(front, SAFE_PATH, method="GET")
            self.assertThat(response.code, Equals(200), value)
