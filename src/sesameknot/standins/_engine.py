"""The life of an endpoint stand-in: cold start, batch, load and faults."""

import asyncio
from collections import deque
from dataclasses import dataclass, field

from tornado.iostream import IOStream

from sesameknot.clock import Clock
from sesameknot.standins._batch import Batch, DroppedError
from sesameknot.standins._connections import Connections
from sesameknot.standins._engine_options import EngineOptions
from sesameknot.standins._execution_record import ExecutionRecord
from sesameknot.standins._prefix_cache import PrefixCache
from sesameknot.standins._switches import Switches

SNAPSHOT_LIMIT_COUNT = 4096


@dataclass(slots=True, frozen=True)
class LoadSnapshot:
    """The load at one time."""

    time_s: float
    state: str
    running_count: int
    queued_count: int
    capacity_count: int
    versions: tuple[str, ...] = field(default_factory=tuple)


class Engine:
    """State that all requests of one stand-in share.

    Parameters
    ----------
    options : EngineOptions
        Behaviour.
    clock : Clock
        Source of monotonic time.
    """

    def __init__(self, options: EngineOptions, *, clock: Clock) -> None:
        self.options = options
        self.clock = clock
        self.connections = Connections()
        self.record = ExecutionRecord(clock)
        self.switches = Switches()
        self.versions = set(options.versions)
        self.highest_fence = 0
        self.role = "serve"
        self.batch = Batch(options.capacity_count)
        self.cache = PrefixCache(
            clock,
            block_limit_count=options.cache_block_count,
            event_delay_s=options.event_delay_s,
            gap_share=options.event_gap_share,
            random_state=options.random_state,
        )
        self.cancelled: set[str] = set()
        self._loading_until_s = 0.0
        self._cold_until_s = clock.monotonic_s() + options.cold_s
        self._snapshots: deque[LoadSnapshot] = deque(maxlen=SNAPSHOT_LIMIT_COUNT)
        self.snapshot()

    @property
    def state(self) -> str:
        """``cold``, ``warm`` or ``leaving``."""
        if self.switches.leaving:
            return "leaving"
        return "cold" if self.cold else "warm"

    @property
    def cold(self) -> bool:
        """Whether it bears only its cold slots."""
        return self.clock.monotonic_s() < self._cold_until_s

    @property
    def loading(self) -> bool:
        """Whether it cannot run anything yet."""
        return self.clock.monotonic_s() < self._loading_until_s

    async def enter(self, priority: int) -> int:
        """Admit one request and return its generation.

        Raises
        ------
        DroppedError
            If this request made the engine fall over, or it fell over meanwhile.
        """
        generation = await self.batch.enter(priority, queue=not self.cold)
        if self.cold:
            running_count = self.batch.running_count
            self.record.largest_cold_count = max(
                self.record.largest_cold_count, running_count
            )
            if running_count > self.options.cold_slot_count:
                self.fall_over()
                raise DroppedError("too much load while cold", step="enter")
        self.snapshot()
        return generation

    def leave(self, generation: int) -> None:
        """Take one request out of the batch."""
        self.batch.leave(generation)
        self.snapshot()

    async def work(self, duration_s: float, generation: int) -> None:
        """Spend the time that a step takes beside the other running requests.

        Raises
        ------
        DroppedError
            If the engine fell over meanwhile.
        """
        factor = 1 + self.options.batch_slope * max(0, self.batch.running_count - 1)
        if self.cold:
            factor *= self.options.cold_factor
        await asyncio.sleep(duration_s * factor)
        if generation != self.batch.generation:
            raise DroppedError("engine fell over", step="work")

    def fall_over(self) -> None:
        """Drop all connections and start cold again."""
        self.record.fall_count += 1
        self.restart(self.options.cold_s, restart_s=self.options.restart_s)
        self.connections.drop()

    def restart(self, cold_s: float, *, restart_s: float = 0.0) -> None:
        """Forget all running work and start cold."""
        now_s = self.clock.monotonic_s()
        self.batch.drop_all()
        self.cache.clear()
        self._loading_until_s = now_s + restart_s
        self._cold_until_s = now_s + restart_s + cold_s
        self.snapshot()

    def turn_cold(
        self, cold_s: float, *, drop: bool, keep: IOStream | None = None
    ) -> None:
        """Become cold without notice, with or without losing the running work."""
        if drop:
            self.restart(cold_s)
            self.connections.drop(keep=keep)
            return
        self._cold_until_s = self.clock.monotonic_s() + cold_s
        self.snapshot()

    def snapshot(self) -> LoadSnapshot:
        """Record and return the present load."""
        present = LoadSnapshot(
            time_s=self.clock.monotonic_s(),
            state=self.state,
            running_count=self.batch.running_count,
            queued_count=self.batch.queued_count,
            capacity_count=self.options.capacity_count,
            versions=tuple(sorted(self.versions)),
        )
        self._snapshots.append(present)
        return present

    def published(self) -> LoadSnapshot:
        """Return the newest load that is at least as old as the lag."""
        self.snapshot()
        limit_s = self.clock.monotonic_s() - self.options.load_lag_s
        while len(self._snapshots) > 1 and self._snapshots[1].time_s <= limit_s:
            self._snapshots.popleft()
        return self._snapshots[0]
