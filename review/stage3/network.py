"""Loopback addresses of one run, which other runs on the machine do not use."""

import random
import socket

_random = random.SystemRandom()


class LoopbackNet:
    """Block ``127.x.y.0/24`` whose ports are free.

    Attributes
    ----------
    prefix : str
        First three parts of all addresses, with a dot at the end.
    """

    def __init__(self) -> None:
        second, third = _random.randint(10, 250), _random.randint(1, 250)
        self.prefix = f"127.{second}.{third}."

    def ip(self, number: int) -> str:
        """Return an address of the block."""
        return f"{self.prefix}{number}"

    def free_port(self, ip: str) -> int:
        """Return a port of ``ip`` that nothing listens on."""
        with socket.socket() as probe:
            probe.bind((ip, 0))
            return int(probe.getsockname()[1])
