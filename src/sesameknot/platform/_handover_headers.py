"""Headers of requests that one host hands over to another.

They pass between the router's own processes only. A host reads them on the listener
that other hosts use, and never from callers.
"""

from tornado.httputil import HTTPHeaders

from sesameknot.platform._headers import (
    DEADLINE_HEADER,
    HOP_BY_HOP_HEADERS,
    LAST_EVENT_ID_HEADER,
    RUN_COUNT_HEADER,
)

# In the refusal of a host that reaches no endpoint itself.
UNREACHABLE_HEADER = "Sesameknot-Unreachable"


def headers_for_host(
    received: HTTPHeaders,
    *,
    time_left_ms: int,
    run_count: int,
    resume_after_event_id: str,
) -> HTTPHeaders:
    """Return the caller's headers for the host that a request is handed over to.

    Parameters
    ----------
    received : HTTPHeaders
        Headers of the caller's request, with its key.
    time_left_ms : int
        Time until the caller's deadline.
    run_count : int
        Attempts that an endpoint may have run.
    resume_after_event_id : str
        Last event that the caller received; empty for a new stream.
    """
    headers = HTTPHeaders()
    for name, value in received.get_all():
        if name not in HOP_BY_HOP_HEADERS and name != "Content-Length":
            headers.add(name, value)
    headers[DEADLINE_HEADER] = str(time_left_ms)
    headers[RUN_COUNT_HEADER] = str(run_count)
    if resume_after_event_id:
        headers[LAST_EVENT_ID_HEADER] = resume_after_event_id
    return headers


def handover_refused_as_unreachable(headers: HTTPHeaders) -> bool:
    """Return whether another host refused a request since it reaches no endpoint."""
    return UNREACHABLE_HEADER in headers


def parse_run_count(headers: HTTPHeaders) -> int:
    """Return how often endpoints may have run a request before it was handed over."""
    value = headers.get(RUN_COUNT_HEADER, "")
    return int(value) if value.isascii() and value.isdecimal() else 0
