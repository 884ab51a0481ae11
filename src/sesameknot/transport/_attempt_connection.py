"""Connections of single HTTP attempts, observed up to the moment of sending."""

from collections.abc import Callable
from contextvars import ContextVar
from dataclasses import dataclass
from typing import Any

from tornado.iostream import IOStream
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
