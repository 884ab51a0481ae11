"""Tests of SIGHUP in the last moments of a front process."""

import asyncio
import os
import signal
from pathlib import Path

from testtools import TestCase
from testtools.matchers import Equals, Not

from sesameknot.apps.front import HostSettingsWatcher, ignore_hangup


class HangupTest(TestCase):
    def setUp(self):
        super().setUp()
        before = signal.getsignal(signal.SIGHUP)
        self.addCleanup(signal.signal, signal.SIGHUP, before)

    def test_hangup_after_the_event_loop_has_closed_ends_no_process(self):
        """Guards against a planned stop that ends with the signal's default action.

        The event loop resets the signals that it handles when it closes.
        """

        async def serve():
            HostSettingsWatcher(Path("unused"), front=None)

        asyncio.run(serve())
        self.assertThat(signal.getsignal(signal.SIGHUP), Not(Equals(signal.SIG_DFL)))
        os.kill(os.getpid(), signal.SIGHUP)
        ignore_hangup()
        # The interpreter resets handlers at its end, but not this one.
        self.assertThat(signal.getsignal(signal.SIGHUP), Equals(signal.SIG_IGN))

    def test_hangup_requests_a_reload(self):
        """Guards against a signal that is taken and does nothing."""

        async def serve():
            watcher = HostSettingsWatcher(Path("unused"), front=None)
            os.kill(os.getpid(), signal.SIGHUP)
            async with asyncio.timeout(1.0):
                await watcher.reload_requested.wait()

        asyncio.run(serve())
