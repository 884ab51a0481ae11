"""Choice of the members that own a key, by rendezvous hashing.

References
----------
.. [1] D. Thaler and C. Ravishankar, "Using name-based mappings to increase hit
   rates", IEEE/ACM Transactions on Networking 6(1), 1998.
"""

from collections.abc import Iterable, Sequence
from typing import Protocol, TypeVar

from sesameknot.policy.rendezvous import key_hash


class OwnerCandidate(Protocol):
    """Member with the attributes that decide ownership."""

    host_id: str
    domain: str


MemberT = TypeVar("MemberT", bound=OwnerCandidate)


def rendezvous_weight(kind: str, key: str, host_id: str) -> int:
    """Return the rendezvous weight of ``host_id`` for a key of one kind."""
    return key_hash(kind, key, host_id)


def ranked_members(kind: str, key: str, members: Iterable[MemberT]) -> list[MemberT]:
    """Return ``members`` by descending weight; ties go to the lower host id."""
    return sorted(
        members, key=lambda m: (-rendezvous_weight(kind, key, m.host_id), m.host_id)
    )


def choose_owners(
    kind: str, key: str, members: Sequence[MemberT], count: int
) -> list[MemberT]:
    """Return the ``count`` members that own a key, distinct failure domains first.

    Parameters
    ----------
    kind : str
        Namespace of the key, for example ``"claim"``.
    key : str
        Key to find owners for.
    members : sequence of members
        Candidates, for example a roster's members.
    count : int
        Number of owners; fewer are returned if there are fewer members.

    Returns
    -------
    list of members
        Owners; those with distinct failure domains come first, each by descending
        weight.
    """
    ranking = ranked_members(kind, key, members)
    chosen: list[MemberT] = []
    domains: set[str] = set()
    for member in ranking:
        if len(chosen) < count and member.domain not in domains:
            chosen.append(member)
            domains.add(member.domain)
    for member in ranking:
        if len(chosen) < count and member not in chosen:
            chosen.append(member)
    return chosen
