"""Roster of the routers that own claims, grants and bill replicas."""

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
    """Members of the roster at one platform version of its object.

    Parameters
    ----------
    version : int
        Platform version; 0 if no roster exists yet.
    members : tuple of RosterMember
        Routers that are owners under this version.
    previous : tuple of RosterMember
        Members of the previous roster.
    previous_version : int
        Version of the previous roster; 0 for the first.
    """

    version: int = 0
    members: tuple[RosterMember, ...] = ()
    previous: tuple[RosterMember, ...] = ()
    previous_version: int = 0

    def member(self, host_id: str) -> RosterMember | None:
        """Return the member with id ``host_id`` or None."""
        return next((m for m in self.members if m.host_id == host_id), None)

    def to_value(self) -> dict[str, Any]:
        """Return the JSON value of the platform object."""
        return {
            "members": [_member_to_value(member) for member in self.members],
            "previous": [_member_to_value(member) for member in self.previous],
            "previous_version": self.previous_version,
        }


_MEMBER_FIELDS = ("host_id", "incarnation", "address", "region", "domain")


def roster_from_value(value: Any, version: int) -> Roster:
    """Return the roster in the value of a platform object.

    Raises
    ------
    RouterError
        If the value is not a roster.
    """
    try:
        return Roster(
            version=version,
            members=tuple(_member_from_value(entry) for entry in value["members"]),
            previous=tuple(_member_from_value(entry) for entry in value["previous"]),
            previous_version=int(value["previous_version"]),
        )
    except (KeyError, TypeError, ValueError) as error:
        raise RouterError(
            f"roster at version {version} is malformed: {error!r}", step="parse"
        ) from error


def _member_from_value(entry: dict[str, Any]) -> RosterMember:
    return RosterMember(
        host_id=str(entry["host_id"]),
        incarnation=int(entry["incarnation"]),
        address=str(entry["address"]),
        region=str(entry["region"]),
        domain=str(entry["domain"]),
    )


def _member_to_value(member: RosterMember) -> dict[str, Any]:
    return {name: getattr(member, name) for name in _MEMBER_FIELDS}
