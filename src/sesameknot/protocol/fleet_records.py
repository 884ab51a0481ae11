"""Records of endpoints, roll-out orders and hosts in the platform's store."""

from dataclasses import dataclass
from enum import StrEnum


class EndpointState(StrEnum):
    """State that an endpoint reports about itself."""

    READY = "ready"
    LEAVING = "leaving"


@dataclass(slots=True, frozen=True, kw_only=True)
class EndpointEntry:
    """Registration of an endpoint.

    Parameters
    ----------
    endpoint_id : str
        Identifier of the endpoint's incarnation.
    service, address, domain, version : str
        Service, ``ip:port``, failure domain and software version of the endpoint.
    slot_count : int
        Limit on concurrent requests.
    state : EndpointState
        Whether it accepts new requests.
    cold_remaining_s : float
        Remaining time in which it is cold, as of the entry's last change.
    started_ms : int
        Unix time of its start in milliseconds; 0 if unknown.
    revision : int
        Revision of the store at the entry's last change.
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
    revision: int = 0


class RolloutOutcome(StrEnum):
    """Progress of a roll-out order."""

    REQUESTED = "requested"
    RUNNING = "running"
    SUCCEEDED = "succeeded"
    ROLLED_BACK = "rolled-back"


@dataclass(slots=True, frozen=True, kw_only=True)
class RolloutOrder:
    """Operator's order to move a service to another version, with its progress.

    Parameters
    ----------
    service, target_version : str
        Service to move and the version to move it to.
    duration_s : float
        Time within which the roll-out should finish.
    revision : int
        Revision of the stored order, for conditional updates.
    outcome : RolloutOutcome
        Progress as recorded by the host that runs the roll-out.
    share : float
        Share of the service's sessions that use the target version.
    started_ms : int
        Unix time in milliseconds at which a host first received the order; 0 if
        unknown.
    """

    service: str
    target_version: str
    duration_s: float
    revision: int = 0
    outcome: RolloutOutcome = RolloutOutcome.REQUESTED
    share: float = 0.0
    started_ms: int = 0

    def is_ahead_of(self, other: "RolloutOrder") -> bool:
        """Return whether this progress of the same order has come further."""
        if self.target_version != other.target_version:
            return False
        return self._stage > other._stage

    @property
    def _stage(self) -> tuple[bool, bool, float]:
        ended = self.outcome in (RolloutOutcome.SUCCEEDED, RolloutOutcome.ROLLED_BACK)
        started = self.outcome is not RolloutOutcome.REQUESTED
        return ended, started, 0.0 if ended else self.share


@dataclass(slots=True, frozen=True, kw_only=True)
class HostEntry:
    """Registration of a front host, by which the other hosts find it.

    Parameters
    ----------
    host_id : str
        Name of the host.
    peer_address : str
        ``ip:port`` for messages between hosts.
    domain : str
        Failure domain of the host.
    handover_address : str, default=""
        ``ip:port`` for requests that other hosts hand over; empty if it takes none.
    """

    host_id: str
    peer_address: str
    domain: str
    handover_address: str = ""


@dataclass(slots=True, frozen=True, kw_only=True)
class CrashReport:
    """Endpoints that crashed under something that is refused since.

    Parameters
    ----------
    name : str
        Kind and fingerprint of what crashed them.
    endpoint_ids : frozenset of str
        Incarnations of the endpoints.
    last_crash_ms : int
        Unix time of the last crash in milliseconds.
    """

    name: str
    endpoint_ids: frozenset[str]
    last_crash_ms: int
