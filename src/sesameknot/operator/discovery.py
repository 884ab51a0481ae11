"""Find the live routers of the roster and their HTTP addresses."""

import asyncio

from sesameknot.errors import RouterError
from sesameknot.operator.fleet import Targets
from sesameknot.protocol.messages import MemberInfo, MembersReply, MembersRequest
from sesameknot.protocol.objects import ROSTER_KEY
from sesameknot.protocol.roster import Roster, roster_from_value
from sesameknot.transport.peer_client import PeerClient
from sesameknot.transport.platform_client import PlatformClient

# Roster members asked for the member list at the same time; one answer is enough.
ASKED_MEMBER_COUNT = 3
GONE_STATES = ("dead", "leaving")


async def read_roster(platform: PlatformClient) -> Roster:
    """Return the present roster, empty if there is none.

    Raises
    ------
    PlatformError
        If the platform cannot be reached.
    """
    stored = await platform.get(ROSTER_KEY)
    if stored is None:
        return Roster()
    return roster_from_value(stored.value, stored.version)


async def read_members(peer: PeerClient, roster: Roster) -> dict[str, MemberInfo]:
    """Return the members, by host id, that some roster members know."""
    answers = await asyncio.gather(
        *(
            peer.call(
                m.address, MembersRequest(requester=peer.host_id), expect=MembersReply
            )
            for m in roster.members[:ASKED_MEMBER_COUNT]
        ),
        return_exceptions=True,
    )
    found: dict[str, MemberInfo] = {}
    for answer in answers:
        if isinstance(answer, RouterError):
            continue
        if isinstance(answer, BaseException):
            raise answer
        for member in answer.members:
            known = found.get(member.host_id)
            if known is None or _rank(member) > _rank(known):
                found[member.host_id] = member
    return found


async def find_targets(
    platform: PlatformClient, peer: PeerClient | None, addresses: tuple[str, ...]
) -> Targets:
    """Return the routers that a change must reach.

    Parameters
    ----------
    platform : PlatformClient
        Holds the roster.
    peer : PeerClient or None
        Asks routers for members; None uses only ``addresses``.
    addresses : tuple of str
        HTTP addresses that the operator gave.
    """
    roster = await read_roster(platform)
    members = await read_members(peer, roster) if peer else {}
    # A router serves requests before it joins the roster, which takes one member at a
    # time, and while it is suspected.
    names = {member.host_id for member in roster.members} | members.keys()
    live = sorted(
        name
        for name in names
        if name not in members or members[name].state not in GONE_STATES
    )
    found = [members[host_id].http_address for host_id in live if host_id in members]
    return Targets(
        addresses=tuple(dict.fromkeys([*addresses, *filter(None, found)])),
        host_ids=tuple(live),
    )


def _rank(member: MemberInfo) -> tuple[int, int]:
    return member.incarnation, member.sequence
