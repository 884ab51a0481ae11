"""Messages about endpoint capacity."""

from dataclasses import dataclass, field

from sesameknot.protocol._message_registry import message
from sesameknot.protocol._records import EndpointReport


@message("grantRequest")
@dataclass(slots=True, kw_only=True)
class GrantRequest:
    """Ask for slots at an endpoint and report what is in flight.

    ``in_flight_count`` counts requests that were sent and have not ended;
    ``wanted_count`` is how many more the holder would start. ``seen_number`` is the
    newest grant that the holder has from the owner incarnation
    ``owner_incarnation``. ``address`` takes revocations; it is empty if the roster
    gives it.
    """

    endpoint_id: str = ""
    host_id: str = ""
    incarnation: int = 0
    in_flight_count: int = 0
    wanted_count: int = 0
    roster_version: int = 0
    address: str = ""
    owner_incarnation: int = 0
    seen_number: int = 0
    prefix_digest: int = 0


@message("grantReply")
@dataclass(slots=True, kw_only=True)
class GrantReply:
    """``status`` is granted, waiting, not-owner, stale or unknown-endpoint.

    A granted reply replaces all grants with a lower ``number``. The report is about
    the endpoint of the request and does not repeat its id.
    """

    status: str = ""
    slot_count: int = 0
    ttl_ms: int = 0
    report: EndpointReport = field(default_factory=EndpointReport)
    roster_version: int = 0
    owner_incarnation: int = 0
    number: int = 0


@message("grantRevoke")
@dataclass(slots=True, kw_only=True)
class GrantRevoke:
    """Withdraw the grants of an endpoint that have a lower ``number``."""

    report: EndpointReport = field(default_factory=EndpointReport)
    roster_version: int = 0
    owner_id: str = ""
    owner_incarnation: int = 0
    number: int = 0


@message("endpointNotice")
@dataclass(slots=True, kw_only=True)
class EndpointNotice:
    """Tell the owner what a request saw.

    ``event`` is cold, leaving, refused, broken or silent.
    """

    endpoint_id: str = ""
    event: str = ""
    host_id: str = ""
