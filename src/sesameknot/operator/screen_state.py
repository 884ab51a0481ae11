"""What the control room screen shows."""

from dataclasses import dataclass, field
from typing import Literal


@dataclass(slots=True, frozen=True, kw_only=True)
class VersionRow:
    """Traffic of one version over the last seconds.

    Parameters
    ----------
    role : str
        ``stable``, ``new``, ``withdrawn`` or ``other``.
    request_share : float
        Share of the model's requests.
    caller_count : int
        Callers since the routers started, each router's added up.
    rating, first_token_ms : float or None
        Means; None without data.
    """

    team: str
    model: str
    version: str
    role: str
    request_share: float
    requests_per_s: float
    error_share: float
    caller_count: int
    rating: float | None
    first_token_ms: float | None
    cost_per_request_microunits: float | None


@dataclass(slots=True, frozen=True, kw_only=True)
class RolloutRow:
    """Progress of one roll-out and the exposure to its version."""

    team: str
    name: str
    model: str
    from_version: str
    to_version: str
    state: str
    step: int
    step_shares: list[float]
    share: float
    request_share: float
    caller_count: int
    holder: str
    reason: str


@dataclass(slots=True, frozen=True, kw_only=True)
class DomainRow:
    """A failure domain with its hosts and endpoints."""

    name: str
    state: str
    host_count: int
    fresh_count: int
    endpoint_count: int


@dataclass(slots=True, frozen=True, kw_only=True)
class HostRow:
    """A host and its condition.

    Parameters
    ----------
    condition : str
        Its verdict ``fresh``, ``platform-outage`` or ``stale``, or ``leaving``,
        ``silent`` (no answer), ``suspect`` or ``dead``.
    config_age_ms : float or None
        Age of its configuration; None if unknown.
    """

    name: str
    domain: str
    condition: str
    config_age_ms: float | None


@dataclass(slots=True, frozen=True, kw_only=True)
class TargetRow:
    """A measure against its target."""

    name: str
    value: str
    target: str
    met: bool | None


@dataclass(slots=True, frozen=True, kw_only=True)
class Alarm:
    """Something that operators should look at."""

    level: Literal["critical", "warning", "notice"]
    code: str
    text: str


@dataclass(slots=True, frozen=True, kw_only=True)
class ScreenState:
    """One picture of the whole system."""

    wall_ms: int
    alarms: list[Alarm] = field(default_factory=list)
    targets: list[TargetRow] = field(default_factory=list)
    versions: list[VersionRow] = field(default_factory=list)
    rollouts: list[RolloutRow] = field(default_factory=list)
    domains: list[DomainRow] = field(default_factory=list)
    hosts: list[HostRow] = field(default_factory=list)
