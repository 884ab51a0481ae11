"""Requests to endpoints, their time limits and answers."""

import json
from collections.abc import Callable
from dataclasses import dataclass, field

from tornado.httputil import HTTPHeaders

from sesameknot.errors import RouterError
from sesameknot.transport.request_body import RequestBody


@dataclass(slots=True, frozen=True, kw_only=True)
class CallLimits:
    """Time limits of one attempt.

    Parameters
    ----------
    connect_timeout_s : float, default=1.0
        Limit for opening the connection.
    first_byte_timeout_s : float, default=5.0
        Limit from the start to the first progress of the answer's body.
    progress_timeout_s : float, default=2.0
        Limit for the next progress of the body.
    deadline_s : float, default=30.0
        Limit for the whole attempt.
    progress_bytes : int, default=1
        Bytes of the body that count as progress if its reader reports none before.
    """

    connect_timeout_s: float = 1.0
    first_byte_timeout_s: float = 5.0
    progress_timeout_s: float = 2.0
    deadline_s: float = 30.0
    progress_bytes: int = 1


@dataclass(slots=True, kw_only=True)
class EndpointCall:
    """One attempt to send a request to an endpoint.

    Parameters
    ----------
    url : str
        Base URL of the endpoint.
    path : str
        Path and query string.
    method : str, default="POST"
        HTTP method.
    headers : dict of str to str or HTTPHeaders
        Request headers.
    body : bytes, RequestBody or None, default=None
        Request body.
    limits : CallLimits
        Time limits.
    before_send : callable or None, default=None
        Called when the connection is open, before the first byte is written; an
        error that it raises ends the attempt and is raised by the call.
    may_give_up : callable or None, default=None
        Called when a time limit other than the deadline has passed; the attempt goes on
        while it returns False.
    """

    url: str
    path: str
    method: str = "POST"
    headers: dict[str, str] | HTTPHeaders = field(default_factory=dict)
    body: bytes | RequestBody | None = None
    limits: CallLimits = field(default_factory=CallLimits)
    before_send: Callable[[], None] | None = None
    may_give_up: Callable[[], bool] | None = None


@dataclass(slots=True, frozen=True)
class ObservedLoad:
    """Endpoint state and load, as given in the headers of an answer."""

    state: str
    running_count: int
    queued_count: int


def parse_load_headers(headers: HTTPHeaders) -> ObservedLoad | None:
    """Return the load in ``headers``, or None if it is missing or malformed."""
    try:
        return ObservedLoad(
            state=headers["X-State"],
            running_count=int(headers["X-Load-Running"]),
            queued_count=int(headers["X-Load-Queued"]),
        )
    except (KeyError, ValueError):
        return None


NOT_RUN_ERROR_TYPES = frozenset({"cold", "leaving"})
REFUSED_STATUS = 503


@dataclass(slots=True, kw_only=True)
class EndpointAnswer:
    """A complete answer: status, headers and whole body."""

    status: int
    headers: HTTPHeaders
    body: bytes

    @property
    def load(self) -> ObservedLoad | None:
        """Load in the headers; None if missing or malformed."""
        return parse_load_headers(self.headers)

    @property
    def error_type(self) -> str:
        """Error type in the JSON body of an error status; empty if there is none."""
        if self.status < 400:
            return ""
        try:
            return str(json.loads(self.body)["error"]["type"])
        except (ValueError, KeyError, TypeError, RecursionError):
            return ""

    @property
    def refused(self) -> bool:
        """Whether the endpoint refused the request without running it."""
        return self.status == REFUSED_STATUS and self.error_type in NOT_RUN_ERROR_TYPES


class EndpointStatusError(RouterError):
    """An endpoint answered a request with an error status.

    Parameters
    ----------
    answer : EndpointAnswer
        The answer.
    peer : str
        URL of the endpoint.
    """

    def __init__(self, answer: EndpointAnswer, *, peer: str) -> None:
        super().__init__(
            f"answered status {answer.status} {answer.error_type}".rstrip(),
            step="status",
            peer=peer,
        )
        self.answer = answer

    @property
    def refused(self) -> bool:
        """Whether the endpoint refused the request without running it."""
        return self.answer.refused
