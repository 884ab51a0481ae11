"""HTTP client of the soak test; it reuses one connection."""

import asyncio
from dataclasses import dataclass

CONNECT_TIMEOUT_S = 1.0


@dataclass(slots=True, kw_only=True)
class CallerAnswer:
    """Answer as far as the caller received it; ``status`` is 0 if none came."""

    status: int = 0
    headers: dict[str, str] | None = None
    body: bytes = b""
    complete: bool = False


class CallerConnection:
    """Keep-alive connection to a front; opened again after it was closed.

    Parameters
    ----------
    address : str
        ``ip:port`` of the front.
    """

    def __init__(self, address: str) -> None:
        self.address = address
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def request(
        self,
        method: str,
        path: str,
        headers: dict[str, str],
        body: bytes,
        timeout_s: float,
    ) -> CallerAnswer:
        """Send one request and return the answer as far as it was received."""
        answer = CallerAnswer()
        try:
            async with asyncio.timeout(timeout_s):
                await self._exchange(method, path, headers, body, answer)
        except (OSError, EOFError, TimeoutError, ValueError):
            self.close()
        return answer

    async def _exchange(
        self,
        method: str,
        path: str,
        headers: dict[str, str],
        body: bytes,
        answer: CallerAnswer,
    ) -> None:
        if self._writer is None or self._writer.is_closing():
            ip, _, port = self.address.rpartition(":")
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                streams = await asyncio.open_connection(ip, int(port))
            self._reader, self._writer = streams
        head_lines = [f"{method} {path} HTTP/1.1", f"Content-Length: {len(body)}"]
        head_lines += [f"{name}: {value}" for name, value in headers.items()]
        self._writer.write("\r\n".join(head_lines).encode() + b"\r\n\r\n" + body)
        head = await self._reader.readuntil(b"\r\n\r\n")
        status_line, *header_lines = head.decode("latin-1").split("\r\n")
        answer.headers = {
            name.strip().lower(): value.strip()
            for name, _, value in (line.partition(":") for line in header_lines if line)
        }
        answer.status = int(status_line.split()[1])
        await self._read_body(answer)
        answer.complete = True
        if answer.headers.get("connection", "").lower() == "close":
            self.close()

    async def _read_body(self, answer: CallerAnswer) -> None:
        if "content-length" in answer.headers:
            size = int(answer.headers["content-length"])
            answer.body = await self._reader.readexactly(size)
            return
        while size := int(await self._reader.readline(), 16):
            answer.body += await self._reader.readexactly(size)
            await self._reader.readexactly(2)
        await self._reader.readexactly(2)

    def close(self) -> None:
        """Close the connection."""
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None
