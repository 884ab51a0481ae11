"""Count of the requests that run at endpoints which must not be asked in vain."""

import itertools
from dataclasses import dataclass, field

from sesameknot.clock import Clock

# Part of the refusals that an endpoint bears which hosts may cause.
REFUSAL_SHARE = 0.5
# Wait of a host for which no slot is free.
FULL_WAIT_S = 0.05
# Requests that began before their endpoint was counted end within this time, or show in
# the loads that hosts exchange.
UNCOUNTED_LIFE_S = 2.0
# Time after its last use for which the count of an endpoint is kept.
LEDGER_LIFE_S = 60.0


@dataclass(slots=True)
class SlotGrant:
    """Answer to a request for a slot; ``grant_id`` is 0 if none is free."""

    grant_id: int = 0
    wait_s: float = 0.0


@dataclass(slots=True)
class _Ledger:
    """Grants of one endpoint by identifier, with the times at which they expire."""

    began_s: float
    used_s: float
    closed_until_s: float = 0.0
    expires_s: dict[int, float] = field(default_factory=dict)


class SlotLedger:
    """Grants the slots of endpoints, each to one request at a time.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.
    """

    __slots__ = ("_clock", "_ids", "_ledgers")

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        # A process that starts again must not give out identifiers of its last life.
        self._ids = itertools.count(max(1, clock.wall_ms()))
        self._ledgers: dict[str, _Ledger] = {}

    def grant(
        self, key: str, *, slot_count: int, running_count: int, life_s: float
    ) -> SlotGrant:
        """Grant a slot if one is free.

        Parameters
        ----------
        key : str
            Incarnation of the endpoint.
        slot_count : int
            Slots of the endpoint.
        running_count : int
            Requests at the endpoint by the loads of all hosts, which are a little old.
        life_s : float
            Time after which the slot is free again if it is not released.
        """
        now_s = self._clock.monotonic_s()
        ledger = self._ledger(key)
        if now_s < ledger.closed_until_s:
            return SlotGrant(wait_s=ledger.closed_until_s - now_s)
        for grant_id in [i for i, at_s in ledger.expires_s.items() if at_s <= now_s]:
            del ledger.expires_s[grant_id]
        used_count = len(ledger.expires_s)
        if now_s - ledger.began_s < UNCOUNTED_LIFE_S:
            used_count = max(used_count, running_count)
        if used_count >= slot_count:
            return SlotGrant(wait_s=FULL_WAIT_S)
        grant_id = next(self._ids)
        ledger.expires_s[grant_id] = now_s + life_s
        return SlotGrant(grant_id)

    def release(
        self, key: str, grant_id: int, *, refused: bool, overload_limit_per_s: float
    ) -> None:
        """End a grant; after a refusal, grant nothing for a while."""
        ledger = self._ledger(key)
        ledger.expires_s.pop(grant_id, None)
        if refused:
            rate_per_s = REFUSAL_SHARE * max(1.0, overload_limit_per_s)
            closed_until_s = self._clock.monotonic_s() + 1.0 / rate_per_s
            ledger.closed_until_s = max(ledger.closed_until_s, closed_until_s)

    def _ledger(self, key: str) -> _Ledger:
        now_s = self._clock.monotonic_s()
        ledger = self._ledgers.get(key)
        if ledger is None:
            ledger = self._ledgers[key] = _Ledger(began_s=now_s, used_s=now_s)
        ledger.used_s = now_s
        return ledger

    def expire(self) -> None:
        """Forget endpoints that were not used for ``LEDGER_LIFE_S``."""
        oldest_s = self._clock.monotonic_s() - LEDGER_LIFE_S
        for key, ledger in list(self._ledgers.items()):
            if ledger.used_s < oldest_s:
                del self._ledgers[key]
