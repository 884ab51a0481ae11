"""Table of first-writer-wins registers with retention."""

from dataclasses import dataclass
from enum import StrEnum

import xxhash

from sesameknot.clock import Clock
from sesameknot.protocol.messages import ClaimEntry

# Keys are placed by bucket, so that a roster change moves few buckets, and a new
# owner copies those from their previous owners only instead of asking every host.
BUCKET_COUNT = 1024
SESSION_TABLE = "session"
IDEMPOTENCY_TABLE = "idempotency"


class ClaimState(StrEnum):
    """State of a register."""

    CLAIMED = "claimed"
    RELEASED = "released"
    UNKNOWN = "unknown"
    DONE = "done"


# A copy of a register replaces another one of the same claimant by this order: each
# state is final knowledge about the ones before it.
_RANK = {
    ClaimState.CLAIMED: 0,
    ClaimState.RELEASED: 1,
    ClaimState.UNKNOWN: 2,
    ClaimState.DONE: 3,
}


def bucket_of(table: str, key: str) -> int:
    """Return the bucket that places a key."""
    return xxhash.xxh3_64_intdigest(f"{table}\0{key}".encode()) % BUCKET_COUNT


@dataclass(slots=True)
class StoredClaim:
    """One register.

    Parameters
    ----------
    claimant : str
        Claim attempt that holds the register; empty if copies named several.
    state : ClaimState
        State of the register.
    value : bytes
        Value of the claim, or the stored response once it is done.
    changed_s : float
        Monotonic time from which the retention counts.
    """

    claimant: str
    state: ClaimState
    value: bytes
    changed_s: float


@dataclass(slots=True, frozen=True)
class ClaimAnswer:
    """``status`` is accepted, exists, absent or refused; ``claim`` is what stands."""

    status: str
    claim: StoredClaim | None = None


