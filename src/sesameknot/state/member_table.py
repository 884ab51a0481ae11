"""Membership records of hosts and the precedence between them."""

from collections.abc import Iterable
from enum import StrEnum

from sesameknot.protocol.messages import MemberInfo


class MemberState(StrEnum):
    """State of a host, in order of precedence at equal incarnation and sequence.

    ``LEAVING`` overrides ``SUSPECT``, so that a host that announced its shutdown is
    not counted as live again once it stops answering.
    """

    ALIVE = "alive"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    DEAD = "dead"


LIVE_STATES = (MemberState.ALIVE, MemberState.SUSPECT)
_STATE_RANKS = {state.value: rank for rank, state in enumerate(MemberState)}


def precedence(member: MemberInfo) -> tuple[int, int, int]:
    """Return the sort key of a record; the record with the highest key wins."""
    return (member.incarnation, member.sequence, _STATE_RANKS.get(member.state, -1))


class MemberTable:
    """Table of the record with the highest precedence of each host."""

    __slots__ = ("_members",)

    def __init__(self) -> None:
        self._members: dict[str, MemberInfo] = {}

    def merge(self, member: MemberInfo) -> bool:
        """Store ``member`` if it has precedence; return whether it was stored.

        The record of a dead host is ignored if the table has none for that host, so
        that peers that still have the record do not restore one that was removed. A
        record without host id or with an unknown state is ignored.
        """
        if not member.host_id or member.state not in _STATE_RANKS:
            return False
        current = self._members.get(member.host_id)
        if current is None and member.state == MemberState.DEAD:
            return False
        if current is not None and precedence(member) <= precedence(current):
            return False
        self._members[member.host_id] = member
        return True

    def get(self, host_id: str) -> MemberInfo | None:
        """Return the record of ``host_id``, or None if there is none."""
        return self._members.get(host_id)

    def remove(self, host_id: str) -> None:
        """Remove the record of ``host_id``."""
        self._members.pop(host_id, None)

    def members(self) -> list[MemberInfo]:
        """Return all records."""
        return list(self._members.values())

    def in_state(self, states: Iterable[MemberState]) -> list[MemberInfo]:
        """Return the records whose state is one of ``states``."""
        wanted_states = set(states)
        return [
            member for member in self._members.values() if member.state in wanted_states
        ]

    def __len__(self) -> int:
        return len(self._members)
