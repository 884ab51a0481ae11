"""The roster: the routers that own claims, grants and bill replicas."""

from dataclasses import dataclass
from typing import Any

from sesameknot.errors import RouterError


@dataclass(slots=True, frozen=True)
class RosterMember:
    """One incarnation of a router; a restarted host is a new member."""

    host_id: str
    incarnation: int
    address: str
    region: str
    domain: str


@dataclass(slots=True, frozen=True)
class Roster:
    """Members at one platform version of the roster object.

    Parameters
    ----------
    version : int
        Platform version; 0 while no roster exists.
    members : tuple of RosterMember
        Present owners.
    previous : tuple of RosterMember
        Members of the roster that this one replaced.
    previous_version : int
        Version of the roster that this one replaced; 0 for the first.
    """

    version: int = 0
    members: tuple[RosterMember, ...] = ()
    previous: tuple[RosterMember, ...] = ()
    previous_version: int = 0

    def member(self, host_id: str) -> RosterMember | None:
        """Return the member called ``host_id`` or None."""
        return next((m for m in self.members if m.host_id == host_id), None)

    def to_value(self) -> dict[str, Any]:
        """Return the JSON value of the platform object."""
        return {
            "members": [_member_value(member) for member in self.members],
            "previous": [_member_value(member) for member in self.previous],
            "previous_version": self.previous_version,
        }


_FIELDS = ("host_id", "incarnation", "address", "region", "domain")


def roster_from_value(value: Any, version: int) -> Roster:
    """Return the roster in a platform object's value.

    Raises
    ------
    RouterError
        If the value is not a roster.
    """
    try:
        return Roster(
            version=version,
            members=tuple(_member(entry) for entry in value["members"]),
            previous=tuple(_member(entry) for entry in value["previous"]),
            previous_version=int(value["previous_version"]),
        )
    except (KeyError, TypeError, ValueError) as error:
        raise RouterError(
            f"roster at version {version} is malformed: {error!r}", step="parse"
        ) from error


def _member(entry: dict[str, Any]) -> RosterMember:
    return RosterMember(
        host_id=str(entry["host_id"]),
        incarnation=int(entry["incarnation"]),
        address=str(entry["address"]),
        region=str(entry["region"]),
        domain=str(entry["domain"]),
    )


def _member_value(member: RosterMember) -> dict[str, Any]:
    return {name: getattr(member, name) for name in _FIELDS}
