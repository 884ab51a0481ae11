"""Tests of the server delegate for callers' connections."""

import socket
import tracemalloc

from testtools import TestCase
from testtools.matchers import Equals, LessThan
from tornado.http1connection import HTTP1Connection, HTTP1ServerConnection
from tornado.httputil import HTTPHeaders, RequestStartLine
from tornado.iostream import IOStream
from tornado.testing import AsyncTestCase

from sesameknot.transport.caller_server import CallerConnections


class CallerConnectionsTest(AsyncTestCase, TestCase):
    def _read(self, *, closing):
        """Read one request and return the paths that were accepted."""
        accepted = []
        callers = CallerConnections(lambda request, _: accepted.append(request.path))
        reader = self._start_reader(callers)
        if closing:
            callers.close_idle()
        self._receive_head(reader)
        reader.finish()
        return accepted

    def _start_reader(self, callers):
        server_socket, client_socket = socket.socketpair()
        self.addCleanup(client_socket.close)
        stream = IOStream(server_socket)
        self.addCleanup(stream.close)
        return callers.start_request(
            HTTP1ServerConnection(stream), HTTP1Connection(stream, False)
        )

    def _receive_head(self, reader):
        reader.headers_received(
            RequestStartLine("POST", "/lookup/x", "HTTP/1.1"),
            HTTPHeaders({"Host": "callers.example"}),
        )

    def _peak_memory_bytes(self, size_bytes, part_bytes):
        """Return the peak memory of reading a body that arrives in parts."""
        accepted = []
        reader = self._start_reader(
            CallerConnections(lambda *args: accepted.append(args))
        )
        self._receive_head(reader)
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        for number in range(size_bytes // part_bytes):
            reader.data_received(bytes([number % 256]) * part_bytes)
        reader.finish()
        self.assertThat(len(accepted), Equals(1))
        return tracemalloc.get_traced_memory()[1]

    def test_large_body_is_held_once(self):
        """Guards against a whole second copy of a body."""
        size_bytes = 4 * 1024 * 1024
        peak_bytes = self._peak_memory_bytes(size_bytes, 64 * 1024)
        self.assertThat(peak_bytes, LessThan(1.5 * size_bytes))

    def test_body_in_small_parts_takes_no_multiple_of_its_size(self):
        """Guards against the overhead of an object for each part of a slow body."""
        size_bytes = 512 * 1024
        peak_bytes = self._peak_memory_bytes(size_bytes, 2)
        self.assertThat(peak_bytes, LessThan(1.5 * size_bytes))

    def test_whole_request_is_accepted(self):
        """Guards against requests that are read but never served."""
        self.assertThat(self._read(closing=False), Equals(["/lookup/x"]))

    def test_request_that_crosses_the_close_is_not_accepted(self):
        """Guards against serving a request whose connection is already closed."""
        self.assertThat(self._read(closing=True), Equals([]))
