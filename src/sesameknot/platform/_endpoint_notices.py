"""What endpoints say of themselves in the headers of their answers."""

import re
from dataclasses import dataclass

from tornado.httputil import HTTPHeaders

# Requests per second that the endpoint takes from all hosts together.
RATE_LIMIT_HEADER = "Server-Limit"
LEAVING_HEADER = "Server-Leaving"
LEAVING_VALUE = "1"
# A refusal with this header asks this host alone to pause.
RETRY_AFTER_HEADER = "Retry-After"
# Refusals in a second for want of room beyond which the endpoint falls over.
BRITTLE_HEADER = "Server-Brittle"
REFUSAL_STATUSES = frozenset({429, 503})
# A longer time would take the endpoint out of use, for which the platform has its list.
PAUSE_LIMIT_S = 600.0
DECIMAL_PATTERN = re.compile(r"[0-9]{1,9}(\.[0-9]{1,9})?", re.ASCII)
# Longest part of a malformed value that is kept for the log.
MALFORMED_VALUE_LIMIT_CHARS = 40


@dataclass(slots=True, frozen=True)
class MalformedNotice:
    """A header that has no valid value, with the beginning of its value."""

    header: str
    value: str


@dataclass(slots=True, frozen=True, kw_only=True)
class EndpointNotices:
    """Notices in one answer; what is malformed counts as absent.

    Parameters
    ----------
    rate_limit_per_s : float or None
        Request rate that the endpoint takes from all hosts together; None if not given.
    leaving : bool
        Whether the endpoint is shutting down and wants no more requests.
    pause_s : float or None
        Time for which the endpoint wants no requests from this host; None if not given.
    overload_limit_per_s : float or None
        Refusals per second for want of room beyond which the endpoint falls over; None
        if it bears any number.
    malformed : tuple of MalformedNotice
        Headers without a valid value.
    """

    rate_limit_per_s: float | None = None
    leaving: bool = False
    pause_s: float | None = None
    overload_limit_per_s: float | None = None
    malformed: tuple[MalformedNotice, ...] = ()


def parse_endpoint_notices(status: int, headers: HTTPHeaders) -> EndpointNotices:
    """Parse what an endpoint says of itself in an answer."""
    rate_limit_per_s = _parse_decimal(headers.get(RATE_LIMIT_HEADER))
    leaving = headers.get(LEAVING_HEADER, "").strip() == LEAVING_VALUE
    refused = status in REFUSAL_STATUSES
    pause_s = _parse_decimal(headers.get(RETRY_AFTER_HEADER)) if refused else None
    if pause_s is not None and pause_s > PAUSE_LIMIT_S:
        pause_s = None
    overload_limit_per_s = _parse_decimal(headers.get(BRITTLE_HEADER))
    understood = {
        RATE_LIMIT_HEADER: rate_limit_per_s is not None,
        LEAVING_HEADER: leaving,
        BRITTLE_HEADER: overload_limit_per_s is not None,
        RETRY_AFTER_HEADER: pause_s is not None or not refused,
    }
    malformed = tuple(
        MalformedNotice(header, repr(headers[header][:MALFORMED_VALUE_LIMIT_CHARS]))
        for header, valid in understood.items()
        if header in headers and not valid
    )
    return EndpointNotices(
        rate_limit_per_s=rate_limit_per_s,
        leaving=leaving,
        pause_s=pause_s,
        overload_limit_per_s=overload_limit_per_s,
        malformed=malformed,
    )


def _parse_decimal(value: str | None) -> float | None:
    if value is None or not DECIMAL_PATTERN.fullmatch(value.strip()):
        return None
    return float(value)
