"""What all binaries share: the stop signal and a loopback HTTP server."""

import asyncio
import signal

from tornado.httpserver import HTTPServer


def stop_event() -> asyncio.Event:
    """Return an event that SIGINT and SIGTERM set."""
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, stopped.set)
    return stopped


async def serve_until_stopped(server: HTTPServer, address: str, port: int) -> None:
    """Listen until the process is asked to stop, then close all connections."""
    stopped = stop_event()
    server.listen(port, address=address)
    await stopped.wait()
    server.stop()
    await server.close_all_connections()
