"""Connections of single HTTP attempts, observed up to the moment of sending."""

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
    """The connection of one attempt.

    Parameters
    ----------
    before_send : callable or None
        Called when the connection is open and nothing is written yet; an error
        that it raises ends the attempt with nothing sent.
    """

    before_send: Callable[[], None] | None = None
    stream: IOStream | None = None
    may_have_sent: bool = False
    abandoned: bool = False

    def abandon(self) -> None:
        """Close the connection, also if it is still being opened."""
        self.abandoned = True
        if self.stream is not None:
            self.stream.close()


CURRENT_ATTEMPT: ContextVar[AttemptConnection] = ContextVar("current_attempt")


class AttemptTCPClient(TCPClient):
    """TCP client that hands each new stream to the attempt of its context.

    Notes
    -----
    Tornado's HTTP client reports neither whether the connection was opened nor the
    stream. It connects in a task that copies the context of ``fetch``, so the
    attempt is passed in a context variable.
    """

    async def connect(self, *args: Any, **kwargs: Any) -> IOStream:
        """Open a connection and run the attempt's check before anything is sent."""
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
    """HTTP connection whose fetch also ends when the peer resets it.

    Notes
    -----
    Tornado raises the stream's error in this callback, its reader swallows it, and
    the fetch ends only at the request timeout. There is no public hook.
    """

    def on_connection_close(self) -> None:
        """End the fetch with the error of the stream."""
        try:
            super().on_connection_close()
        except OSError:
            self._handle_exception(*sys.exc_info())


class AttemptHTTPClient(SimpleAsyncHTTPClient):
    """HTTP client that connects through an ``AttemptTCPClient``."""

    def initialize(self, **options: Any) -> None:
        """Set the client up and replace its TCP client."""
        super().initialize(**options)
        self.tcp_client.close()
        self.tcp_client = AttemptTCPClient(resolver=self.resolver)

    def _connection_class(self) -> type:
        return _AttemptHTTPConnection
