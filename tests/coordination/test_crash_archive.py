"""Tests of the crash reports in the platform's store."""

import asyncio

from testtools.matchers import Equals
from tornado.testing import gen_test

from sesameknot.clock import ManualClock
from sesameknot.coordination.crash_archive import WRITE_LIMIT_COUNT, CrashArchive
from sesameknot.platform import CRASH_KIND, StoreClient
from sesameknot.policy.crash_guard import CrashGuard
from sesameknot.settings.front import StoreSettings
from tests.front_world import FrontWorld

REQUEST = 0xFF
REPORT_NAME = "request-00000000000000ff"


class CrashArchiveTest(FrontWorld):
    def setUp(self):
        super().setUp()
        self.clock = ManualClock()
        self.store_answers = True
        self.client_of_store = StoreClient(self.store_address)
        self.closing(self.client_of_store.close)

    def new_host(self):
        """Return the guard and the archive of a host that has just started."""
        guard = CrashGuard(clock=self.clock, limit_count=2)
        archive = CrashArchive(
            {"request": guard},
            store=self.client_of_store,
            settings=StoreSettings(),
            host_count=lambda: 1,
            store_answers=lambda: self.store_answers,
            clock=self.clock,
        )
        return guard, archive

    def crash(self, guard):
        """Crash as many endpoints as it takes to refuse the request."""
        for number in range(2):
            guard.record(REQUEST, f"e{number}")

    @gen_test
    async def test_started_host_refuses_what_the_store_holds(self):
        """Guards against a refusal that ends with the processes of all hosts."""
        guard, archive = self.new_host()
        self.crash(guard)
        await archive.write_reports()
        started_guard, started_archive = self.new_host()
        await started_archive.read_reports()
        self.assertTrue(started_guard.refuses(REQUEST))

    @gen_test
    async def test_report_is_written_once_and_deleted_when_it_expires(self):
        """Guards against calls for known reports, and reports that stay for ever."""
        guard, archive = self.new_host()
        self.crash(guard)
        await archive.write_reports()
        call_count = self.client_of_store.call_count
        await archive.write_reports()
        self.assertThat(self.client_of_store.call_count, Equals(call_count))
        self.clock.advance(guard.retention_s)
        await archive.write_reports()
        self.assertThat(self.store.get(CRASH_KIND, REPORT_NAME), Equals(None))

    @gen_test
    async def test_report_is_deleted_once_the_request_is_known_as_sound(self):
        """Guards against a refusal that comes back with the next host that starts.

        The host that wrote the report is gone; another one knows it.
        """
        writer, writer_archive = self.new_host()
        self.crash(writer)
        await writer_archive.write_reports()
        guard, archive = self.new_host()
        await archive.read_reports()
        await archive.write_reports()
        self.assertNotEqual(self.store.get(CRASH_KIND, REPORT_NAME), None)
        self.clock.advance(1.0)
        guard.record_answer(REQUEST)
        await archive.write_reports()
        self.assertThat(self.store.get(CRASH_KIND, REPORT_NAME), Equals(None))

    @gen_test
    async def test_many_refusals_are_written_a_few_at_a_time_the_worst_first(self):
        """Guards against a burst of writes when many requests meet crashes."""
        guard, archive = self.new_host()
        for request in range(20):
            for number in range(2 + (request == 13)):
                guard.record(request, f"e{number}")
        call_count = self.client_of_store.call_count
        written_count = await archive.write_reports()
        self.assertThat(written_count, Equals(WRITE_LIMIT_COUNT))
        self.assertThat(
            self.client_of_store.call_count - call_count, Equals(WRITE_LIMIT_COUNT)
        )
        self.assertNotEqual(self.store.get(CRASH_KIND, f"request-{13:016x}"), None)

    @gen_test
    async def test_second_host_that_saw_a_crash_keeps_the_first_report(self):
        """Guards against hosts that write and delete each other's reports."""
        for _ in range(2):
            guard, archive = self.new_host()
            self.crash(guard)
            await archive.write_reports()
        self.clock.advance(guard.retention_s)
        await archive.write_reports()
        self.assertNotEqual(self.store.get(CRASH_KIND, REPORT_NAME), None)

    @gen_test
    async def test_no_call_is_made_while_the_store_does_not_answer(self):
        """Guards against calls of all hosts in a long outage."""
        self.store_answers = False
        _, archive = self.new_host()
        task = asyncio.create_task(archive.run())
        self.closing(task.cancel)
        await asyncio.sleep(0.1)
        self.assertThat(self.client_of_store.call_count, Equals(0))

    @gen_test
    async def test_unreadable_report_harms_no_other(self):
        """Guards against one wrong object that keeps all reports from a host."""
        guard, archive = self.new_host()
        self.crash(guard)
        await archive.write_reports()
        for name in ("request-x", "other-1", "noname"):
            self.store.put(CRASH_KIND, name, {"EndpointIds": [], "LastCrashMs": 1})
        self.store.put(CRASH_KIND, "a", {"EndpointIds": 5})
        started_guard, started_archive = self.new_host()
        await started_archive.read_reports()
        self.assertTrue(started_guard.refuses(REQUEST))
