"""Refusal of requests that crash endpoints."""

from collections.abc import Iterable
from dataclasses import dataclass, field

import xxhash

from sesameknot.clock import Clock


def request_fingerprint(customer: str, target: str, *body: bytes | memoryview) -> int:
    """Return a stable hash of a customer's request.

    Parameters
    ----------
    customer : str
        Name of the customer.
    target : str
        Service path or model that the request is for.
    *body : bytes or memoryview
        Body of the request, whole or in parts, which do not change the hash.
    """
    digest = xxhash.xxh3_64(f"{customer}\0{target}\0".encode())
    for part in body:
        digest.update(part)
    return digest.intdigest()


@dataclass(slots=True, frozen=True)
class CrashEntry:
    """Endpoints that crashed under one request or prompt part.

    Parameters
    ----------
    fingerprint : int
        Hash of the request or part.
    endpoint_ids : frozenset of str
        Endpoints that crashed.
    age_s : float
        Time since the last crash.
    answered_age_s : float or None, default=None
        Time since the last answer that crashed no endpoint; None if there was none.
    """

    fingerprint: int
    endpoint_ids: frozenset[str]
    age_s: float
    answered_age_s: float | None = None


@dataclass(slots=True)
class _CrashRecord:
    endpoint_ids: set[str] = field(default_factory=set)
    last_crash_s: float = 0.0
    known_since_s: float = 0.0
    seen_here: bool = False


