"""Answers of the store that are not valid HTTP, or not complete."""

import asyncio

from testtools.matchers import Equals
from tornado.testing import gen_test

from sesameknot.errors import PlatformError
from sesameknot.platform._store import StoreClient
from sesameknot.platform._store_era import ERA_HEADER
from tests.support import LoopTestCase
from tests.virtual_time import VirtualTimeMixin

BODY = b'{"AsOf": 7, "Items": [], "events": [], "Metadata": {"Name": "n"}}'
ENTRY_CALLS = {
    "list": lambda client: client.list("servers"),
    "watch": lambda client: client.watch(
        "servers", since_revision=1, wait_s=0.1, margin_s=0.1
    ),
    "create": lambda client: client.create("servers", "n", {}),
}


class StoreAnswerTest(VirtualTimeMixin, LoopTestCase):
    async def check_error(self, data):
        """Check that all calls fail, and that nothing of the answer is believed."""

        async def answer(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(data)
            await writer.drain()
            writer.close()

        server = await asyncio.start_server(answer, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        client = StoreClient(f"127.0.0.1:{port}")
        for name, call in ENTRY_CALLS.items():
            with self.assertRaises(PlatformError, msg=f"{name} {data}"):
                await call(client)
            self.assertThat(client.era, Equals(0), f"{name} {data}")
        client.close()
        server.close()

    @gen_test
    async def test_answer_with_an_invalid_status_tells_no_era(self):
        """Guards against an era of a faulty store, after which all is read again."""
        head = f"{ERA_HEADER}: 9\r\nContent-Length: {len(BODY)}\r\n\r\n".encode()
        for status in (b"000", b"099", b"600", b"999", b"1000", b"abc", b""):
            await self.check_error(b"HTTP/1.1 %s X\r\n%s%s" % (status, head, BODY))

    @gen_test
    async def test_part_of_an_answer_is_an_error(self):
        """Guards against a list that lacks entries since its answer was cut."""
        for length in (b"", b"Content-Length: %d\r\n" % len(BODY)):
            for size_bytes in (0, 10, len(BODY) - 1):
                await self.check_error(
                    b"HTTP/1.1 200 OK\r\n%s\r\n%s" % (length, BODY[:size_bytes])
                )
