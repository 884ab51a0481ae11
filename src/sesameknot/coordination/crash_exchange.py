"""Exchange of crash counts between hosts in heartbeat messages."""

from collections.abc import Iterable
from typing import Protocol

import structlog

from sesameknot.coordination._ping_content import PeerObservation
from sesameknot.policy.crash_evidence import Crash
from sesameknot.policy.crash_guard import CrashEntry
from sesameknot.protocol.messages import CrashCount, CrashTiming

# A relay of many hosts answers many times a second, so messages must stay small. What
# repeats is among the first entries, as relays add up the counts of their hosts.
SENT_ENTRY_LIMIT_COUNT = 64

log = structlog.get_logger(__name__)


class SharedCrashCounts(Protocol):
    """Counts of crashes that hosts add up."""

    def entries_to_share(self) -> list[CrashEntry]:
        """Return the entries that other hosts need, the most important first."""

    def merge(self, entries: list[CrashEntry]) -> None:
        """Merge the entries of another host."""

    def refused_fingerprints(self) -> set[int]:
        """Return what is refused because of its counts."""

    def count(self, fingerprint: int) -> int:
        """Return the number of crashes."""


class CrashExchange:
    """Convert between the entries of a guard and their messages.

    Parameters
    ----------
    guard : SharedCrashCounts
        Guard of this host.
    """

    __slots__ = ("_guard", "_left_out_count")

    def __init__(self, guard: SharedCrashCounts) -> None:
        self._guard = guard
        self._left_out_count = 0

    def counts(self) -> list[CrashCount]:
        """Return the crash counts that other hosts need, to be sent in a message."""
        entries = self._guard.entries_to_share()
        self._log_left_out(len(entries) - SENT_ENTRY_LIMIT_COUNT)
        return [_message(entry) for entry in entries[:SENT_ENTRY_LIMIT_COUNT]]

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
        entries = [_entry(count) for count in counts]
        if not entries:
            return
        refused_before = self._guard.refused_fingerprints()
        self._guard.merge(entries)
        for fingerprint in self._guard.refused_fingerprints() - refused_before:
            log.warning(
                "request_refused_by_peer_counts",
                fingerprint=f"{fingerprint:016x}",
                crashes=self._guard.count(fingerprint),
            )


def _message(entry: CrashEntry) -> CrashCount:
    answered_age_s = entry.answered_age_s
    endpoint_ids = sorted(entry.endpoint_ids)
    crashes = [entry.crashes[endpoint_id] for endpoint_id in endpoint_ids]
    timed = any(c.began_s is not None or c.answered for c in crashes)
    return CrashCount(
        fingerprint=entry.fingerprint,
        endpoint_ids=endpoint_ids,
        age_ms=int(entry.age_s * 1000),
        answered_age_ms=-1 if answered_age_s is None else int(answered_age_s * 1000),
        timings=[_timing(crash) for crash in crashes] if timed else [],
    )


def _timing(crash: Crash) -> CrashTiming:
    run_ms = -1
    if crash.began_s is not None:
        run_ms = max(0, int((crash.ended_s - crash.began_s) * 1000))
    return CrashTiming(
        age_ms=max(0, int(-crash.ended_s * 1000)),
        run_ms=run_ms,
        answered=crash.answered,
    )


def _entry(count: CrashCount) -> CrashEntry:
    answered_age_ms = count.answered_age_ms
    return CrashEntry(
        fingerprint=count.fingerprint,
        endpoint_ids=frozenset(count.endpoint_ids),
        age_s=count.age_ms / 1000.0,
        answered_age_s=None if answered_age_ms < 0 else answered_age_ms / 1000.0,
        crashes={
            endpoint_id: _crash(timing)
            # Older builds send no timings.
            for endpoint_id, timing in zip(
                count.endpoint_ids, count.timings, strict=False
            )
        },
    )


def _crash(timing: CrashTiming) -> Crash:
    ended_s = -timing.age_ms / 1000.0
    began_s = None if timing.run_ms < 0 else ended_s - timing.run_ms / 1000.0
    return Crash(ended_s, began_s, timing.answered)
