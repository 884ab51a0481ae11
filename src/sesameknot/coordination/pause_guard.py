"""Detection of pauses of this process, after which its information may be outdated.

A process that was stopped, whose host was suspended, or whose event loop was held up
goes on with what it knew before. Endpoints may have left meanwhile and keys may have
been withdrawn. Requests wait until a relay or the store has answered again.
"""

import asyncio
from collections.abc import Callable

import structlog

from sesameknot.clock import Clock

TICK_INTERVAL_S = 0.25
# A busy event loop is late by less.
PAUSE_LIMIT_S = 1.0
# An outage of the store and the relays is no reason to refuse requests.
CONFIRMATION_LIMIT_S = 0.5
CONFIRMATION_POLL_S = 0.01

log = structlog.get_logger(__name__)


class PauseGuard:
    """Task that detects pauses, and tells whether the information is confirmed.

    Parameters
    ----------
    clock : Clock
        Source of time.
    confirmed_s : callable
        Returns the monotonic time of the last answer from a relay or the store.
    on_resume : callable
        Called after a pause; asks the store again.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        confirmed_s: Callable[[], float],
        on_resume: Callable[[], None],
    ) -> None:
        self._clock = clock
        self._confirmed_s = confirmed_s
        self._on_resume = on_resume
        self._last_tick_s: float | None = None
        self._resumed_s = float("-inf")

    async def run(self) -> None:
        """Detect pauses until cancelled."""
        while True:
            self._tick()
            await asyncio.sleep(TICK_INTERVAL_S)

    def _tick(self) -> None:
        now_s = self._clock.boot_s()
        last_tick_s, self._last_tick_s = self._last_tick_s, now_s
        if last_tick_s is None or now_s - last_tick_s < PAUSE_LIMIT_S:
            return
        log.warning("process_was_paused", duration_s=round(now_s - last_tick_s, 3))
        self._resumed_s = self._clock.monotonic_s()
        self._on_resume()

    @property
    def confirmed(self) -> bool:
        """Whether this host's information was confirmed since its last pause."""
        if self._last_tick_s is not None:
            # Requests may be handled before the task that detects the pause.
            self._tick()
        return (
            self._confirmed_s() >= self._resumed_s
            or self._clock.monotonic_s() >= self._resumed_s + CONFIRMATION_LIMIT_S
        )

    async def wait_until_confirmed(self) -> None:
        """Wait for the confirmation, at most for ``CONFIRMATION_LIMIT_S``."""
        # Pauses are rare, so a poll is simpler than an event that relays and store set.
        while not self.confirmed:  # noqa: ASYNC110
            await asyncio.sleep(CONFIRMATION_POLL_S)
