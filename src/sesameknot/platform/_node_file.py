"""Loading of the node file, in which the platform passes settings to a process."""

from pathlib import Path
from typing import Annotated

import msgspec

from sesameknot.errors import SettingsError
from sesameknot.settings.host import (
    DEFAULT_MEMORY_LIMIT_BYTES,
    HostBounds,
    HostSettings,
)

# Endpoints and callers may read slowly, and endpoints hold limited memory for requests.
MEMORY_LIMITED_CONTRACT = "pressure"
NODE_FILE_VARIABLE = "SESAMEKNOT_NODE_FILE"


class _Listen(msgspec.Struct, rename="pascal"):
    front: str
    ready: str
    # For messages between the router's own processes, not for operators.
    control: str = ""


class _Limits(msgspec.Struct, rename="pascal"):
    # Memory above which the process is killed; 0 or nothing if it has no limit.
    memory_mb: Annotated[float, msgspec.Meta(ge=0.0)] | None = None


class _Platform(msgspec.Struct, rename="pascal"):
    address: str


class _Bounds(msgspec.Struct, rename="pascal"):
    # Time after which an endpoint that reported draining must get no more requests.
    drain_ms: int = 2000
    grace_s: float = 8.0
    config_apply_ms: int = 2000
    retry_budget_ratio: float = 0.5
    budget_slack: float = 0.0
    budget_window_s: float = 10.0
    # Share of a service's requests that a bad version may get during its roll-out.
    expose_share: float = 0.1
    # Requests of a service that a bad version may get beyond that share.
    expose_slack: float = 0.0
    cold_overage: float = 1.0
    cold_slack: float = 0.0
    session_s: float = 5.0


class _NodeFile(msgspec.Struct, rename="pascal"):
    node: str
    ip: str
    zone: str
    region: str
    listen: _Listen
    platform: _Platform
    # Region of each zone.
    zones: dict[str, str] = {}
    # First and last port of a range of unused ports, not a list of ports.
    internal_ports: tuple[int, int] = (7340, 7355)
    # Control addresses of some hosts; they may be out of date, and the hosts down.
    seeds: list[str] = []
    bounds: _Bounds = msgspec.field(default_factory=_Bounds)
    heartbeat_ms: float = 1200.0
    limits: _Limits = msgspec.field(default_factory=_Limits)
    # Names of further agreements between the platform and its users.
    contracts: list[str] = []


def load_host_settings(path: Path) -> HostSettings:
    """Return the settings in the node file at ``path``.

    Raises
    ------
    SettingsError
        If the file cannot be read or a field is invalid; the message names the field.
    """
    try:
        node_file = msgspec.json.decode(path.read_bytes(), type=_NodeFile)
    except OSError as error:
        raise SettingsError(str(error), step=str(path)) from error
    except msgspec.MsgspecError as error:
        raise SettingsError(str(error), step=str(path)) from error
    first_port, last_port = node_file.internal_ports
    peer_address = node_file.listen.control or f"{node_file.ip}:{first_port}"
    handover_address = f"{node_file.ip}:{last_port}"
    return HostSettings(
        host_id=node_file.node,
        ip=node_file.ip,
        region=node_file.region,
        domain=node_file.zone,
        domains=node_file.zones,
        caller_address=node_file.listen.front,
        ready_address=node_file.listen.ready,
        peer_address=peer_address,
        handover_address=handover_address if handover_address != peer_address else "",
        seeds=tuple(node_file.seeds),
        store_address=node_file.platform.address,
        bounds=_host_bounds(node_file.bounds),
        heartbeat_s=node_file.heartbeat_ms / 1000.0,
        memory_limit_bytes=_memory_limit_bytes(node_file.limits),
        endpoint_memory_limited=MEMORY_LIMITED_CONTRACT in node_file.contracts,
    )


def _memory_limit_bytes(limits: _Limits) -> int:
    if not limits.memory_mb:
        return DEFAULT_MEMORY_LIMIT_BYTES
    # The platform does not say which megabytes it means; these are the smaller ones.
    return int(limits.memory_mb * 1_000_000)


def _host_bounds(bounds: _Bounds) -> HostBounds:
    return HostBounds(
        endpoint_leave_ms=bounds.drain_ms,
        grace_s=bounds.grace_s,
        configuration_apply_ms=bounds.config_apply_ms,
        retry_ratio=bounds.retry_budget_ratio,
        retry_slack_count=bounds.budget_slack,
        retry_window_s=bounds.budget_window_s,
        rollout_share=bounds.expose_share,
        rollout_slack_count=bounds.expose_slack,
        cold_overage=bounds.cold_overage,
        cold_slack_count=bounds.cold_slack,
        session_gap_s=bounds.session_s,
    )
