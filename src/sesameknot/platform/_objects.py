"""Objects in the platform's store, decoded into the project's records."""

from typing import TypeVar

import msgspec

from sesameknot.errors import RouterError
from sesameknot.platform._store import StoredEntry
from sesameknot.protocol.configuration import (
    CallerLimits,
    Configuration,
    Customer,
    RequestKind,
    Route,
    ServiceConfiguration,
    ServiceShare,
)
from sesameknot.protocol.fleet_records import (
    EndpointEntry,
    EndpointState,
    HostEntry,
    RolloutOrder,
    RolloutOutcome,
)

CONFIGURATION_KIND = "config"
ENDPOINT_KIND = "servers"
EVACUATION_KIND = "evacuations"
ROLLOUT_KIND = "rollouts"
# A kind of our own.
HOST_KIND = "sesameknot-hosts"

KINDS = {
    "safe": RequestKind.IDEMPOTENT,
    "unsafe": RequestKind.AT_MOST_ONCE,
    "streaming": RequestKind.STREAM,
}
ENDPOINT_STATES = {"ready": EndpointState.READY, "draining": EndpointState.LEAVING}
OUTCOMES = {
    "running": RolloutOutcome.RUNNING,
    "succeeded": RolloutOutcome.SUCCEEDED,
    "rolled_back": RolloutOutcome.ROLLED_BACK,
}
OUTCOME_WORDS = {outcome: word for word, outcome in OUTCOMES.items()}

T = TypeVar("T")


class EntryError(RouterError):
    """An object cannot be decoded; ``peer`` holds its kind and name."""


class _Split(msgspec.Struct, rename="pascal"):
    service: str
    weight: float


class _Route(msgspec.Struct, rename="pascal"):
    name: str
    host: str
    path_prefix: str
    kind: str
    timeout_ms: int
    target_latency_ms: int
    max_attempts: int = 1
    priority: int = 5
    public: bool = False
    # Set on routes whose requests carry a prompt, not for session affinity.
    sticky: bool = False
    resumable: bool = False
    gap_target_ms: int = 0
    # Models from the smallest to the largest.
    sizes: list[str] = []
    service: str = ""
    traffic_split: list[_Split] = []


class _Model(msgspec.Struct, rename="pascal"):
    name: str
    cost: float = 0.0


class _Engine(msgspec.Struct, rename="pascal"):
    slots: int = 0
    models: list[_Model] = []


class _Service(msgspec.Struct, rename="pascal"):
    name: str
    cold_s: float = 0.0
    cold_per_s: float = 0.0
    engine: _Engine | None = None


class _Limits(msgspec.Struct, rename="pascal"):
    max_header_bytes: int = 16384
    max_body_bytes: int = 4 * 1024 * 1024
    idle_timeout_ms: int = 15000


class _Tenant(msgspec.Struct, rename="pascal"):
    name: str
    api_keys: list[str] = []
    priority: int | None = None


class _Configuration(msgspec.Struct, rename="pascal"):
    version: int
    routes: list[_Route]
    services: list[_Service] = []
    tenants: list[_Tenant] = []
    limits: _Limits = msgspec.field(default_factory=_Limits)


class _Server(msgspec.Struct, rename="pascal"):
    service: str
    address: str
    zone: str
    version: str
    state: str
    slots: int = 0
    cold_remaining_ms: float = 0.0
    # The wire name is the only one in lower case.
    born: int = msgspec.field(name="born", default=0)


class _Rollout(msgspec.Struct, rename="pascal"):
    service: str
    target: str
    duration_s: float


class _RolloutStatus(msgspec.Struct, rename="pascal"):
    state: str = ""
    target: str = ""
    share: float = 0.0
    started_ms: int = 0


class _Host(msgspec.Struct, rename="pascal"):
    address: str
    zone: str


def _convert(entry: StoredEntry, kind: type[T]) -> T:
    try:
        return msgspec.convert(entry.content, kind)
    except msgspec.ValidationError as error:
        raise EntryError(str(error), step="decode", peer=entry.place) from error


