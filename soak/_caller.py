"""A caller that keeps its connection until the process is gone."""

import asyncio
from dataclasses import dataclass

CONNECT_TIMEOUT_S = 1.0


@dataclass(slots=True, kw_only=True)
class CallerAnswer:
    """What a caller received; ``status`` is 0 if nothing came."""

    status: int = 0
    headers: dict[str, str] | None = None
    body: bytes = b""
    whole: bool = False


class CallerConnection:
    """One connection to a front, opened again when it is closed.

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
        time_s: float,
    ) -> CallerAnswer:
        """Send one request and return the answer as far as it came."""
        answer = CallerAnswer()
        try:
            async with asyncio.timeout(time_s):
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
                opened = await asyncio.open_connection(ip, int(port))
            self._reader, self._writer = opened
        lines = [f"{method} {path} HTTP/1.1", f"Content-Length: {len(body)}"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        self._writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        head = await self._reader.readuntil(b"\r\n\r\n")
        first, *rest = head.decode("latin-1").split("\r\n")
        answer.headers = {
            name.strip().lower(): value.strip()
            for name, _, value in (line.partition(":") for line in rest if line)
        }
        answer.status = int(first.split()[1])
        await self._read_body(answer)
        answer.whole = True
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
