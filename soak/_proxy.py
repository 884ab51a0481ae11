"""Loopback proxy that delays, resets, cuts or silences connections."""

import asyncio
import contextlib
import socket
import struct
from enum import StrEnum

CHUNK_BYTES = 64 * 1024
# Linger of zero seconds: closing sends a reset.
RESET_LINGER = struct.pack("ii", 1, 0)


class Mode(StrEnum):
    """What the proxy does with bytes and connections."""

    PASS = "pass"
    SILENT = "silent"
    SILENT_BACK = "silent-back"
    REFUSE = "refuse"


class Proxy:
    """Forwards TCP connections to one address.

    Parameters
    ----------
    target : str
        ``ip:port`` behind the proxy.
    """

    def __init__(self, target: str) -> None:
        self.target = target
        self.delay_s = 0.0
        self._mode = Mode.PASS
        self._mode_changed = asyncio.Event()
        self.address = ""
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    @property
    def mode(self) -> Mode:
        """What the proxy does now."""
        return self._mode

    @mode.setter
    def mode(self, mode: Mode) -> None:
        self._mode = mode
        self._mode_changed.set()
        self._mode_changed = asyncio.Event()

    async def start(self) -> None:
        """Listen on an unused loopback port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    def reset_all(self) -> None:
        """Reset every open connection."""
        for writer in list(self._writers):
            sock = writer.get_extra_info("socket")
            with contextlib.suppress(OSError):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_LINGER)
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.mode is Mode.REFUSE:
            writer.transport.abort()
            return
        ip, _, port = self.target.rpartition(":")
        try:
            far_reader, far_writer = await asyncio.open_connection(ip, int(port))
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, far_writer}
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._pump(reader, far_writer, Mode.SILENT))
                group.create_task(self._pump(far_reader, writer, Mode.SILENT_BACK))
        except* (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            # One side is gone, or the seed ends.
            pass
        finally:
            for each in (writer, far_writer):
                self._writers.discard(each)
                each.transport.abort()

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        silenced_by: Mode,
    ) -> None:
        while data := await reader.read(CHUNK_BYTES):
            if self.delay_s:
                await asyncio.sleep(self.delay_s)
            while self._mode in (Mode.SILENT, silenced_by):
                await self._mode_changed.wait()
            writer.write(data)
            await writer.drain()
        with contextlib.suppress(OSError):
            writer.write_eof()

    def close(self) -> None:
        """Stop listening and reset what is open."""
        if self._server is not None:
            self._server.close()
        self.reset_all()
