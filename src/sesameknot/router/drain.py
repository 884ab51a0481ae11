"""Requests in flight and the graceful shutdown of a router."""

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager


class Drain:
    """Count requests in flight and refuse new ones once draining.

    Attributes
    ----------
    leaving : bool
        Whether readiness fails so that the load balancer stops sending.
    refusing : bool
        Whether new requests are refused.
    in_flight_count : int
        Requests being served.
    """

    __slots__ = ("_idle", "in_flight_count", "leaving", "refusing")

    def __init__(self) -> None:
        self.leaving = False
        self.refusing = False
        self.in_flight_count = 0
        self._idle = asyncio.Event()
        self._idle.set()

    @contextmanager
    def request(self) -> Iterator[None]:
        """Count one request while the context is open."""
        self.in_flight_count += 1
        self._idle.clear()
        try:
            yield
        finally:
            self.in_flight_count -= 1
            if self.in_flight_count == 0:
                self._idle.set()

    async def wait_idle(self, limit_s: float) -> bool:
        """Wait until no request is in flight; return False after ``limit_s``."""
        try:
            async with asyncio.timeout(limit_s):
                await self._idle.wait()
        except TimeoutError:
            return False
        return True
