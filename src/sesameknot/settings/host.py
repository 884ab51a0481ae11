"""Settings of a front process: identity, addresses and limits of its host."""

from dataclasses import dataclass, field

# For a host whose limit is not named; below that of the deployments so far (300 MB).
DEFAULT_MEMORY_LIMIT_BYTES = 256 * 1024 * 1024


@dataclass(slots=True, frozen=True, kw_only=True)
class HostBounds:
    """Limits that the deployment's operators set.

    Parameters
    ----------
    endpoint_leave_ms : int
        Time within which hosts must stop sending requests to a leaving endpoint.
    grace_s : float
        Time between SIGTERM and SIGKILL.
    configuration_apply_ms : int
        Time within which a new configuration must be in force.
    retry_ratio : float
        Limit on retries per first attempt, over all hosts.
    retry_slack_count : float
        Retries allowed in addition to the ratio.
    retry_window_s : float
        Window over which the ratio is measured.
    rollout_share : float
        Limit on the share of a service's requests that a bad version may get.
    rollout_slack_count : float
        Requests that it may get in addition to that share.
    cold_overage : float
        Limit on the request rate of all hosts to a cold endpoint, as a multiple of
        its configured cold rate.
    cold_slack_count : float
        Requests per second allowed in addition to that rate.
    session_gap_s : float
        Longest gap between requests of one session; after it, a new session begins.
    """

    endpoint_leave_ms: int = 2000
    grace_s: float = 8.0
    configuration_apply_ms: int = 2000
    retry_ratio: float = 0.5
    retry_slack_count: float = 0.0
    retry_window_s: float = 10.0
    rollout_share: float = 0.1
    rollout_slack_count: float = 0.0
    cold_overage: float = 1.0
    cold_slack_count: float = 0.0
    session_gap_s: float = 5.0


@dataclass(slots=True, frozen=True, kw_only=True)
class HostSettings:
    """Identity, addresses and limits of a front process.

    Parameters
    ----------
    host_id : str
        Name of the host.
    ip : str
        Address of the host.
    region, domain : str
        Region and failure domain of the host.
    domains : dict of str to str
        Region of each failure domain.
    caller_address : str
        ``ip:port`` on which callers connect.
    ready_address : str
        ``ip:port`` of the readiness check.
    peer_address : str
        ``ip:port`` for messages between the system's own processes.
    handover_address : str
        ``ip:port`` on which other hosts hand requests over; empty to take none.
    seeds : tuple of str
        Peer addresses of some hosts, which may be outdated or down.
    store_address : str
        ``ip:port`` of the platform's store.
    bounds : HostBounds
        Limits that the deployment sets.
    heartbeat_s : float
        Time between two heartbeats of an endpoint.
    memory_limit_bytes : int
        Memory above which the platform ends the process.
    endpoint_memory_limited : bool
        Whether endpoints crash if the requests that they hold exceed their memory.
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
    handover_address: str = ""
    seeds: tuple[str, ...] = ()
    bounds: HostBounds = field(default_factory=HostBounds)
    heartbeat_s: float = 1.2
    memory_limit_bytes: int = DEFAULT_MEMORY_LIMIT_BYTES
    endpoint_memory_limited: bool = False
