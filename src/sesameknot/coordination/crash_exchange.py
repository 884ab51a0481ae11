"""Exchange of crash counts between hosts in heartbeat messages."""

from collections.abc import Iterable

import structlog

from sesameknot.coordination._ping_content import PeerObservation
from sesameknot.policy.crash_guard import CrashEntry, CrashGuard
from sesameknot.protocol.messages import CrashCount

# Bounds a message to some 20 KB when many endpoints crash with many requests in flight.
SENT_ENTRY_LIMIT_COUNT = 512

log = structlog.get_logger(__name__)


class CrashExchange:
    """Convert between the entries of a crash guard and their messages.

    Parameters
    ----------
    guard : CrashGuard
        Crash guard of this host.
    """

    __slots__ = ("_guard", "_left_out_count")

    def __init__(self, guard: CrashGuard) -> None:
        self._guard = guard
        self._left_out_count = 0

    def counts(self) -> list[CrashCount]:
        """Return the crash counts that other hosts need, to be sent in a message."""
        entries = self._guard.entries_to_share()
        self._log_left_out(len(entries) - SENT_ENTRY_LIMIT_COUNT)
        return [
            CrashCount(
                fingerprint=entry.fingerprint,
                endpoint_ids=sorted(entry.endpoint_ids),
                age_ms=int(entry.age_s * 1000),
            )
            for entry in entries[:SENT_ENTRY_LIMIT_COUNT]
        ]

    def _log_left_out(self, left_out_count: int) -> None:
        """Log how many counts messages do not carry, when that number grows."""
        if left_out_count > self._left_out_count:
            log.warning("crash_counts_left_out", entries=left_out_count)
        self._left_out_count = max(0, left_out_count)

    def observe(self, observation: PeerObservation) -> None:
        """Merge the crash counts of a peer's ping or ack into the guard."""
        self.merge(observation.crashes)

    def merge(self, counts: Iterable[CrashCount]) -> None:
        """Merge crash counts of a peer into the guard."""
        entries = [
            CrashEntry(
                fingerprint=count.fingerprint,
                endpoint_ids=frozenset(count.endpoint_ids),
                age_s=count.age_ms / 1000.0,
            )
            for count in counts
        ]
        allowed = [
            entry for entry in entries if not self._guard.refuses(entry.fingerprint)
        ]
        self._guard.merge(entries)
        for entry in allowed:
            if self._guard.refuses(entry.fingerprint):
                log.warning(
                    "request_refused_by_peer_counts",
                    fingerprint=f"{entry.fingerprint:016x}",
                    crashes=self._guard.count(entry.fingerprint),
                    age_ms=round(entry.age_s * 1000),
                )
