"""Which buckets of claims this host holds, and at which roster version."""

from sesameknot.coordination._claim_placement import BucketPlacement
from sesameknot.protocol.roster import Roster, RosterMember
from sesameknot.state.claim_table import BUCKET_COUNT

# A roster change a second at most; a host that lags by more starts copying anew.
HISTORY_COUNT = 16


class Custody:
    """Buckets by the newest roster version at which this host holds their claims.

    Parameters
    ----------
    host_id : str
        This host.
    incarnation : int
        Incarnation of this process; another one of the host is another owner.

    Notes
    -----
    Any two hosts that hold a bucket at a version include one that knows each claim
    that reached a quorum at this version or before. An owner that was one of as many
    owners at the previous version holds the bucket without copying, because this
    property of two owners carries over.
    """

    __slots__ = (
        "_held",
        "_pending",
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
        self._held: dict[int, int] = {}
        # Per bucket: versions that are not held yet, with the time they were learnt.
        self._pending: dict[int, dict[int, float]] = {}

    def knows(self, version: int) -> bool:
        """Return whether a roster version was learnt."""
        return version in self._rosters

    def roster(self, version: int) -> Roster:
        """Return a roster that was learnt."""
        return self._rosters[version]

    def placement(self, version: int) -> BucketPlacement:
        """Return the placement at a version that was learnt or precedes one."""
        return self._placements[version]

    def held(self, bucket: int, version: int) -> bool:
        """Return whether this host holds a bucket at ``version`` or a later one."""
        return self._held.get(bucket, 0) >= version

    def is_member(self, members: tuple[RosterMember, ...]) -> bool:
        """Return whether this incarnation of the host is among ``members``."""
        return any(self._is_self(member) for member in members)

    def owns(self, bucket: int, version: int) -> bool:
        """Return whether this incarnation owns a bucket at a version."""
        owners = self._placements[version].owners_of(bucket)
        return any(self._is_self(owner) for owner in owners)

    def pending(self) -> list[tuple[int, int, float]]:
        """Return version, bucket and time of all missing copies, oldest first."""
        return sorted(
            (version, bucket, since_s)
            for bucket, times in self._pending.items()
            for version, since_s in times.items()
        )

    def learn(self, roster: Roster, now_s: float) -> None:
        """Add a roster version; owned buckets are held or become pending."""
        if roster.version in self._rosters:
            return
        self._add_placements(roster)
        self._rosters[roster.version] = roster
        for bucket in range(BUCKET_COUNT):
            if self.owns(bucket, roster.version):
                self._start(bucket, roster, now_s)
        self._forget_old()

    def mark_held(self, bucket: int, version: int) -> None:
        """Record that a bucket was copied, and what follows from it."""
        self._held[bucket] = max(version, self._held.get(bucket, 0))
        times = self._pending.get(bucket, {})
        for later in sorted(times):
            if later <= self._held[bucket] or self._retains(bucket, later):
                self._held[bucket] = max(later, self._held[bucket])
                del times[later]
        if not times:
            self._pending.pop(bucket, None)

    def _start(self, bucket: int, roster: Roster, now_s: float) -> None:
        # A roster without predecessor is the first one, unless it was deleted and made
        # anew: then earlier owners may hold claims that it does not name.
        first = not roster.previous and min(self._rosters) == roster.version
        if first or self._retains(bucket, roster.version):
            self.mark_held(bucket, roster.version)
        elif not self.held(bucket, roster.version):
            self._pending.setdefault(bucket, {})[roster.version] = now_s

    def _retains(self, bucket: int, version: int) -> bool:
        previous = self._rosters[version].previous_version
        if self._held.get(bucket, 0) != previous:
            return False
        before = self._placements[previous].owners_of(bucket)
        after = self._placements[version].owners_of(bucket)
        return len(before) == len(after)

    def _is_self(self, member: RosterMember) -> bool:
        return member.host_id == self.host_id and member.incarnation == self.incarnation

    def _add_placements(self, roster: Roster) -> None:
        nearest = self._placements[max(self._placements)]
        if roster.previous_version not in self._placements:
            nearest = BucketPlacement(roster.previous, base=nearest)
            self._placements[roster.previous_version] = nearest
        base = self._placements[roster.previous_version]
        self._placements[roster.version] = BucketPlacement(roster.members, base=base)

    def _forget_old(self) -> None:
        kept = sorted(self._placements)[-HISTORY_COUNT:]
        # Version 0 stands for "no predecessor" and has no members.
        for version in [v for v in self._placements if 0 < v < kept[0]]:
            del self._placements[version]
        for version, roster in list(self._rosters.items()):
            if not {version, roster.previous_version} <= self._placements.keys():
                del self._rosters[version]
        for bucket, times in list(self._pending.items()):
            since_s = min(times.values())
            for version in [v for v in times if v not in self._rosters]:
                del times[version]
            if times:
                times[min(times)] = since_s
            else:
                del self._pending[bucket]
