"""Follow one kind of the store's objects and apply every change to the fleet view."""

import asyncio
import random
from collections.abc import Callable, Sequence

import structlog

from sesameknot.clock import Clock
from sesameknot.errors import PlatformError, RouterError
from sesameknot.platform import Changes, StoreClient, StoredEntry
from sesameknot.settings.front import StoreSettings
from sesameknot.state.fleet_view import FleetView

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
    view : FleetView
        Told of failures of the store.
    settings : StoreSettings
        Waits and pauses.
    clock : Clock
        Source of monotonic time.
    """

    def __init__(
        self,
        kind: str,
        *,
        store: StoreClient,
        sink: ObjectSink,
        view: FleetView,
        settings: StoreSettings,
        clock: Clock,
    ) -> None:
        self.kind = kind
        self.revision = 0
        self.answered_s = float("-inf")
        self._listed = False
        self._lost = False
        self._store = store
        self._sink = sink
        self._view = view
        self._settings = settings
        self._clock = clock

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
                self._listed = False
            await asyncio.sleep(pause_s * random.uniform(0.8, 1.2))
            pause_s = min(self._settings.retry_max_s, pause_s * 2.0)

    async def _step(self) -> None:
        if not self._listed:
            changes = await self._store.list(self.kind)
            self._answered(changes)
            self._sink.replace(changes.entries)
            self._listed = True
            return
        changes = await self._store.watch(
            self.kind,
            since_revision=self.revision,
            wait_s=self._settings.watch_wait_s,
            margin_s=self._settings.watch_margin_s,
        )
        if changes.history_lost:
            log.info("store_history_lost", kind=self.kind, revision=self.revision)
            self._listed = False
            return
        self._answered(changes)
        if changes.entries:
            self._sink.change(changes.entries)

    def _answered(self, changes: Changes) -> None:
        self.answered_s = self._clock.monotonic_s()
        self.revision = changes.revision
        if self._lost:
            self._lost = False
            log.info("store_regained", kind=self.kind, revision=self.revision)
        if changes.unreadable_count:
            log.warning(
                "store_entries_unreadable",
                kind=self.kind,
                count=changes.unreadable_count,
            )

    def _failed(self, error: RouterError) -> None:
        self._view.note_store_failure()
        if not self._lost:
            self._lost = True
            log.warning(
                "store_lost",
                kind=self.kind,
                step=error.step,
                peer=error.peer,
                reason=error.message,
                revision=self.revision,
            )
