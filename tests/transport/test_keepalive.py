"""Tests of the options with which the kernel ends silent connections."""

import socket

from testtools import TestCase
from testtools.matchers import Equals
from tornado.iostream import IOStream
from tornado.testing import AsyncTestCase, gen_test

from sesameknot.transport._keepalive import enable_keepalive

# A sound peer may fall silent for a second or so.
SILENCE_MS = 1500
# Time after which a dead store must be noticed, so that other news is in time.
LIMIT_MS = 4000


class KeepaliveTest(AsyncTestCase, TestCase):
    @gen_test
    async def test_silence_of_a_second_ends_no_connection(self):
        """Guards against a sound connection ended by its user time-out or probes.

        Where a user time-out is set, it decides when probes give up, whatever their
        count, so both have to outlast a short silence and notice a dead peer in time.
        """
        with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as sock:
            stream = IOStream(sock)
            enable_keepalive(stream)

            def option(name):
                return sock.getsockopt(socket.IPPROTO_TCP, name)

            idle_s = option(socket.TCP_KEEPIDLE)
            probes_s = option(socket.TCP_KEEPINTVL) * option(socket.TCP_KEEPCNT)
            probes_ms = 1000 * (idle_s + probes_s)
            user_timeout_ms = option(socket.TCP_USER_TIMEOUT)
            stream.close()
        for ends_ms in (probes_ms, user_timeout_ms):
            self.assertThat(SILENCE_MS < ends_ms <= LIMIT_MS, Equals(True), ends_ms)
        # The probes must have been sent before the user time-out counts.
        self.assertThat(user_timeout_ms > 1000 * idle_s, Equals(True))