class ClaimTable:
    """Registers by table and key, kept for ``retention_s`` after their last change.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.
    retention_s : float
        Time for which an unchanged register is kept.
    touch_tables : frozenset of str
        Tables whose registers are kept longer by each use.
    """

    __slots__ = ("_buckets", "_clock", "retention_s", "touch_tables")

    def __init__(
        self,
        *,
        clock: Clock,
        retention_s: float,
        touch_tables: frozenset[str] = frozenset({SESSION_TABLE}),
    ) -> None:
        self._clock = clock
        self.retention_s = retention_s
        self.touch_tables = touch_tables
        self._buckets: dict[int, dict[tuple[str, str], StoredClaim]] = {}

    def __len__(self) -> int:
        return sum(len(bucket) for bucket in self._buckets.values())

    def claim(self, table: str, key: str, claimant: str, value: bytes) -> ClaimAnswer:
        """Store a claim unless the register is taken."""
        stands = self._live(table, key)
        if stands is None:
            return self._store(table, key, claimant, ClaimState.CLAIMED, value)
        if stands.state is ClaimState.RELEASED:
            # The write of a released attempt can arrive after its release.
            if stands.claimant == claimant:
                return ClaimAnswer("refused", stands)
            return self._store(table, key, claimant, ClaimState.CLAIMED, value)
        self._touch(table, stands)
        if stands.claimant == claimant and not stands.value:
            # The settlement of the claim arrived before the claim.
            stands.value = value
        same = stands.claimant == claimant and stands.state is ClaimState.CLAIMED
        return ClaimAnswer("accepted" if same else "exists", stands)

    def read(self, table: str, key: str) -> ClaimAnswer:
        """Return the register; a released one is absent."""
        stands = self._live(table, key)
        if stands is None or stands.state is ClaimState.RELEASED:
            return ClaimAnswer("absent", stands)
        self._touch(table, stands)
        return ClaimAnswer("exists", stands)

    def settle(
        self, table: str, key: str, claimant: str, state: ClaimState, value: bytes
    ) -> ClaimAnswer:
        """Change the state of a claim; an empty value keeps the present one.

        A result replaces an unfinished claim of another claimant, because only the
        claimant that reached a quorum reports one.
        """
        stands = self._live(table, key)
        if stands is None:
            return self._store(table, key, claimant, state, value)
        is_result = _RANK[state] >= _RANK[ClaimState.UNKNOWN]
        if stands.claimant == claimant:
            allowed = _RANK[state] >= _RANK[stands.state]
            value = value or stands.value
        else:
            allowed = is_result and not _settled(stands)
        if not allowed:
            return ClaimAnswer("refused", stands)
        return self._store(table, key, claimant, state, value)

    def merge(self, entry: ClaimEntry) -> None:
        """Add the copy of another owner's register."""
        state = ClaimState(entry.state)
        copied_s = self._clock.monotonic_s() - entry.age_ms / 1000
        if copied_s + self.retention_s <= self._clock.monotonic_s():
            return
        copy = StoredClaim(entry.claimant, state, entry.value, copied_s)
        stands = self._live(entry.table, entry.key)
        self._bucket(entry.table, entry.key)[entry.table, entry.key] = (
            copy if stands is None else _merged(stands, copy)
        )

    def forget_unsettled(self, bucket: int) -> None:
        """Drop the unsettled registers of a bucket before it is copied anew."""
        registers = self._buckets.get(bucket, {})
        for name in [n for n, claim in registers.items() if not _settled(claim)]:
            del registers[name]

    def entries(self, bucket: int) -> list[ClaimEntry]:
        """Return copies of the registers of a bucket, sorted by table and key."""
        now_s = self._clock.monotonic_s()
        registers = self._buckets.get(bucket, {})
        return [
            ClaimEntry(
                table=table,
                key=key,
                claimant=claim.claimant,
                state=claim.state.value,
                value=claim.value,
                age_ms=max(0, int((now_s - claim.changed_s) * 1000)),
            )
            for (table, key), claim in sorted(registers.items())
            if now_s < claim.changed_s + self.retention_s
        ]

    def expire(self) -> int:
        """Drop the registers whose retention has ended and return their number."""
        limit_s = self._clock.monotonic_s() - self.retention_s
        count = 0
        for registers in self._buckets.values():
            ended = [n for n, claim in registers.items() if claim.changed_s <= limit_s]
            for name in ended:
                del registers[name]
            count += len(ended)
        return count

    def _bucket(self, table: str, key: str) -> dict[tuple[str, str], StoredClaim]:
        return self._buckets.setdefault(bucket_of(table, key), {})

    def _live(self, table: str, key: str) -> StoredClaim | None:
        claim = self._buckets.get(bucket_of(table, key), {}).get((table, key))
        if claim is None:
            return None
        if claim.changed_s + self.retention_s <= self._clock.monotonic_s():
            return None
        return claim

    def _store(
        self, table: str, key: str, claimant: str, state: ClaimState, value: bytes
    ) -> ClaimAnswer:
        claim = StoredClaim(claimant, state, value, self._clock.monotonic_s())
        self._bucket(table, key)[table, key] = claim
        return ClaimAnswer("accepted", claim)

    def _touch(self, table: str, claim: StoredClaim) -> None:
        if table in self.touch_tables:
            claim.changed_s = self._clock.monotonic_s()


def _settled(claim: StoredClaim) -> bool:
    # A register without claimant holds conflicting copies, not a result.
    return bool(claim.claimant) and _RANK[claim.state] >= _RANK[ClaimState.UNKNOWN]


def _merged(first: StoredClaim, second: StoredClaim) -> StoredClaim:
    if first.claimant == second.claimant:
        return max(first, second, key=lambda c: (_RANK[c.state], c.changed_s))
    if _settled(first) or _settled(second):
        return max(
            first, second, key=lambda c: (_settled(c), _RANK[c.state], c.changed_s)
        )
    if first.state is ClaimState.RELEASED:
        return second
    if second.state is ClaimState.RELEASED:
        return first
    # Two claimants each hold a part of the owners; either may have the quorum.
    changed_s = max(first.changed_s, second.changed_s)
    return StoredClaim("", ClaimState.UNKNOWN, b"", changed_s)
