"""Path of one machine to the store, which can be cut for a while."""

import asyncio
import contextlib
import socket
import struct

CHUNK_BYTES = 64 * 1024
# SO_LINGER with zero seconds makes close send a TCP reset.
RESET_LINGER = struct.pack("ii", 1, 0)


class StorePath:
    """TCP path to the store; while it is cut, no byte passes in either direction.

    Parameters
    ----------
    ip, port : str, int
        Near end of the path.
    target : str
        Address of the store.

    Attributes
    ----------
    sent : bytearray
        All that the machine has sent to the store.
    """

    def __init__(self, ip: str, port: int, target: str) -> None:
        self.address = f"{ip}:{port}"
        self.sent = bytearray()
        self._ip = ip
        self._port = port
        self._target = target
        self._open = asyncio.Event()
        self._open.set()
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Accept connections."""
        self._server = await asyncio.start_server(self._serve, self._ip, self._port)

    def cut(self) -> None:
        """Hold back all bytes."""
        self._open.clear()

    def heal(self) -> None:
        """Let new connections pass, and reset those from the time of the cut."""
        self._open.set()
        self._reset_all()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        far_writer = None
        try:
            await self._open.wait()
            ip, _, port = self._target.rpartition(":")
            far_reader, far_writer = await asyncio.open_connection(ip, int(port))
            self._writers.add(far_writer)
            async with asyncio.TaskGroup() as group:
                group.create_task(self._pump(reader, far_writer, self.sent))
                group.create_task(self._pump(far_reader, writer, None))
        except* (OSError, EOFError):
            pass
        finally:
            for side in (writer, far_writer):
                if side is not None:
                    self._writers.discard(side)
                    side.close()

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        copy: bytearray | None,
    ) -> None:
        while data := await reader.read(CHUNK_BYTES):
            await self._open.wait()
            if copy is not None:
                copy += data
            writer.write(data)
            await writer.drain()
        # Either end closes the whole path.
        raise EOFError

    def _reset_all(self) -> None:
        for writer in list(self._writers):
            sock = writer.get_extra_info("socket")
            with contextlib.suppress(OSError):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_LINGER)
            writer.transport.abort()

    def close(self) -> None:
        """Stop and reset all connections."""
        if self._server is not None:
            self._server.close()
        self._open.set()
        self._reset_all()
