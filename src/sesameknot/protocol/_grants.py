"""Messages about endpoint capacity."""

from dataclasses import dataclass, field

from sesameknot.protocol._message_registry import message
from sesameknot.protocol._records import EndpointReport


@message("grantRequest")
@dataclass(slots=True, kw_only=True)
class GrantRequest:
    """Ask for slots at an endpoint and report what is in flight."""

    endpoint_id: str = ""
    host_id: str = ""
    incarnation: int = 0
    in_flight_count: int = 0
    wanted_count: int = 0
    roster_version: int = 0


@message("grantReply")
@dataclass(slots=True, kw_only=True)
class GrantReply:
    """``status`` is granted, waiting, not-owner, stale or unknown-endpoint."""

    status: str = ""
    slot_count: int = 0
    ttl_ms: int = 0
    report: EndpointReport = field(default_factory=EndpointReport)
    roster_version: int = 0


@message("grantRevoke")
@dataclass(slots=True, kw_only=True)
class GrantRevoke:
    """Withdraw the grants of an endpoint."""

    report: EndpointReport = field(default_factory=EndpointReport)
    roster_version: int = 0


@message("endpointNotice")
@dataclass(slots=True, kw_only=True)
class EndpointNotice:
    """Tell the owner what a request saw: cold, crashed, silent or leaving."""

    endpoint_id: str = ""
    event: str = ""
    host_id: str = ""
