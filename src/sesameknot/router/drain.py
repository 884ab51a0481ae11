"""Draining of a router: requests in flight and the phases of its shutdown."""

import asyncio
import math
from collections.abc import Iterator
from contextlib import contextmanager


class Drain:
    """Track requests in flight and whether new ones are accepted during shutdown.

    Attributes
    ----------
    draining : bool
        Whether the readiness check fails, so that load balancers stop sending.
    refusing : bool
        Whether new requests are refused; set later than ``draining``.
    finish_by_s : float
        Monotonic time. While ``refusing`` is set, a request is still accepted if its
        deadline is no later.
    in_flight_count : int
        Number of requests in flight.
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
        """Return whether a request is accepted, given its monotonic deadline."""
        return not self.refusing or deadline_s <= self.finish_by_s

    @contextmanager
    def track_request(self) -> Iterator[None]:
        """Count a request as in flight while the context is open."""
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
