"""Hosts as membership knows them, with the precedence of their states."""

from collections.abc import Iterable
from enum import StrEnum

from sesameknot.protocol.messages import MemberInfo


class MemberState(StrEnum):
    """State of a host; at equal (incarnation, sequence) the later one wins.

    ``LEAVING`` is worse than ``SUSPECT``, so that a host that announced its stop is
    not counted as live again when it no longer answers.
    """

    ALIVE = "alive"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    DEAD = "dead"


LIVE_STATES = (MemberState.ALIVE, MemberState.SUSPECT)
_RANKS = {state.value: rank for rank, state in enumerate(MemberState)}


def precedence(member: MemberInfo) -> tuple[int, int, int]:
    """Return the sort key of a record; the record with the highest one wins."""
    return (member.incarnation, member.sequence, _RANKS.get(member.state, -1))


class MemberTable:
    """Keep the winning record of each host."""

    __slots__ = ("_members",)

    def __init__(self) -> None:
        self._members: dict[str, MemberInfo] = {}

    def merge(self, member: MemberInfo) -> bool:
        """Take ``member`` if it wins over the record held; return whether it did.

        A dead host that is not known stays unknown, so that a forgotten one does
        not come back from peers that still hold it. A record without host id or
        with an unknown state is ignored.
        """
        if not member.host_id or member.state not in _RANKS:
            return False
        held = self._members.get(member.host_id)
        if held is None and member.state == MemberState.DEAD:
            return False
        if held is not None and precedence(member) <= precedence(held):
            return False
        self._members[member.host_id] = member
        return True

    def get(self, host_id: str) -> MemberInfo | None:
        """Return the record of ``host_id`` or None."""
        return self._members.get(host_id)

    def forget(self, host_id: str) -> None:
        """Drop the record of ``host_id``."""
        self._members.pop(host_id, None)

    def members(self) -> list[MemberInfo]:
        """Return all records."""
        return list(self._members.values())

    def in_state(self, states: Iterable[MemberState]) -> list[MemberInfo]:
        """Return the records whose state is one of ``states``."""
        wanted = set(states)
        return [member for member in self._members.values() if member.state in wanted]

    def __len__(self) -> int:
        return len(self._members)
