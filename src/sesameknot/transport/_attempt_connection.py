"""TCP connection of each HTTP attempt, with a check before the request is sent."""

import fcntl
import socket
import struct
import sys
import termios
from asyncio import Future
from collections.abc import Callable
from contextvars import ContextVar
from dataclasses import dataclass
from typing import Any

from tornado.http1connection import HTTP1Connection
from tornado.iostream import IOStream
from tornado.simple_httpclient import SimpleAsyncHTTPClient, _HTTPConnection
from tornado.tcpclient import TCPClient

from sesameknot.errors import ConnectError

# Most bytes that are read from an endpoint at once, and kept until they are passed on.
READ_CHUNK_BYTES = 16 * 1024


class AttemptStream(IOStream):
    """Stream that knows at its end whether the peer received all that was sent.

    Attributes
    ----------
    unacknowledged_bytes : int
        Sent bytes that the peer's kernel had not received when the stream was closed.
    """

    unacknowledged_bytes = 0

    def close_fd(self) -> None:
        """Close the socket and keep what its send queue tells."""
        if self.socket is not None:
            self.unacknowledged_bytes = _send_queue_bytes(self.socket)
        super().close_fd()


def _send_queue_bytes(sock: socket.socket) -> int:
    """Return the unacknowledged bytes of a socket; 0 if the system does not tell."""
    try:
        # For sockets, Linux calls this request SIOCOUTQ.
        answer = fcntl.ioctl(sock, termios.TIOCOUTQ, struct.pack("i", 0))
    except OSError:
        return 0
    return int(struct.unpack("i", answer)[0])


@dataclass(slots=True)
class AttemptConnection:
    """TCP connection of one attempt; this object exists before it is opened.

    Parameters
    ----------
    before_send : callable or None, default=None
        Called when the connection is open and no byte is written yet; an error
        that it raises ends the attempt without sending.
    stream : AttemptStream or None, default=None
        Stream of the open connection.
    may_have_sent : bool, default=False
        Whether bytes of the request may have been written.
    abandoned : bool, default=False
        Whether the attempt must not send any more.
    """

    before_send: Callable[[], None] | None = None
    stream: AttemptStream | None = None
    may_have_sent: bool = False
    abandoned: bool = False

    def abandon(self) -> None:
        """Close the connection, or prevent sending if it is still being opened."""
        self.abandoned = True
        if self.stream is not None:
            self.stream.close()


CURRENT_ATTEMPT: ContextVar[AttemptConnection] = ContextVar("current_attempt")


class AttemptTCPClient(TCPClient):
    """TCP client that stores each new stream in ``CURRENT_ATTEMPT``.

    Notes
    -----
    Tornado's HTTP client exposes neither the stream nor whether the connection was
    opened. It connects in a task that copies the context of ``fetch``, so the
    ``AttemptConnection`` is passed in a context variable.
    """

    def _create_stream(
        self,
        max_buffer_size: int | None,
        af: socket.AddressFamily,
        addr: tuple[Any, ...],
        source_ip: str | None = None,
        source_port: int | None = None,
    ) -> "tuple[IOStream, Future[IOStream]]":
        # There is no public hook for the class of the stream. The source is not chosen.
        stream = AttemptStream(
            socket.socket(af),
            max_buffer_size=max_buffer_size,
            read_chunk_size=READ_CHUNK_BYTES,
        )
        return stream, stream.connect(addr)

    async def connect(self, *args: Any, **kwargs: Any) -> IOStream:
        """Open a connection and call the attempt's ``before_send``."""
        attempt = CURRENT_ATTEMPT.get()
        stream = await super().connect(*args, **kwargs)
        assert isinstance(stream, AttemptStream)
        attempt.stream = stream
        try:
            if attempt.abandoned:
                raise ConnectError("attempt was abandoned", step="connect")
            if attempt.before_send is not None:
                attempt.before_send()
        except Exception:
            stream.close()
            raise
        attempt.may_have_sent = True
        return stream


class _AttemptHTTPConnection(_HTTPConnection):
    """HTTP connection that reads small chunks, and fails when the peer resets it.

    Notes
    -----
    Tornado raises the stream's error in this callback, but its reader discards the
    error, so the fetch would end only at the request timeout. There is no public
    hook.
    """

    def _create_connection(self, stream: IOStream) -> HTTP1Connection:
        connection = super()._create_connection(stream)
        connection.params.chunk_size = READ_CHUNK_BYTES
        return connection

    def on_connection_close(self) -> None:
        """Fail the fetch with the error of the stream."""
        try:
            super().on_connection_close()
        except OSError:
            self._handle_exception(*sys.exc_info())


class AttemptHTTPClient(SimpleAsyncHTTPClient):
    """HTTP client that connects through an ``AttemptTCPClient``."""

    def initialize(self, **options: Any) -> None:
        """Initialize the client with an ``AttemptTCPClient``."""
        super().initialize(**options)
        self.tcp_client.close()
        self.tcp_client = AttemptTCPClient(resolver=self.resolver)

    def _connection_class(self) -> type:
        return _AttemptHTTPConnection
