"""Exchange of crash counts between hosts in heartbeat messages."""

from collections.abc import Iterable

from sesameknot.coordination._ping_content import PeerObservation
from sesameknot.policy.crash_guard import CrashEntry, CrashGuard
from sesameknot.protocol.messages import CrashCount

# Few requests crash endpoints, so the most recent entries suffice for one heartbeat.
SENT_ENTRY_LIMIT_COUNT = 8


class CrashExchange:
    """Convert between the entries of a crash guard and their messages.

    Parameters
    ----------
    guard : CrashGuard
        Crash guard of this host.
    """

    __slots__ = ("_guard",)

    def __init__(self, guard: CrashGuard) -> None:
        self._guard = guard

    def counts(self) -> list[CrashCount]:
        """Return the most recent crash counts, to be sent in a heartbeat."""
        return [
            CrashCount(
                fingerprint=entry.fingerprint,
                endpoint_ids=sorted(entry.endpoint_ids),
                age_ms=int(entry.age_s * 1000),
            )
            for entry in self._guard.entries(limit=SENT_ENTRY_LIMIT_COUNT)
        ]

    def observe(self, observation: PeerObservation) -> None:
        """Merge the crash counts of a peer's ping or ack into the guard."""
        self.merge(observation.crashes)

    def merge(self, counts: Iterable[CrashCount]) -> None:
        """Merge crash counts of a peer into the guard."""
        self._guard.merge(
            CrashEntry(
                fingerprint=count.fingerprint,
                endpoint_ids=frozenset(count.endpoint_ids),
                age_s=count.age_ms / 1000.0,
            )
            for count in counts
        )
