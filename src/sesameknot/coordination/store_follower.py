"""Follow the objects of one kind in the store and pass every change to a sink."""

import asyncio
import random
from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass

import structlog

from sesameknot.clock import Clock
from sesameknot.coordination.store_link import StoreLink
from sesameknot.errors import PlatformError, PlatformTimeoutError, RouterError
from sesameknot.platform import EntryBatch, StoreClient, StoredEntry
from sesameknot.settings.front import StoreSettings

# Number of recent changes that are kept for the hosts to which this one relays them.
CHANGE_LIMIT_COUNT = 1000

# Largest factor by which a pause before a retry is longer than its mean.
RETRY_JITTER = 1.2

log = structlog.get_logger(__name__)


class ObjectSink:
    """Callbacks that receive the objects of one kind.

    Parameters
    ----------
    replace : callable
        Receives the complete list of entries.
    change : callable
        Receives the entries that changed.
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


@dataclass(slots=True, kw_only=True)
class WatchTiming:
    """Timing of a watch.

    Parameters
    ----------
    wait_s : float
        Time for which the store may wait for a change before it answers.
    gather_s : float, default=0.0
        Pause after a change, so that the next answer holds several changes.
    """

    wait_s: float
    gather_s: float = 0.0


class StoreFollower:
    """Task that lists the objects of a kind and then watches them for changes.

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
        Timing of the watch.
    settings : StoreSettings
        Pauses after failures.
    clock : Clock
        Source of monotonic time.
    probing : bool, default=False
        Whether this follower keeps calling a store that does not answer.

    Attributes
    ----------
    revision, era : int
        Revision of the store that the entries reflect, and the era that it belongs to.
    last_answer_s : float
        Monotonic time of the store's last answer.
    listed : bool
        Whether the objects were listed, so that changes can be watched.
    complete_as_of_s : float
        Monotonic time as of which all changes are known; infinite while a watch waits
        for the next one. Changes that come during the pause after an answer, or after
        the history was lost, are known only after the next answer.
    failing_since_s : float
        Monotonic time since which the calls fail; infinite if the last one succeeded.
    entries : dict
        Current entries by name.
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
        self.era = 0
        self.last_answer_s = float("-inf")
        self.listed = False
        self.failing_since_s = float("inf")
        self.entries: dict[str, StoredEntry] = {}
        self.timing = timing
        self._changes: deque[StoredEntry] = deque(maxlen=CHANGE_LIMIT_COUNT)
        self._changes_from_revision = 0
        # Nothing is known before the first list.
        self.complete_as_of_s = float("-inf")
        self._store = store
        self._sink = sink
        self._link = link
        self._settings = settings
        self._clock = clock
        self._probing = probing
        self._interrupted = False

    @property
    def failing(self) -> bool:
        """Whether the last call to the store failed."""
        return self.failing_since_s != float("inf")

    async def run(self) -> None:
        """Follow the kind until cancelled."""
        pause_s = self._settings.retry_min_s
        while True:
            try:
                await self._list_or_watch()
                pause_s = self._settings.retry_min_s
                continue
            except PlatformError as error:
                self._on_failure(error)
            except Exception:
                # An error in one entry must not end the task that follows the others.
                log.exception("store_follower_failed", kind=self.kind)
                self.listed = False
            await asyncio.sleep(
                pause_s * random.uniform(2.0 - RETRY_JITTER, RETRY_JITTER)
            )
            pause_s = min(self._settings.retry_max_s, pause_s * 2.0)

    async def _list_or_watch(self) -> None:
        if not self._probing:
            await self._link.wait_until_answering()
        if self.listed:
            await self._link.wait_until_direct()
            await self._watch()
            return
        changes = await self._store.list(self.kind)
        self._set_era(changes.era)
        self._on_answer(changes)
        self._replace(changes.entries)

    def _set_era(self, era: int) -> None:
        if self.listed_once and era != self.era:
            self._link.on_restored()
        self.era = era

    @property
    def listed_once(self) -> bool:
        """Whether the objects were ever listed."""
        return self.complete_as_of_s != float("-inf")

    def _replace(self, entries: Sequence[StoredEntry]) -> None:
        self.entries = {entry.name: entry for entry in entries}
        self._changes.clear()
        self._changes_from_revision = self.revision
        self._sink.replace(entries)
        self.listed = True

    @property
    def position(self) -> tuple[int, int]:
        """Era and revision, by which the states of two hosts are compared."""
        return self.era, self.revision

    def adopt(self, entries: Sequence[StoredEntry], revision: int, *, era: int) -> None:
        """Adopt another host's objects as of ``revision`` and watch from there."""
        self.revision = revision
        self._set_era(era)
        self.complete_as_of_s = float("inf")
        self._replace(entries)

    async def _watch(self) -> None:
        # After a failure, a short wait shows quickly whether the store answers again;
        # after a pause, whether there were changes. A probe that was interrupted waits
        # briefly, so that interruptions in a row do not delay its answers.
        wait_briefly = (
            self.failing or self._interrupted or self.complete_as_of_s != float("inf")
        )
        wait_s = self._settings.retry_min_s if wait_briefly else self.timing.wait_s
        started_s = self._clock.boot_s()
        started_monotonic_s = self._clock.monotonic_s()
        changes = await self._link.run_until_interrupted(
            self._store.watch(
                self.kind,
                since_revision=self.revision,
                wait_s=wait_s,
                margin_s=self._settings.watch_margin_s,
            )
        )
        transfer_s = changes.transfer_s if changes is not None else 0.0
        waited_s = self._clock.boot_s() - started_s - transfer_s
        # This process may have been paused, so that the answer is as old as the pause.
        late = waited_s > wait_s + self._settings.watch_margin_s
        self._interrupted = self._probing and (late or changes is None)
        if changes is None:
            return
        if changes.history_lost or changes.era != self.era:
            # After a return from a copy, revisions are given out again, so a watch may
            # go on from a revision that the store has by now and miss changes.
            log.info(
                "store_history_lost",
                kind=self.kind,
                revision=self.revision,
                era=self.era,
                store_era=changes.era,
            )
            self.listed = False
            if self.complete_as_of_s == float("inf"):
                # The watch was waiting, so it knew all changes at the last probe.
                self.complete_as_of_s = self._link.probe_answered_s
            # The other kinds' watches may also wait for changes that the store dropped.
            self._link.interrupt()
            return
        if changes.revision < self.revision:
            # Another host relayed these changes and later ones meanwhile.
            return
        if late:
            self._on_late_answer(changes, started_s=started_monotonic_s)
        else:
            self._on_answer(changes)
        if changes.entries:
            self._record_changes(changes.entries)
            self._sink.change(changes.entries)
            if self.timing.gather_s and not late:
                self.complete_as_of_s = self.last_answer_s
                await asyncio.sleep(self.timing.gather_s)

    def apply_relayed(self, entries: Sequence[StoredEntry], revision: int) -> None:
        """Apply changes of this era up to ``revision`` that another host relays.

        They are ignored if this host has them already or has not listed the kind.
        """
        if not self.listed or revision <= self.revision:
            return
        self.revision = revision
        if entries:
            self._record_changes(entries)
            self._sink.change(entries)

    def changes_since(self, revision: int) -> list[StoredEntry] | None:
        """Return the changes after ``revision``; None if not all of them are kept."""
        if revision < self._changes_from_revision:
            return None
        return [entry for entry in self._changes if entry.revision > revision]

    def _record_changes(self, entries: Sequence[StoredEntry]) -> None:
        for entry in entries:
            if len(self._changes) == CHANGE_LIMIT_COUNT:
                self._changes_from_revision = self._changes[0].revision
            self._changes.append(entry)
            if entry.deleted:
                self.entries.pop(entry.name, None)
            else:
                self.entries[entry.name] = entry

    def _on_answer(self, changes: EntryBatch) -> None:
        self._link.on_answer()
        self.last_answer_s = self._clock.monotonic_s() - changes.transfer_s
        self.revision = changes.revision
        self.complete_as_of_s = float("inf")
        if self._probing:
            self._link.probe_answered_s = self.last_answer_s
            self._link.set_answering(answering=True)
        if self.failing:
            self.failing_since_s = float("inf")
            log.info("store_regained", kind=self.kind, revision=self.revision)
        self._log_unreadable(changes)

    def _on_late_answer(self, changes: EntryBatch, *, started_s: float) -> None:
        """Go on from an answer that shows only what held when the call started.

        It must not be asked for again: what made it late may make the next one late.
        """
        self.revision = changes.revision
        self.complete_as_of_s = started_s
        log.warning(
            "store_answer_late",
            kind=self.kind,
            revision=self.revision,
            count=len(changes.entries),
        )
        self._log_unreadable(changes)

    def _log_unreadable(self, changes: EntryBatch) -> None:
        if changes.unreadable_count:
            log.warning(
                "store_entries_unreadable",
                kind=self.kind,
                count=changes.unreadable_count,
            )

    def _on_failure(self, error: RouterError) -> None:
        self._link.on_failure(timed_out=isinstance(error, PlatformTimeoutError))
        if self._probing:
            self._link.set_answering(answering=False)
        if self.failing:
            return
        self.failing_since_s = self._clock.monotonic_s()
        self._link.interrupt()
        log.warning(
            "store_lost",
            kind=self.kind,
            step=error.step,
            peer=error.peer,
            reason=error.message,
            revision=self.revision,
        )
