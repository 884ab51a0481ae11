"""Memory of a front process whose callers send bodies of the largest size."""

import asyncio
import contextlib
import re
from pathlib import Path

from soak._caller import CallerConnection
from soak._fronts import FrontProcess
from testtools.matchers import Contains, Equals, GreaterThan, LessThan
from tornado.testing import gen_test

from sesameknot.platform.standin import FleetStore
from sesameknot.settings.front import FrontSettings
from tests.front_world import (
    HOST,
    KEY,
    PLAIN_SERVICE,
    SAFE_PATH,
    UNSAFE_PATH,
    configuration,
    server_entry,
)
from tests.support import LoopTestCase, eventually

# A limit below that of the deployments, and theirs.
MEMORY_MB = (160, 300)
LARGE_BODY_BYTES = 4 * 1024 * 1024
CALLER_COUNT = 64
ROUND_COUNT = 3
SMALL_CALLER_COUNT = 8
# Longer than it takes all callers to begin, so that their bodies are there together.
WORK_S = 0.5
DEADLINE_MS = 20_000


def memory_kb(process_id, field):
    """Return a figure of the memory of a process."""
    status = Path(f"/proc/{process_id}/status").read_text()
    return int(re.search(rf"{field}:\s+(\d+)", status).group(1))


async def run_request(reader, writer):
    """Read a request, work on it and answer it, without keeping its body."""
    with contextlib.suppress(OSError, EOFError):
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
        left_bytes = int(re.search(r"(?i)content-length: (\d+)", head).group(1))
        while left_bytes:
            left_bytes -= len(await reader.read(min(left_bytes, 65536)))
        request_id = re.search(r"(?i)x-request-id: (\S+)", head).group(1)
        await asyncio.sleep(WORK_S)
        writer.write(
            f"HTTP/1.1 200 OK\r\nX-Server-Stamp: s1\r\nX-Request-Id: {request_id}\r\n"
            "Content-Length: 2\r\n\r\nok".encode()
        )
        await writer.drain()
    writer.close()


class LargeBodiesMemoryTest(LoopTestCase):
    async def start_front(self, memory_mb):
        """Start a front process with a memory limit and four endpoints."""
        store = FleetStore()
        store.put("config", "main", configuration())
        for number in range(4):
            server = await asyncio.start_server(run_request, "127.0.0.1", 0)
            self.closing(server.close)
            address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
            entry = server_entry(PLAIN_SERVICE, address, Slots=CALLER_COUNT)
            store.put("servers", f"e{number}", entry)
        front = FrontProcess(
            0,
            self.listen(store.server()),
            self.make_directory(),
            memory_mb=memory_mb,
        )
        await front.start([])
        probe = CallerConnection(front.ready_address)
        self.closing(probe.close)
        while True:
            path = "/sesameknot/readyz"
            answer = await probe.request("GET", path, {"Host": "x"}, b"", 1.0)
            if answer.status == 200:
                return front
            await asyncio.sleep(0.05)

    async def ask(self, connection, request_id, path, body):
        headers = {
            "Host": HOST,
            "X-Request-Id": request_id,
            "X-Deadline-Ms": str(DEADLINE_MS),
            "Authorization": f"Bearer {KEY}",
        }
        return await connection.request("POST", path, headers, body, 30.0)

    @gen_test(timeout=110)
    async def test_bodies_of_the_largest_size_from_many_callers(self):
        """Guards against a process that the platform kills over its memory limit.

        It must also give the memory back when the requests have ended.
        """
        for memory_mb in MEMORY_MB:
            await self.check_limit(memory_mb)

    async def check_limit(self, memory_mb):
        """Check a process with a memory limit under three rounds of large bodies."""
        front = await self.start_front(memory_mb)
        connections = [
            CallerConnection(front.caller_address)
            for _ in range(CALLER_COUNT + SMALL_CALLER_COUNT)
        ]
        body = bytes(LARGE_BODY_BYTES)
        large_answers, small_answers = [], []

        async def send_large(number):
            for round_number in range(ROUND_COUNT):
                request_id = f"large-{number}-{round_number}"
                answer = await self.ask(
                    connections[number], request_id, UNSAFE_PATH, body
                )
                large_answers.append(answer)

        async def send_small(number):
            while len(large_answers) < CALLER_COUNT * ROUND_COUNT:
                request_id = f"small-{number}-{len(small_answers)}"
                answer = await self.ask(
                    connections[CALLER_COUNT + number], request_id, SAFE_PATH, b"{}"
                )
                small_answers.append(answer.status)

        try:
            await asyncio.gather(
                *map(send_large, range(CALLER_COUNT)),
                *map(send_small, range(SMALL_CALLER_COUNT)),
            )
            self.assertTrue(front.running)
            peak_kb = memory_kb(front.process_id, "VmHWM")
            self.assertThat(peak_kb, LessThan(memory_mb * 1_000_000 // 1024))
            # A process without requests takes no more than the settings set aside.
            idle_kb = FrontSettings().memory.process_mb * 1024
            await eventually(lambda: memory_kb(front.process_id, "VmRSS") < idle_kb)
        finally:
            await front.close()
        self.assertThat(set(small_answers), Equals({200}))
        statuses = [answer.status for answer in large_answers]
        self.assertThat(set(statuses), Equals({200, 503}))
        self.assertThat(statuses.count(200), GreaterThan(0))
        for answer in large_answers:
            if answer.status == 503:
                self.assertThat(answer.headers, Contains("retry-after"))
