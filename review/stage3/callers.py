"""A caller: one request on a connection of its own."""

import asyncio
import time
from dataclasses import dataclass, field

CONNECT_LIMIT_S = 1.0


@dataclass(slots=True)
class Answer:
    """An answer as far as it came; ``status`` is 0 if no head came.

    Attributes
    ----------
    passed_s : float
        Monotonic time at which its head came; 0 if none did.
    """

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    complete: bool = False
    passed_s: float = 0.0


async def send(
    address: str,
    method: str,
    path: str,
    headers: dict[str, str],
    body: bytes = b"",
    *,
    timeout_s: float,
) -> Answer:
    """Send a request and return what came of its answer in ``timeout_s``."""
    answer = Answer()
    ip, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            async with asyncio.timeout(CONNECT_LIMIT_S):
                reader, writer = await asyncio.open_connection(ip, int(port))
            lines = [f"{method} {path} HTTP/1.1"]
            lines += [f"{name}: {value}" for name, value in headers.items()]
            if body or method == "POST":
                lines.append(f"Content-Length: {len(body)}")
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            await read_answer(reader, answer)
    except (OSError, EOFError, ValueError):
        # Refused, reset, ended early or late: the answer stays incomplete.
        pass
    finally:
        if writer is not None:
            writer.close()
    return answer


async def read_answer(reader: asyncio.StreamReader, answer: Answer) -> None:
    """Read an answer's head and body into ``answer``."""
    head = await reader.readuntil(b"\r\n\r\n")
    answer.passed_s = time.monotonic()
    status_line, *lines = head.decode("latin-1").split("\r\n")
    for line in filter(None, lines):
        name, _, value = line.partition(":")
        answer.headers[name.strip().lower()] = value.strip()
    answer.status = int(status_line.split()[1])
    if "content-length" in answer.headers:
        size = int(answer.headers["content-length"])
        answer.body = await reader.readexactly(size)
    else:
        while size := int(await reader.readline(), 16):
            answer.body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readexactly(2)
    answer.complete = True
