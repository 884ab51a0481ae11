"""Tests of the bounded log writer."""

import asyncio
import os

from testtools.matchers import Equals, GreaterThan, LessThan
from tornado.testing import gen_test

from sesameknot.apps._logging import BoundedLogWriter
from tests.support import LoopTestCase

LINE = "x" * 200 + "\n"


class BoundedLogWriterTest(LoopTestCase):
    def setUp(self):
        super().setUp()
        self.read_end, write_end = os.pipe()
        self.addCleanup(os.close, self.read_end)
        os.set_blocking(self.read_end, False)
        self.file = os.fdopen(write_end, "w")
        self.addCleanup(self.file.close)

    def read(self):
        try:
            return os.read(self.read_end, 1 << 20)
        except BlockingIOError:
            return b""

    @gen_test
    async def test_reader_that_does_not_read_blocks_nobody(self):
        """Guards against a process that blocks on its log, and an unbounded queue."""
        writer = BoundedLogWriter(self.file, lines_per_s=100_000, queue_count=50)
        for _ in range(5000):
            writer.write(LINE)
        self.assertThat(writer.dropped_count, GreaterThan(4000))
        received = b""
        for _ in range(50):
            received += self.read()
            await asyncio.sleep(0.001)
        self.assertThat(received.count(b"\n"), LessThan(5000 - 4000))
        writer.write(LINE)
        await asyncio.sleep(0.01)
        self.assertIn(b"log_lines_dropped", self.read())

    @gen_test
    async def test_volume_is_bounded(self):
        """Guards against a log volume that grows with the load."""
        writer = BoundedLogWriter(self.file, lines_per_s=20, queue_count=1000)
        for _ in range(500):
            writer.write(LINE)
        self.assertThat(self.read().count(b"\n"), Equals(20))
        self.assertThat(writer.dropped_count, Equals(480))
