"""Settings of a front process: identity, addresses and bounds of its host."""

from dataclasses import dataclass, field


@dataclass(slots=True, frozen=True, kw_only=True)
class HostBounds:
    """Time limits and shares that the deployment's operators set.

    Parameters
    ----------
    endpoint_leave_ms : int
        Time after which a leaving endpoint must get no more requests.
    grace_s : float
        Time between SIGTERM and SIGKILL.
    configuration_apply_ms : int
        Time after which a new configuration must be in force.
    retry_ratio : float
        Repeated requests per first request that all hosts together may send.
    retry_slack_count : float
        Repeated requests allowed beyond the ratio.
    retry_window_s : float
        Span over which the ratio holds.
    rollout_share : float
        Share of a service's requests that a bad version may get.
    cold_overage : float
        Factor on an endpoint's cold rate that all hosts together may reach.
    cold_slack_count : float
        Requests per second allowed beyond it.
    session_gap_s : float
        Requests of a session that follow within this time belong together.
    """

    endpoint_leave_ms: int = 2000
    grace_s: float = 8.0
    configuration_apply_ms: int = 2000
    retry_ratio: float = 0.5
    retry_slack_count: float = 0.0
    retry_window_s: float = 10.0
    rollout_share: float = 0.1
    cold_overage: float = 1.0
    cold_slack_count: float = 0.0
    session_gap_s: float = 5.0


@dataclass(slots=True, frozen=True, kw_only=True)
class HostSettings:
    """What a front process is told about itself.

    Parameters
    ----------
    host_id : str
        Name of the host.
    ip : str
        Address of the host.
    region, domain : str
        Where the host stands.
    domains : dict of str to str
        All failure domains and their regions.
    caller_address : str
        ``ip:port`` for callers.
    ready_address : str
        ``ip:port`` of the readiness check.
    peer_address : str
        ``ip:port`` for messages between the system's own processes.
    seeds : tuple of str
        Peer addresses of some hosts, which may be stale or down.
    store_address : str
        ``ip:port`` of the platform's store.
    bounds : HostBounds
        Limits of the deployment.
    """

    host_id: str
    ip: str
    region: str
    domain: str
    domains: dict[str, str]
    caller_address: str
    ready_address: str
    peer_address: str
    store_address: str
    seeds: tuple[str, ...] = ()
    bounds: HostBounds = field(default_factory=HostBounds)
