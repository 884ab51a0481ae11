"""Tests of the platform stand-in through the project's own client."""

import asyncio
import json

from testtools import TestCase
from testtools.matchers import Equals, Is
from tornado.httpclient import AsyncHTTPClient
from tornado.httpserver import HTTPServer
from tornado.testing import gen_test

from sesameknot.clock import ManualClock
from sesameknot.errors import ConflictError, PlatformError
from sesameknot.standins.platform import (
    InProcessPlatform,
    PlatformCore,
    make_application,
)
from sesameknot.transport.platform_client import PlatformClient
from tests.support import LoopTestCase, eventually


class PlatformOverHttpTest(LoopTestCase):
    def _start(self, **options):
        self.core = PlatformCore(clock=ManualClock(), **options)
        address = self.listen(HTTPServer(make_application(self.core)))
        self.url = f"http://{address}"
        platform = PlatformClient(self.url, timeout_s=5.0)
        self.closing(platform.close)
        return platform

    async def _post(self, name, body):
        await AsyncHTTPClient().fetch(
            f"{self.url}/standin/{name}", method="POST", body=json.dumps(body)
        )

    @gen_test
    async def test_a_second_writer_learns_who_wrote(self):
        """Guards against a conditional update that overwrites another one."""
        platform = self._start()
        await platform.put("settings/a", 1, expected_version=0, write_id="w1")
        with self.assertRaises(ConflictError) as caught:
            await platform.put("settings/a", 2, expected_version=0, write_id="w2")
        self.assertThat(caught.exception.version, Equals(1))
        self.assertThat("'w1'" in str(caught.exception), Is(True))
        self.assertThat((await platform.get("settings/a")).value, Equals(1))

    @gen_test
    async def test_a_lost_write_answer_is_settled_by_reading_back(self):
        """Guards against a write that took effect but is reported as failed."""
        platform = self._start()
        await self._post("lose_write_answers", {"count": 1})
        stored = await platform.put_with_read_back(
            "domains/d", {"state": "out"}, expected_version=0, write_id="w1"
        )
        self.assertThat((stored.version, stored.write_id), Equals((1, "w1")))

    @gen_test
    async def test_one_call_reads_several_prefixes(self):
        """Guards against a watcher that needs a call per kind or reads all bills."""
        platform = self._start()
        for key in ("settings/a", "bills/b", "domains/c"):
            await platform.put(key, 0, expected_version=0, write_id="w")
        expected, prefixes = ["settings/a", "domains/c"], ("settings/", "domains/")
        listed = await platform.list(prefixes)
        self.assertThat([o.key for o in listed.objects], Equals(expected))
        batch = await platform.watch(prefixes, since=0, timeout_s=4.0)
        self.assertThat([o.key for o in batch.objects], Equals(expected))

    @gen_test
    async def test_a_waiting_watch_gets_changes_and_old_ones_are_gone(self):
        """Guards against a watch that misses a change or resumes over a gap."""
        platform = self._start(history_count=2)
        watch = asyncio.create_task(platform.watch("a/", since=0, timeout_s=4.0))
        await eventually(lambda: self.core.counts.calls["watch"] == 1)
        await platform.put("b/1", 0, expected_version=0, write_id="w")
        stored = await platform.put("a/1", 0, expected_version=0, write_id="w")
        batch = await watch
        self.assertThat(batch.objects, Equals([stored]))
        await platform.delete("a/1", expected_version=2)
        batch = await platform.watch("a/", since=2, timeout_s=4.0)
        self.assertThat([o.deleted for o in batch.objects], Equals([True]))
        self.assertThat(await platform.get("a/1"), Is(None))
        gone = await platform.watch("a/", since=0, timeout_s=0.0)
        self.assertThat(gone.reset, Is(True))
        self.assertThat(self.core.counts.calls["watch"], Equals(3))

    @gen_test
    async def test_an_outage_cuts_waiting_watches_and_ends(self):
        """Guards against an outage that spares calls that were already waiting."""
        platform = self._start()
        watch = asyncio.create_task(platform.watch("a/", since=0, timeout_s=4.0))
        await eventually(lambda: self.core.counts.calls["watch"] == 1)
        await self._post("outage", {"mode": "refuse"})
        with self.assertRaises(PlatformError):
            await watch
        with self.assertRaises(PlatformError):
            await platform.get("a/1")
        await self._post("outage", {"mode": "none"})
        self.assertThat(await platform.get("a/1"), Is(None))

    @gen_test
    async def test_values_up_to_one_megabyte_are_held(self):
        """Guards against a limit below the one the platform promises."""
        platform = self._start()
        value = "x" * 999_900
        await platform.put("bills/b", value, expected_version=0, write_id="w")
        self.assertThat((await platform.get("bills/b")).value, Equals(value))


class CoreTest(TestCase):
    def test_calls_beyond_the_limit_are_refused_until_time_passes(self):
        """Guards against a stand-in that hides too many platform calls."""
        clock = ManualClock()
        core = PlatformCore(clock=clock, reads_per_s=3)
        platform = InProcessPlatform(core)

        async def burst():
            results = await asyncio.gather(
                *(platform.get("a") for _ in range(5)), return_exceptions=True
            )
            return [isinstance(result, PlatformError) for result in results]

        self.assertThat(asyncio.run(burst()), Equals([False, False, False, True, True]))
        clock.advance(1.0)
        self.assertThat(asyncio.run(burst()).count(False), Equals(3))
        self.assertThat(core.counts.limited["get"], Equals(4))

    def test_old_data_and_the_host_list_lag_behind_writes(self):
        """Guards against readers that take the platform's lists as present state."""
        clock = ManualClock()
        core = PlatformCore(clock=clock, host_lag_s=2.0)
        platform = InProcessPlatform(core)

        async def check():
            await platform.put("a", 1, expected_version=0, write_id="w1")
            core.switch(old_data=True)
            await platform.put("a", 2, expected_version=1, write_id="w2")
            old = await platform.get("a")
            core.switch(old_data=False)
            core.set_host("h1", "10.0.0.1:1")
            before = await platform.hosts()
            clock.advance(2.0)
            after = await platform.hosts()
            return old.value, (await platform.get("a")).value, before, after

        old, new, before, after = asyncio.run(check())
        self.assertThat((old, new, before), Equals((1, 2, [])))
        self.assertThat([host.host_id for host in after], Equals(["h1"]))
