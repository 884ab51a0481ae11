"""Tests of the catalogue, request headers, the wait queue and draining."""

import asyncio
from collections import Counter

from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase
from testtools.matchers import Contains, Equals
from tornado.httputil import HTTPHeaders

from sesameknot.errors import RequestError
from sesameknot.protocol.objects import StoredObject
from sesameknot.router.call import CallHeaders, read_headers
from sesameknot.router.catalogue import CatalogueCache
from sesameknot.router.drain import Drain, DrainPhase
from sesameknot.router.wait_queue import WaitQueue
from sesameknot.state.object_store import ObjectStore

TEAM = {
    "team": "feed",
    "customers": [
        {"name": "barge-1", "token_sha256": "0" * 64, "allow": [{"model": "small"}]}
    ],
    "models": [
        {
            "name": "small",
            "versions": [{"name": "v1"}, {"name": "v2"}],
            "stable_version": "v1",
        }
    ],
}


class CatalogueTest(TestCase):
    def setUp(self):
        super().setUp()
        self.store = ObjectStore()
        self.cache = CatalogueCache(self.store)
        self.store.merge([StoredObject("settings/feed", 1, TEAM)])

    def _versions(self):
        (customer,) = self.cache.current.customers.values()
        return self.cache.current.usable_versions(customer, "small")

    def test_a_withdrawn_version_is_not_usable(self):
        """Guards against a withdrawal that is undone by settings applied later."""
        withdrawal = {"withdrawn": True}
        self.store.merge([StoredObject("withdrawals/feed.small.v1", 2, withdrawal)])
        self.assertThat(self._versions(), Equals(["v2"]))
        self.store.merge([StoredObject("settings/feed", 3, TEAM)])
        self.assertThat(self._versions(), Equals(["v2"]))

    def test_settings_that_do_not_parse_leave_the_last_good_ones(self):
        """Guards against an invalid object that takes a team out of service."""
        self.store.merge([StoredObject("settings/feed", 2, {"team": 7})])
        self.assertThat(self._versions(), Equals(["v1", "v2"]))
        self.store.merge([StoredObject("domains/idku", 3, "out")])
        self.assertThat(self.cache.current.is_domain_evacuated("idku"), Equals(False))

    def test_hosts_use_different_subsets_of_many_endpoints(self):
        """Guards against hosts that all use the same few endpoints."""
        endpoints = [
            {
                "endpoint_id": f"e{number}",
                "url": "http://127.0.0.1:1",
                "domain": "idku",
                "models": ["small"],
            }
            for number in range(146)
        ]
        team = TEAM | {"endpoints": endpoints}
        use_counts = Counter()
        for host in range(100):
            store = ObjectStore()
            cache = CatalogueCache(store, host_id=f"h{host}", subset_count=24)
            store.merge([StoredObject("settings/feed", 1, team)])
            endpoint_ids = cache.current.endpoint_ids_by_model["feed", "small"]
            self.assertThat(len(endpoint_ids), Equals(24))
            use_counts.update(endpoint_ids)
        self.assertThat(len(use_counts), Equals(146))
        self.assertThat(max(use_counts.values()) < 2 * 100 * 24 / 146, Equals(True))


class HeaderTest(TestCase):
    @given(st.text(max_size=30), st.sampled_from(["X-Priority", "X-Deadline-Ms"]))
    def test_any_header_value_is_read_or_refused_as_not_run(self, value, name):
        """Guards against a malformed header that causes an internal error."""
        headers = {"Authorization": "Bearer t", name: value}
        try:
            parsed = read_headers(headers, default_deadline_s=30.0)
        except RequestError as error:
            self.assertThat((error.status, error.outcome), Equals((400, "not-run")))
            self.assertThat(error.message, Contains(name))
        else:
            self.assertThat(isinstance(parsed, CallHeaders), Equals(True))

    def test_a_request_without_a_token_is_refused(self):
        """Guards against serving a request that belongs to no customer."""
        with self.assertRaises(RequestError) as caught:
            read_headers(HTTPHeaders(), default_deadline_s=30.0)
        self.assertThat(caught.exception.status, Equals(401))


class WaitQueueTest(TestCase):
    @given(st.lists(st.integers(0, 9), min_size=1, max_size=12))
    def test_slots_go_to_the_most_urgent_and_then_to_the_first(self, priorities):
        """Guards against a later request of low priority that overtakes others."""

        async def scenario():
            queue = WaitQueue()
            served = []

            async def waiter(number, priority):
                with queue.enter(priority) as entry:
                    await asyncio.sleep(0)
                    while not entry.is_first:
                        await entry.wait(1.0)
                    served.append((-priority, number))

            async with asyncio.TaskGroup() as group:
                for number, priority in enumerate(priorities):
                    group.create_task(waiter(number, priority))
            return served

        served = asyncio.run(scenario())
        self.assertThat(served, Equals(sorted(served)))


class DrainTest(TestCase):
    def test_it_is_idle_only_when_no_request_is_left(self):
        """Guards against a shutdown that interrupts the last request."""

        async def scenario():
            drain = Drain()
            with drain.track_request():
                with drain.track_request():
                    pass
                busy = await drain.wait_idle(0.01)
            return busy, await drain.wait_idle(0.01)

        self.assertThat(asyncio.run(scenario()), Equals((False, True)))

    def test_request_that_comes_as_the_host_gets_idle_delays_the_end(self):
        """Guards against an end between the last answer and the next request."""

        async def scenario():
            drain = Drain()
            drain.finish(by_s=10.0)
            with drain.track_request():
                closing = asyncio.create_task(drain.close_when_quiet(0.02, limit_s=5.0))
                await asyncio.sleep(0)
            await asyncio.sleep(0)
            with drain.track_request():
                await asyncio.sleep(0.05)
                accepted_before = drain.accepts(9.0)
            return accepted_before, await closing, drain.accepts(9.0)

        self.assertThat(asyncio.run(scenario()), Equals((True, True, False)))

    def test_what_reads_requests_stops_in_the_step_that_ends_their_acceptance(self):
        """Guards against a connection that is read after the last check."""

        async def scenario():
            drain = Drain()
            phases = []
            drain.on_close(lambda: phases.append(drain.phase))
            with drain.track_request():
                busy = await drain.close_when_quiet(0.0, limit_s=0.01)
            idle = await drain.close_when_quiet(0.0, limit_s=0.01)
            return busy, idle, phases

        expected = (False, True, [DrainPhase.CLOSED])
        self.assertThat(asyncio.run(scenario()), Equals(expected))
