"""Owners of all endpoints, kept up to date with few hashes per roster change."""

from collections.abc import Callable

from sesameknot.coordination.ownership import rendezvous_weight
from sesameknot.protocol.roster import Roster, RosterMember
from sesameknot.state.endpoint_table import EndpointTable

OWNER_KIND = "endpoint"

_Rank = tuple[int, str]


def _rank(endpoint_id: str, host_id: str) -> _Rank:
    # The least rank owns, as in ``ownership.ranked_members``.
    return -rendezvous_weight(OWNER_KIND, endpoint_id, host_id), host_id


class OwnerMap:
    """The first of ``ownership.choose_owners`` for each endpoint.

    Parameters
    ----------
    table : EndpointTable
        The endpoints.
    roster : callable
        Returns the newest roster that this host knows.

    Notes
    -----
    Ranking 380 hosts for each of 730 endpoints takes long enough to delay streams,
    so a roster change ranks only the hosts that came, and all hosts only for the
    endpoints of those that went.
    """

    def __init__(self, table: EndpointTable, roster: Callable[[], Roster]) -> None:
        self._table = table
        self._roster = roster
        self._state: tuple[int, int] | None = None
        self._members: dict[str, RosterMember] = {}
        self._best: dict[str, _Rank] = {}

    def owner(self, endpoint_id: str) -> RosterMember | None:
        """Return the owner of a known endpoint, or None without one."""
        self._update()
        best = self._best.get(endpoint_id)
        return self._members[best[1]] if best else None

    def address(self, host_id: str) -> str:
        """Return the peer address of a roster member, empty for other hosts."""
        self._update()
        member = self._members.get(host_id)
        return member.address if member else ""

    def owned_by(self, host_id: str, incarnation: int) -> list[str]:
        """Return the endpoints of one incarnation of a host."""
        self._update()
        member = self._members.get(host_id)
        if member is None or member.incarnation != incarnation:
            return []
        return [name for name, (_, owner) in self._best.items() if owner == host_id]

    def _update(self) -> None:
        roster = self._roster()
        state = (roster.version, self._table.generation)
        if state == self._state:
            return
        self._state = state
        before = self._members
        self._members = {member.host_id: member for member in roster.members}
        added = self._members.keys() - before.keys()
        self._best = {
            name: rank
            for name in self._table.ids()
            if (rank := self._best_rank(name, added)) is not None
        }

    def _best_rank(self, endpoint_id: str, added: set[str]) -> _Rank | None:
        present = self._best.get(endpoint_id)
        if present is None or present[1] not in self._members:
            return min((_rank(endpoint_id, h) for h in self._members), default=None)
        return min([present, *(_rank(endpoint_id, host_id) for host_id in added)])
