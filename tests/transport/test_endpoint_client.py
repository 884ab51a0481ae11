"""Tests of the client of endpoints."""

import asyncio
import gc
import socket
import struct
import weakref

from testtools.matchers import Contains, Equals, Is, IsInstance
from tornado.tcpserver import TCPServer
from tornado.testing import bind_unused_port, gen_test

from sesameknot.clock import SystemClock
from sesameknot.errors import (
    ConnectError,
    DeadlineError,
    RouterError,
    TransportError,
)
from sesameknot.protocol.chat import ChatMessage, ChatRequest, Usage, build_request
from sesameknot.protocol.orders import EngineOrder, OrderFencedError
from sesameknot.standins.endpoint import EndpointStandin, EngineOptions, answer_text
from sesameknot.transport._exchange import BUFFER_LIMIT_BYTES
from sesameknot.transport.endpoint_client import (
    CallLimits,
    EndpointCall,
    EndpointClient,
    EndpointStatusError,
)
from tests.support import LoopTestCase, eventually

CHAT = ChatRequest(
    model="m", messages=(ChatMessage("user", "hi"),), stream=True, max_tokens=20
)


class EndpointClientTest(LoopTestCase):
    def _start(self, **options):
        standin = EndpointStandin(EngineOptions(**options))
        server = standin.server()
        sock, port = bind_unused_port()
        server.add_socket(sock)
        self.closing(server.stop)
        self.endpoint_client = EndpointClient(clock=SystemClock())
        self.closing(self.endpoint_client.close)
        self.url = f"http://127.0.0.1:{port}"
        return standin.engine

    def _chat_call(self, *, offset=0, limits=None, before_send=None):
        return EndpointCall(
            url=self.url,
            path="/v1/chat/completions",
            headers={
                "X-Request-Id": "r1",
                "X-Version": "v1",
                "X-Resume-Offset": str(offset),
            },
            body=build_request(CHAT),
            limits=limits or CallLimits(),
            before_send=before_send,
        )

    def _plain_call(self, **values):
        return EndpointCall(url=self.url, path="/bookings", body=b"{}", **values)

    async def _switch(self, name, body=b"{}"):
        await self.endpoint_client.call(
            EndpointCall(url=self.url, path=f"/standin/{name}", body=body)
        )

    @gen_test
    async def test_a_stream_on_a_silent_connection_is_followed_on_a_new_one(self):
        """Guards against waiting until the deadline on a connection without data."""
        engine = self._start(token_s=0.01)
        limits = CallLimits(
            first_byte_timeout_s=3600.0, progress_timeout_s=0.2, deadline_s=3600.0
        )
        tokens = []
        with self.assertRaises(DeadlineError) as caught:
            async with self.endpoint_client.stream(
                self._chat_call(limits=limits)
            ) as stream:
                async for chunk in stream:
                    tokens.append(chunk.text)
                    if len(tokens) == 3:
                        await self._switch("silent")
        self.assertThat(caught.exception.step, Equals("progress"))
        # The engine detects that the connection was closed.
        await eventually(lambda: engine.record.executions[0].outcome != "running")
        call = self._chat_call(limits=limits, offset=len(tokens))
        async with self.endpoint_client.stream(call) as stream:
            chunks = [chunk async for chunk in stream]
        text = "".join(tokens) + "".join(chunk.text for chunk in chunks)
        self.assertThat(text, Equals(answer_text("r1", "m", "v1", 20)))
        self.assertThat(chunks[-1].usage, Equals(Usage(1, 20)))

    @gen_test
    async def test_errors_tell_whether_the_request_may_have_been_sent(self):
        """Guards against "not run" after sending and "unknown" before sending."""
        engine = self._start(kind="plain")
        await self._switch("drop-answer")
        with self.assertRaises(TransportError) as caught:
            await self.endpoint_client.call(self._plain_call())
        self.assertThat(isinstance(caught.exception, ConnectError), Is(False))
        self.assertThat(len(engine.record.executions), Equals(1))
        self.url = "http://127.0.0.1:1"
        with self.assertRaises(ConnectError):
            await self.endpoint_client.call(self._plain_call())

    @gen_test
    async def test_a_closed_attempt_holds_nothing_until_its_time_limit(self):
        """Guards against bodies of ended requests that are kept until the deadline."""

        class Request:
            def before_send(self):
                pass

        self._start(kind="plain")
        request = Request()
        limits = CallLimits(deadline_s=3600.0)
        call = self._plain_call(limits=limits, before_send=request.before_send)
        exchange = self.endpoint_client.start_exchange(call)
        await exchange.read_headers()
        while await exchange.read():
            pass
        exchange.close()
        kept = weakref.ref(request)
        del request, call, exchange
        gc.collect()
        self.assertThat(kept(), Is(None))

    @gen_test
    async def test_a_refusal_at_the_moment_of_sending_sends_nothing(self):
        """Guards against a request that is sent after its grant expired."""
        engine = self._start(kind="plain")

        def refuse():
            raise RouterError("grant expired", step="grant")

        with self.assertRaises(RouterError) as caught:
            await self.endpoint_client.call(self._plain_call(before_send=refuse))
        self.assertThat(caught.exception.step, Equals("grant"))
        await self.endpoint_client.call(self._plain_call())
        self.assertThat(len(engine.record.executions), Equals(1))

    @gen_test
    async def test_an_answer_that_never_starts_ends_at_the_first_byte_deadline(self):
        """Guards against an endpoint that accepts a request and never answers."""
        self._start(kind="plain")
        await self._switch("delay", b'{"before_s": 3600}')
        limits = CallLimits(first_byte_timeout_s=0.1, deadline_s=3600.0)
        with self.assertRaises(DeadlineError) as caught:
            await self.endpoint_client.call(self._plain_call(limits=limits))
        self.assertThat(caught.exception.step, Equals("first byte"))

    @gen_test
    async def test_a_stream_that_breaks_off_is_an_error(self):
        """Guards against forwarding a truncated answer as a complete one."""
        self._start(token_s=0.01)
        tokens = []
        with self.assertRaises(TransportError) as caught:
            async with self.endpoint_client.stream(self._chat_call()) as stream:
                async for chunk in stream:
                    tokens.append(chunk.text)
                    if len(tokens) == 2:
                        await self._switch("cold", b'{"cold_s": 60}')
        self.assertThat(caught.exception, IsInstance(TransportError))
        self.assertThat(len(tokens) < 20, Is(True))

    @gen_test
    async def test_a_reset_connection_ends_the_attempt_at_once(self):
        """Guards against waiting for the deadline after the connection was reset."""
        self._start()

        class ResettingServer(TCPServer):
            async def handle_stream(self, stream, address):
                await stream.read_until(b"\r\n\r\n")
                chunk = b"data: x\n\n"
                await stream.write(b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n")
                await stream.write(chunk)
                linger = struct.pack("ii", 1, 0)
                stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
                stream.close()

        self.url = f"http://{self.listen(ResettingServer())}"
        limits = CallLimits(
            first_byte_timeout_s=3600.0, progress_timeout_s=3600.0, deadline_s=3600.0
        )
        with self.assertRaises(TransportError):
            await self.endpoint_client.call(self._plain_call(limits=limits))

    @gen_test
    async def test_refusals_state_and_orders_are_typed(self):
        """Guards against reporting a refusal or an old fence as a lost answer."""
        self._start(fencing=True, load_order_s=0.0)
        order = EngineOrder(kind="load", model="m", version="v1", fence=5)
        state = await self.endpoint_client.order(self.url, order)
        self.assertThat(state.versions, Contains("m/v1"))
        order.fence = 4
        with self.assertRaises(OrderFencedError):
            await self.endpoint_client.order(self.url, order)
        await self._switch("leaving")
        report = await self.endpoint_client.fetch_load("e1", self.url)
        self.assertThat(report.state, Equals("leaving"))
        with self.assertRaises(EndpointStatusError) as caught:
            async with self.endpoint_client.stream(self._chat_call()):
                pass
        self.assertThat(caught.exception.refused, Is(True))
        self.assertThat(caught.exception.answer.load.state, Equals("leaving"))

    @gen_test(timeout=30)
    async def test_a_slow_reader_holds_the_endpoint_back(self):
        """Guards against unbounded buffers and timeouts while the reader is slow."""
        engine = self._start(token_s=0.0)
        call = self._chat_call(limits=CallLimits(progress_timeout_s=1.0))
        call.body = build_request(CHAT).replace(b":20", b":100000")
        async with self.endpoint_client.stream(call) as stream:
            exchange = stream._exchange
            await eventually(lambda: exchange.buffered_bytes > BUFFER_LIMIT_BYTES)
            await asyncio.sleep(1.2)
            read_size_bytes = 64 * 1024
            limit_bytes = BUFFER_LIMIT_BYTES + read_size_bytes
            self.assertThat(exchange.buffered_bytes <= limit_bytes, Is(True))
            count = 0
            async for _ in stream:
                count += 1
                if count == 20_000:
                    break
        await eventually(lambda: engine.record.executions[0].outcome != "running")
