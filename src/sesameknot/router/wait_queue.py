"""Priority queue of requests that wait for a slot at an endpoint."""

import asyncio
import heapq
import itertools
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field


@dataclass(slots=True, order=True)
class _Waiter:
    rank: tuple[int, int]
    wake_event: asyncio.Event = field(compare=False)


class WaitQueue:
    """Waiting requests of one endpoint pool, the most urgent first.

    Only the first one tries endpoints, so that a later request of lower priority
    cannot take the slot that it waits for.
    """

    __slots__ = ("_arrival_numbers", "_waiters")

    def __init__(self) -> None:
        self._waiters: list[_Waiter] = []
        self._arrival_numbers = itertools.count()

    def __len__(self) -> int:
        return len(self._waiters)

    @contextmanager
    def enter(self, priority: int) -> Iterator["QueueEntry"]:
        """Queue a request until the context is left."""
        waiter = _Waiter((-priority, next(self._arrival_numbers)), asyncio.Event())
        heapq.heappush(self._waiters, waiter)
        try:
            yield QueueEntry(self, waiter)
        finally:
            self._waiters.remove(waiter)
            heapq.heapify(self._waiters)
            self.wake_first()

    def wake_first(self) -> None:
        """Wake the first request, so that it tries endpoints again."""
        if self._waiters:
            self._waiters[0].wake_event.set()

    def is_first(self, waiter: _Waiter) -> bool:
        """Return whether ``waiter`` is first and may try endpoints."""
        return self._waiters[0] is waiter


class QueueEntry:
    """A request's entry in a wait queue."""

    __slots__ = ("_queue", "_waiter")

    def __init__(self, queue: WaitQueue, waiter: _Waiter) -> None:
        self._queue = queue
        self._waiter = waiter

    @property
    def is_first(self) -> bool:
        """Whether this request may try endpoints now."""
        return self._queue.is_first(self._waiter)

    async def wait(self, limit_s: float) -> None:
        """Wait until the request is woken, for at most ``limit_s``."""
        self._waiter.wake_event.clear()
        try:
            async with asyncio.timeout(limit_s):
                await self._waiter.wake_event.wait()
        except TimeoutError:
            return
