"""Tests of the log messages of libraries."""

import io
import json
import logging

import structlog
from testtools import TestCase
from testtools.matchers import Equals, HasLength

from sesameknot.apps._logging import configure_logging


class LibraryLogTest(TestCase):
    def setUp(self):
        super().setUp()
        root = logging.getLogger()
        handlers = list(root.handlers)
        self.addCleanup(lambda: root.handlers.__setitem__(slice(None), handlers))
        self.addCleanup(structlog.reset_defaults)

    def test_library_message_is_one_structured_line(self):
        """Guards against library tracebacks, which can block and cannot be searched."""
        written = io.StringIO()
        configure_logging("info", writer=written)
        try:
            raise ConnectionResetError("reset")
        except ConnectionResetError:
            logging.getLogger("tornado.application").exception("after cancel")
        lines = written.getvalue().splitlines()
        self.assertThat(lines, HasLength(1))
        line = json.loads(lines[0])
        self.assertThat(line["event"], Equals("library_message"))
        self.assertThat(line["error"], Equals("ConnectionResetError('reset')"))
