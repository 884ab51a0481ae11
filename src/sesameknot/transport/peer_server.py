"""Server of the protocol between the processes of the system."""

import asyncio
import ssl
from collections.abc import Awaitable, Callable
from typing import Any

import structlog
from tornado.iostream import IOStream
from tornado.tcpserver import TCPServer

from sesameknot.errors import FrameError, RouterError, TransportError
from sesameknot.protocol.codec import Envelope, UnsupportedMessage, decode, encode
from sesameknot.protocol.messages import Failure
from sesameknot.transport._framing import read_frame, write_frame

Handler = Callable[[Any], Awaitable[Any]]

CONCURRENT_CALLS_PER_CONNECTION = 256
# A reply of this size takes 50 ms on a link of 10 Mbit/s, so it is worth a log line.
LARGE_REPLY_BYTES = 64 * 1024

log = structlog.get_logger(__name__)


class PeerServer(TCPServer):
    """Dispatch framed messages to handlers and send their replies.

    Parameters
    ----------
    host_id : str
        Sender in the envelope of each reply.
    tls : ssl.SSLContext or None, default=None
        TLS context; without it, connections are not encrypted.
    """

    def __init__(self, host_id: str, *, tls: ssl.SSLContext | None = None) -> None:
        super().__init__(ssl_options=tls)
        self.host_id = host_id
        self._message_handlers: dict[type, Handler] = {}
        self._streams: set[IOStream] = set()
        self._call_tasks: set[asyncio.Task[None]] = set()

    def handle(self, message_type: type) -> Callable[[Handler], Handler]:
        """Return a decorator that registers the handler of ``message_type``."""

        def decorate(handler: Handler) -> Handler:
            if message_type in self._message_handlers:
                raise ValueError(f"{message_type.__name__} already has a handler")
            self._message_handlers[message_type] = handler
            return handler

        return decorate

    async def handle_stream(self, stream: IOStream, address: tuple) -> None:
        """Serve one connection until it closes or a malformed frame arrives."""
        peer = f"{address[0]}:{address[1]}"
        self._streams.add(stream)
        permits = asyncio.Semaphore(CONCURRENT_CALLS_PER_CONNECTION)
        logged = False
        try:
            while True:
                envelope = decode(await read_frame(stream, peer=peer), peer=peer)
                if isinstance(envelope.body, UnsupportedMessage) and not logged:
                    log.warning("peer_message_unsupported", peer=envelope.sender)
                    logged = True
                await permits.acquire()
                task = asyncio.create_task(self._handle_call(stream, envelope, peer))
                self._call_tasks.add(task)
                task.add_done_callback(self._call_tasks.discard)
                task.add_done_callback(lambda _: permits.release())
        except FrameError as error:
            log.warning("peer_frame_rejected", peer=peer, reason=str(error))
        except TransportError:
            pass
        finally:
            self._streams.discard(stream)
            stream.close()

    async def _handle_call(
        self, stream: IOStream, envelope: Envelope, peer: str
    ) -> None:
        body = await self._run_handler(envelope)
        reply = Envelope(envelope.call_id, self.host_id, body, is_reply=True)
        payload = encode(reply)
        if len(payload) >= LARGE_REPLY_BYTES:
            log.info(
                "peer_reply_large",
                peer=envelope.sender,
                step=type(body).__name__,
                size_bytes=len(payload),
            )
        try:
            await write_frame(stream, payload, peer=peer)
        except TransportError:
            log.debug("peer_reply_not_sent", peer=peer, step=type(body).__name__)

    async def _run_handler(self, envelope: Envelope) -> Any:
        step = type(envelope.body).__name__
        if isinstance(envelope.body, UnsupportedMessage):
            return Failure(message="this kind of message is not supported", step=step)
        handler = self._message_handlers.get(type(envelope.body))
        if handler is None:
            return Failure(message=f"{step} is not served here", step=step)
        try:
            return await handler(envelope.body)
        except RouterError as error:
            return Failure(message=str(error), step=error.step or step)
        except Exception:
            log.exception("peer_handler_failed", step=step, peer=envelope.sender)
            return Failure(message="internal error", step=step)

    async def close(self) -> None:
        """Stop listening, close all connections and wait for running handlers."""
        self.stop()
        for stream in list(self._streams):
            stream.close()
        if self._call_tasks:
            await asyncio.gather(*self._call_tasks, return_exceptions=True)
