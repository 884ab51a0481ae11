"""Owners of claim buckets under one roster."""

from collections.abc import Sequence

from sesameknot.coordination.ownership import choose_owners, rendezvous_weight
from sesameknot.protocol.roster import RosterMember
from sesameknot.state.claim_table import BUCKET_COUNT

OWNER_COUNT = 3
KIND = "claim"


class BucketPlacement:
    """Owners of each bucket among the members of a roster.

    Parameters
    ----------
    members : sequence of RosterMember
        Members of the roster.
    base : BucketPlacement or None, default=None
        Placement to start from; only buckets that the change of members affects are
        placed anew. A full placement of 380 members ranks 390,000 pairs.
    """

    __slots__ = ("_owners", "members")

    def __init__(
        self, members: Sequence[RosterMember], *, base: "BucketPlacement | None" = None
    ) -> None:
        self.members = tuple(members)
        if base is None or not base.members:
            self._owners = [self._place(b) for b in range(BUCKET_COUNT)]
        else:
            self._owners = self._adjusted(base)

    def owners_of(self, bucket: int) -> tuple[RosterMember, ...]:
        """Return up to three owners of a bucket, distinct domains first."""
        return self._owners[bucket]

    def _place(self, bucket: int) -> tuple[RosterMember, ...]:
        return tuple(choose_owners(KIND, str(bucket), self.members, OWNER_COUNT))

    def _adjusted(self, base: "BucketPlacement") -> list[tuple[RosterMember, ...]]:
        removed = set(base.members) - set(self.members)
        added = [m for m in self.members if m not in set(base.members)]
        # With fewer domains than owners, rank alone does not decide who is chosen.
        few_domains = len({m.domain for m in base.members}) < OWNER_COUNT
        result = []
        for bucket in range(BUCKET_COUNT):
            present = base.owners_of(bucket)
            affected = (
                any(owner in removed for owner in present)
                or (added and few_domains)
                or (added and _outranks(bucket, added, present))
            )
            result.append(self._place(bucket) if affected else present)
        return result


def _outranks(
    bucket: int, added: Sequence[RosterMember], present: Sequence[RosterMember]
) -> bool:
    key = str(bucket)
    lowest = min(rendezvous_weight(KIND, key, owner.host_id) for owner in present)
    return any(
        rendezvous_weight(KIND, key, member.host_id) >= lowest for member in added
    )


def quorum_met(accepted: Sequence[RosterMember], owner_count: int) -> bool:
    """Return whether owners that accepted a claim are a quorum.

    Notes
    -----
    Two owners in different failure domains are a quorum. A roster of one member is a
    single-host deployment, where that member alone is one.
    """
    if owner_count == 1:
        return len(accepted) == 1
    return len({member.domain for member in accepted}) >= 2


def intersecting_count(owner_count: int) -> int:
    """Return how many owners meet every quorum of ``owner_count`` owners."""
    quorum = min(2, owner_count)
    return owner_count - quorum + 1


def proof_count(owner_count: int) -> int:
    """Return how many owners prove by their answers that a key has not run.

    Notes
    -----
    They meet every quorum of this roster. They also meet every set of owners that a
    successor copies from, so no later roster was in force when they answered. One of
    two owners does not: the other one may have handed over to a roster without it.
    """
    return min(2, owner_count)
