"""Requests in flight and the graceful shutdown of a router."""

import asyncio
import math
from collections.abc import Iterator
from contextlib import contextmanager


class Drain:
    """Count requests in flight and refuse new ones once draining.

    Attributes
    ----------
    draining : bool
        Whether readiness fails so that the load balancer stops sending.
    refusing : bool
        Whether new requests are refused.
    finish_by_s : float
        Monotonic time by which a request must end to be taken while refusing.
    in_flight_count : int
        Requests being served.
    """

    __slots__ = ("_idle", "draining", "finish_by_s", "in_flight_count", "refusing")

    def __init__(self) -> None:
        self.draining = False
        self.refusing = False
        self.finish_by_s = -math.inf
        self.in_flight_count = 0
        self._idle = asyncio.Event()
        self._idle.set()

    def accepts(self, deadline_s: float) -> bool:
        """Return whether a request with this monotonic deadline may be taken."""
        return not self.refusing or deadline_s <= self.finish_by_s

    @contextmanager
    def track_request(self) -> Iterator[None]:
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
