"""The roll-out object and the keys of objects that operators change."""

import dataclasses
from dataclasses import dataclass
from typing import Any, Literal

import msgspec

from sesameknot.errors import RouterError
from sesameknot.protocol.objects import (
    DOMAINS_PREFIX,
    ROLLOUTS_PREFIX,
    SETTINGS_PREFIX,
    WITHDRAWALS_PREFIX,
)

RolloutState = Literal["planned", "running", "paused", "complete", "stopped"]

ACTIVE_STATES = ("planned", "running", "paused")


@dataclass(slots=True, frozen=True, kw_only=True)
class RolloutObject:
    """Progress of one roll-out and the lease on it.

    Parameters
    ----------
    team, name : str
        Team and roll-out name, as in the team's settings.
    model, from_version, to_version : str
        The model, the version it served before and the new one.
    step : int, default=0
        Index of the present step; kept over a change of holder.
    share : float, default=0.0
        Share of new sessions that get ``to_version``.
    state : str, default="planned"
        One of planned, running, paused, complete and stopped.
    holder : str, default=""
        Host id of the controller that holds the roll-out.
    fence : int, default=0
        Fencing token; each takeover adds 1.
    lease_ms : int, default=0
        Time without a write after which another controller may take over.
    reason : str, default=""
        Why the roll-out is in its state.
    updated_wall_ms : int, default=0
        Wall time of the last write, for display only.
    """

    team: str
    name: str
    model: str
    from_version: str
    to_version: str
    step: int = 0
    share: float = 0.0
    state: RolloutState = "planned"
    holder: str = ""
    fence: int = 0
    lease_ms: int = 0
    reason: str = ""
    updated_wall_ms: int = 0

    @property
    def key(self) -> str:
        """The object's key."""
        return rollout_key(self.team, self.name)

    def to_value(self) -> dict[str, Any]:
        """Return the JSON value of the platform object."""
        return dataclasses.asdict(self)


def rollout_from_value(value: Any, *, key: str) -> RolloutObject:
    """Return the roll-out in a platform object's value.

    Raises
    ------
    RouterError
        If the value is not a roll-out.
    """
    try:
        return msgspec.convert(value, RolloutObject)
    except msgspec.ValidationError as error:
        raise RouterError(
            f"roll-out is malformed: {error}", step="parse", peer=key
        ) from error


def rollout_key(team: str, name: str) -> str:
    """Return the key of a roll-out."""
    return f"{ROLLOUTS_PREFIX}{team}.{name}"


def withdrawal_key(team: str, model: str, version: str) -> str:
    """Return the key of a version's withdrawal."""
    return f"{WITHDRAWALS_PREFIX}{team}.{model}.{version}"


def domain_key(name: str) -> str:
    """Return the key of a failure domain's state."""
    return f"{DOMAINS_PREFIX}{name}"


def settings_key(team: str) -> str:
    """Return the key of a team's settings."""
    return f"{SETTINGS_PREFIX}{team}"


def is_withdrawn(value: Any) -> bool:
    """Return whether a withdrawal object's value withdraws its version."""
    return isinstance(value, dict) and value.get("withdrawn") is True
