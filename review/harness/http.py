"""Reading and writing of HTTP/1.1 messages on asyncio streams."""

import asyncio
import struct
from dataclasses import dataclass, field

LINE_LIMIT_BYTES = 64 * 1024


@dataclass(slots=True)
class Message:
    """Start line, headers with lower-case names, and body of a message."""

    start: str
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Return start line and headers; None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    start, *lines = head.decode("latin-1").split("\r\n")
    message = Message(start)
    for line in lines:
        name, separator, value = line.partition(":")
        if separator:
            message.headers[name.strip().lower()] = value.strip()
    return message


async def read_request(reader: asyncio.StreamReader) -> Message | None:
    """Return a request with its whole body; None at the end of the connection."""
    message = await read_head(reader)
    if message is None:
        return None
    try:
        if "chunked" in message.headers.get("transfer-encoding", ""):
            message.body = b"".join([chunk async for chunk in read_chunks(reader)])
        elif size := int(message.headers.get("content-length", "0")):
            message.body = await reader.readexactly(size)
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return message


async def read_chunks(reader: asyncio.StreamReader):  # noqa: ANN201
    """Yield the chunks of a chunked body; raise if it breaks off."""
    while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
        chunk = await reader.readexactly(size + 2)
        yield chunk[:-2]
    await reader.readuntil(b"\r\n")


def head_bytes(start: str, headers: dict[str, str]) -> bytes:
    """Return the bytes of a start line and headers."""
    lines = [start, *(f"{name}: {value}" for name, value in headers.items())]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection."""
    sock = writer.get_extra_info("socket")
    if sock is not None and sock.fileno() >= 0:
        sock.setsockopt(1, 13, struct.pack("ii", 1, 0))
    writer.transport.abort()
