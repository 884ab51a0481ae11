"""Tests of the server delegate for callers' connections."""

import socket

from testtools import TestCase
from testtools.matchers import Equals
from tornado.http1connection import HTTP1Connection, HTTP1ServerConnection
from tornado.httputil import HTTPHeaders, RequestStartLine
from tornado.iostream import IOStream
from tornado.testing import AsyncTestCase

from sesameknot.transport.caller_server import CallerConnections


class CallerConnectionsTest(AsyncTestCase, TestCase):
    def _read(self, *, closing):
        """Read one request and return the paths that were accepted."""
        accepted = []
        callers = CallerConnections(lambda request: accepted.append(request.path))
        server_socket, client_socket = socket.socketpair()
        self.addCleanup(client_socket.close)
        stream = IOStream(server_socket)
        self.addCleanup(stream.close)
        reader = callers.start_request(
            HTTP1ServerConnection(stream), HTTP1Connection(stream, False)
        )
        if closing:
            callers.close_idle()
        reader.headers_received(
            RequestStartLine("GET", "/lookup/x", "HTTP/1.1"),
            HTTPHeaders({"Host": "callers.example"}),
        )
        reader.finish()
        return accepted

    def test_whole_request_is_accepted(self):
        """Guards against requests that are read but never served."""
        self.assertThat(self._read(closing=False), Equals(["/lookup/x"]))

    def test_request_that_crosses_the_close_is_not_accepted(self):
        """Guards against serving a request whose connection is already closed."""
        self.assertThat(self._read(closing=True), Equals([]))
