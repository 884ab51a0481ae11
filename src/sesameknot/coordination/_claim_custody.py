"""Custody of claim buckets: which ones this host holds, at which roster version."""

from sesameknot.coordination._claim_placement import BucketPlacement
from sesameknot.protocol.roster import Roster, RosterMember
from sesameknot.state.claim_table import BUCKET_COUNT

# The roster changes at most once a second. A host that misses more versions than this
# discards its pending copies and copies under the current roster.
PLACEMENT_HISTORY_COUNT = 16


class BucketCustody:
    """Newest roster version at which this host holds the claims of each bucket.

    Parameters
    ----------
    host_id : str
        This host.
    incarnation : int
        Incarnation of this process; each incarnation of a host is another owner.

    Notes
    -----
    Invariant: of any two hosts that hold a bucket at a version, at least one stores
    each claim that reached a quorum at this version or before. An owner that held the
    bucket at the previous version, with the same number of owners, holds it without
    copying, because the invariant still applies to any two owners.
    """

    __slots__ = (
        "_held_versions",
        "_pending_since_s",
        "_placements",
        "_rosters",
        "host_id",
        "incarnation",
    )

    def __init__(self, host_id: str, incarnation: int) -> None:
        self.host_id = host_id
        self.incarnation = incarnation
        self._rosters: dict[int, Roster] = {}
        self._placements: dict[int, BucketPlacement] = {0: BucketPlacement(())}
        self._held_versions: dict[int, int] = {}
        # Per bucket: versions that are not held yet, and when each was added.
        self._pending_since_s: dict[int, dict[int, float]] = {}

    def has_roster(self, version: int) -> bool:
        """Return whether a roster version was added."""
        return version in self._rosters

    def roster(self, version: int) -> Roster:
        """Return a roster that was added."""
        return self._rosters[version]

    def placement(self, version: int) -> BucketPlacement:
        """Return the placement at a version that was added or precedes one."""
        return self._placements[version]

    def holds(self, bucket: int, version: int) -> bool:
        """Return whether this host holds a bucket at ``version`` or a later one."""
        return self._held_versions.get(bucket, 0) >= version

    def is_member(self, members: tuple[RosterMember, ...]) -> bool:
        """Return whether this incarnation of the host is among ``members``."""
        return any(self._is_self(member) for member in members)

    def owns(self, bucket: int, version: int) -> bool:
        """Return whether this incarnation owns a bucket at a version."""
        owners = self._placements[version].owners_of(bucket)
        return any(self._is_self(owner) for owner in owners)

    def pending_buckets(self) -> list[tuple[int, int, float]]:
        """Return version, bucket and start time of all missing copies, oldest first."""
        return sorted(
            (version, bucket, pending_since_s)
            for bucket, since_s_by_version in self._pending_since_s.items()
            for version, pending_since_s in since_s_by_version.items()
        )

    def add_roster(self, roster: Roster, now_s: float) -> None:
        """Add a roster version; owned buckets are marked as held or pending."""
        if roster.version in self._rosters:
            return
        self._add_placements(roster)
        self._rosters[roster.version] = roster
        for bucket in range(BUCKET_COUNT):
            if self.owns(bucket, roster.version):
                self._start_bucket(bucket, roster, now_s)
        self._drop_old_versions()

    def mark_held(self, bucket: int, version: int) -> None:
        """Record that a bucket is held, also at later versions that need no copy."""
        self._held_versions[bucket] = max(version, self._held_versions.get(bucket, 0))
        since_s_by_version = self._pending_since_s.get(bucket, {})
        for later in sorted(since_s_by_version):
            if later <= self._held_versions[bucket] or self._holds_without_copy(
                bucket, later
            ):
                self._held_versions[bucket] = max(later, self._held_versions[bucket])
                del since_s_by_version[later]
        if not since_s_by_version:
            self._pending_since_s.pop(bucket, None)

    def _start_bucket(self, bucket: int, roster: Roster, now_s: float) -> None:
        # A roster without predecessor is the first one, unless its object was deleted
        # and created again: then owners that it does not name may hold claims.
        is_first = not roster.previous and min(self._rosters) == roster.version
        if is_first or self._holds_without_copy(bucket, roster.version):
            self.mark_held(bucket, roster.version)
        elif not self.holds(bucket, roster.version):
            self._pending_since_s.setdefault(bucket, {})[roster.version] = now_s

    def _holds_without_copy(self, bucket: int, version: int) -> bool:
        previous = self._rosters[version].previous_version
        if self._held_versions.get(bucket, 0) != previous:
            return False
        previous_owners = self._placements[previous].owners_of(bucket)
        owners = self._placements[version].owners_of(bucket)
        return len(previous_owners) == len(owners)

    def _is_self(self, member: RosterMember) -> bool:
        return member.host_id == self.host_id and member.incarnation == self.incarnation

    def _add_placements(self, roster: Roster) -> None:
        nearest = self._placements[max(self._placements)]
        if roster.previous_version not in self._placements:
            nearest = BucketPlacement(roster.previous, base=nearest)
            self._placements[roster.previous_version] = nearest
        base = self._placements[roster.previous_version]
        self._placements[roster.version] = BucketPlacement(roster.members, base=base)

    def _drop_old_versions(self) -> None:
        kept_versions = sorted(self._placements)[-PLACEMENT_HISTORY_COUNT:]
        # Version 0 stands for "no predecessor" and has no members.
        for version in [v for v in self._placements if 0 < v < kept_versions[0]]:
            del self._placements[version]
        for version, roster in list(self._rosters.items()):
            if not {version, roster.previous_version} <= self._placements.keys():
                del self._rosters[version]
        for bucket, since_s_by_version in list(self._pending_since_s.items()):
            earliest_s = min(since_s_by_version.values())
            for version in [v for v in since_s_by_version if v not in self._rosters]:
                del since_s_by_version[version]
            if since_s_by_version:
                since_s_by_version[min(since_s_by_version)] = earliest_s
            else:
                del self._pending_since_s[bucket]
