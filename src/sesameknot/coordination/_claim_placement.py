"""Placement of claim buckets on roster members, and quorum sizes."""

from collections.abc import Sequence

from sesameknot.coordination.ownership import choose_owners, rendezvous_weight
from sesameknot.protocol.roster import RosterMember
from sesameknot.state.claim_table import BUCKET_COUNT

OWNER_COUNT = 3
# Namespace of bucket numbers in rendezvous hashing.
CLAIM_KIND = "claim"


class BucketPlacement:
    """Owners of each bucket among the members of a roster.

    Parameters
    ----------
    members : sequence of RosterMember
        Members of the roster.
    base : BucketPlacement or None, default=None
        Placement to update; only buckets that the change of members affects get new
        owners. A full placement of 380 members computes 390,000 weights.
    """

    __slots__ = ("_owners", "members")

    def __init__(
        self, members: Sequence[RosterMember], *, base: "BucketPlacement | None" = None
    ) -> None:
        self.members = tuple(members)
        if base is None or not base.members:
            self._owners = [self._choose_owners(b) for b in range(BUCKET_COUNT)]
        else:
            self._owners = self._updated_owners(base)

    def owners_of(self, bucket: int) -> tuple[RosterMember, ...]:
        """Return up to three owners of a bucket, distinct failure domains first."""
        return self._owners[bucket]

    def _choose_owners(self, bucket: int) -> tuple[RosterMember, ...]:
        return tuple(choose_owners(CLAIM_KIND, str(bucket), self.members, OWNER_COUNT))

    def _updated_owners(
        self, base: "BucketPlacement"
    ) -> list[tuple[RosterMember, ...]]:
        removed = set(base.members) - set(self.members)
        added = [m for m in self.members if m not in set(base.members)]
        # With fewer domains than owners, a new member in another domain can displace
        # an owner of higher weight.
        few_domains = len({m.domain for m in base.members}) < OWNER_COUNT
        owners = []
        for bucket in range(BUCKET_COUNT):
            current = base.owners_of(bucket)
            affected = (
                any(owner in removed for owner in current)
                or (added and few_domains)
                or (added and _outranks(bucket, added, current))
            )
            owners.append(self._choose_owners(bucket) if affected else current)
        return owners


def _outranks(
    bucket: int, added: Sequence[RosterMember], current: Sequence[RosterMember]
) -> bool:
    key = str(bucket)
    lowest = min(rendezvous_weight(CLAIM_KIND, key, owner.host_id) for owner in current)
    return any(
        rendezvous_weight(CLAIM_KIND, key, member.host_id) >= lowest for member in added
    )


def quorum_met(members: Sequence[RosterMember], owner_count: int) -> bool:
    """Return whether ``members`` are a quorum of ``owner_count`` owners.

    Notes
    -----
    Two owners in different failure domains are a quorum. In a single-host deployment
    the only roster member is a quorum by itself.
    """
    if owner_count == 1:
        return len(members) == 1
    return len({member.domain for member in members}) >= 2


def quorum_intersection_count(owner_count: int) -> int:
    """Return how many of ``owner_count`` owners intersect every quorum."""
    quorum = min(2, owner_count)
    return owner_count - quorum + 1


def absence_proof_count(owner_count: int) -> int:
    """Return how many owners without a claim prove that its key has not run.

    Notes
    -----
    Such owners intersect every quorum of this roster. They also intersect every set of
    owners that a successor copies from, so no later roster was in force when they
    replied. One of two owners does not: the other one may have handed its buckets over
    to the owners of a later roster that excludes the first.
    """
    return min(2, owner_count)
