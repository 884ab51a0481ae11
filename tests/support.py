"""Helpers shared by the tests."""

import asyncio
from collections.abc import Callable
from pathlib import Path
from tempfile import TemporaryDirectory

from testtools import TestCase
from tornado.tcpserver import TCPServer
from tornado.testing import AsyncTestCase, bind_unused_port

from sesameknot.clock import Clock, SystemClock
from sesameknot.transport.peer_client import PeerClient


class LoopTestCase(AsyncTestCase, TestCase):
    """Test case with an event loop; servers and clients close before the loop."""

    def setUp(self):
        super().setUp()
        self._closers: list[Callable[[], object]] = []
        self.client = PeerClient("client", clock=self.make_clock())
        self.closing(self.client.close)

    def make_clock(self) -> Clock:
        """Return the clock of the code under test."""
        return SystemClock()

    def closing(self, close: Callable[[], object]) -> None:
        """Call ``close`` at the end of the test, in reverse order."""
        self._closers.append(close)

    def make_directory(self) -> Path:
        """Return a directory that exists until the end of the test."""
        directory = TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        return Path(directory.name)

    def tearDown(self):
        for close in reversed(self._closers):
            close()
        super().tearDown()

    def listen(self, server: TCPServer) -> str:
        """Start ``server`` on an unused port and return its address."""
        sock, port = bind_unused_port()
        server.add_socket(sock)
        self.closing(server.stop)
        return f"127.0.0.1:{port}"


async def eventually(
    condition: Callable[[], object], *, limit_s: float = 20.0, interval_s: float = 0.01
) -> None:
    """Wait until ``condition`` holds, or raise TimeoutError after ``limit_s``.

    The default limit only ends a test that hangs.
    """
    async with asyncio.timeout(limit_s):
        while not condition():
            await asyncio.sleep(interval_s)
