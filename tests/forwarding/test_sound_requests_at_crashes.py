"""Tests of sound requests that are in flight at endpoints when these crash.

The load: a failure domain loses its endpoints at one moment, while all of them run
the same request for several callers.
"""

import asyncio
from unittest import mock

from testtools.matchers import Equals
from tornado.testing import gen_test

from sesameknot.platform import CRASH_KIND
from sesameknot.policy.crash_guard import CrashGuard, request_fingerprint
from tests.front_world import (
    CUSTOMER,
    PLAIN_SERVICE,
    SAFE_PATH,
    FrontWorld,
    configuration,
)
from tests.support import eventually
from tests.virtual_time import VirtualTimeMixin

ENDPOINTS_PER_DOMAIN = 3
WORK_S = 0.3
# Requests of each host at once: each endpoint has some of them.
CONCURRENT_COUNT = 30
# Rounds of the exchange between hosts and of the writes of reports.
SETTLED_AFTER_S = 3.0
# Each host has its turn, and tells the others of the answer.
SERVED_WITHIN_S = 5.0


class SoundRequestTest(VirtualTimeMixin, FrontWorld):
    def setUp(self):
        super().setUp()
        self.store.put("config", "main", configuration())
        for domain in "ab":
            for number in range(ENDPOINTS_PER_DOMAIN):
                self.add_endpoint(
                    f"{domain}{number}",
                    PLAIN_SERVICE,
                    domain=domain,
                    event_count=0,
                    delay_s=WORK_S,
                )

    async def start_hosts(self, count):
        """Start hosts that know each other."""
        fronts = [await self.start_front(f"host-{n}") for n in range(count)]
        await eventually(lambda: all(len(f.view.hosts) == count for f in fronts))
        return fronts

    async def crash_domain(self, domain):
        """Crash all endpoints of a failure domain at one moment."""
        for endpoint_id, endpoint in self.endpoints.items():
            if endpoint_id.startswith(domain):
                await endpoint.stop()

    def ask_all(self, fronts):
        """Send the same request through all hosts at once; return the tasks."""
        return [
            asyncio.create_task(self.ask(front, SAFE_PATH, method="GET"))
            for front in fronts
            for _ in range(CONCURRENT_COUNT)
        ]

    async def codes(self, fronts):
        """Return the statuses of the request at all hosts."""
        answers = [await self.ask(f, SAFE_PATH, method="GET") for f in fronts]
        return [answer.code for answer in answers]

    @gen_test(timeout=60)
    async def test_request_that_others_answered_is_served_after_a_domain_crashed(self):
        """Guards against a sound request that all hosts refuse for ten minutes."""
        fronts = await self.start_hosts(3)
        for _ in range(3):
            await asyncio.gather(*self.ask_all(fronts))
        tasks = self.ask_all(fronts)
        await self.pause(WORK_S / 2.0)
        await self.crash_domain("a")
        await asyncio.gather(*tasks)
        await self.pause(SETTLED_AFTER_S)
        self.assertThat(await self.codes(fronts), Equals([200, 200, 200]))
        self.assertThat(self.store.list(CRASH_KIND), Equals([]))

    @gen_test(timeout=60)
    async def test_new_request_at_a_crash_of_a_whole_domain_is_served(self):
        """Guards against crashes of one moment that count as several.

        Nothing shows yet that the request is sound, as its first runs are cut off, and
        those at the other endpoints are not answered either. Its callers go on.
        """
        for endpoint_id, endpoint in self.endpoints.items():
            if endpoint_id.startswith("b"):
                endpoint.silent = True
        fronts = await self.start_hosts(3)
        tasks = self.ask_all(fronts)
        await self.pause(WORK_S / 2.0)
        await self.crash_domain("a")
        await asyncio.gather(*tasks)
        for endpoint in self.endpoints.values():
            endpoint.silent = False
        for _ in range(round(SERVED_WITHIN_S / WORK_S)):
            await asyncio.gather(
                *(self.ask(front, SAFE_PATH, method="GET") for front in fronts)
            )
            await self.pause(WORK_S / 2.0)
        self.assertThat(await self.codes(fronts), Equals([200, 200, 200]))

    @gen_test(timeout=60)
    async def test_refusal_ends_at_all_hosts_once_one_has_an_answer(self):
        """Guards against a refusal that outlives the evidence against it."""
        fronts = await self.start_hosts(3)
        fingerprint = request_fingerprint(CUSTOMER, SAFE_PATH, b"")
        for number in range(3):
            fronts[1].crash_guard.record(fingerprint, f"x{number}")
        self.assertTrue(fronts[1].crash_guard.refuses(fingerprint))
        # The first host does not know of the crashes yet, and begins a run after them.
        with mock.patch.object(CrashGuard, "merge"):
            await self.pause(0.05)
            answer = await self.ask(fronts[0], SAFE_PATH, method="GET")
        self.assertThat(answer.code, Equals(200))
        await self.pause(SETTLED_AFTER_S)
        self.assertThat(await self.codes(fronts), Equals([200, 200, 200]))
        self.assertThat(self.store.list(CRASH_KIND), Equals([]))
