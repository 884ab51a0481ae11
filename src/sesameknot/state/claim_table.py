"""Table of first-writer-wins registers with retention."""

from dataclasses import dataclass
from enum import StrEnum

import xxhash

from sesameknot.clock import Clock
from sesameknot.protocol.messages import ClaimEntry

# Owners are chosen by bucket, so that a roster change moves few buckets and a new owner
# copies them from their previous owners only, instead of asking every host.
BUCKET_COUNT = 1024
SESSION_TABLE = "session"
IDEMPOTENCY_TABLE = "idempotency"


class ClaimState(StrEnum):
    """State of a register."""

    CLAIMED = "claimed"
    RELEASED = "released"
    UNKNOWN = "unknown"
    DONE = "done"


# Of two copies of a register with one claimant, the one with the higher rank is kept,
# because each state supersedes those before it.
_STATE_RANK = {
    ClaimState.CLAIMED: 0,
    ClaimState.RELEASED: 1,
    ClaimState.UNKNOWN: 2,
    ClaimState.DONE: 3,
}


def bucket_of(table: str, key: str) -> int:
    """Return the bucket of a key."""
    return xxhash.xxh3_64_intdigest(f"{table}\0{key}".encode()) % BUCKET_COUNT


@dataclass(slots=True)
class StoredClaim:
    """One register.

    Parameters
    ----------
    claimant : str
        Claim attempt that holds the register; empty if merged copies named several.
    state : ClaimState
        State of the register.
    value : bytes
        Value of the claim, or the stored response once the state is done.
    changed_s : float
        Monotonic time at which the retention period starts.
    """

    claimant: str
    state: ClaimState
    value: bytes
    changed_s: float


@dataclass(slots=True, frozen=True)
class ClaimResult:
    """Result of a table operation.

    Parameters
    ----------
    status : {"accepted", "exists", "absent", "refused"}
        Status of the reply.
    claim : StoredClaim or None, default=None
        Current register, None if there is none.
    """

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
        Tables in which each use of a register restarts its retention period.
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

    def claim(self, table: str, key: str, claimant: str, value: bytes) -> ClaimResult:
        """Store a claim unless the register is taken."""
        current = self._unexpired(table, key)
        if current is None:
            return self._store(table, key, claimant, ClaimState.CLAIMED, value)
        if current.state is ClaimState.RELEASED:
            # The claim of a released attempt can arrive after its release.
            if current.claimant == claimant:
                return ClaimResult("refused", current)
            return self._store(table, key, claimant, ClaimState.CLAIMED, value)
        self._touch(table, current)
        if current.claimant == claimant and not current.value:
            # The settlement of the claim arrived before the claim.
            current.value = value
        is_accepted = (
            current.claimant == claimant and current.state is ClaimState.CLAIMED
        )
        return ClaimResult("accepted" if is_accepted else "exists", current)

    def read(self, table: str, key: str) -> ClaimResult:
        """Return a register; a released one counts as absent."""
        current = self._unexpired(table, key)
        if current is None or current.state is ClaimState.RELEASED:
            return ClaimResult("absent", current)
        self._touch(table, current)
        return ClaimResult("exists", current)

    def settle(
        self, table: str, key: str, claimant: str, state: ClaimState, value: bytes
    ) -> ClaimResult:
        """Change the state of a claim; an empty value keeps the current one.

        A result replaces an unfinished claim of another claimant, because only the
        claimant that reached a quorum reports one.
        """
        current = self._unexpired(table, key)
        if current is None:
            return self._store(table, key, claimant, state, value)
        is_result = _STATE_RANK[state] >= _STATE_RANK[ClaimState.UNKNOWN]
        if current.claimant == claimant:
            allowed = _STATE_RANK[state] >= _STATE_RANK[current.state]
            value = value or current.value
        else:
            allowed = is_result and not _is_settled(current)
        if not allowed:
            return ClaimResult("refused", current)
        return self._store(table, key, claimant, state, value)

    def merge(self, entry: ClaimEntry) -> None:
        """Merge the copy of a register of another owner."""
        state = ClaimState(entry.state)
        changed_s = self._clock.monotonic_s() - entry.age_ms / 1000
        if changed_s + self.retention_s <= self._clock.monotonic_s():
            return
        copy = StoredClaim(entry.claimant, state, entry.value, changed_s)
        current = self._unexpired(entry.table, entry.key)
        self._bucket(entry.table, entry.key)[entry.table, entry.key] = (
            copy if current is None else _merge_claims(current, copy)
        )

    def drop_unsettled(self, bucket: int) -> None:
        """Drop the unsettled registers of a bucket before it is copied again."""
        registers = self._buckets.get(bucket, {})
        for name in [n for n, claim in registers.items() if not _is_settled(claim)]:
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
        """Drop the registers whose retention has expired and return their number."""
        limit_s = self._clock.monotonic_s() - self.retention_s
        count = 0
        for registers in self._buckets.values():
            expired = [
                n for n, claim in registers.items() if claim.changed_s <= limit_s
            ]
            for name in expired:
                del registers[name]
            count += len(expired)
        return count

    def _bucket(self, table: str, key: str) -> dict[tuple[str, str], StoredClaim]:
        return self._buckets.setdefault(bucket_of(table, key), {})

    def _unexpired(self, table: str, key: str) -> StoredClaim | None:
        claim = self._buckets.get(bucket_of(table, key), {}).get((table, key))
        if claim is None:
            return None
        if claim.changed_s + self.retention_s <= self._clock.monotonic_s():
            return None
        return claim

    def _store(
        self, table: str, key: str, claimant: str, state: ClaimState, value: bytes
    ) -> ClaimResult:
        claim = StoredClaim(claimant, state, value, self._clock.monotonic_s())
        self._bucket(table, key)[table, key] = claim
        return ClaimResult("accepted", claim)

    def _touch(self, table: str, claim: StoredClaim) -> None:
        if table in self.touch_tables:
            claim.changed_s = self._clock.monotonic_s()


def _is_settled(claim: StoredClaim) -> bool:
    # A register without claimant holds conflicting copies, not a result.
    return (
        bool(claim.claimant)
        and _STATE_RANK[claim.state] >= _STATE_RANK[ClaimState.UNKNOWN]
    )


def _merge_claims(first: StoredClaim, second: StoredClaim) -> StoredClaim:
    if first.claimant == second.claimant:
        return max(first, second, key=lambda c: (_STATE_RANK[c.state], c.changed_s))
    if _is_settled(first) or _is_settled(second):
        return max(
            first,
            second,
            key=lambda c: (_is_settled(c), _STATE_RANK[c.state], c.changed_s),
        )
    if first.state is ClaimState.RELEASED:
        return second
    if second.state is ClaimState.RELEASED:
        return first
    # Some owners store one claimant and some the other; either may have the quorum.
    changed_s = max(first.changed_s, second.changed_s)
    return StoredClaim("", ClaimState.UNKNOWN, b"", changed_s)
