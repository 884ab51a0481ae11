"""Order of requests that wait for a slot at an endpoint."""

import asyncio
import heapq
import itertools
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field


@dataclass(slots=True, order=True)
class _Waiter:
    rank: tuple[int, int]
    woken: asyncio.Event = field(compare=False)


class WaitQueue:
    """Waiting requests of one model or service, the most urgent first.

    Only the first one tries endpoints, so that a later request of lower priority
    cannot take the slot it waits for.
    """

    __slots__ = ("_numbers", "_waiters")

    def __init__(self) -> None:
        self._waiters: list[_Waiter] = []
        self._numbers = itertools.count()

    def __len__(self) -> int:
        return len(self._waiters)

    @contextmanager
    def enter(self, priority: int) -> Iterator["Turn"]:
        """Stand in the queue while the context is open."""
        waiter = _Waiter((-priority, next(self._numbers)), asyncio.Event())
        heapq.heappush(self._waiters, waiter)
        try:
            yield Turn(self, waiter)
        finally:
            self._waiters.remove(waiter)
            heapq.heapify(self._waiters)
            self.wake_first()

    def wake_first(self) -> None:
        """Let the first request try again."""
        if self._waiters:
            self._waiters[0].woken.set()

    def is_first(self, waiter: _Waiter) -> bool:
        """Return whether ``waiter`` may try."""
        return self._waiters[0] is waiter


class Turn:
    """One request's place in a queue."""

    __slots__ = ("_queue", "_waiter")

    def __init__(self, queue: WaitQueue, waiter: _Waiter) -> None:
        self._queue = queue
        self._waiter = waiter

    @property
    def is_first(self) -> bool:
        """Whether this request may try now."""
        return self._queue.is_first(self._waiter)

    async def wait(self, limit_s: float) -> None:
        """Wait until woken or until ``limit_s`` passed."""
        self._waiter.woken.clear()
        try:
            async with asyncio.timeout(limit_s):
                await self._waiter.woken.wait()
        except TimeoutError:
            return
