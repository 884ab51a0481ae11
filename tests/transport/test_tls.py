"""Tests of TLS contexts on peer connections."""

import tempfile
from pathlib import Path

import msgspec
from testtools.matchers import Contains, Equals, IsInstance, Not
from tornado.testing import gen_test

from sesameknot.clock import SystemClock
from sesameknot.errors import DeadlineError, SettingsError, TransportError
from sesameknot.protocol.messages import Done, StatsRequest
from sesameknot.transport.peer_client import PeerClient
from sesameknot.transport.peer_server import PeerServer
from sesameknot.transport.tls import client_context, server_context
from tests.support import LoopTestCase
from tests.transport.certificates import Authority


class TlsTest(LoopTestCase):
    def setUp(self):
        super().setUp()
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.directory = Path(directory.name)
        self.authority = Authority(self.directory, "authority")
        self.other_authority = Authority(self.directory, "other")

    def serve(self, settings):
        server = PeerServer("server", tls=server_context(settings))

        @server.handle(StatsRequest)
        async def handler(message):
            return Done(detail="served")

        return self.listen(server)

    async def call(self, address, tls, timeout_s=4.0):
        client = PeerClient("client", clock=SystemClock(), tls=tls)
        self.closing(client.close)
        reply = await client.call(
            address, StatsRequest(), expect=Done, timeout_s=timeout_s
        )
        return reply.detail

    @gen_test
    async def test_both_sides_with_trusted_certificates_talk(self):
        """Guards against contexts that reject certificates of their own authority."""
        address = self.serve(self.authority.issue("server"))
        detail = await self.call(
            address, client_context(self.authority.issue("client"))
        )
        self.assertThat(detail, Equals("served"))

    @gen_test
    async def test_a_client_without_a_trusted_certificate_is_refused(self):
        """Guards against a peer port that anyone on the network can use."""
        address = self.serve(self.authority.issue("server"))
        untrusted = msgspec.structs.replace(
            self.other_authority.issue("stranger"),
            authority_file=str(self.directory / "authority.pem"),
        )
        trusted = client_context(self.authority.issue("client"))
        anonymous = type(trusted)(trusted.protocol)
        anonymous.load_verify_locations(str(self.directory / "authority.pem"))
        for tls in (client_context(untrusted), anonymous):
            with self.assertRaises(TransportError) as caught:
                await self.call(address, tls)
            # The call ends with the rejected handshake, not at its deadline.
            self.assertThat(caught.exception, Not(IsInstance(DeadlineError)))
        # Without TLS, the server waits for a handshake until the call times out.
        with self.assertRaises(TransportError):
            await self.call(address, None, timeout_s=0.5)

    @gen_test
    async def test_a_server_that_is_not_the_one_called_is_refused(self):
        """Guards against servers of another authority or with another IP address."""
        tls = client_context(self.authority.issue("client"))
        other_authority_server = self.serve(self.other_authority.issue("server"))
        other_address_server = self.serve(
            self.authority.issue("moved", address="10.0.0.9")
        )
        for address in (other_authority_server, other_address_server):
            with self.assertRaises(TransportError):
                await self.call(address, tls)

    def test_a_missing_file_is_named(self):
        """Guards against an error that does not say which file is wrong."""
        settings = msgspec.structs.replace(
            self.authority.issue("server"), key_file="/nowhere/server.key"
        )
        with self.assertRaises(SettingsError) as caught:
            server_context(settings)
        self.assertThat(str(caught.exception), Contains("/nowhere/server.key"))
