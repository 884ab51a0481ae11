"""Owners of all endpoints, updated incrementally when the roster changes."""

from collections.abc import Callable

from sesameknot.coordination.ownership import rendezvous_weight
from sesameknot.protocol.roster import Roster, RosterMember
from sesameknot.state.endpoint_table import EndpointTable

OWNER_KIND = "endpoint"

_Rank = tuple[int, str]


def _rank(endpoint_id: str, host_id: str) -> _Rank:
    # The host with the lowest rank is the owner, as in ``ownership.ranked_members``.
    return -rendezvous_weight(OWNER_KIND, endpoint_id, host_id), host_id


class OwnerMap:
    """Map each endpoint to its owner, the first of ``ownership.choose_owners``.

    Parameters
    ----------
    table : EndpointTable
        Endpoints to map.
    roster : callable
        Returns the newest roster that this host knows.

    Notes
    -----
    Ranking 380 hosts for each of 730 endpoints takes long enough to delay streams.
    A roster change therefore ranks only the added hosts, and ranks all hosts only for
    the endpoints whose owner was removed.
    """

    def __init__(self, table: EndpointTable, roster: Callable[[], Roster]) -> None:
        self._table = table
        self._roster = roster
        self._mapped_state: tuple[int, int] | None = None
        self._members: dict[str, RosterMember] = {}
        self._owner_ranks: dict[str, _Rank] = {}

    def owner(self, endpoint_id: str) -> RosterMember | None:
        """Return the owner of an endpoint, or None if it has none."""
        self._update()
        owner_rank = self._owner_ranks.get(endpoint_id)
        return self._members[owner_rank[1]] if owner_rank else None

    def address(self, host_id: str) -> str:
        """Return the peer address of a roster member, empty for other hosts."""
        self._update()
        member = self._members.get(host_id)
        return member.address if member else ""

    def owned_by(self, host_id: str, incarnation: int) -> list[str]:
        """Return the endpoints that one incarnation of a host owns."""
        self._update()
        member = self._members.get(host_id)
        if member is None or member.incarnation != incarnation:
            return []
        return [
            endpoint_id
            for endpoint_id, (_, owner) in self._owner_ranks.items()
            if owner == host_id
        ]

    def _update(self) -> None:
        roster = self._roster()
        state = (roster.version, self._table.generation)
        if state == self._mapped_state:
            return
        self._mapped_state = state
        previous_members = self._members
        self._members = {member.host_id: member for member in roster.members}
        added_ids = self._members.keys() - previous_members.keys()
        self._owner_ranks = {
            endpoint_id: rank
            for endpoint_id in self._table.ids()
            if (rank := self._owner_rank(endpoint_id, added_ids)) is not None
        }

    def _owner_rank(self, endpoint_id: str, added_ids: set[str]) -> _Rank | None:
        current = self._owner_ranks.get(endpoint_id)
        if current is None or current[1] not in self._members:
            return min((_rank(endpoint_id, h) for h in self._members), default=None)
        return min([current, *(_rank(endpoint_id, host_id) for host_id in added_ids)])
