"""Timing of rounds that repeat at an interval, and begin early if there is news."""

import asyncio
import contextlib
import random

# Relative jitter of the interval.
JITTER = 0.1


class RoundTimer:
    """Waits between rounds.

    Parameters
    ----------
    interval_s : float
        Mean time between two rounds.
    min_interval_s : float
        Least time between two rounds, so that news that come together are told
        together.
    """

    __slots__ = ("_has_news", "_interval_s", "_min_interval_s")

    def __init__(self, *, interval_s: float, min_interval_s: float) -> None:
        self._interval_s = interval_s
        self._min_interval_s = min_interval_s
        self._has_news = asyncio.Event()

    def begin_early(self) -> None:
        """Begin the next round early, because there is news."""
        self._has_news.set()

    async def wait(self) -> bool:
        """Wait until the next round; return whether there is news."""
        interval_s = self._interval_s * random.uniform(1.0 - JITTER, 1.0 + JITTER)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(interval_s):
                await asyncio.sleep(self._min_interval_s)
                await self._has_news.wait()
        has_news = self._has_news.is_set()
        self._has_news.clear()
        return has_news
