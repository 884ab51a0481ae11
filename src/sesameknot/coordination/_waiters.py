"""Notification of tasks that wait for a change."""

import asyncio


class Waiters:
    """Wake waiting tasks in the order in which they started to wait."""

    __slots__ = ("_futures",)

    def __init__(self) -> None:
        self._futures: dict[asyncio.Future[None], None] = {}

    async def wait(self) -> None:
        """Wait for the next call of :meth:`notify`."""
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._futures[future] = None
        try:
            await future
        finally:
            del self._futures[future]

    def notify(self) -> None:
        """Wake all tasks that are waiting."""
        for future in list(self._futures):
            if not future.done():
                future.set_result(None)
