"""Answers of plain services that are not valid, or not complete."""

import asyncio

from testtools.matchers import Equals
from tornado.testing import gen_test

from sesameknot.clock import ManualClock
from sesameknot.errors import ConnectError, TransportError
from sesameknot.router.caller_handlers import ServiceRequest
from sesameknot.transport.endpoint_client import EndpointCall, EndpointClient
from tests.router.test_service_pipeline import Recorder, build_pipeline
from tests.scripted_endpoint import Script, ScriptRunner
from tests.support import LoopTestCase
from tests.virtual_time import VirtualTimeMixin

UPLOAD = bytes(1_000_000)
UNFRAMED_HEAD = b"HTTP/1.1 200 OK\r\n\r\n"
SOUND = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nsound"


async def reset_part(connection):
    """Send a part of the answer and reset the connection."""
    await connection(UNFRAMED_HEAD + b"par")
    await asyncio.sleep(0.05)
    connection.reset()


async def end_part(connection):
    """Send a part of the answer and end it before the request has arrived."""
    await connection(UNFRAMED_HEAD + b"par")
    connection.half_close()
    await asyncio.sleep(0.2)


async def invalid_status(connection):
    """Send an answer whose status is not valid."""
    await connection(b"HTTP/1.1 600 X\r\nContent-Length: 0\r\n\r\n")


async def sound(connection):
    """Read the request and answer it."""
    await connection.read_body()
    await connection(SOUND)


class ServiceClient(Recorder):
    """Sends the calls of a pipeline to scripted services in turn."""

    def __init__(self, client, urls):
        super().__init__([])
        self.bodies = []
        self._client = client
        self._urls = list(urls)

    async def call(self, call):
        self.sent_count += 1
        call.url = self._urls.pop(0)
        return await self._client.call(call)

    async def write(self, chunk):
        self.bodies.append(chunk)


class IncompleteAnswerTest(VirtualTimeMixin, LoopTestCase):
    def setUp(self):
        super().setUp()
        self.endpoint_client = EndpointClient(clock=self.make_clock())
        self.closing(self.endpoint_client.close)

    async def serve(self, script):
        """Start a service that runs a script, and return its URL."""

        async def run(reader, writer):
            head = await reader.readuntil(b"\r\n\r\n")
            await script(Script(ScriptRunner(), reader, writer, head))
            writer.close()

        server = await asyncio.start_server(run, "127.0.0.1", 0)
        self.closing(server.close)
        return f"http://127.0.0.1:{server.sockets[0].getsockname()[1]}"

    @gen_test
    async def test_request_is_repeated_after_an_incomplete_answer(self):
        """Guards against a part, or an odd status, that the router passes on."""
        scripts = (reset_part, end_part, invalid_status, sound)
        client = ServiceClient(
            self.endpoint_client, [await self.serve(script) for script in scripts]
        )
        request = ServiceRequest("ledger", "PUT", "/orders", "", UPLOAD)
        await build_pipeline(client, ManualClock()).serve(None, request, client)
        self.assertThat(client.sent_count, Equals(len(scripts)))
        self.assertThat((client.status, client.bodies), Equals((200, [b"sound"])))

    @gen_test
    async def test_incomplete_answer_is_an_error_of_a_request_that_may_have_run(self):
        """Guards against a refusal as not run of a request that was sent."""
        for script in (reset_part, end_part, invalid_status):
            url = await self.serve(script)
            with self.assertRaises(TransportError) as caught:
                await self.endpoint_client.call(
                    EndpointCall(url=url, path="/orders", body=UPLOAD)
                )
            self.assertNotIsInstance(caught.exception, ConnectError)
