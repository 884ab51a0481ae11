"""Event queue of the discrete-event fakes."""

import heapq
from collections.abc import Callable
from typing import Any

from sesameknot.clock import ManualClock


class EventQueue:
    """Callbacks in order of time; ties run in the order of their scheduling."""

    __slots__ = ("_count", "_heap", "clock")

    def __init__(self) -> None:
        self.clock = ManualClock(0.0)
        self._heap: list[tuple[float, int, Callable[[Any], None], Any]] = []
        self._count = 0

    @property
    def now_s(self) -> float:
        """Present time."""
        return self.clock.monotonic_s()

    def schedule(
        self, at_s: float, callback: Callable[[Any], None], argument: Any = None
    ) -> None:
        """Call ``callback`` with ``argument`` at ``at_s``."""
        self._count += 1
        heapq.heappush(self._heap, (at_s, self._count, callback, argument))

    def run(self) -> None:
        """Run until no event is left."""
        while self._heap:
            at_s, _, callback, argument = heapq.heappop(self._heap)
            self.clock.advance(max(0.0, at_s - self.clock.monotonic_s()))
            callback(argument)
