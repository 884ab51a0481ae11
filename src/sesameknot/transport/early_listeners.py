"""Listening sockets that are opened before the rest of the program is loaded.

Loading the libraries takes most of the start. Callers that connect meanwhile wait in
the queue of the listening socket instead of being refused. This module imports nothing
but a few modules of the standard library.
"""

import os
import socket

# Comma-separated ``ip:port`` values; the deployment sets the variable.
ADDRESSES_VARIABLE = "SESAMEKNOT_LISTEN_ADDRESSES"
# All callers of a failure domain may connect to the host that starts first.
BACKLOG_COUNT = 512


class EarlyListeners:
    """Listening sockets by address, until the servers take them over.

    Attributes
    ----------
    errors : dict of str to str
        Reasons for which addresses could not be listened on, to be logged later.
    """

    def __init__(self) -> None:
        self.errors: dict[str, str] = {}
        self._sockets: dict[str, socket.socket] = {}

    def open(self, addresses: str) -> None:
        """Listen on comma-separated ``ip:port`` addresses."""
        for address in filter(None, addresses.split(",")):
            try:
                self._sockets[address] = _listening_socket(address)
            except (OSError, ValueError) as error:
                self.errors[address] = str(error)

    def take(self, address: str) -> socket.socket | None:
        """Return the socket of an address, which the caller then owns; or None."""
        return self._sockets.pop(address, None)

    def close(self) -> None:
        """Close the sockets that nobody took."""
        for listener in self._sockets.values():
            listener.close()
        self._sockets.clear()


def _listening_socket(address: str) -> socket.socket:
    ip, _, port = address.rpartition(":")
    listener = socket.socket()
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.setblocking(False)
        listener.bind((ip, int(port)))
        listener.listen(BACKLOG_COUNT)
    except (OSError, ValueError):
        listener.close()
        raise
    return listener


def open_early_listeners() -> EarlyListeners:
    """Listen on the addresses that the environment names, if any."""
    listeners = EarlyListeners()
    listeners.open(os.environ.get(ADDRESSES_VARIABLE, ""))
    return listeners
