"""Loopback TCP proxy that delays, holds back, resets or refuses connections."""

import asyncio
import contextlib
import socket
import struct
from enum import StrEnum

from examples.local_deployment import reserve_port

CHUNK_BYTES = 64 * 1024
# SO_LINGER with zero seconds makes close send a TCP reset.
RESET_LINGER = struct.pack("ii", 1, 0)


class ProxyMode(StrEnum):
    """Treatment of connections and data.

    ``SILENT`` holds back data in both directions, ``SILENT_BACK`` only data from the
    target, and ``REFUSE`` aborts new connections.
    """

    PASS = "pass"
    SILENT = "silent"
    SILENT_BACK = "silent-back"
    REFUSE = "refuse"


class Proxy:
    """Forwards TCP connections to one target.

    Parameters
    ----------
    target : str
        ``ip:port`` that connections are forwarded to.
    """

    def __init__(self, target: str) -> None:
        self.target = target
        self.delay_s = 0.0
        self._mode = ProxyMode.PASS
        self._mode_changed = asyncio.Event()
        self.address = ""
        self._writers: set[asyncio.StreamWriter] = set()
        # Connections of an earlier process at the target's end have a lower number.
        self._process_number = 0
        self._server: asyncio.Server | None = None

    @property
    def mode(self) -> ProxyMode:
        """Current treatment of connections and data."""
        return self._mode

    @mode.setter
    def mode(self, mode: ProxyMode) -> None:
        self._mode = mode
        self._mode_changed.set()
        self._mode_changed = asyncio.Event()

    async def start(self) -> None:
        """Listen on an unused loopback port."""
        # The reservation keeps the port while nothing listens on it.
        self.address = f"127.0.0.1:{reserve_port()}"
        await self.listen_again()

    async def listen_again(self) -> None:
        """Accept connections after :meth:`stop_listening`, on the same port."""
        ip, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(
            self._handle_connection, ip, int(port)
        )

    def stop_listening(self, *, silently: bool) -> None:
        """End as a crashed process does: new connections are refused.

        Open connections are reset. With ``silently``, as after a power loss, they
        transport nothing any more, and what is sent on them after :meth:`listen_again`
        is answered with a reset.
        """
        self._server.close()
        self._process_number += 1
        if not silently:
            self.reset_all()

    def reset_all(self) -> None:
        """Reset every open connection."""
        for writer in list(self._writers):
            _reset(writer)

    async def _handle_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.mode is ProxyMode.REFUSE:
            writer.transport.abort()
            return
        ip, _, port = self.target.rpartition(":")
        try:
            target_reader, target_writer = await asyncio.open_connection(ip, int(port))
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, target_writer}
        was_reset = False
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(
                    self._forward(reader, target_writer, ProxyMode.SILENT, writer)
                )
                group.create_task(
                    self._forward(target_reader, writer, ProxyMode.SILENT_BACK)
                )
        except* ConnectionResetError:
            was_reset = True
        except* (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            # One side closed the connection, or the scenario ends.
            pass
        finally:
            for side_writer in (writer, target_writer):
                self._writers.discard(side_writer)
                if was_reset:
                    # An orderly close would end an answer without length.
                    _reset(side_writer)
                side_writer.transport.abort()

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        silencing_mode: ProxyMode,
        client_writer: asyncio.StreamWriter | None = None,
    ) -> None:
        process_number = self._process_number
        while data := await reader.read(CHUNK_BYTES):
            if self.delay_s:
                await asyncio.sleep(self.delay_s)
            while self._mode in (ProxyMode.SILENT, silencing_mode):
                await self._mode_changed.wait()
            if process_number == self._process_number:
                writer.write(data)
                await writer.drain()
            elif client_writer is not None and self._server.is_serving():
                _reset(client_writer)
                return
        if process_number == self._process_number:
            with contextlib.suppress(OSError):
                writer.write_eof()

    def close(self) -> None:
        """Stop listening and reset every open connection."""
        if self._server is not None:
            self._server.close()
        self.reset_all()


def _reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a TCP reset."""
    sock = writer.get_extra_info("socket")
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_LINGER)
    writer.transport.abort()
