"""Stop signal and HTTP server shared by the binaries."""

import asyncio
import signal

from tornado.httpserver import HTTPServer


def stop_event() -> asyncio.Event:
    """Return an event that is set by SIGINT or SIGTERM."""
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(signal_number, stopped.set)
    return stopped


async def serve_until_stopped(server: HTTPServer, address: str, port: int) -> None:
    """Serve until SIGINT or SIGTERM, then close all connections."""
    stopped = stop_event()
    server.listen(port, address=address)
    await stopped.wait()
    server.stop()
    await server.close_all_connections()
