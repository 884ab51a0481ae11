"""Records of the fleet that the platform's store holds."""

from dataclasses import dataclass
from enum import StrEnum


class EndpointState(StrEnum):
    """What an endpoint says of itself."""

    READY = "ready"
    LEAVING = "leaving"


@dataclass(slots=True, frozen=True, kw_only=True)
class EndpointEntry:
    """An endpoint as it registered itself.

    Parameters
    ----------
    endpoint_id : str
        Identity of the incarnation.
    service, address, domain, version : str
        What it serves, where, and which software version.
    slot_count : int
        Requests that it runs at once.
    state : EndpointState
        Whether it takes new work.
    cold_remaining_s : float
        Time for which it stays cold, as of the entry's last change.
    started_ms : int
        Unix time of its start; 0 if unknown.
    """

    endpoint_id: str
    service: str
    address: str
    domain: str
    version: str
    slot_count: int = 0
    state: EndpointState = EndpointState.READY
    cold_remaining_s: float = 0.0
    started_ms: int = 0


class RolloutOutcome(StrEnum):
    """State of a roll-out."""

    REQUESTED = "requested"
    RUNNING = "running"
    SUCCEEDED = "succeeded"
    ROLLED_BACK = "rolled-back"


@dataclass(slots=True, frozen=True, kw_only=True)
class RolloutOrder:
    """An operator's order to move a service to another version, and its progress.

    Parameters
    ----------
    service, target_version : str
        What moves, and to which version.
    duration_s : float
        Time in which it should be done.
    revision : int
        Revision of the object, for conditional updates.
    outcome : RolloutOutcome
        Progress that a host recorded.
    share : float
        Share of the service's sessions that use the target version.
    started_ms : int
        Unix time at which a host first saw the order; 0 if unknown.
    """

    service: str
    target_version: str
    duration_s: float
    revision: int = 0
    outcome: RolloutOutcome = RolloutOutcome.REQUESTED
    share: float = 0.0
    started_ms: int = 0


@dataclass(slots=True, frozen=True, kw_only=True)
class HostEntry:
    """A front host that announced itself to the others."""

    host_id: str
    peer_address: str
    domain: str
