"""Memory of a front process whose endpoints send bytes without end to many callers."""

import asyncio
import contextlib
import re
from pathlib import Path

from soak._caller import CallerConnection
from soak._fronts import FrontProcess
from testtools.matchers import LessThan
from tornado.testing import gen_test

from sesameknot.platform.standin import FleetStore
from tests.front_world import KEY, MODEL_SERVICE, configuration, server_entry
from tests.support import LoopTestCase

# Memory of a host of the users' deployments.
MEMORY_LIMIT_KB = 300 * 1024
ENDPOINT_COUNT = 4
CALLER_COUNT = 300
ROUND_COUNT = 2
HEAD = b"HTTP/1.1 200 OK\r\nX-Server-Stamp: s1\r\n"
SCRIPTS = {
    "comments": (HEAD + b"\r\n", b": " + b"c" * 200_000 + b"\n\n"),
    "event": (HEAD + b"\r\n", b"x" * 65536),
    "head": (HEAD, b"X-A: " + b"a" * 1000 + b"\r\n"),
    "failure": (b"HTTP/1.1 500 E\r\n\r\n", b"x" * 65536),
}


def peak_resident_kb(process_id):
    """Return the peak resident memory of a process."""
    status = Path(f"/proc/{process_id}/status").read_text()
    return int(re.search(r"VmHWM:\s+(\d+)", status).group(1))


class EndlessBytesMemoryTest(LoopTestCase):
    @gen_test(timeout=110)
    async def test_bytes_without_end_to_many_callers(self):
        """Guards against a process that ends since it keeps what endpoints send."""
        for name, (head, piece) in SCRIPTS.items():
            peak_kb = await self.peak_memory_kb(head, piece)
            self.assertThat(peak_kb, LessThan(MEMORY_LIMIT_KB), name)

    async def peak_memory_kb(self, head, piece):
        """Return the peak memory of a front whose endpoints all send ``piece``."""

        async def send_without_end(reader, writer):
            with contextlib.suppress(OSError, EOFError):
                await reader.readuntil(b"\r\n\r\n")
                writer.write(head)
                while True:
                    writer.write(piece)
                    await writer.drain()
            writer.close()

        store = FleetStore()
        store.put("config", "main", configuration())
        for number in range(ENDPOINT_COUNT):
            server = await asyncio.start_server(send_without_end, "127.0.0.1", 0)
            self.closing(server.close)
            address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
            store.put("servers", f"e{number}", server_entry(MODEL_SERVICE, address))
        front = FrontProcess(0, self.listen(store.server()), self.make_directory())
        try:
            await front.start([])
            await self.wait_until_ready(front)
            for round_number in range(ROUND_COUNT):
                asked = (self.ask(front, round_number, n) for n in range(CALLER_COUNT))
                await asyncio.gather(*asked)
            self.assertTrue(front.running)
            return peak_resident_kb(front.process_id)
        finally:
            await front.close()

    async def wait_until_ready(self, front):
        connection = CallerConnection(front.ready_address)
        path, headers = "/sesameknot/readyz", {"Host": "x"}
        while True:
            answer = await connection.request("GET", path, headers, b"", 1.0)
            if answer.status == 200:
                connection.close()
                return
            await asyncio.sleep(0.05)

    async def ask(self, front, round_number, number):
        connection = CallerConnection(front.caller_address)
        headers = {
            "Host": "callers.example",
            "X-Request-Id": f"r{round_number}-{number}",
            "X-Deadline-Ms": "4000",
            "Authorization": f"Bearer {KEY}",
        }
        await connection.request("POST", "/advice/x", headers, b"q", 8.0)
        connection.close()
