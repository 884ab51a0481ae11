"""Part of the composition root: listening sockets of the front process."""

import contextlib
import socket

import structlog
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets

from sesameknot.transport.early_listeners import EarlyListeners

log = structlog.get_logger(__name__)


class FrontListeners:
    """Serve on sockets that listen already, or open them.

    Parameters
    ----------
    early : EarlyListeners
        Sockets that listen already.
    stack : contextlib.AsyncExitStack
        Stops the servers.
    """

    __slots__ = ("_early", "_stack")

    def __init__(self, early: EarlyListeners, stack: contextlib.AsyncExitStack) -> None:
        self._early = early
        self._stack = stack

    def bind(self, address: str) -> list[socket.socket]:
        """Return listening sockets for ``ip:port``."""
        listener = self._early.take(address)
        if listener is not None:
            return [listener]
        ip, _, port = address.rpartition(":")
        return bind_sockets(int(port), ip)

    def serve(self, server: HTTPServer, address: str) -> None:
        """Let ``server`` accept connections at ``ip:port``."""
        server.add_sockets(self.bind(address))
        self._stack.push_async_callback(server.close_all_connections)
        self._stack.callback(server.stop)

    def close(self) -> None:
        """Log which early sockets failed, and close those that nothing took."""
        for address, reason in self._early.errors.items():
            log.info("early_listener_failed", address=address, reason=reason)
        self._early.close()
