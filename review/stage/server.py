"""Stand-in for a server of a service."""

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from stage.http import Message, head_bytes, read_message


@dataclass(slots=True)
class Run:
    """A request that a server began to run, and how the run ended."""

    request_id: str
    server: str
    began_s: float
    headers: dict[str, str] = field(default_factory=dict)
    ended: str = "running"


class Server:
    """Server that runs each request for a while and then answers it.

    Attributes
    ----------
    work_s : float
        Time that a run takes.
    extra_headers : dict of str to str
        Headers of all its answers.
    crash_path : str
        Path of requests that crash it as it begins to run them; empty for none.
    on_crash : callable
        Called when it has crashed.
    """

    def __init__(self, server_id: str, ip: str, *, service: str, zone: str) -> None:
        self.server_id = server_id
        self.service = service
        self.zone = zone
        self.ip = ip
        self.port = 0
        self.work_s = 0.05
        self.extra_headers: dict[str, str] = {}
        self.crash_path = ""
        self.on_crash: Callable[[Server], None] = lambda _: None
        self.runs: list[Run] = []
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self.ended_s: float | None = None

    @property
    def address(self) -> str:
        """Address at which it listens."""
        return f"{self.ip}:{self.port}"

    def entry(self, state: str = "ready") -> dict[str, object]:
        """Return its entry in the store."""
        return {
            "Service": self.service,
            "Address": self.address,
            "Zone": self.zone,
            "Version": "v1",
            "Slots": 16,
            "State": state,
            "ColdRemainingMs": 0,
            "Sequence": 1,
            "born": 1700000000000,
        }

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, self.ip, self.port)
        self.port = self._server.sockets[0].getsockname()[1]

    def exit(self) -> None:
        """End the process: nothing listens any more, and open connections end."""
        self.ended_s = time.monotonic()
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()
        for run in self.runs:
            if run.ended == "running":
                run.ended = "cut by the server's end"

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while (request := await read_message(reader)) is not None:
                await self._handle(request, reader, writer)
                if request.headers.get("connection", "").lower() == "close":
                    break
        except OSError:
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _handle(
        self,
        request: Message,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        if request.headers.get("x-expect-instance", self.server_id) != self.server_id:
            answer = {"X-Instance-Id": self.server_id, "Content-Length": "0"}
            writer.write(head_bytes("HTTP/1.1 421 Misdirected Request", answer))
            await writer.drain()
            return
        request_id = request.headers.get("x-request-id", "")
        run = Run(request_id, self.server_id, time.monotonic(), request.headers)
        self.runs.append(run)
        if self.crash_path and request.start[1] == self.crash_path:
            run.ended = "crashed the server"
            self.exit()
            self.on_crash(self)
            return
        await self._run(run, writer)

    async def _run(self, run: Run, writer: asyncio.StreamWriter) -> None:
        request_id = run.request_id
        await asyncio.sleep(self.work_s)
        if run.ended != "running":
            return
        body = f"done {request_id}\n".encode()
        headers = {
            "X-Request-Id": request_id,
            "X-Server-Stamp": f"{self.server_id}.{len(self.runs)}",
            "Content-Length": str(len(body)),
            **self.extra_headers,
        }
        writer.write(head_bytes("HTTP/1.1 200 OK", headers) + body)
        await writer.drain()
        run.ended = "answered"


class Engine(Server):
    """Model server that ends all streams of its batch with the same step.

    Attributes
    ----------
    batch_end_s : float
        Monotonic time of that step.
    event_interval_s : float
        Time between two events of a stream.
    """

    batch_end_s = 0.0
    event_interval_s = 0.1

    async def _run(self, run: Run, writer: asyncio.StreamWriter) -> None:
        headers = {
            "X-Request-Id": run.request_id,
            "X-Server-Stamp": f"{self.server_id}.{len(self.runs)}",
            "Content-Type": "text/event-stream",
            "Transfer-Encoding": "chunked",
        }
        writer.write(head_bytes("HTTP/1.1 200 OK", headers))
        number = 0
        while time.monotonic() + self.event_interval_s < self.batch_end_s:
            number += 1
            _write_event(writer, number)
            await asyncio.sleep(self.event_interval_s)
        await asyncio.sleep(max(0.0, self.batch_end_s - time.monotonic()))
        _write_event(writer, number + 1)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        run.ended = "answered"


def _write_event(writer: asyncio.StreamWriter, number: int) -> None:
    event = f"id: {number}\ndata: piece {number}\n\n".encode()
    writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
