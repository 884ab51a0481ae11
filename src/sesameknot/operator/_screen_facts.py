"""What one poll of the fleet found, before it becomes rows and alarms."""

from dataclasses import dataclass, field

from sesameknot.errors import RouterError
from sesameknot.operator.fleet import RouterAnswer
from sesameknot.protocol.messages import MemberInfo, VersionStats
from sesameknot.protocol.objects import (
    DOMAINS_PREFIX,
    ROLLOUTS_PREFIX,
    SETTINGS_PREFIX,
    WITHDRAWALS_PREFIX,
    StoredObject,
)
from sesameknot.protocol.rollout_object import (
    RolloutObject,
    is_withdrawn,
    rollout_from_value,
)
from sesameknot.settings.loader import convert
from sesameknot.settings.tree import TeamSettings


@dataclass(slots=True, frozen=True, kw_only=True)
class ScreenTargets:
    """Targets that values are compared with.

    Parameters
    ----------
    first_token_ms : float, default=700.0
        Time to the first token.
    saving_share : float, default=0.4
        Cost saved against always using the costliest model of a team.
    error_share : float, default=0.05
        Share of failed requests above which a version raises an alarm.
    """

    first_token_ms: float = 700.0
    saving_share: float = 0.4
    error_share: float = 0.05


@dataclass(slots=True, kw_only=True)
class ScreenFacts:
    """One poll.

    Parameters
    ----------
    answers : list of RouterAnswer
        Status of each polled router.
    members : dict
        Members by host id, as one router knows them.
    objects : list of StoredObject
        Spread objects, as one router holds them.
    objects_error : str
        Why the objects are old; empty if they are current.
    growth : list of VersionStats
        Growth of the counters over ``window_s``.
    totals : list of VersionStats
        Counters since the routers started.
    lagging : dict
        Names of hosts, by object key, that have long lacked its newest version.
    long_withdrawn : set of str
        Versions, as ``team.model.version``, that should count no requests any more.
    unattended : set of str
        Keys of active roll-outs that have not changed for several leases.
    """

    answers: list[RouterAnswer] = field(default_factory=list)
    members: dict[str, MemberInfo] = field(default_factory=dict)
    objects: list[StoredObject] = field(default_factory=list)
    objects_error: str = ""
    growth: list[VersionStats] = field(default_factory=list)
    totals: list[VersionStats] = field(default_factory=list)
    window_s: float = 0.0
    lagging: dict[str, list[str]] = field(default_factory=dict)
    long_withdrawn: set[str] = field(default_factory=set)
    unattended: set[str] = field(default_factory=set)
    targets: ScreenTargets = field(default_factory=ScreenTargets)

    def teams(self) -> list[TeamSettings]:
        """Return the teams' settings; malformed ones are left out."""
        return _readable(
            self.objects,
            SETTINGS_PREFIX,
            lambda o: convert(o.value, TeamSettings, source=o.key),
        )

    def rollouts(self) -> list[RolloutObject]:
        """Return the roll-outs; malformed ones are left out."""
        return _readable(
            self.objects,
            ROLLOUTS_PREFIX,
            lambda o: rollout_from_value(o.value, key=o.key),
        )

    def domain_states(self) -> dict[str, str]:
        """Return the states that operators set, by failure domain."""
        return {
            o.key.removeprefix(DOMAINS_PREFIX): str(o.value.get("state", "in"))
            for o in self.objects
            if o.key.startswith(DOMAINS_PREFIX) and isinstance(o.value, dict)
        }

    def withdrawn(self) -> set[str]:
        """Return the withdrawn versions as ``team.model.version``."""
        return {
            o.key.removeprefix(WITHDRAWALS_PREFIX)
            for o in self.objects
            if o.key.startswith(WITHDRAWALS_PREFIX) and is_withdrawn(o.value)
        }


def _readable(objects: list[StoredObject], prefix: str, read: object) -> list:
    found = []
    for stored in objects:
        if not stored.key.startswith(prefix):
            continue
        try:
            found.append(read(stored))
        except RouterError:
            continue
    return found