class CrashGuard:
    """Counts the endpoints that each request crashed, merged across hosts.

    Parameters
    ----------
    clock : Clock
        Source of time.
    limit_count : int, default=2
        Number of crashed endpoints at which a request is refused.
    retention_s : float, default=600.0
        Time in seconds after the last crash for which a fingerprint counts.
    size_limit : int, default=4096
        Maximum number of fingerprints; those that are not refused are evicted first, by
        the age of their last crash.
    """

    __slots__ = ("_records", "clock", "limit_count", "retention_s", "size_limit")

    # Each gossip hop understates an age by its transit time. Without a margin, two
    # hosts would renew each other's entries forever.
    REFRESH_MARGIN_S = 5.0
    # Several rounds of the exchange between hosts, across failure domains.
    RECENT_CRASH_S = 5.0

    def __init__(
        self,
        *,
        clock: Clock,
        limit_count: int = 2,
        retention_s: float = 600.0,
        size_limit: int = 4096,
    ) -> None:
        self.clock = clock
        self.limit_count = limit_count
        self.retention_s = retention_s
        self.size_limit = size_limit
        self._records: dict[int, _CrashRecord] = {}

    def record(self, fingerprint: int, endpoint_id: str) -> None:
        """Record that a request crashed ``endpoint_id``."""
        now_s = self.clock.monotonic_s()
        self._merge_entry(fingerprint, {endpoint_id}, now_s, margin_s=0.0)
        self._records[fingerprint].seen_here = True

    def count(self, fingerprint: int) -> int:
        """Return the number of endpoints that a request crashed."""
        crash_record = self._records.get(fingerprint)
        if crash_record is None or self._expired(crash_record):
            return 0
        return len(crash_record.endpoint_ids)

    def last_crash_s(self, fingerprint: int) -> float:
        """Return the monotonic time of the last crash."""
        return self._records[fingerprint].last_crash_s

    def forget(self, fingerprint: int) -> None:
        """Delete an entry if there is one."""
        self._records.pop(fingerprint, None)

    def known_since_s(self, fingerprint: int) -> float:
        """Return the monotonic time at which this host first knew of a crash."""
        return self._records[fingerprint].known_since_s

    @property
    def has_entries(self) -> bool:
        """Whether any crash is recorded, including expired ones."""
        return bool(self._records)

    def refuses(self, fingerprint: int) -> bool:
        """Return whether a request has reached the limit of crashed endpoints."""
        return self.count(fingerprint) >= self.limit_count

    def refused_fingerprints(self) -> set[int]:
        """Return the requests that are refused."""
        return {
            entry.fingerprint
            for entry in self.entries()
            if len(entry.endpoint_ids) >= self.limit_count
        }

    def merge(self, entries: Iterable[CrashEntry]) -> None:
        """Merge the entries of another host."""
        now_s = self.clock.monotonic_s()
        for entry in entries:
            if entry.age_s < self.retention_s and entry.endpoint_ids:
                self._merge_entry(
                    entry.fingerprint,
                    entry.endpoint_ids,
                    now_s - max(0.0, entry.age_s),
                    margin_s=self.REFRESH_MARGIN_S,
                )

    def entries(self) -> list[CrashEntry]:
        """Return the entries that have not expired, latest crash first."""
        now_s = self.clock.monotonic_s()
        active = [
            CrashEntry(
                key,
                frozenset(crash_record.endpoint_ids),
                now_s - crash_record.last_crash_s,
            )
            for key, crash_record in self._records.items()
            if not self._expired(crash_record)
        ]
        active.sort(key=lambda entry: (entry.age_s, entry.fingerprint))
        return active

    def entries_to_share(self) -> list[CrashEntry]:
        """Return the entries that other hosts need, the most important first.

        An endpoint that crashes adds an entry for each request in flight at it, so the
        latest entries alone would hide the one request that crashes endpoints.
        Requests that are refused come first and are shared until they expire. Others
        are shared while their last crash is recent.
        """
        entries = self.entries()
        refused = [e for e in entries if len(e.endpoint_ids) >= self.limit_count]
        recent = [
            entry
            for entry in entries
            if len(entry.endpoint_ids) < self.limit_count
            and entry.age_s < self.RECENT_CRASH_S
        ]
        recent.sort(key=lambda entry: -len(entry.endpoint_ids))
        return refused + recent

    def refused_after_own_crashes(self) -> list[CrashEntry]:
        """Return the refused requests of which this host saw a crash."""
        return [
            entry
            for entry in self.entries()
            if self._records[entry.fingerprint].seen_here
            and self.refuses(entry.fingerprint)
        ]

    def expire(self) -> None:
        """Delete old entries.

        An expired entry is kept for a second retention period, so that a delayed copy
        from another host is not taken for a new crash.
        """
        limit_s = self.clock.monotonic_s() - 2 * self.retention_s
        for key in [k for k, c in self._records.items() if c.last_crash_s <= limit_s]:
            del self._records[key]

    def _expired(self, crash_record: _CrashRecord) -> bool:
        return self.clock.monotonic_s() - crash_record.last_crash_s >= self.retention_s

    def _merge_entry(
        self,
        fingerprint: int,
        endpoint_ids: Iterable[str],
        last_crash_s: float,
        *,
        margin_s: float,
    ) -> None:
        crash_record = self._records.get(fingerprint)
        if crash_record is None:
            self._records[fingerprint] = _CrashRecord(
                set(endpoint_ids), last_crash_s, self.clock.monotonic_s()
            )
            self._limit_size()
            return
        if last_crash_s - crash_record.last_crash_s >= self.retention_s:
            crash_record.endpoint_ids.clear()
        has_all_endpoints = crash_record.endpoint_ids.issuperset(endpoint_ids)
        crash_record.endpoint_ids.update(endpoint_ids)
        if not has_all_endpoints or last_crash_s > crash_record.last_crash_s + margin_s:
            crash_record.last_crash_s = max(crash_record.last_crash_s, last_crash_s)

    def _limit_size(self) -> None:
        if len(self._records) > self.size_limit:
            self.expire()
        while len(self._records) > self.size_limit:
            del self._records[min(self._records, key=self._eviction_rank)]

    def _eviction_rank(self, fingerprint: int) -> tuple[bool, float]:
        crash_record = self._records[fingerprint]
        refused = len(crash_record.endpoint_ids) >= self.limit_count
        return refused, crash_record.last_crash_s
