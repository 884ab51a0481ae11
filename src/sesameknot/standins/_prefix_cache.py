"""A prompt prefix cache of limited size with late and incomplete events."""

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass

import numpy as np

from sesameknot.clock import Clock


@dataclass(slots=True, frozen=True)
class CacheEvent:
    """One change of the cache; ``kind`` is added or evicted."""

    sequence: int
    kind: str
    prefix_hash: int
    visible_s: float


EVENT_LIMIT_COUNT = 4096


class PrefixCache:
    """Least-recently-used blocks of prompts.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.
    block_limit_count : int
        Blocks that fit.
    event_delay_s : float
        Delay until an event is published.
    gap_share : float
        Share of events that are lost.
    random_state : int
        Seed of the losses.
    """

    def __init__(
        self,
        clock: Clock,
        *,
        block_limit_count: int,
        event_delay_s: float,
        gap_share: float,
        random_state: int,
    ) -> None:
        self._clock = clock
        self._block_limit_count = block_limit_count
        self._event_delay_s = event_delay_s
        self._gap_share = gap_share
        self._rng = np.random.default_rng(random_state)
        self._blocks: OrderedDict[int, None] = OrderedDict()
        self._events: list[CacheEvent] = []
        self._sequence = 0

    def touch(self, hashes: Iterable[int]) -> int:
        """Use the blocks of a prompt and return how many leading ones were cached."""
        hit_count = 0
        leading = True
        for block in hashes:
            leading = leading and block in self._blocks
            hit_count += leading
            self._add(block)
        return hit_count

    def _add(self, block: int) -> None:
        if block not in self._blocks:
            self._publish("added", block)
        self._blocks[block] = None
        self._blocks.move_to_end(block)
        while len(self._blocks) > self._block_limit_count:
            evicted, _ = self._blocks.popitem(last=False)
            self._publish("evicted", evicted)

    def _publish(self, kind: str, block: int) -> None:
        self._sequence += 1
        if self._rng.random() < self._gap_share:
            return
        visible_s = self._clock.monotonic_s() + self._event_delay_s
        self._events.append(CacheEvent(self._sequence, kind, block, visible_s))
        del self._events[:-EVENT_LIMIT_COUNT]

    def clear(self) -> None:
        """Drop all blocks without an event, as a restarted engine does."""
        self._blocks.clear()

    def hashes(self) -> list[int]:
        """Return the cached blocks, the least recently used first."""
        return list(self._blocks)

    def events(self, since: int) -> list[CacheEvent]:
        """Return the published events after sequence ``since``."""
        now_s = self._clock.monotonic_s()
        return [e for e in self._events if e.sequence > since and e.visible_s <= now_s]
