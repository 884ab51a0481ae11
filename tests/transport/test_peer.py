"""Tests of the peer client and the peer server."""

import asyncio
import socket
import struct

from testtools.matchers import Contains, Equals, Is
from tornado.iostream import IOStream
from tornado.tcpserver import TCPServer
from tornado.testing import gen_test

from sesameknot.clock import ManualClock
from sesameknot.errors import ConnectError, DeadlineError, RouterError
from sesameknot.protocol.messages import Done, Ping, StatsRequest
from sesameknot.transport._framing import write_frame
from sesameknot.transport.peer_client import PeerClient
from sesameknot.transport.peer_server import PeerServer
from tests.protocol.test_compatibility import schema_with_new_kind
from tests.support import LoopTestCase, eventually
from tests.virtual_time import LoopClock, VirtualTimeMixin


class _StrictClock(LoopClock):
    """Clock that never shows the same time twice, like that of a machine."""

    STEP_S = 1e-6

    def __init__(self, loop):
        super().__init__(loop)
        self._reading_count = 0

    def monotonic_s(self):
        self._reading_count += 1
        return super().monotonic_s() + self._reading_count * self.STEP_S


class PeerTest(VirtualTimeMixin, LoopTestCase):
    def make_clock(self):
        return _StrictClock(self.io_loop.asyncio_loop)

    def _serve(self):
        server = PeerServer("server")
        return server, self.listen(server)

    @gen_test
    async def test_answers_match_their_calls_when_out_of_order(self):
        """Guards against a reply that is matched to another call."""
        server, address = self._serve()
        first_may_reply = asyncio.Event()

        @server.handle(StatsRequest)
        async def handler(message):
            if message.requester == "first":
                await first_may_reply.wait()
            return Done(detail=message.requester)

        first = asyncio.create_task(
            self.client.call(address, StatsRequest(requester="first"), expect=Done)
        )
        second = await self.client.call(
            address, StatsRequest(requester="second"), expect=Done
        )
        first_may_reply.set()
        self.assertThat(second.detail, Equals("second"))
        self.assertThat((await first).detail, Equals("first"))

    @gen_test
    async def test_a_refused_connection_is_known_not_to_have_sent(self):
        """Guards against an unknown outcome when the connection was refused."""
        with self.assertRaises(ConnectError):
            await self.client.call("127.0.0.1:1", Ping(), expect=Done)

    @gen_test
    async def test_a_silent_connection_is_replaced(self):
        """Guards against a pool that keeps using an unresponsive connection."""
        streams = []

        class SilentServer(TCPServer):
            async def handle_stream(self, stream: IOStream, address):
                streams.append(stream)

        address = self.listen(SilentServer())
        for _ in range(2):
            with self.assertRaises(DeadlineError):
                await self.client.call(address, Ping(), expect=Done, timeout_s=0.05)
        self.assertThat(len(streams), Equals(2))

    @gen_test
    async def test_departed_hosts_are_forgotten(self):
        """Guards against a pool that keeps state for hosts that have left."""
        clock = ManualClock()
        client = PeerClient("client", clock=clock)
        self.closing(client.close)
        server, address = self._serve()

        @server.handle(Ping)
        async def handler(message):
            return Done()

        await client.call(address, Ping(), expect=Done)
        with self.assertRaises(ConnectError):
            await client.call("127.0.0.1:1", Ping(), expect=Done)
        client.close_idle()
        self.assertThat(client.tracked_address_count, Equals(1))
        clock.advance(60.0)
        client.close_idle()
        self.assertThat(client.tracked_address_count, Equals(0))

    @gen_test
    async def test_an_oversized_frame_closes_only_its_connection(self):
        """Guards against a length prefix that makes the server buffer without bound."""
        server, address = self._serve()

        @server.handle(Ping)
        async def handler(message):
            return Done()

        port = int(address.rpartition(":")[2])
        stream = IOStream(socket.socket())
        await stream.connect(("127.0.0.1", port))
        await stream.write(struct.pack("!I", 2**31))
        self.assertThat(await stream.read_until_close(), Equals(b""))
        reply = await self.client.call(address, Ping(), expect=Done)
        self.assertThat(isinstance(reply, Done), Is(True))

    @gen_test
    async def test_a_handler_error_reaches_the_caller_with_its_step(self):
        """Guards against a call that gets no reply when its handler fails."""
        server, address = self._serve()

        @server.handle(Ping)
        async def handler(message):
            raise RouterError("no room", step="admit")

        with self.assertRaises(RouterError) as caught:
            await self.client.call(address, Ping(), expect=Done)
        self.assertThat(caught.exception.step, Equals("admit"))

    @gen_test
    async def test_an_unknown_message_is_refused_on_an_open_connection(self):
        """Guards against a later build's message that ends the calls beside it."""
        server, address = self._serve()
        may_reply = asyncio.Event()

        @server.handle(Ping)
        async def handler(message):
            await may_reply.wait()
            return Done()

        waiting = asyncio.create_task(self.client.call(address, Ping(), expect=Done))
        await eventually(lambda: self.client._connections)
        message = schema_with_new_kind().Envelope.new_message(callId=900, sender="x")
        message.init("later")
        data = message.to_bytes_packed()
        (connection,) = self.client._connections.values()
        answered = asyncio.get_running_loop().create_future()
        connection._pending_replies[900] = answered
        for _ in range(3):
            await write_frame(connection._stream, data, peer=address)
        reply = await answered
        self.assertThat(type(reply).__name__, Equals("Failure"))
        self.assertThat(reply.message, Contains("not supported"))
        may_reply.set()
        self.assertThat(await waiting, Equals(Done()))
