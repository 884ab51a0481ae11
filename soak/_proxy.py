"""Loopback TCP proxy that delays, holds back, resets or refuses connections."""

import asyncio
import contextlib
import socket
import struct
from enum import StrEnum

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
        self._server = await asyncio.start_server(
            self._handle_connection, "127.0.0.1", 0
        )
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    def reset_all(self) -> None:
        """Reset every open connection."""
        for writer in list(self._writers):
            sock = writer.get_extra_info("socket")
            with contextlib.suppress(OSError):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_LINGER)
            writer.transport.abort()

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
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(
                    self._forward(reader, target_writer, ProxyMode.SILENT)
                )
                group.create_task(
                    self._forward(target_reader, writer, ProxyMode.SILENT_BACK)
                )
        except* (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            # One side closed the connection, or the scenario ends.
            pass
        finally:
            for side_writer in (writer, target_writer):
                self._writers.discard(side_writer)
                side_writer.transport.abort()

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        silencing_mode: ProxyMode,
    ) -> None:
        while data := await reader.read(CHUNK_BYTES):
            if self.delay_s:
                await asyncio.sleep(self.delay_s)
            while self._mode in (ProxyMode.SILENT, silencing_mode):
                await self._mode_changed.wait()
            writer.write(data)
            await writer.drain()
        with contextlib.suppress(OSError):
            writer.write_eof()

    def close(self) -> None:
        """Stop listening and reset every open connection."""
        if self._server is not None:
            self._server.close()
        self.reset_all()
