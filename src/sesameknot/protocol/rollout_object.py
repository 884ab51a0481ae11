"""Roll-out objects, and the keys of the objects that operators write."""

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
    """Progress of a roll-out and its lease.

    Parameters
    ----------
    team, name : str
        Names of the team and the roll-out, as in the team's settings.
    model, from_version, to_version : str
        The model, its version before the roll-out and the new version.
    step : int, default=0
        Index of the current step; it survives a change of holder.
    share : float, default=0.0
        Share of new sessions that use ``to_version``.
    state : str, default="planned"
        One of planned, running, paused, complete and stopped.
    holder : str, default=""
        Host id of the controller that holds the lease.
    fence : int, default=0
        Fencing token; each takeover increments it.
    lease_ms : int, default=0
        Time after the last write at which the lease expires and another controller
        may take over.
    reason : str, default=""
        Reason for the current state.
    updated_wall_ms : int, default=0
        Unix time of the last write in milliseconds, for display only.
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
        """Key of the platform object."""
        return rollout_key(self.team, self.name)

    def to_value(self) -> dict[str, Any]:
        """Return the JSON value of the platform object."""
        return dataclasses.asdict(self)


def rollout_from_value(value: Any, *, key: str) -> RolloutObject:
    """Return the roll-out in the value of a platform object.

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
    """Return the key of a roll-out object."""
    return f"{ROLLOUTS_PREFIX}{team}.{name}"


def withdrawal_key(team: str, model: str, version: str) -> str:
    """Return the key of the object that withdraws a version."""
    return f"{WITHDRAWALS_PREFIX}{team}.{model}.{version}"


def domain_key(name: str) -> str:
    """Return the key of the object with a failure domain's state."""
    return f"{DOMAINS_PREFIX}{name}"


def settings_key(team: str) -> str:
    """Return the key of the object with a team's settings."""
    return f"{SETTINGS_PREFIX}{team}"


def is_withdrawn(value: Any) -> bool:
    """Return whether the value of a withdrawal object marks its version withdrawn."""
    return isinstance(value, dict) and value.get("withdrawn") is True
