"""Admission to the running batch: a queue with priorities."""

import asyncio
import heapq
import itertools

from sesameknot.errors import RouterError


class DroppedError(RouterError):
    """The engine fell over and dropped the request."""


class Batch:
    """Requests that run at a time, and those that wait.

    Parameters
    ----------
    capacity_count : int
        Requests that run at a time.
    """

    def __init__(self, capacity_count: int) -> None:
        self.capacity_count = capacity_count
        self.generation = 0
        self.running_count = 0
        self._order = itertools.count()
        self._queue: list[tuple[int, int, asyncio.Future[None]]] = []

    @property
    def queued_count(self) -> int:
        """Requests that wait."""
        return sum(not future.done() for _, _, future in self._queue)

    async def enter(self, priority: int, *, queue: bool = True) -> int:
        """Wait for a place and return the generation in which it was given.

        Parameters
        ----------
        priority : int
            Higher values go first.
        queue : bool, default=True
            Whether to wait for a place or to start at once.
        """
        if not queue or self.running_count < self.capacity_count:
            self.running_count += 1
            return self.generation
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        heapq.heappush(self._queue, (-priority, next(self._order), future))
        generation = self.generation
        try:
            await future
        except asyncio.CancelledError:
            if future.done() and not future.cancelled() and not future.exception():
                self.leave(generation)
            raise
        return self.generation

    def leave(self, generation: int) -> None:
        """Give a place back; a place of an earlier generation is gone already."""
        if generation != self.generation:
            return
        self.running_count -= 1
        while self._queue and self.running_count < self.capacity_count:
            _, _, future = heapq.heappop(self._queue)
            if not future.done():
                self.running_count += 1
                future.set_result(None)

    def drop_all(self) -> None:
        """Fail the waiting requests and forget the running ones."""
        self.generation += 1
        self.running_count = 0
        for _, _, future in self._queue:
            if not future.done():
                future.set_exception(DroppedError("engine fell over", step="queue"))
        self._queue.clear()
