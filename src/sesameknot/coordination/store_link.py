"""State of the store connection that the followers of one host share."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, Protocol

from sesameknot.platform import EntryBatch


class FailureCallback(Protocol):
    """Receives that a call to the store failed, and whether it timed out."""

    def __call__(self, *, timed_out: bool) -> None:
        """Handle the failure."""


class StoreLink:
    """State of the store connection that the followers of one host share.

    A long-polling watch does not notice an outage. When the call of one follower fails,
    the others end their waiting watches and call again. While the calls of the follower
    that probes the store fail, the others wait until one is answered. While another
    host relays the store's changes, no follower watches the store.

    Parameters
    ----------
    on_failure : callable
        Called after each failed call to the store, with whether it timed out.
    on_answer : callable
        Called after each answer of the store, before its objects are applied.
    on_restored : callable
        Called before objects are applied that the store has from a copy.

    Attributes
    ----------
    relayed : bool
        Whether another host relays the store's changes.
    probe_answered_s : float
        Monotonic time of the store's last answer to the follower that probes it.
    """

    __slots__ = (
        "_answering",
        "_direct",
        "_interrupted",
        "on_answer",
        "on_failure",
        "on_restored",
        "probe_answered_s",
        "relayed",
    )

    def __init__(
        self,
        *,
        on_failure: FailureCallback,
        on_answer: Callable[[], None],
        on_restored: Callable[[], None],
    ) -> None:
        self.on_failure = on_failure
        self.on_answer = on_answer
        self.on_restored = on_restored
        self.relayed = False
        self.probe_answered_s = float("-inf")
        self._interrupted = asyncio.Event()
        # Followers watch only after the relays have been determined.
        self._direct = asyncio.Event()
        self._answering = asyncio.Event()
        self._answering.set()

    def set_relayed(self, relayed: bool) -> None:
        """Set whether another host relays the store's changes."""
        if not relayed:
            self._direct.set()
        elif not self.relayed:
            self._direct.clear()
            self.interrupt()
        self.relayed = relayed

    async def wait_until_direct(self) -> None:
        """Wait until no other host relays the changes."""
        await self._direct.wait()

    def set_answering(self, *, answering: bool) -> None:
        """Set whether the store answers the follower that probes it."""
        if answering:
            self._answering.set()
        else:
            self._answering.clear()

    async def wait_until_answering(self) -> None:
        """Wait until the store answers the follower that probes it."""
        await self._answering.wait()

    def interrupt(self) -> None:
        """End the waiting watches of all followers."""
        self._interrupted.set()
        self._interrupted = asyncio.Event()

    async def run_until_interrupted(
        self, call: Coroutine[Any, Any, EntryBatch]
    ) -> EntryBatch | None:
        """Return the result of ``call``; None if :meth:`interrupt` comes first."""
        task = asyncio.ensure_future(call)
        interrupted = asyncio.ensure_future(self._interrupted.wait())
        try:
            await asyncio.wait({task, interrupted}, return_when=asyncio.FIRST_COMPLETED)
            return task.result() if task.done() else None
        finally:
            interrupted.cancel()
            task.cancel()
