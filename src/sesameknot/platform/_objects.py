"""Conversion between objects of the platform's store and the project's records."""

from typing import Annotated, TypeVar

import msgspec
from msgspec import Meta

from sesameknot.errors import RouterError
from sesameknot.platform._addresses import is_address
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
    CrashReport,
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
# The router's own kinds, which the platform does not define.
HOST_KIND = "sesameknot-hosts"
CRASH_KIND = "sesameknot-crashes"

REQUEST_KINDS = {
    "safe": RequestKind.IDEMPOTENT,
    "unsafe": RequestKind.AT_MOST_ONCE,
    "streaming": RequestKind.STREAM,
}
ENDPOINT_STATES = {"ready": EndpointState.READY, "draining": EndpointState.LEAVING}
ROLLOUT_OUTCOMES = {
    "running": RolloutOutcome.RUNNING,
    "succeeded": RolloutOutcome.SUCCEEDED,
    "rolled_back": RolloutOutcome.ROLLED_BACK,
}
ROLLOUT_STATES = {outcome: state for state, outcome in ROLLOUT_OUTCOMES.items()}

T = TypeVar("T")

# Limits that are far above any sound value, so that arithmetic on it can't fail.
Count = Annotated[int, Meta(ge=0, le=2**31 - 1)]
UnixMs = Annotated[int, Meta(ge=0, le=2**53)]
# A day; NaN is no number either.
DurationMs = Annotated[float, Meta(le=86_400_000.0)]


class EntryError(RouterError):
    """An object of the store cannot be decoded; ``peer`` holds its key."""


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
    # Whether requests carry a prompt; it does not ask for session affinity.
    sticky: bool = False
    resumable: bool = False
    gap_target_ms: int = 0
    # Names of models, from the smallest to the largest.
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
    slots: Count = 0
    cold_remaining_ms: DurationMs = 0.0
    # The only field whose wire name is in lower case.
    born: UnixMs = msgspec.field(name="born", default=0)


class _Rollout(msgspec.Struct, rename="pascal"):
    service: str
    target: str
    duration_s: float


class _RolloutStatus(msgspec.Struct, rename="pascal"):
    state: str = ""
    target: str = ""
    share: float = 0.0
    started_ms: int = 0


class _CrashReport(msgspec.Struct, rename="pascal"):
    endpoint_ids: list[str]
    last_crash_ms: int


class _Host(msgspec.Struct, rename="pascal"):
    address: str
    zone: str
    handover_address: str = ""


def _decode_spec(entry: StoredEntry, spec_type: type[T]) -> T:
    try:
        return msgspec.convert(entry.spec, spec_type)
    except msgspec.ValidationError as error:
        raise EntryError(str(error), step="decode", peer=entry.key) from error


def decode_configuration(entry: StoredEntry) -> Configuration:
    """Return the configuration in ``entry``.

    Raises
    ------
    EntryError
        If a field is missing or has a wrong type, or a route's kind is unknown.
    """
    spec = _decode_spec(entry, _Configuration)
    try:
        routes = [_decode_route(route) for route in spec.routes]
    except KeyError as error:
        raise EntryError(
            f"unknown route kind {error}, expected one of {sorted(REQUEST_KINDS)}",
            step="decode",
            peer=entry.key,
        ) from error
    return Configuration(
        version=spec.version,
        routes=routes,
        services=[_decode_service(service) for service in spec.services],
        customers=[_decode_customer(tenant) for tenant in spec.tenants],
        limits=_decode_limits(spec.limits),
    )


def _decode_customer(tenant: _Tenant) -> Customer:
    return Customer(
        name=tenant.name, keys=tuple(tenant.api_keys), priority=tenant.priority
    )


def _decode_limits(limits: _Limits) -> CallerLimits:
    return CallerLimits(
        header_bytes=limits.max_header_bytes,
        body_bytes=limits.max_body_bytes,
        idle_timeout_s=limits.idle_timeout_ms / 1000.0,
    )


def _decode_route(route: _Route) -> Route:
    split = route.traffic_split or [_Split(service=route.service, weight=1.0)]
    return Route(
        name=route.name,
        host=route.host,
        path_prefix=route.path_prefix,
        kind=REQUEST_KINDS[route.kind],
        services=tuple(ServiceShare(service=s.service, weight=s.weight) for s in split),
        timeout_ms=route.timeout_ms,
        latency_target_ms=route.target_latency_ms,
        event_gap_ms=route.gap_target_ms,
        attempt_limit_count=route.max_attempts,
        priority=route.priority,
        resumable=route.resumable,
        public=route.public,
        prompt_affinity=route.sticky,
        models=tuple(route.sizes),
    )


