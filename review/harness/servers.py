"""Stand-in of a server that runs requests."""

import asyncio
import contextlib
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from harness.http import Message, head_bytes, read_request, reset
from harness.store import Store

HEARTBEAT_S = 1.2
# Time for which a server that fell over is away.
FALL_S = 3.0


@dataclass(slots=True)
class Run:
    """A request that a server received."""

    request_id: str
    server_id: str
    received_s: float
    ran: bool
    path: str = ""
    headers: dict[str, str] = field(default_factory=dict)
    ended_s: float = 0.0
    caller_left: bool = False


class Server:
    """A server of one service.

    Parameters
    ----------
    server_id, service, zone : str
        Identity, as registered in the store.
    work_s : float
        Time until the answer, or until the first event.
    event_count : int
        Events of an answer; 0 for a plain answer.
    event_gap_s : float
        Time between events.
    """

    def __init__(
        self,
        server_id: str,
        service: str,
        zone: str,
        *,
        work_s: float = 0.02,
        event_count: int = 0,
        event_gap_s: float = 0.05,
        slots: int = 64,
        version: str = "v1",
        framed: bool = True,
    ) -> None:
        self.server_id = server_id
        self.service = service
        self.zone = zone
        self.work_s = work_s
        self.event_count = event_count
        self.event_gap_s = event_gap_s
        self.slots = slots
        self.version = version
        self.framed = framed
        self.address = ""
        self.extra_headers: dict[str, str] = {}
        self.runs: list[Run] = []
        self.running_count = 0
        self.state = "ready"
        # Refusals in a second beyond which this server falls over; 0 for any number.
        self.brittle_count = 0
        self.waiting_limit_count = 0
        self.fallen_s: list[float] = []
        self._waiting_count = 0
        self._free = asyncio.Condition()
        # Models that requests may name; none for any.
        self.models: tuple[str, ...] = ()
        # Whether this server crashes when it begins to write the answer.
        self.crashes_on: Callable[[Message], bool] = lambda _: False
        self.crashed_s: list[float] = []
        self._born_ms = int(time.time() * 1000)
        self._sequence = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, ip: str, port: int = 0) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._handle, ip, port, backlog=512)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{ip}:{port}"

    def entry(self) -> dict[str, object]:
        """Return the entry of this server."""
        return {
            "Service": self.service,
            "Address": self.address,
            "Zone": self.zone,
            "Version": self.version,
            "Slots": self.slots,
            "State": self.state,
            "ColdRemainingMs": 0,
            "Sequence": self._sequence,
            "born": self._born_ms,
            "Models": [
                {"Name": name, "Version": 1, "Adapters": []} for name in self.models
            ],
        }

    async def report(self, store: Store) -> None:
        """Register, then keep the entry as a server does."""
        while True:
            store.put("servers", self.server_id, self.entry())
            await asyncio.sleep(HEARTBEAT_S)

    def crash(self) -> None:
        """Stop listening and reset all connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            reset(writer)

    async def come_back(self) -> None:
        """Start again some seconds after each fall or crash."""
        risen_count = 0
        while True:
            await asyncio.sleep(0.1)
            down_count = len(self.fallen_s) + len(self.crashed_s)
            if down_count > risen_count:
                risen_count = down_count
                await asyncio.sleep(FALL_S)
                await self.restart()

    async def restart(self) -> None:
        """Listen again at the same address as a new incarnation."""
        ip, _, port = self.address.rpartition(":")
        self._born_ms = int(time.time() * 1000)
        await self.start(ip, int(port))

    async def _handle(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
                while (request := await read_request(reader)) is not None:
                    if not await self._serve(request, reader, writer):
                        break
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _serve(
        self,
        request: Message,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        request_id = request.headers.get("x-request-id", "")
        expected = request.headers.get("x-expect-instance", self.server_id)
        model = request.headers.get("x-model", "")
        if expected != self.server_id or (self.models and model not in self.models):
            identity = {"X-Instance-Id": self.server_id}
            return await self._refuse(writer, "421 Misdirected Request", identity)
        run = Run(
            request_id,
            self.server_id,
            time.monotonic(),
            True,
            request.start.split(" ")[1],
            request.headers,
        )
        self.runs.append(run)
        if self.running_count + self._waiting_count >= (
            self.slots + self.waiting_limit_count
        ):
            run.ran = False
            if self._falls_over():
                self.fallen_s.append(time.monotonic())
                self.crash()
                return False
            if self.is_down:
                return False
            return await self._refuse(
                writer, "503 Service Unavailable", {"X-Not-Executed": "1"}
            )
        async with self._free:
            self._waiting_count += 1
            try:
                await self._free.wait_for(lambda: self.running_count < self.slots)
            finally:
                self._waiting_count -= 1
            self.running_count += 1
        work = asyncio.ensure_future(self._work(run, request, writer))
        left = asyncio.ensure_future(reader.read(1))
        try:
            await asyncio.wait({work, left}, return_when=asyncio.FIRST_COMPLETED)
            if not work.done():
                run.caller_left = True
                work.cancel()
                return False
            return work.result()
        finally:
            left.cancel()
            with contextlib.suppress(asyncio.CancelledError, ConnectionError):
                await left
            self.running_count -= 1
            run.ended_s = time.monotonic()
            async with self._free:
                self._free.notify()

    @property
    def is_down(self) -> bool:
        """Whether this server has just fallen over."""
        return bool(self.fallen_s) and time.monotonic() - self.fallen_s[-1] < FALL_S

    def _falls_over(self) -> bool:
        """Return whether too many requests were turned away in the last second."""
        now_s = time.monotonic()
        if not self.brittle_count or self.is_down:
            return False
        refused_count = sum(
            not run.ran and now_s - run.received_s < 1.0 for run in self.runs[-200:]
        )
        return refused_count > self.brittle_count

    async def _refuse(
        self, writer: asyncio.StreamWriter, status: str, headers: dict[str, str]
    ) -> bool:
        all_headers = {"Content-Length": "0", **headers, **self.extra_headers}
        writer.write(head_bytes(f"HTTP/1.1 {status}", all_headers))
        await writer.drain()
        return True

    async def _work(
        self, run: Run, request: Message, writer: asyncio.StreamWriter
    ) -> bool:
        await asyncio.sleep(self.work_s)
        if self.crashes_on(request):
            self.crashed_s.append(time.monotonic())
            self.crash()
            return False
        headers = {
            "X-Request-Id": run.request_id,
            "X-Server-Stamp": f"{self.server_id}.{len(self.runs)}",
            **self.extra_headers,
        }
        if not self.event_count:
            body = f"answer to {run.request_id}".encode()
            headers["Content-Length"] = str(len(body))
            writer.write(head_bytes("HTTP/1.1 200 OK", headers) + body)
            await writer.drain()
            return True
        headers["Content-Type"] = "text/event-stream"
        if self.framed:
            headers["Transfer-Encoding"] = "chunked"
        writer.write(head_bytes("HTTP/1.1 200 OK", headers))
        first = int(request.headers.get("last-event-id", "0")) + 1
        for number in range(first, self.event_count + 1):
            event = f"id: {number}\ndata: piece {number}\n\n".encode()
            framed = b"%x\r\n%s\r\n" % (len(event), event)
            writer.write(framed if self.framed else event)
            await writer.drain()
            await asyncio.sleep(self.event_gap_s)
        if self.framed:
            writer.write(b"0\r\n\r\n")
            await writer.drain()
        return self.framed
