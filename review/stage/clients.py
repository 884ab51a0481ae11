"""Consumers of the front processes."""

import asyncio
import secrets
import time
from dataclasses import dataclass, field

from stage.http import head_bytes, read_message

HOST = "ficu95.example"
KEY = "n2ctnfzs989anu6wsjnb"


@dataclass(slots=True)
class Sent:
    """A request of a consumer, and its answer."""

    request_id: str
    front: str
    path: str
    sent_s: float
    status: str = "no answer"
    answered_s: float = 0.0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""


async def send(
    front: str,
    ip: str,
    port: int,
    path: str,
    *,
    method: str = "POST",
    deadline_ms: int = 2000,
    log: list[Sent] | None = None,
    fixed_body: str = "",
    **headers: str,
) -> Sent:
    """Send one request on a new connection and read its answer."""
    sent = Sent(secrets.token_hex(8), front, path, time.monotonic())
    if log is not None:
        log.append(sent)
    try:
        async with asyncio.timeout(deadline_ms / 1000.0 + 1.0):
            reader, writer = await asyncio.open_connection(ip, port)
            try:
                data = request_bytes(sent, method, deadline_ms, headers, fixed_body)
                writer.write(data)
                message = await read_message(reader)
            finally:
                writer.close()
    except (OSError, TimeoutError) as error:
        sent.status = f"no answer ({type(error).__name__})"
        message = None
    sent.answered_s = time.monotonic()
    if message is not None:
        sent.status, sent.headers = message.start[1], message.headers
        sent.body = message.body
    return sent


def request_bytes(
    sent: Sent,
    method: str,
    deadline_ms: int,
    headers: dict[str, str],
    fixed_body: str = "",
) -> bytes:
    """Return the bytes of a request; without a fixed body, each one has its own."""
    text = fixed_body or f"order {sent.request_id}\n"
    body = text.encode() if method == "POST" else b""
    fields = {
        "Host": HOST,
        "X-Request-Id": sent.request_id,
        "X-Deadline-Ms": str(deadline_ms),
        "Authorization": f"Bearer {KEY}",
    }
    if body:
        fields["Content-Length"] = str(len(body))
    fields.update({k.replace("_", "-"): v for k, v in headers.items()})
    return head_bytes(f"{method} {sent.path} HTTP/1.1", fields) + body
