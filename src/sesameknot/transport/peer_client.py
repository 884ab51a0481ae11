"""Client of the protocol between the processes of the system."""

import asyncio
import ssl
from typing import Any, TypeVar

from tornado.iostream import StreamClosedError
from tornado.tcpclient import TCPClient

from sesameknot.clock import Clock
from sesameknot.errors import ConnectError, RouterError
from sesameknot.protocol.messages import Failure
from sesameknot.transport._peer_connection import PeerConnection

IDLE_LIMIT_S = 30.0

Reply = TypeVar("Reply")


class PeerClient:
    """Call other processes over one pooled connection per address.

    Parameters
    ----------
    host_id : str
        Sender in the envelope of each call.
    clock : Clock
        Source of monotonic time.
    tls : ssl.SSLContext or None, default=None
        TLS context; without it, connections are not encrypted.
    """

    def __init__(
        self, host_id: str, *, clock: Clock, tls: ssl.SSLContext | None = None
    ) -> None:
        self.host_id = host_id
        self._clock = clock
        self._tls = tls
        self._tcp = TCPClient()
        self._connections: dict[str, PeerConnection] = {}
        self._connect_locks: dict[str, asyncio.Lock] = {}

    async def call(
        self,
        address: str,
        body: Any,
        *,
        expect: type[Reply],
        timeout_s: float = 1.0,
    ) -> Reply:
        """Send ``body`` to ``address`` and return the reply.

        Parameters
        ----------
        address : str
            Peer address as ``ip:port``.
        body : object
            Message to send.
        expect : type
            Message class of the reply.
        timeout_s : float, default=1.0
            Limit for the connection and the reply together.

        Raises
        ------
        ConnectError
            If no connection could be opened; no byte was sent.
        TransportError
            If the connection was lost or the call timed out.
        RouterError
            If the reply is a ``Failure`` or of another class than ``expect``.
        """
        deadline_s = self._clock.monotonic_s() + timeout_s
        connection = await self._get_connection(address, timeout_s)
        remaining_s = max(0.001, deadline_s - self._clock.monotonic_s())
        reply = await connection.call(body, remaining_s)
        if isinstance(reply, Failure):
            raise RouterError(reply.message, step=reply.step, peer=address)
        if not isinstance(reply, expect):
            raise RouterError(
                f"got reply {type(reply).__name__}, expected {expect.__name__}",
                step=type(body).__name__,
                peer=address,
            )
        return reply

    async def _get_connection(self, address: str, timeout_s: float) -> PeerConnection:
        lock = self._connect_locks.setdefault(address, asyncio.Lock())
        try:
            async with asyncio.timeout(timeout_s), lock:
                connection = self._connections.get(address)
                if connection is not None and self._is_usable(connection):
                    return connection
                if connection is not None:
                    connection.close()
                connection = await self._connect(address)
                self._connections[address] = connection
                return connection
        except TimeoutError:
            raise ConnectError(
                f"no connection within {timeout_s:g} s", step="connect", peer=address
            ) from None

    def _is_usable(self, connection: PeerConnection) -> bool:
        if connection.closed:
            return False
        idle_s = self._clock.monotonic_s() - connection.last_received_s
        return connection.busy or idle_s < IDLE_LIMIT_S

    async def _connect(self, address: str) -> PeerConnection:
        ip, _, port = address.rpartition(":")
        try:
            stream = await self._tcp.connect(ip, int(port), ssl_options=self._tls)
        except (OSError, StreamClosedError, ValueError) as error:
            raise ConnectError(str(error), step="connect", peer=address) from error
        stream.set_nodelay(True)
        return PeerConnection(
            stream, address=address, sender=self.host_id, clock=self._clock
        )

    @property
    def tracked_address_count(self) -> int:
        """Number of addresses for which the pool keeps state."""
        return len(self._connect_locks)

    def close_idle(self) -> None:
        """Close connections idle beyond the limit and stop tracking their addresses."""
        for address, connection in list(self._connections.items()):
            if not self._is_usable(connection):
                connection.close()
                del self._connections[address]
        for address, lock in list(self._connect_locks.items()):
            if address not in self._connections and not lock.locked():
                del self._connect_locks[address]

    def close(self) -> None:
        """Close all connections."""
        for connection in self._connections.values():
            connection.close()
        self._connections.clear()
        self._tcp.close()
