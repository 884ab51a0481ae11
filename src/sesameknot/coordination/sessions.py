"""Pinning of sessions to model versions."""

import asyncio
from collections import OrderedDict
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from typing import Any

import structlog

from sesameknot.clock import Clock
from sesameknot.coordination.claim_client import ClaimClient, ClaimOutcome
from sesameknot.state.claim_table import SESSION_TABLE, ClaimState

PIN_TIMEOUT_S = 1.0
CACHE_LIMIT_COUNT = 50_000
# The retention of a pin in use is extended at its owners after this share of it.
EXTEND_RETENTION_SHARE = 0.25

log = structlog.get_logger(__name__)


@dataclass(slots=True, frozen=True)
class SessionPin:
    """Version that serves a session.

    Parameters
    ----------
    version : str
        ``team.model/version``.
    pinned : bool
        Whether the session is pinned to this version; otherwise it is the stable one.
    """

    version: str
    pinned: bool


@dataclass(slots=True)
class _CachedPin:
    version: str
    claimant: str
    extended_s: float


class SessionPins:
    """Keep each session on the version that served its first request.

    Parameters
    ----------
    claims : ClaimClient
        Client of the registers that store the pins.
    is_withdrawn : callable
        Returns whether a ``team.model/version`` is withdrawn.
    clock : Clock
        Source of monotonic time.
    timeout_s : float, default=1.0
        Time limit for claiming a pin at its owners.
    """

    __slots__ = ("_cache", "_tasks", "claims", "clock", "is_withdrawn", "timeout_s")

    def __init__(
        self,
        claims: ClaimClient,
        *,
        is_withdrawn: Callable[[str], bool],
        clock: Clock,
        timeout_s: float = PIN_TIMEOUT_S,
    ) -> None:
        self.claims = claims
        self.is_withdrawn = is_withdrawn
        self.clock = clock
        self.timeout_s = timeout_s
        self._cache: OrderedDict[str, _CachedPin] = OrderedDict()
        self._tasks: set[asyncio.Task[Any]] = set()

    async def pin(
        self, session_id: str, proposed_version: str, *, stable_version: str
    ) -> SessionPin:
        """Return the version of a session, pinning ``proposed_version`` if it has none.

        Parameters
        ----------
        session_id : str
            Identifier that the caller sent.
        proposed_version : str
            ``team.model/version`` to pin if the session has no pin.
        stable_version : str
            ``team.model/version`` to use without a pin if the session cannot be pinned.
        """
        cached = self._cached(session_id)
        if cached is not None and not self.is_withdrawn(cached.version):
            self._extend_pin(session_id, cached)
            return SessionPin(cached.version, pinned=True)
        if cached is not None:
            await self._release(session_id, cached.version, cached.claimant)
        outcome = await self._claim(session_id, proposed_version)
        if outcome.status not in ("claimed", "exists") or not outcome.value:
            log.warning("session_unpinned", session=session_id, reason=outcome.reason)
            return SessionPin(stable_version, pinned=False)
        version = outcome.value.decode()
        self._cache_pin(session_id, version, outcome.claimant)
        return SessionPin(version, pinned=True)

    def version_withdrawn(self, version: str) -> None:
        """Release the cached pins of a withdrawn version."""
        for session_id, cached in list(self._cache.items()):
            if cached.version == version:
                del self._cache[session_id]
                self._spawn(self._release(session_id, version, cached.claimant))

    async def close(self) -> None:
        """Cancel all calls in progress."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _claim(self, session_id: str, proposed_version: str) -> ClaimOutcome:
        deadline_s = self.clock.monotonic_s() + self.timeout_s
        while True:
            outcome = await self.claims.claim(
                SESSION_TABLE, session_id, proposed_version.encode(), deadline_s
            )
            version = outcome.value.decode()
            if outcome.status != "exists" or not self.is_withdrawn(version):
                return outcome
            if self.clock.monotonic_s() >= deadline_s:
                return ClaimOutcome("unknown", reason="held")
            await self._release(session_id, version, outcome.claimant)

    async def _release(self, session_id: str, version: str, claimant: str) -> None:
        self._cache.pop(session_id, None)
        log.info("session_released", session=session_id, version=version)
        await self.claims.settle(
            SESSION_TABLE, session_id, ClaimState.RELEASED, claimant=claimant
        )

    def _cached(self, session_id: str) -> _CachedPin | None:
        cached = self._cache.get(session_id)
        if cached is None:
            return None
        age_s = self.clock.monotonic_s() - cached.extended_s
        if age_s >= self.claims.local_owner.retention_s:
            del self._cache[session_id]
            return None
        return cached

    def _cache_pin(self, session_id: str, version: str, claimant: str) -> None:
        now_s = self.clock.monotonic_s()
        self._cache[session_id] = _CachedPin(version, claimant, now_s)
        self._cache.move_to_end(session_id)
        if len(self._cache) > CACHE_LIMIT_COUNT:
            self._cache.popitem(last=False)

    def _extend_pin(self, session_id: str, cached: _CachedPin) -> None:
        now_s = self.clock.monotonic_s()
        interval_s = self.claims.local_owner.retention_s * EXTEND_RETENTION_SHARE
        self._cache.move_to_end(session_id)
        if now_s - cached.extended_s < interval_s:
            return
        # The cached pin stays in use if its owners cannot be reached, so the attempt
        # counts as an extension.
        cached.extended_s = now_s
        deadline_s = now_s + self.timeout_s
        self._spawn(self.claims.read(SESSION_TABLE, session_id, deadline_s))

    def _spawn(self, coroutine: Coroutine[Any, Any, Any]) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
