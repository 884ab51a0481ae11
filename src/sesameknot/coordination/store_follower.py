"""Follow one kind of the store's objects and apply every change to the fleet view."""

import asyncio
import random
from collections import deque
from collections.abc import Callable, Coroutine, Sequence
from dataclasses import dataclass
from typing import Any

import structlog

from sesameknot.clock import Clock
from sesameknot.errors import PlatformError, RouterError
from sesameknot.platform import Changes, StoreClient, StoredEntry
from sesameknot.settings.front import StoreSettings

# Changes that are kept for hosts that are told of them by this one.
CHANGE_LIMIT_COUNT = 1000

log = structlog.get_logger(__name__)


class ObjectSink:
    """What a follower tells of one kind.

    Parameters
    ----------
    replace : callable
        Takes the complete list.
    change : callable
        Takes the entries that changed.
    """

    __slots__ = ("change", "replace")

    def __init__(
        self,
        *,
        replace: Callable[[Sequence[StoredEntry]], None],
        change: Callable[[Sequence[StoredEntry]], None],
    ) -> None:
        self.replace = replace
        self.change = change


class StoreLink:
    """What the followers of one host tell each other of the store.

    A watch that waits for long does not notice an outage. When one follower's call
    fails, the others end their waiting watches and call again. While the calls of the
    follower that probes the store fail, the others wait for an answer to it. While
    another host relays the store's changes, none of them calls.

    Parameters
    ----------
    on_failure : callable
        Called at each failure.

    Attributes
    ----------
    relayed : bool
        Whether another host relays the store's changes.
    """

    __slots__ = ("_answering", "_direct", "_interrupted", "on_failure", "relayed")

    def __init__(self, *, on_failure: Callable[[], None]) -> None:
        self.on_failure = on_failure
        self.relayed = False
        self._interrupted = asyncio.Event()
        # Followers watch only once it is decided which hosts are the relays.
        self._direct = asyncio.Event()
        self._answering = asyncio.Event()
        self._answering.set()

    def relay(self, relayed: bool) -> None:
        """Begin or end the relaying."""
        if not relayed:
            self._direct.set()
        elif not self.relayed:
            self._direct.clear()
            self.interrupt()
        self.relayed = relayed

    async def until_direct(self) -> None:
        """Wait until no other host relays the changes."""
        await self._direct.wait()

    def note_probe(self, *, answered: bool) -> None:
        """Note whether the store answered the follower that probes it."""
        if answered:
            self._answering.set()
        else:
            self._answering.clear()

    async def until_answering(self) -> None:
        """Wait until the store answers the follower that probes it."""
        await self._answering.wait()

    def interrupt(self) -> None:
        """End the waiting watches of all followers."""
        self._interrupted.set()
        self._interrupted = asyncio.Event()

    async def until_interrupted(
        self, call: Coroutine[Any, Any, Changes]
    ) -> Changes | None:
        """Return the result of ``call``, None if the wait is to end before."""
        task = asyncio.ensure_future(call)
        interrupted = asyncio.ensure_future(self._interrupted.wait())
        try:
            await asyncio.wait({task, interrupted}, return_when=asyncio.FIRST_COMPLETED)
            return task.result() if task.done() else None
        finally:
            interrupted.cancel()
            task.cancel()


@dataclass(slots=True, kw_only=True)
class WatchTiming:
    """How long a watch waits, and how long changes are gathered after one."""

    wait_s: float
    gather_s: float = 0.0