def _decode_service(service: _Service) -> ServiceConfiguration:
    engine = service.engine or _Engine()
    return ServiceConfiguration(
        name=service.name,
        slot_count=engine.slots,
        cold_s=service.cold_s,
        cold_rate_per_s=service.cold_per_s,
        model_costs={model.name: model.cost for model in engine.models},
    )


def decode_endpoint(entry: StoredEntry) -> EndpointEntry:
    """Return the endpoint in ``entry``.

    Raises
    ------
    EntryError
        If a field is missing or invalid, or the state is unknown.
    """
    spec = _decode_spec(entry, _Server)
    state = ENDPOINT_STATES.get(spec.state)
    if state is None or not is_address(spec.address) or not spec.service:
        raise EntryError(
            f"got state {spec.state[:80]!r}, address {spec.address[:80]!r}, service "
            f"{spec.service[:80]!r}; expected a known state, address ip:port and a "
            "service",
            step="decode",
            peer=entry.key,
        )
    return EndpointEntry(
        endpoint_id=entry.name,
        service=spec.service,
        address=spec.address,
        domain=spec.zone,
        version=spec.version,
        slot_count=spec.slots,
        state=state,
        cold_remaining_s=max(0.0, spec.cold_remaining_ms / 1000.0),
        started_ms=spec.born,
        revision=entry.revision,
    )


def decode_rollout(entry: StoredEntry) -> RolloutOrder:
    """Return the roll-out order in ``entry`` with the progress recorded so far.

    Raises
    ------
    EntryError
        If the order is malformed. Malformed progress is ignored.
    """
    spec = _decode_spec(entry, _Rollout)
    try:
        status = msgspec.convert(entry.status or {}, _RolloutStatus)
    except msgspec.ValidationError:
        status = _RolloutStatus()
    if status.target != spec.target:
        # Progress recorded for an earlier target does not apply to this order.
        status = _RolloutStatus()
    outcome = ROLLOUT_OUTCOMES.get(status.state, RolloutOutcome.REQUESTED)
    return RolloutOrder(
        service=spec.service,
        target_version=spec.target,
        duration_s=spec.duration_s,
        revision=entry.revision,
        outcome=outcome,
        share=status.share,
        started_ms=status.started_ms,
    )


def encode_rollout_progress(order: RolloutOrder) -> dict[str, object]:
    """Return the ``Status`` that records the progress of ``order``."""
    return {
        "State": ROLLOUT_STATES.get(order.outcome, "running"),
        "Target": order.target_version,
        "Share": order.share,
        "StartedMs": order.started_ms,
    }


def decode_host(entry: StoredEntry) -> HostEntry:
    """Return the host in ``entry``.

    Raises
    ------
    EntryError
        If a field is missing or invalid.
    """
    spec = _decode_spec(entry, _Host)
    addresses = [spec.address, spec.handover_address or spec.address]
    if not all(is_address(address) for address in addresses):
        raise EntryError(
            f"got addresses {[address[:80] for address in addresses]}, expected "
            "ip:port",
            step="decode",
            peer=entry.key,
        )
    return HostEntry(
        host_id=entry.name,
        peer_address=spec.address,
        domain=spec.zone,
        handover_address=spec.handover_address,
    )


def encode_host(host: HostEntry) -> dict[str, object]:
    """Return the ``Spec`` under which ``host`` registers itself."""
    return {
        "Address": host.peer_address,
        "Zone": host.domain,
        "HandoverAddress": host.handover_address,
    }


def decode_crash_report(entry: StoredEntry) -> CrashReport:
    """Return the crash report in ``entry``.

    Raises
    ------
    EntryError
        If a field is missing or has a wrong type.
    """
    spec = _decode_spec(entry, _CrashReport)
    return CrashReport(
        name=entry.name,
        endpoint_ids=frozenset(spec.endpoint_ids),
        last_crash_ms=spec.last_crash_ms,
    )


def encode_crash_report(report: CrashReport) -> dict[str, object]:
    """Return the ``Spec`` of a crash report."""
    return {
        "EndpointIds": sorted(report.endpoint_ids),
        "LastCrashMs": report.last_crash_ms,
    }
