"""Open connections of an HTTP server, so that tests can silence or drop them."""

import asyncio
from typing import Any

from tornado.httpserver import HTTPServer
from tornado.iostream import IOStream


class Connections:
    """The open streams of one server."""

    def __init__(self) -> None:
        self._open: set[IOStream] = set()
        self._silent: dict[IOStream, asyncio.Event] = {}
        self.total_count = 0

    def add(self, stream: IOStream) -> None:
        """Track a new stream."""
        self.total_count += 1
        self._open.add(stream)

    def discard(self, stream: IOStream) -> None:
        """Forget a closed stream."""
        self._open.discard(stream)
        closed = self._silent.pop(stream, None)
        if closed is not None:
            closed.set()

    def silence(self, *, keep: IOStream) -> int:
        """Stop all output on the open streams but ``keep``; return their number."""
        chosen = self._open - {keep}
        self._silent.update((stream, asyncio.Event()) for stream in chosen)
        return len(chosen)

    def drop(self, *, keep: IOStream | None = None) -> None:
        """Close all streams but ``keep``."""
        for stream in list(self._open):
            if stream is not keep:
                stream.close()

    async def may_write(self, stream: IOStream) -> None:
        """Return at once, or on a silent stream when it closes."""
        closed = self._silent.get(stream)
        if closed is not None:
            await closed.wait()


class TrackedServer(HTTPServer):
    """HTTP server that reports its streams to a ``Connections``."""

    def initialize(self, *args: Any, connections: Connections, **kwargs: Any) -> None:
        """Keep ``connections`` and set the server up."""
        super().initialize(*args, **kwargs)
        self._tracked = connections

    def handle_stream(self, stream: IOStream, address: tuple) -> None:
        """Track the stream until the server forgets it."""
        self._tracked.add(stream)
        super().handle_stream(stream, address)

    def on_close(self, server_conn: Any) -> None:
        """Forget the stream of a finished connection."""
        self._tracked.discard(server_conn.stream)
        super().on_close(server_conn)
