"""TCP connection of each HTTP attempt, with a check before the request is sent."""

import sys
from collections.abc import Callable
from contextvars import ContextVar
from dataclasses import dataclass
from typing import Any

from tornado.iostream import IOStream
from tornado.simple_httpclient import SimpleAsyncHTTPClient, _HTTPConnection
from tornado.tcpclient import TCPClient

from sesameknot.errors import ConnectError


@dataclass(slots=True)
class AttemptConnection:
    """TCP connection of one attempt; this object exists before it is opened.

    Parameters
    ----------
    before_send : callable or None, default=None
        Called when the connection is open and no byte is written yet; an error
        that it raises ends the attempt without sending.
    stream : IOStream or None, default=None
        Stream of the open connection.
    may_have_sent : bool, default=False
        Whether bytes of the request may have been written.
    abandoned : bool, default=False
        Whether the attempt must not send any more.
    """

    before_send: Callable[[], None] | None = None
    stream: IOStream | None = None
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

    async def connect(self, *args: Any, **kwargs: Any) -> IOStream:
        """Open a connection and call the attempt's ``before_send``."""
        attempt = CURRENT_ATTEMPT.get()
        stream = await super().connect(*args, **kwargs)
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
    """HTTP connection whose fetch also fails when the peer resets it.

    Notes
    -----
    Tornado raises the stream's error in this callback, but its reader discards the
    error, so the fetch would end only at the request timeout. There is no public
    hook.
    """

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
