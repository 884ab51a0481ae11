"""Load on endpoints that name the request rate which they take from all hosts."""

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
from tests.support import eventually
from tests.virtual_time import VirtualTimeMixin

RATE_PER_S = 2.0
# Time after which a named limit binds, and the span over which requests are counted.
CONTACT_S = 3.0
WINDOW_S = 4.0
# What the users allow in a window.
OVERAGE = 1.5
SLACK_COUNT = 5
PROMPT = {"X-Model": "*", "X-Prompt-Prefix": "5c1e:400,91bd:400,e440:200"}


def most_in_window(times_s, *, from_s):
    """Return the largest number of times within a window that begins at ``from_s``."""
    later_s = sorted(time_s for time_s in times_s if time_s >= from_s)
    return max(
        (sum(a <= b < a + WINDOW_S for b in later_s) for a in later_s), default=0
    )


class EndpointLimitTest(VirtualTimeMixin, FrontWorld):
    def setUp(self):
        super().setUp()
        self.store.put("config", "main", configuration())

    def now_s(self):
        return self.io_loop.asyncio_loop.time()

    def arrivals_s(self, endpoint):
        return [run.received_s for run in endpoint.runs]

    async def start_hosts(self, count):
        """Start hosts that all know each other."""
        fronts = [await self.start_front(f"host-{n}") for n in range(count)]
        await eventually(lambda: all(len(f.view.hosts) == count for f in fronts))
        # Hosts that have just joined share the work of others at first.
        await self.pause(20.0)
        return fronts

    async def press(self, fronts, path, *, rate_per_s, duration_s, **options):
        """Send requests to the hosts in turn and return the responses."""
        tasks = []
        for number in range(round(rate_per_s * duration_s)):
            front = fronts[number % len(fronts)]
            tasks.append(asyncio.create_task(self.ask(front, path, **options)))
            await self.pause(1.0 / rate_per_s)
        return await asyncio.gather(*tasks)

    @gen_test(timeout=60)
    async def test_all_hosts_press_on_an_endpoint_that_named_a_limit(self):
        """Guards against hosts that together send more than an endpoint takes.

        Two of three endpoints name a limit; the third one can take the rest, so that
        every caller is answered, and the limits are used.
        """
        limited = [
            self.add_endpoint(f"limited-{n}", PLAIN_SERVICE, event_count=0)
            for n in range(2)
        ]
        self.add_endpoint("sound", PLAIN_SERVICE, event_count=0)
        fronts = await self.start_hosts(4)
        for endpoint in limited:
            endpoint.rate_limit = str(RATE_PER_S)
        named_s = self.now_s()
        responses = await self.press(
            fronts, SAFE_PATH, rate_per_s=40.0, duration_s=15.0, method="GET"
        )
        codes = {response.code for response in responses}
        self.assertThat(codes, Equals({200}))
        for endpoint in limited:
            self._check_window(endpoint, named_s)
            used_s = [t for t in self.arrivals_s(endpoint) if t >= named_s + CONTACT_S]
            self.assertThat(len(used_s) >= 0.7 * RATE_PER_S * 12.0, Equals(True))

    def _check_window(self, endpoint, named_s):
        allowed = OVERAGE * WINDOW_S * float(endpoint.rate_limit) + SLACK_COUNT
        most = most_in_window(self.arrivals_s(endpoint), from_s=named_s + CONTACT_S)
        self.assertThat(most <= allowed, Equals(True), f"{most} of {allowed}")

    @gen_test(timeout=60)
    async def test_limits_of_all_endpoints_are_used_and_the_rest_is_refused(self):
        """Guards against callers refused within the limits, and sent beyond them.

        All endpoints name a limit below what callers want. What fits is answered, the
        rest is refused at once as not run, with a time to return.
        """
        endpoints = [
            self.add_endpoint(
                f"e{n}", PLAIN_SERVICE, event_count=0, rate_limit=str(RATE_PER_S)
            )
            for n in range(3)
        ]
        fronts = await self.start_hosts(5)
        await self.press(
            fronts, SAFE_PATH, rate_per_s=30.0, duration_s=5.0, method="GET"
        )
        started_s = self.now_s()
        responses = await self.press(
            fronts, SAFE_PATH, rate_per_s=30.0, duration_s=10.0, method="GET"
        )
        answered = [r for r in responses if r.code == 200]
        refused = [r for r in responses if r.code == 503]
        self.assertThat(len(answered) + len(refused), Equals(len(responses)))
        self.assertThat(all("Retry-After" in r.headers for r in refused), Equals(True))
        offered = 3 * RATE_PER_S * 10.0
        self.assertThat(len(answered) >= 0.8 * offered, Equals(True), len(answered))
        for endpoint in endpoints:
            self._check_window(endpoint, started_s - CONTACT_S)

    @gen_test(timeout=60)
    async def test_larger_models_do_not_pass_the_limit(self):
        """Guards against second attempts beyond the limit, and answers lost for them.

        The small model is unsure, so the cascade would ask a larger one each time. If
        no endpoint takes that request, the small model's answer is passed on.
        """
        endpoints = [
            self.add_endpoint(
                f"e{n}",
                MODEL_SERVICE,
                confidences={"small": 10, "large": 90},
                rate_limit=str(RATE_PER_S),
            )
            for n in range(3)
        ]
        fronts = await self.start_hosts(3)
        started_s = self.now_s()
        responses = await self.press(
            fronts, STREAM_PATH, rate_per_s=10.0, duration_s=12.0, headers=PROMPT
        )
        codes = {response.code for response in responses}
        self.assertThat(codes <= {200, 503}, Equals(True), codes)
        for endpoint in endpoints:
            self._check_window(endpoint, started_s)

    @gen_test(timeout=60)
    async def test_limit_ends_when_the_endpoint_names_none(self):
        """Guards against a limit that outlasts the endpoint's need."""
        endpoint = self.add_endpoint(
            "e", PLAIN_SERVICE, event_count=0, rate_limit=str(RATE_PER_S)
        )
        fronts = await self.start_hosts(5)
        await self.press(
            fronts, SAFE_PATH, rate_per_s=20.0, duration_s=6.0, method="GET"
        )
        endpoint.rate_limit = ""
        await self.press(
            fronts, SAFE_PATH, rate_per_s=20.0, duration_s=4.0, method="GET"
        )
        responses = await self.press(
            fronts, SAFE_PATH, rate_per_s=20.0, duration_s=4.0, method="GET"
        )
        self.assertThat({r.code for r in responses}, Equals({200}))

    @gen_test(timeout=60)
    async def test_nonsense_instead_of_a_limit_harms_nothing(self):
        """Guards against a malformed limit that stops or fails requests."""
        endpoint = self.add_endpoint("e", PLAIN_SERVICE, event_count=0)
        front = await self.start_front()
        for value in ("nan", "-inf", "-3", "0x2", "1e400", "9" * 3000, "1,2", "\xff"):
            endpoint.rate_limit = value
            responses = await self.press(
                [front], SAFE_PATH, rate_per_s=20.0, duration_s=1.0, method="GET"
            )
            self.assertThat({r.code for r in responses}, Equals({200}))

    @gen_test(timeout=60)
    async def test_limit_holds_when_a_host_is_killed(self):
        """Guards against hosts that send more, or nothing, once one of them is gone."""
        endpoint = self.add_endpoint(
            "e", PLAIN_SERVICE, event_count=0, rate_limit=str(RATE_PER_S)
        )
        fronts = await self.start_hosts(5)
        started_s = self.now_s()
        for _ in range(len(fronts) - 1):
            await self.press(
                fronts, SAFE_PATH, rate_per_s=25.0, duration_s=6.0, method="GET"
            )
            await fronts.pop().close()
        times_s = [t - started_s for t in self.arrivals_s(endpoint)]
        self._check_window(endpoint, started_s)
        for begin_s in range(3, 24, 3):
            used = sum(begin_s <= t < begin_s + 3 for t in times_s)
            self.assertThat(used >= 0.5 * RATE_PER_S * 3, Equals(True), begin_s)
