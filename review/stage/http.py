"""HTTP/1.1 messages on asyncio streams, as far as the stand-ins need them."""

import asyncio
from dataclasses import dataclass, field

HEAD_LIMIT_BYTES = 64 * 1024


@dataclass(slots=True)
class Message:
    """Start line, headers with names in lower case, and body."""

    start: list[str]
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Return the next message without its body; None if the connection ends."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, OSError):
        return None
    lines = data.decode("latin-1").split("\r\n")
    message = Message(lines[0].split(" ", 2))
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            message.headers[name.strip().lower()] = value.strip()
    return message


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Return the next message; None if the connection ends before it is whole."""
    message = await read_head(reader)
    if message is None:
        return None
    parts = [part async for part in body_parts(reader, message)]
    if parts and parts[-1] is None:
        return None
    message.body = b"".join(part for part in parts if part is not None)
    return message


async def body_parts(reader: asyncio.StreamReader, message: Message):  # noqa: ANN201
    """Yield the parts of a body; None last if the connection ends before its end."""
    try:
        if message.headers.get("transfer-encoding", "").lower() == "chunked":
            while size := int((await reader.readline()).split(b";")[0] or b"x", 16):
                yield await reader.readexactly(size)
                await reader.readline()
            await reader.readline()
        elif "content-length" in message.headers:
            yield await reader.readexactly(int(message.headers["content-length"]))
        elif message.start[0].startswith("HTTP/"):
            yield await reader.read(-1)
    except (asyncio.IncompleteReadError, OSError, ValueError):
        yield None


def head_bytes(start: str, headers: dict[str, str]) -> bytes:
    """Return the bytes of a start line and headers."""
    lines = [start, *(f"{name}: {value}" for name, value in headers.items()), "", ""]
    return "\r\n".join(lines).encode("latin-1")
