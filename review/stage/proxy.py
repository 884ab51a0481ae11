"""Loopback proxy of one link, which can be silenced or refused."""

import asyncio

CHUNK_BYTES = 4 * 1024


class Proxy:
    """Forwards connections to a target.

    Attributes
    ----------
    refusing : bool
        Whether new connections are reset at once.
    link_mbps : float or None
        Rate of the link to the front process; None for no limit.
    """

    def __init__(self, ip: str, target_ip: str, target_port: int) -> None:
        self.ip = ip
        self.port = 0
        self.refusing = False
        self.link_mbps: float | None = None
        self._target = (target_ip, target_port)
        self._server: asyncio.Server | None = None
        self._links: set[_Link] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def open_count(self) -> int:
        """Number of open connections."""
        return len(self._links)

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._forward, self.ip, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def silence_open(self) -> int:
        """Pass on nothing more on the connections that are open; return their count."""
        for link in self._links:
            link.silent = True
        return len(self._links)

    def reset_open(self) -> None:
        """Reset the open connections."""
        for link in list(self._links):
            link.abort()

    def close(self) -> None:
        """Stop listening and end all connections."""
        if self._server is not None:
            self._server.close()
        self.reset_open()
        # A pump of a silent connection does not end by itself.
        for task in list(self._tasks):
            task.cancel()

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.refusing:
            writer.transport.abort()
            return
        task = asyncio.current_task()
        if task is not None:
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        try:
            target_reader, target_writer = await asyncio.open_connection(*self._target)
        except OSError:
            writer.transport.abort()
            return
        link = _Link(writer, target_writer)
        self._links.add(link)
        try:
            await asyncio.gather(
                link.pump(reader, target_writer, None),
                link.pump(target_reader, writer, self.link_mbps),
            )
        finally:
            self._links.discard(link)
            if link.silent:
                link.abort()


class _Link:
    def __init__(
        self, writer: asyncio.StreamWriter, target_writer: asyncio.StreamWriter
    ) -> None:
        self.silent = False
        self._writers = (writer, target_writer)

    def abort(self) -> None:
        for writer in self._writers:
            writer.transport.abort()

    async def pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        link_mbps: float | None,
    ) -> None:
        try:
            while data := await reader.read(CHUNK_BYTES):
                if link_mbps is not None:
                    await asyncio.sleep(len(data) * 8e-6 / link_mbps)
                if not self.silent:
                    writer.write(data)
                    await writer.drain()
        except OSError:
            pass
        if not self.silent:
            writer.close()
