"""Settings of a router or controller process."""

from typing import Annotated, Literal

from msgspec import Meta, field

from sesameknot.settings._struct import SettingsStruct
from sesameknot.settings.tree import Count, DurationS, Name, PositiveCount

Address = Annotated[str, Meta(pattern=r"^[0-9a-fA-F.:\[\]]+:\d{1,5}$")]


class TlsSettings(SettingsStruct):
    """Files of the process's certificate and key, and of the trusted authority."""

    certificate_file: str
    key_file: str
    authority_file: str


class TimingSettings(SettingsStruct):
    """Intervals and time limits of coordination between processes, in seconds."""

    heartbeat_s: DurationS = 1.0
    ping_timeout_s: DurationS = 0.5
    suspicion_s: DurationS = 3.0
    stale_limit_s: DurationS = 3.0
    grant_ttl_s: DurationS = 2.0
    margin_s: DurationS = 0.5
    watch_timeout_s: DurationS = 1.0
    claim_retention_s: DurationS = 600.0
    bill_flush_s: DurationS = 1.0
    endpoint_poll_s: DurationS = 0.5
    roster_change_s: DurationS = 1.0
    lease_s: DurationS = 5.0


class RequestSettings(SettingsStruct):
    """Limits on the handling of requests."""

    default_deadline_s: DurationS = 30.0
    first_byte_timeout_s: DurationS = 5.0
    progress_timeout_s: DurationS = 2.0
    body_limit_bytes: PositiveCount = 4 * 1024 * 1024
    # The design page allows a router 128 MB, of which it takes 64 MB without requests.
    all_bodies_limit_bytes: PositiveCount = 48 * 1024 * 1024
    # Larger bodies leave a share of that to those up to this size.
    small_body_bytes: PositiveCount = 32 * 1024
    small_body_share: Annotated[float, Meta(ge=0.0, le=1.0)] = 0.25
    concurrent_limit_count: PositiveCount = 512
    retry_ratio: Annotated[float, Meta(ge=0.0, le=1.0)] = 0.2
    crash_limit_count: PositiveCount = 2
    drain_notice_s: DurationS = 1.0
    drain_limit_s: DurationS = 60.0
    endpoint_subset_count: PositiveCount = 24


class RouterSettings(SettingsStruct):
    """Settings of a router.

    Parameters
    ----------
    host_id : str
        Name of the host.
    region, domain : str
        Region and failure domain of the host.
    http_address, peer_address : str
        ``ip:port`` for callers and for peers.
    platform_url : str
        Base URL of the platform's object API.
    seeds : list of str
        Peer addresses of other routers.
    rating_url : str, default=""
        Base URL of the rating service; empty disables ratings.
    rating_share : float, default=0.1
        Share of answers that is sent to the rating service.
    on_platform_loss : {"serve", "refuse"}, default="serve"
        Whether to accept requests while this host reaches a majority of the roster but
        no host reaches the platform.
    """

    host_id: Name
    region: Name
    domain: Name
    http_address: Address
    peer_address: Address
    platform_url: Annotated[str, Meta(pattern=r"^https?://")]
    platform_token: str = ""
    seeds: list[Address] = field(default_factory=list)
    rating_url: str = ""
    rating_share: Annotated[float, Meta(ge=0.0, le=1.0)] = 0.1
    on_platform_loss: Literal["serve", "refuse"] = "serve"
    operator_token_sha256: str = ""
    random_state: Count = 0
    timing: TimingSettings = field(default_factory=TimingSettings)
    requests: RequestSettings = field(default_factory=RequestSettings)
    tls: TlsSettings | None = None


class ControllerSettings(SettingsStruct):
    """Settings of a controller, which uses the router at ``router_address``."""

    host_id: Name
    router_address: Address
    platform_url: Annotated[str, Meta(pattern=r"^https?://")]
    platform_token: str = ""
    timing: TimingSettings = field(default_factory=TimingSettings)
    tls: TlsSettings | None = None
