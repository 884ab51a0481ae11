"""Endpoints whose bytes a test writes itself, for faults that a server can't have."""

import asyncio
import socket
import struct

from tests.front_world import server_entry

# Closing a socket with this option resets the connection.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class Script:
    """One request at a scripted endpoint, and what the script may do with it.

    Parameters
    ----------
    runner : ScriptRunner
        Counts bytes.
    reader : asyncio.StreamReader
        What follows the head of the request.
    writer : asyncio.StreamWriter
        Connection to the host.
    head : bytes
        Head of the request.
    """

    def __init__(self, runner, reader, writer, head):
        self.head = head
        self._runner = runner
        self._reader = reader
        self._writer = writer

    async def __call__(self, data):
        """Send bytes."""
        self._runner.sent_bytes += len(data)
        self._writer.write(data)
        await self._writer.drain()

    async def read_body(self):
        """Read the request's body, which has a length."""
        _, _, rest = self.head.lower().partition(b"content-length: ")
        await self._reader.readexactly(int(rest.partition(b"\r\n")[0]))

    async def until_closed(self):
        """Read until the host closes the connection."""
        while await self._reader.read(65536):
            pass

    def reset(self):
        """Reset the connection."""
        sock = self._writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self._writer.transport.abort()

    def half_close(self):
        """Close the direction to the host."""
        self._writer.write_eof()


class ScriptRunner:
    """Starts scripted endpoints and counts what happens to them.

    Attributes
    ----------
    request_count : int
        Requests read, which an endpoint would have run.
    sent_bytes : int
        Bytes sent to hosts.
    closed_count : int
        Scripts that ended since the host had closed the connection.
    """

    def __init__(self):
        self.request_count = 0
        self.sent_bytes = 0
        self.closed_count = 0
        self._tasks = set()

    async def add_endpoint(self, world, endpoint_id, service, script):
        """Register an endpoint that reads one request and then runs ``script``."""

        async def serve(reader, writer):
            self._tasks.add(asyncio.current_task())
            try:
                head = await reader.readuntil(b"\r\n\r\n")
                self.request_count += 1
                await script(Script(self, reader, writer, head))
            except asyncio.IncompleteReadError:
                # A check whether the endpoint still accepts connections.
                pass
            except OSError:
                self.closed_count += 1
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        world.closing(server.close)
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        world.store.put("servers", endpoint_id, server_entry(service, address))
