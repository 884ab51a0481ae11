"""Spread crash counts between hosts with the heartbeats."""

from collections.abc import Iterable

from sesameknot.coordination._ping_content import PeerObservation
from sesameknot.policy.crash_guard import CrashEntry, CrashGuard
from sesameknot.protocol.messages import CrashCount

# Few requests crash endpoints; the latest ones are enough for a heartbeat.
SPREAD_LIMIT_COUNT = 8


class CrashExchange:
    """Convert between a crash guard and what heartbeats carry.

    Parameters
    ----------
    guard : CrashGuard
        Counts of this host.
    """

    __slots__ = ("_guard",)

    def __init__(self, guard: CrashGuard) -> None:
        self._guard = guard

    def counts(self) -> list[CrashCount]:
        """Return the latest counts for a heartbeat."""
        return [
            CrashCount(
                fingerprint=entry.fingerprint,
                endpoint_ids=sorted(entry.endpoint_ids),
                age_ms=int(entry.age_s * 1000),
            )
            for entry in self._guard.entries(limit=SPREAD_LIMIT_COUNT)
        ]

    def observe(self, observation: PeerObservation) -> None:
        """Take the counts of a peer's heartbeat."""
        self.merge(observation.crashes)

    def merge(self, counts: Iterable[CrashCount]) -> None:
        """Take the counts of a peer."""
        self._guard.merge(
            CrashEntry(
                fingerprint=count.fingerprint,
                endpoint_ids=frozenset(count.endpoint_ids),
                age_s=count.age_ms / 1000.0,
            )
            for count in counts
        )