def decode_configuration(entry: StoredEntry) -> Configuration:
    """Return the configuration in ``entry``.

    Raises
    ------
    EntryError
        If a value is missing, wrong or unknown.
    """
    found = _convert(entry, _Configuration)
    try:
        routes = [_route(route) for route in found.routes]
    except KeyError as error:
        raise EntryError(
            f"got kind {error}, expected one of {sorted(KINDS)}",
            step="decode",
            peer=entry.place,
        ) from error
    limits = found.limits
    return Configuration(
        version=found.version,
        routes=routes,
        services=[_service(service) for service in found.services],
        customers=[
            Customer(name=t.name, keys=tuple(t.api_keys), priority=t.priority)
            for t in found.tenants
        ],
        limits=CallerLimits(
            header_bytes=limits.max_header_bytes,
            body_bytes=limits.max_body_bytes,
            idle_timeout_s=limits.idle_timeout_ms / 1000.0,
        ),
    )


def _route(found: _Route) -> Route:
    split = found.traffic_split or [_Split(service=found.service, weight=1.0)]
    return Route(
        name=found.name,
        host=found.host,
        path_prefix=found.path_prefix,
        kind=KINDS[found.kind],
        services=tuple(ServiceShare(service=s.service, weight=s.weight) for s in split),
        timeout_ms=found.timeout_ms,
        latency_target_ms=found.target_latency_ms,
        event_gap_ms=found.gap_target_ms,
        attempt_limit_count=found.max_attempts,
        priority=found.priority,
        resumable=found.resumable,
        public=found.public,
        prompt_affinity=found.sticky,
        models=tuple(found.sizes),
    )


def _service(found: _Service) -> ServiceConfiguration:
    engine = found.engine or _Engine()
    return ServiceConfiguration(
        name=found.name,
        slot_count=engine.slots,
        cold_s=found.cold_s,
        cold_rate_per_s=found.cold_per_s,
        model_costs={model.name: model.cost for model in engine.models},
    )


def decode_endpoint(entry: StoredEntry) -> EndpointEntry:
    """Return the endpoint in ``entry``.

    Raises
    ------
    EntryError
        If a value is missing, wrong or unknown.
    """
    found = _convert(entry, _Server)
    state = ENDPOINT_STATES.get(found.state)
    ip, _, port = found.address.rpartition(":")
    if state is None or not ip or not port.isdigit() or not found.service:
        raise EntryError(
            f"got state {found.state!r}, address {found.address!r}, service "
            f"{found.service!r}, expected a known state, ip:port and a name",
            step="decode",
            peer=entry.place,
        )
    return EndpointEntry(
        endpoint_id=entry.name,
        service=found.service,
        address=found.address,
        domain=found.zone,
        version=found.version,
        slot_count=found.slots,
        state=state,
        cold_remaining_s=max(0.0, found.cold_remaining_ms / 1000.0),
        started_ms=found.born,
    )


def decode_rollout(entry: StoredEntry) -> RolloutOrder:
    """Return the roll-out order in ``entry`` with the progress recorded so far.

    Raises
    ------
    EntryError
        If the order is malformed; malformed progress counts as none.
    """
    found = _convert(entry, _Rollout)
    try:
        status = msgspec.convert(entry.status or {}, _RolloutStatus)
    except msgspec.ValidationError:
        status = _RolloutStatus()
    outcome = RolloutOutcome.REQUESTED
    # Progress towards an earlier target says nothing about this order.
    if status.target == found.target:
        outcome = OUTCOMES.get(status.state, RolloutOutcome.REQUESTED)
    return RolloutOrder(
        service=found.service,
        target_version=found.target,
        duration_s=found.duration_s,
        revision=entry.revision,
        outcome=outcome,
        share=status.share,
        started_ms=status.started_ms,
    )


def encode_rollout_progress(order: RolloutOrder) -> dict[str, object]:
    """Return the ``Status`` that records the progress of ``order``."""
    return {
        "State": OUTCOME_WORDS.get(order.outcome, "running"),
        "Target": order.target_version,
        "Share": order.share,
        "StartedMs": order.started_ms,
    }


def decode_host(entry: StoredEntry) -> HostEntry:
    """Return the front host in ``entry``.

    Raises
    ------
    EntryError
        If a value is missing or wrong.
    """
    found = _convert(entry, _Host)
    return HostEntry(host_id=entry.name, peer_address=found.address, domain=found.zone)


def encode_host(host: HostEntry) -> dict[str, object]:
    """Return the ``Spec`` that announces ``host``."""
    return {"Address": host.peer_address, "Zone": host.domain}
