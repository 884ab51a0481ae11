"""Tests of front processes that were paused for seconds."""

import asyncio
from dataclasses import replace

from testtools.matchers import Equals, HasLength, LessThan
from tornado.testing import gen_test

from tests.front_world import PLAIN_SERVICE, UNSAFE_PATH, FrontWorld, configuration
from tests.support import eventually
from tests.virtual_time import VirtualTimeMixin

PAUSE_S = 5.0


class PauseTest(VirtualTimeMixin, FrontWorld):
    def setUp(self):
        super().setUp()
        self.store.put("config", "main", configuration())

    def pause_process(self):
        self.io_loop.asyncio_loop.pause(PAUSE_S)

    async def start(self):
        """Start a host that prefers the first of two endpoints."""
        self.near = self.add_endpoint("near", PLAIN_SERVICE, event_count=0)
        self.far = self.add_endpoint("far", PLAIN_SERVICE, event_count=0, domain="b")
        front = await self.start_front()
        await self.ask(front, UNSAFE_PATH)
        self.assertThat(self.near.runs, HasLength(1))
        return front

    def change_during_pause(self, kind, name, spec):
        """Write an object that a paused host does not learn of from its watch."""
        self.store.withhold_changes = True
        self.store.put(kind, name, spec)
        self.pause_process()
        self.store.withhold_changes = False

    @gen_test(timeout=60)
    async def test_endpoint_that_left_during_a_pause_gets_no_request(self):
        """Guards against a host that goes on with endpoints of before its pause."""
        front = await self.start()
        entry = self.store.get("servers", "near")["Spec"]
        asked = asyncio.create_task(self.ask(front, UNSAFE_PATH))
        self.change_during_pause("servers", "near", {**entry, "State": "draining"})
        self.assertThat((await asked).code, Equals(200))
        self.assertThat(self.near.runs, HasLength(1))
        self.assertThat(self.far.runs, HasLength(1))

    @gen_test(timeout=60)
    async def test_key_that_was_withdrawn_during_a_pause_is_refused(self):
        """Guards against a host that accepts keys of before its pause."""
        front = await self.start()
        asked = asyncio.create_task(self.ask(front, UNSAFE_PATH))
        tenants = [{"Name": "barge-1", "ApiKeys": ["key-2"]}]
        self.change_during_pause("config", "main", configuration(2, Tenants=tenants))
        self.assertThat((await asked).code, Equals(401))

    @gen_test(timeout=60)
    async def test_replies_from_before_a_pause_confirm_nothing(self):
        """Guards against replies that waited in a socket and count as new."""
        fronts = [await self.start_front(f"host-{n}") for n in range(4)]
        for front in fronts:
            await front.directory.refresh()
        relays = fronts[0].relay_order.relays("a")
        relayed = next(f for f in fronts if f.host.host_id not in relays)
        await eventually(lambda: relayed.store_link.relayed)
        call = relayed.peer_client.call

        async def call_before_a_pause(*args, **options):
            reply = await call(*args, **options)
            self.pause_process()
            return reply

        relayed.peer_client.call = call_before_a_pause
        exchange = relayed.domain_exchange
        answered_s = exchange.relay_answered_s
        count = await exchange._sync_relays(relays)
        self.assertThat(count, Equals(0))
        self.assertThat(exchange.relay_answered_s, Equals(answered_s))

    @gen_test(timeout=60)
    async def test_answer_of_the_store_from_before_a_pause_confirms_nothing(self):
        """Guards against a watch's answer that waited in a socket and counts as new."""
        front = await self.start_front()
        probe = front.domain_exchange._probe
        watch = front.store.watch
        answered = []

        async def watch_before_a_pause(*args, **options):
            changes = await watch(*args, **options)
            if not answered and args == (probe.kind,):
                self.io_loop.asyncio_loop.pause(2.0 * PAUSE_S)
                answered.append(front.store_link.probe_answered_s)
            return changes

        front.store.watch = watch_before_a_pause
        await eventually(lambda: answered)
        await self.pause(0.02)
        resumed_s = self.io_loop.asyncio_loop.time()
        self.assertThat(front.store_link.probe_answered_s, LessThan(resumed_s - 1.0))
        await eventually(lambda: front.pause_guard.confirmed, limit_s=0.5)

    @gen_test(timeout=60)
    async def test_changes_are_followed_though_each_answer_is_late(self):
        """Guards against a watch that drops late answers and asks for them again."""
        front = await self.start_front()
        watch = front.store.watch

        async def watch_with_late_answer(*args, **options):
            changes = await watch(*args, **options)
            if changes.entries:
                self.pause_process()
            return changes

        front.store.watch = watch_with_late_answer
        self.add_endpoint("late", PLAIN_SERVICE, event_count=0)
        await eventually(lambda: "late" in front.view.endpoints, limit_s=60.0)
        self.store.remove("servers", "late")
        await eventually(
            lambda: front.view.endpoints["late"].gone_at_s is not None, limit_s=60.0
        )

    @gen_test(timeout=60)
    async def test_answer_older_than_what_was_relayed_is_dropped(self):
        """Guards against a late answer that takes back what is known by then."""
        front = await self.start_front()
        follower = front.domain_exchange._followers["servers"]
        watch = front.store.watch

        change = follower._sink.change
        applied = []

        def record_change(entries):
            applied.extend(entry.deleted for entry in entries)
            change(entries)

        async def watch_beside_a_relay(kind, **options):
            changes = await watch(kind, **options)
            if kind == "servers" and len(changes.entries) == 1:
                self.store.remove("servers", "old")
                removal = replace(
                    changes.entries[0], revision=self.store.revision, deleted=True
                )
                follower.apply_relayed([removal], self.store.revision)
            return changes

        follower._sink.change = record_change
        front.store.watch = watch_beside_a_relay
        self.add_endpoint("old", PLAIN_SERVICE, event_count=0)
        await self.pause(8.0)
        self.assertThat(applied, Equals([True]))
        self.assertThat(follower.revision, Equals(self.store.revision))
        self.assertNotIn("old", follower.entries)

    @gen_test(timeout=60)
    async def test_pause_while_the_store_is_away_delays_requests_briefly(self):
        """Guards against a host that refuses requests since the store is away."""
        front = await self.start()
        self.store.silent = True
        self.pause_process()
        started_s = self.io_loop.asyncio_loop.time()
        response = await self.ask(front, UNSAFE_PATH)
        self.assertThat(response.code, Equals(200))
        elapsed_s = self.io_loop.asyncio_loop.time() - started_s
        self.assertThat(elapsed_s, LessThan(0.7))
