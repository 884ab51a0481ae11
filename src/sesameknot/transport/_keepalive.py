"""TCP connections that notice a peer or path that went silent."""

import socket
from typing import Any

from tornado.iostream import IOStream
from tornado.tcpclient import TCPClient

KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBE_COUNT = 2
# Sent data that nobody acknowledged for this long ends the connection.
UNACKNOWLEDGED_LIMIT_MS = 2500


def enable_keepalive(stream: IOStream) -> None:
    """Let the kernel end ``stream`` within seconds once its peer is silent."""
    sock = stream.socket
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBE_COUNT)
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_LIMIT_MS
    )


class KeepaliveTCPClient(TCPClient):
    """TCP client whose connections do not stay open to a silent peer."""

    async def connect(self, *args: Any, **kwargs: Any) -> IOStream:
        """Open a connection with keep-alive probes."""
        stream = await super().connect(*args, **kwargs)
        enable_keepalive(stream)
        return stream
