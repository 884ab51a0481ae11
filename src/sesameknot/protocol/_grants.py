"""Messages that grant hosts slots at endpoints."""

from dataclasses import dataclass, field

from sesameknot.protocol._message_registry import message
from sesameknot.protocol._records import EndpointReport


@message("grantRequest")
@dataclass(slots=True, kw_only=True)
class GrantRequest:
    """Request slots at an endpoint and report the requests in flight there.

    ``in_flight_count`` counts requests that were sent and have not ended;
    ``wanted_count`` is the number of further requests that the grant's holder would
    send. ``seen_number`` is the number of the newest grant that the holder received
    from the owner incarnation ``owner_incarnation``. Revocations are sent to
    ``address``; if it is empty, the address in the roster is used.
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
    """Grant, or the reason why there is none, and the endpoint's latest report.

    ``status`` is granted, waiting, not-owner, stale or unknown-endpoint. A granted
    reply replaces all grants with a lower ``number``. The report leaves out the id of
    the endpoint, which the request named.
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
    """Revoke the grants for an endpoint that have a lower ``number``."""

    report: EndpointReport = field(default_factory=EndpointReport)
    roster_version: int = 0
    owner_id: str = ""
    owner_incarnation: int = 0
    number: int = 0


@message("endpointNotice")
@dataclass(slots=True, kw_only=True)
class EndpointNotice:
    """Notify the owner of an endpoint of an event that a request observed.

    ``event`` is cold, leaving, refused, broken or silent.
    """

    endpoint_id: str = ""
    event: str = ""
    host_id: str = ""