class StoreFollower:
    """Task that lists a kind once and watches it from there on.

    Parameters
    ----------
    kind : str
        Kind of the objects.
    store : StoreClient
        The store.
    sink : ObjectSink
        Receiver of the objects.
    link : StoreLink
        Shared by the followers of this host.
    timing : WatchTiming
        Waits of the watch.
    settings : StoreSettings
        Pauses after failures.
    clock : Clock
        Source of monotonic time.
    probing : bool, default=False
        Whether this follower keeps calling a store that does not answer.
    """

    def __init__(
        self,
        kind: str,
        *,
        store: StoreClient,
        sink: ObjectSink,
        link: StoreLink,
        timing: WatchTiming,
        settings: StoreSettings,
        clock: Clock,
        probing: bool = False,
    ) -> None:
        self.kind = kind
        self.revision = 0
        self.answered_s = float("-inf")
        self.listed = False
        self.lost_s = float("inf")
        self.entries: dict[str, StoredEntry] = {}
        self.timing = timing
        self._changes: deque[StoredEntry] = deque(maxlen=CHANGE_LIMIT_COUNT)
        self._changes_from = 0
        self._store = store
        self._sink = sink
        self._link = link
        self._settings = settings
        self._clock = clock
        self._probing = probing

    @property
    def lost(self) -> bool:
        """Whether the last call failed."""
        return self.lost_s != float("inf")

    async def run(self) -> None:
        """Follow the kind until cancelled."""
        pause_s = self._settings.retry_min_s
        while True:
            try:
                await self._step()
                pause_s = self._settings.retry_min_s
                continue
            except PlatformError as error:
                self._failed(error)
            except Exception:
                # A fault in one entry must not end the task that follows the others.
                log.exception("store_follower_failed", kind=self.kind)
                self.listed = False
            await asyncio.sleep(pause_s * random.uniform(0.8, 1.2))
            pause_s = min(self._settings.retry_max_s, pause_s * 2.0)

    async def _step(self) -> None:
        if not self._probing:
            await self._link.until_answering()
        if self.listed:
            await self._link.until_direct()
            await self._watch()
            return
        changes = await self._store.list(self.kind)
        self._answered(changes)
        self._replace(changes.entries)

    def _replace(self, entries: Sequence[StoredEntry]) -> None:
        self.entries = {entry.name: entry for entry in entries}
        self._changes.clear()
        self._changes_from = self.revision
        self._sink.replace(entries)
        self.listed = True

    def adopt(self, entries: Sequence[StoredEntry], revision: int) -> None:
        """Take another host's objects as of ``revision`` and watch on from there."""
        self.revision = revision
        self._replace(entries)

    async def _watch(self) -> None:
        # After a failure, a call that hardly waits shows at once if the store answers.
        wait_s = self._settings.retry_min_s if self.lost else self.timing.wait_s
        changes = await self._link.until_interrupted(
            self._store.watch(
                self.kind,
                since_revision=self.revision,
                wait_s=wait_s,
                margin_s=self._settings.watch_margin_s,
            )
        )
        if changes is None:
            return
        if changes.history_lost:
            log.info("store_history_lost", kind=self.kind, revision=self.revision)
            self.listed = False
            # The other kinds' watches may wait for changes that were dropped as well.
            self._link.interrupt()
            return
        self._answered(changes)
        if changes.entries:
            self._keep(changes.entries)
            self._sink.change(changes.entries)
            await asyncio.sleep(self.timing.gather_s)

    def relay(self, entries: Sequence[StoredEntry], revision: int) -> None:
        """Take changes up to ``revision`` from another host; older ones are ignored."""
        if not self.listed or revision <= self.revision:
            return
        self.revision = revision
        if entries:
            self._keep(entries)
            self._sink.change(entries)

    def changes_since(self, revision: int) -> list[StoredEntry] | None:
        """Return the changes after ``revision``, None if they are not all kept."""
        if revision < self._changes_from:
            return None
        return [entry for entry in self._changes if entry.revision > revision]

    def _keep(self, entries: Sequence[StoredEntry]) -> None:
        for entry in entries:
            if len(self._changes) == CHANGE_LIMIT_COUNT:
                self._changes_from = self._changes[0].revision
            self._changes.append(entry)
            if entry.deleted:
                self.entries.pop(entry.name, None)
            else:
                self.entries[entry.name] = entry

    def _answered(self, changes: Changes) -> None:
        self.answered_s = self._clock.monotonic_s()
        self.revision = changes.revision
        if self._probing:
            self._link.note_probe(answered=True)
        if self.lost:
            self.lost_s = float("inf")
            log.info("store_regained", kind=self.kind, revision=self.revision)
        if changes.unreadable_count:
            log.warning(
                "store_entries_unreadable",
                kind=self.kind,
                count=changes.unreadable_count,
            )

    def _failed(self, error: RouterError) -> None:
        self._link.on_failure()
        if self._probing:
            self._link.note_probe(answered=False)
        if self.lost:
            return
        self.lost_s = self._clock.monotonic_s()
        self._link.interrupt()
        log.warning(
            "store_lost",
            kind=self.kind,
            step=error.step,
            peer=error.peer,
            reason=error.message,
            revision=self.revision,
        )
