"""Draining of a host: requests in flight and the phases of its shutdown."""

import asyncio
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from enum import IntEnum


class DrainPhase(IntEnum):
    """Phase of a host's shutdown; phases only ever advance.

    In ``LEAVING``, the readiness check fails and answers ask callers to close their
    connections. In ``FINISHING``, a request is accepted only if its deadline allows it.
    In ``CLOSED``, nothing is accepted.
    """

    SERVING = 0
    LEAVING = 1
    FINISHING = 2
    CLOSED = 3


class Drain:
    """Decide which requests a host accepts until its end, and count those in flight.

    Attributes
    ----------
    phase : DrainPhase
        Phase of the shutdown.
    in_flight_count : int
        Number of requests in flight, from the end of their heads on.
    """

    __slots__ = (
        "_close_callbacks",
        "_finish_by_s",
        "_idle",
        "_idle_since_s",
        "in_flight_count",
        "phase",
    )

    def __init__(self) -> None:
        self.phase = DrainPhase.SERVING
        self.in_flight_count = 0
        self._finish_by_s = float("-inf")
        self._idle = asyncio.Event()
        self._idle.set()
        # Time of the event loop.
        self._idle_since_s = float("-inf")
        self._close_callbacks: list[Callable[[], object]] = []

    @property
    def draining(self) -> bool:
        """Whether the readiness check fails, so that load balancers stop sending."""
        return self.phase >= DrainPhase.LEAVING

    @property
    def refusing(self) -> bool:
        """Whether requests are refused, or those that would end too late."""
        return self.phase >= DrainPhase.FINISHING

    def accepts(self, deadline_s: float) -> bool:
        """Return whether a request is accepted, given its monotonic deadline."""
        if self.phase is DrainPhase.FINISHING:
            return deadline_s <= self._finish_by_s
        return self.phase < DrainPhase.FINISHING

    def on_close(self, callback: Callable[[], object]) -> None:
        """Call ``callback`` in the step that ends the acceptance of requests."""
        self._close_callbacks.append(callback)

    def leave(self) -> None:
        """Let the readiness check fail; requests are still accepted."""
        self._advance(DrainPhase.LEAVING)

    def finish(self, *, by_s: float = float("-inf")) -> None:
        """Accept from now on only requests whose monotonic deadline is in time.

        Parameters
        ----------
        by_s : float, default=-inf
            Latest deadline; by default, no request is accepted.
        """
        self._finish_by_s = by_s
        self._advance(DrainPhase.FINISHING)

    def close(self) -> None:
        """Accept nothing any more; requests in flight go on."""
        if self.phase is DrainPhase.CLOSED:
            return
        self._advance(DrainPhase.CLOSED)
        for callback in self._close_callbacks:
            callback()

    def _advance(self, phase: DrainPhase) -> None:
        self.phase = max(self.phase, phase)

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
                self._idle_since_s = asyncio.get_running_loop().time()
                self._idle.set()

    async def close_when_quiet(self, quiet_s: float, *, limit_s: float) -> bool:
        """Close once no request has been in flight for a while.

        Between the check and :meth:`close`, the event loop runs nothing else, so no
        request can be accepted after the check.

        Parameters
        ----------
        quiet_s : float
            Time since the end of the last request.
        limit_s : float
            Longest time to wait.

        Returns
        -------
        bool
            False if requests were still in flight after ``limit_s``; nothing is closed
            then.
        """
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(limit_s):
                while True:
                    await self._idle.wait()
                    left_s = self._idle_since_s + quiet_s - loop.time()
                    if self.in_flight_count == 0 and left_s <= 0.0:
                        break
                    await asyncio.sleep(max(0.0, left_s))
        except TimeoutError:
            return False
        self.close()
        return True

    async def wait_idle(self, limit_s: float) -> bool:
        """Wait until no request is in flight; return False after ``limit_s``."""
        try:
            async with asyncio.timeout(limit_s):
                await self._idle.wait()
        except TimeoutError:
            return False
        return True
