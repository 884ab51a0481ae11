"""Load on endpoints that fall over if they have to refuse many requests in a second."""

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

# Time after which the endpoints fall over, once they say how many refusals they bear.
CONTACT_S = 3.0
ENDPOINT_COUNT = 3
ROOM_COUNT = 4
RUN_S = 0.1
BORNE_PER_S = "5"
# What the users allow while a service says so: 2 and a tenth of its endpoints.
ALLOWED_FALL_COUNT = 2 + ENDPOINT_COUNT // 10
# Requests per second that the endpoints can run.
CAPACITY_PER_S = ENDPOINT_COUNT * ROOM_COUNT / RUN_S


class BrittleEndpointTest(VirtualTimeMixin, FrontWorld):
    def setUp(self):
        super().setUp()
        self.store.put("config", "main", configuration())

    def add_endpoints(self, service, **options):
        """Start endpoints with little room."""
        return [
            self.add_endpoint(
                f"e{n}", service, room_count=ROOM_COUNT, delay_s=RUN_S, **options
            )
            for n in range(ENDPOINT_COUNT)
        ]

    async def start_hosts(self, count):
        """Start hosts that all know each other."""
        fronts = [await self.start_front(f"host-{n}") for n in range(count)]
        for front in fronts:
            await front.directory.refresh()
        await eventually(lambda: all(len(f.view.hosts) == count for f in fronts))
        return fronts

    async def press(self, fronts, *, rate_per_s, duration_s, path=SAFE_PATH):
        """Send requests to the hosts in turn and return the responses."""
        tasks = []
        for number in range(round(rate_per_s * duration_s)):
            front = fronts[number % len(fronts)]
            tasks.append(
                asyncio.create_task(
                    self.ask(front, path, method="GET", deadline_ms=1000)
                )
            )
            await self.pause(1.0 / rate_per_s)
        return await asyncio.gather(*tasks)

    async def check_overload(self, endpoints, fronts, path=SAFE_PATH):
        """Press more than the endpoints can run, and count falls and answers."""
        await self.press(fronts, rate_per_s=30.0, duration_s=1.0, path=path)
        for endpoint in endpoints:
            endpoint.brittle = BORNE_PER_S
        await self.press(fronts, rate_per_s=30.0, duration_s=CONTACT_S, path=path)
        responses = await self.press(
            fronts, rate_per_s=1.6 * CAPACITY_PER_S, duration_s=8.0, path=path
        )
        fall_count = sum(len(endpoint.fallen_s) for endpoint in endpoints)
        self.assertThat(fall_count <= ALLOWED_FALL_COUNT, Equals(True), fall_count)
        answered_count = sum(response.code == 200 for response in responses)
        self.assertThat(
            answered_count >= 0.5 * CAPACITY_PER_S * 8.0, Equals(True), answered_count
        )

    @gen_test(timeout=120)
    async def test_overload_topples_no_endpoints(self):
        """Guards against endpoints that fall one after the other under a burst.

        Four hosts press 1.6 times what the endpoints can run. What fits is answered,
        the rest refused by the hosts.
        """
        endpoints = self.add_endpoints(PLAIN_SERVICE, event_count=0)
        fronts = await self.start_hosts(4)
        await self.check_overload(endpoints, fronts)

    @gen_test(timeout=120)
    async def test_many_hosts_topple_no_endpoints(self):
        """Guards against refusals that each host keeps few, but all hosts do not."""
        endpoints = self.add_endpoints(PLAIN_SERVICE, event_count=0)
        fronts = await self.start_hosts(12)
        await self.check_overload(endpoints, fronts)

    @gen_test(timeout=120)
    async def test_streams_topple_no_endpoints(self):
        """Guards against care that is taken with plain requests only."""
        endpoints = self.add_endpoints(MODEL_SERVICE, event_count=1)
        fronts = await self.start_hosts(4)
        await self.check_overload(endpoints, fronts, path=STREAM_PATH)

    @gen_test(timeout=120)
    async def test_endpoints_that_start_under_load_are_not_toppled(self):
        """Guards against hosts that all flood an endpoint before its first answer.

        Endpoints start one after the other while the others of their service say that
        they fall over, as those do that have fallen and are back.
        """
        endpoints = self.add_endpoints(PLAIN_SERVICE, event_count=0)
        for endpoint in endpoints:
            endpoint.brittle = BORNE_PER_S
        fronts = await self.start_hosts(12)
        await self.press(fronts, rate_per_s=30.0, duration_s=CONTACT_S)
        pressing = asyncio.create_task(
            self.press(fronts, rate_per_s=3.0 * CAPACITY_PER_S, duration_s=10.0)
        )
        for number in range(4):
            await self.pause(2.0)
            started = self.add_endpoint(
                f"started-{number}",
                PLAIN_SERVICE,
                room_count=ROOM_COUNT,
                delay_s=RUN_S,
                event_count=0,
                brittle=BORNE_PER_S,
            )
            endpoints.append(started)
        await pressing
        fall_counts = [len(endpoint.fallen_s) for endpoint in endpoints]
        within = sum(fall_counts) <= ALLOWED_FALL_COUNT
        self.assertThat(within, Equals(True), fall_counts)

    @gen_test(timeout=60)
    async def test_endpoints_with_room_serve_all(self):
        """Guards against callers refused while brittle endpoints have room."""
        endpoints = self.add_endpoints(PLAIN_SERVICE, event_count=0)
        for endpoint in endpoints:
            endpoint.brittle = BORNE_PER_S
        fronts = await self.start_hosts(4)
        responses = await self.press(
            fronts, rate_per_s=0.4 * CAPACITY_PER_S, duration_s=6.0
        )
        self.assertThat({r.code for r in responses}, Equals({200}))

    @gen_test(timeout=60)
    async def test_nonsense_instead_of_a_number_harms_nothing(self):
        """Guards against a malformed number that stops or fails requests."""
        endpoint = self.add_endpoint("e", PLAIN_SERVICE, event_count=0)
        front = await self.start_front()
        for value in ("nan", "-3", "many", "1e400", "9" * 3000, "1,2", "\xff"):
            endpoint.brittle = value
            responses = await self.press([front], rate_per_s=20.0, duration_s=0.5)
            self.assertThat({r.code for r in responses}, Equals({200}))
