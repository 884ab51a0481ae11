"""Consumers that keep connections open and record their answers."""

import asyncio
import contextlib
import itertools
import time
from dataclasses import dataclass, field

from harness.http import head_bytes, read_chunks, read_head

_ids = itertools.count(1)


@dataclass(slots=True)
class Answer:
    """One consumer attempt with its answer; ``status`` is 0 if none came."""

    request_id: str
    front: str
    path: str
    sent_s: float = 0.0
    done_s: float = 0.0
    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    complete: bool = False
    error: str = ""


class Caller:
    """One consumer with one kept connection to one front."""

    def __init__(self, front: str, address: str) -> None:
        self.front = front
        self.address = address
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    def close(self) -> None:
        """Close the connection."""
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None

    async def request(
        self,
        method: str,
        path: str,
        *,
        host: str,
        deadline_ms: int,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
        patience_s: float | None = None,
    ) -> Answer:
        """Send a request and return its answer."""
        answer = Answer(f"{time.time_ns():x}-{next(_ids)}", self.front, path)
        answer.sent_s = time.monotonic()
        if patience_s is None:
            patience_s = deadline_ms / 1000.0 + 1.0
        all_headers = {
            "Host": host,
            "X-Request-Id": answer.request_id,
            "X-Deadline-Ms": str(deadline_ms),
            "Content-Length": str(len(body)),
            **(headers or {}),
        }
        start = f"{method} {path} HTTP/1.1"
        try:
            async with asyncio.timeout(patience_s):
                await self._exchange(head_bytes(start, all_headers) + body, answer)
        except (OSError, EOFError, TimeoutError, ValueError) as error:
            answer.error = repr(error)
            self.close()
        except asyncio.CancelledError:
            self.close()
            raise
        answer.done_s = time.monotonic()
        return answer

    async def _exchange(self, data: bytes, answer: Answer) -> None:
        if self._writer is None or self._writer.is_closing():
            ip, _, port = self.address.rpartition(":")
            async with asyncio.timeout(1.0):
                streams = await asyncio.open_connection(ip, int(port))
            self._reader, self._writer = streams
        reader, writer = self._reader, self._writer
        assert reader is not None and writer is not None  # noqa: PT018
        writer.write(data)
        await writer.drain()
        head = await read_head(reader)
        if head is None:
            raise ConnectionResetError("closed without an answer")
        answer.status = int(head.start.split(" ")[1])
        answer.headers = head.headers
        if "content-length" in head.headers:
            answer.body = await reader.readexactly(int(head.headers["content-length"]))
        else:
            async for chunk in read_chunks(reader):
                answer.body += chunk
        answer.complete = True
        if head.headers.get("connection", "").lower() == "close":
            self.close()


async def wait_until_ready(address: str, limit_s: float) -> bool:
    """Return whether a front says within ``limit_s`` that it is ready."""
    end_s = time.monotonic() + limit_s
    while time.monotonic() < end_s:
        caller = Caller("", address)
        with contextlib.suppress(OSError):
            answer = await caller.request(
                "GET", "/sesameknot/readyz", host="x", deadline_ms=1000
            )
            caller.close()
            if answer.status == 200:
                return True
        await asyncio.sleep(0.1)
    return False
