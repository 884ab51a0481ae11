"""Refusal of requests that take endpoints down."""

from collections.abc import Iterable
from dataclasses import dataclass, field

import xxhash

from sesameknot.clock import Clock


def request_fingerprint(customer: str, target: str, body: bytes) -> int:
    """Return a stable hash of a customer's request.

    Parameters
    ----------
    customer : str
        Name of the customer.
    target : str
        Service path or model that the request names.
    body : bytes
        Body of the request.
    """
    digest = xxhash.xxh3_64(f"{customer}\0{target}\0".encode())
    digest.update(body)
    return digest.intdigest()


@dataclass(slots=True, frozen=True)
class CrashEntry:
    """Endpoints that one fingerprint took down, and the age of the last crash."""

    fingerprint: int
    endpoint_ids: frozenset[str]
    age_s: float


@dataclass(slots=True)
class _Crashes:
    endpoint_ids: set[str] = field(default_factory=set)
    last_s: float = 0.0


class CrashGuard:
    """Counts of endpoints that requests took down, merged over hosts.

    Parameters
    ----------
    clock : Clock
        Source of time.
    limit_count : int, default=2
        Endpoints that a request must take down to be refused.
    retention_s : float, default=600.0
        Time after the last crash for which a fingerprint counts.
    size_limit : int, default=4096
        Most fingerprints that are kept; the oldest go first.
    """

    __slots__ = ("_crashes", "clock", "limit_count", "retention_s", "size_limit")

    # Each hop of gossip understates an age by its transit time. Without a margin two
    # hosts would renew each other's entries for good.
    REFRESH_MARGIN_S = 5.0

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
        self._crashes: dict[int, _Crashes] = {}

    def record(self, fingerprint: int, endpoint_id: str) -> None:
        """Count that a request took ``endpoint_id`` down."""
        now_s = self.clock.monotonic_s()
        self._merge_one(fingerprint, {endpoint_id}, now_s, margin_s=0.0)

    def count(self, fingerprint: int) -> int:
        """Return how many endpoints a request took down."""
        crashes = self._crashes.get(fingerprint)
        if crashes is None or self._expired(crashes):
            return 0
        return len(crashes.endpoint_ids)

    @property
    def has_entries(self) -> bool:
        """Whether any request is counted."""
        return bool(self._crashes)

    def refuses(self, fingerprint: int) -> bool:
        """Return whether a request took down as many endpoints as the limit."""
        return self.count(fingerprint) >= self.limit_count

    def merge(self, entries: Iterable[CrashEntry]) -> None:
        """Take over the counts of another host."""
        now_s = self.clock.monotonic_s()
        for entry in entries:
            if entry.age_s < self.retention_s and entry.endpoint_ids:
                self._merge_one(
                    entry.fingerprint,
                    entry.endpoint_ids,
                    now_s - max(0.0, entry.age_s),
                    margin_s=self.REFRESH_MARGIN_S,
                )

    def entries(self, *, limit: int | None = None) -> list[CrashEntry]:
        """Return the counts that still apply, the latest first."""
        now_s = self.clock.monotonic_s()
        live = [
            CrashEntry(key, frozenset(crashes.endpoint_ids), now_s - crashes.last_s)
            for key, crashes in self._crashes.items()
            if not self._expired(crashes)
        ]
        live.sort(key=lambda entry: (entry.age_s, entry.fingerprint))
        return live[:limit]

    def expire(self) -> None:
        """Drop old entries.

        An expired entry is kept for a second retention period, so that a late copy
        from another host does not count as new.
        """
        limit_s = self.clock.monotonic_s() - 2 * self.retention_s
        for key in [k for k, c in self._crashes.items() if c.last_s <= limit_s]:
            del self._crashes[key]

    def _expired(self, crashes: _Crashes) -> bool:
        return self.clock.monotonic_s() - crashes.last_s >= self.retention_s

    def _merge_one(
        self,
        fingerprint: int,
        endpoint_ids: Iterable[str],
        last_s: float,
        *,
        margin_s: float,
    ) -> None:
        crashes = self._crashes.get(fingerprint)
        if crashes is None:
            self._crashes[fingerprint] = _Crashes(set(endpoint_ids), last_s)
            self._limit_size()
            return
        if last_s - crashes.last_s >= self.retention_s:
            crashes.endpoint_ids.clear()
        known = crashes.endpoint_ids.issuperset(endpoint_ids)
        crashes.endpoint_ids.update(endpoint_ids)
        if not known or last_s > crashes.last_s + margin_s:
            crashes.last_s = max(crashes.last_s, last_s)

    def _limit_size(self) -> None:
        if len(self._crashes) > self.size_limit:
            self.expire()
        while len(self._crashes) > self.size_limit:
            oldest = min(self._crashes, key=lambda key: self._crashes[key].last_s)
            del self._crashes[oldest]
