"""The settings file that the platform gives to each process."""

from pathlib import Path

import msgspec

from sesameknot.errors import SettingsError
from sesameknot.settings.host import HostBounds, HostSettings

NODE_FILE_VARIABLE = "SESAMEKNOT_NODE_FILE"


class _Listen(msgspec.Struct, rename="pascal"):
    front: str
    ready: str
    # For messages between the system's own processes, not for operators.
    control: str = ""


class _Platform(msgspec.Struct, rename="pascal"):
    address: str


class _Bounds(msgspec.Struct, rename="pascal"):
    # Time within which an endpoint that reported its leaving gets no more requests.
    drain_ms: int = 2000
    grace_s: float = 8.0
    config_apply_ms: int = 2000
    retry_budget_ratio: float = 0.5
    budget_slack: float = 0.0
    budget_window_s: float = 10.0
    # Share of a service's requests that a bad version may get during its roll-out.
    expose_share: float = 0.1
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
    # First and last of a range of free ports, not a list of ports.
    internal_ports: tuple[int, int] = (7340, 7355)
    # Control addresses of some hosts, which may be stale or down.
    seeds: list[str] = []
    bounds: _Bounds = msgspec.field(default_factory=_Bounds)


def load_host_settings(path: Path) -> HostSettings:
    """Return the settings in the platform's file at ``path``.

    Raises
    ------
    SettingsError
        If the file cannot be read or a value is wrong; the message names the value.
    """
    try:
        found = msgspec.json.decode(path.read_bytes(), type=_NodeFile)
    except OSError as error:
        raise SettingsError(str(error), step=str(path)) from error
    except msgspec.MsgspecError as error:
        raise SettingsError(str(error), step=str(path)) from error
    return HostSettings(
        host_id=found.node,
        ip=found.ip,
        region=found.region,
        domain=found.zone,
        domains=found.zones,
        caller_address=found.listen.front,
        ready_address=found.listen.ready,
        peer_address=found.listen.control or f"{found.ip}:{found.internal_ports[0]}",
        seeds=tuple(found.seeds),
        store_address=found.platform.address,
        bounds=_bounds(found.bounds),
    )


def _bounds(found: _Bounds) -> HostBounds:
    return HostBounds(
        endpoint_leave_ms=found.drain_ms,
        grace_s=found.grace_s,
        configuration_apply_ms=found.config_apply_ms,
        retry_ratio=found.retry_budget_ratio,
        retry_slack_count=found.budget_slack,
        retry_window_s=found.budget_window_s,
        rollout_share=found.expose_share,
        cold_overage=found.cold_overage,
        cold_slack_count=found.cold_slack,
        session_gap_s=found.session_s,
    )
