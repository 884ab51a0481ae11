"""TCP keep-alive that detects an unresponsive peer or network path."""

import socket
from typing import Any

from tornado.iostream import IOStream, StreamClosedError
from tornado.tcpclient import TCPClient

KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBE_COUNT = 2
# The kernel closes a connection whose sent data stays unacknowledged for this long.
UNACKNOWLEDGED_TIMEOUT_MS = 2500


def enable_keepalive(stream: IOStream) -> None:
    """Let the kernel close ``stream`` within seconds if its peer does not respond.

    Raises
    ------
    StreamClosedError
        If the stream was closed meanwhile.
    """
    sock = stream.socket
    if sock is None:
        raise StreamClosedError(stream.error)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBE_COUNT)
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS
    )


class KeepaliveTCPClient(TCPClient):
    """TCP client whose connections close if the peer does not respond."""

    async def connect(self, *args: Any, **kwargs: Any) -> IOStream:
        """Open a connection with keep-alive probes."""
        stream = await super().connect(*args, **kwargs)
        enable_keepalive(stream)
        return stream
