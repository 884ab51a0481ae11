"""A caller's request, its headers and the destination of its answer."""

from dataclasses import dataclass, field
from typing import Protocol

import msgspec
from tornado.httputil import HTTPHeaders

from sesameknot.clock import Clock
from sesameknot.errors import RequestError
from sesameknot.router.catalogue import Customer

NOT_RUN = "not-run"
UNKNOWN = "unknown"
CRASHES_ENDPOINTS = "request-crashes-endpoints"
DEFAULT_REQUEST_KIND = "default"
HEADER_LIMIT_BYTES = 256
PRIORITY_NORMAL = 5
PRIORITY_HIGHEST = 9


class AnswerSink(Protocol):
    """Destination of an answer: a tornado handler, or a recorder in tests."""

    def start(self, status: int, headers: dict[str, str]) -> None:
        """Set status and headers; called once, before the first chunk."""

    async def write(self, chunk: bytes) -> None:
        """Send one chunk; raises if the caller closed its connection."""


class StoredAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """An answer stored with the claim of its key, for later requests with the key."""

    fingerprint: int
    status: int
    headers: dict[str, str]
    body: bytes


@dataclass(slots=True)
class Call:
    """A request whose customer and headers have been checked.

    Parameters
    ----------
    request_id : str
        Identifier that the router which received the request assigned.
    customer : Customer
        Customer that the bearer token belongs to.
    deadline_s : float
        Monotonic time by which the whole answer must have been sent.
    fingerprint : int
        Hash of customer and request. It identifies requests that crash endpoints, and
        different requests under one idempotency key.
    idempotency_key : str, default=""
        Idempotency key; empty without one.
    session_id : str, default=""
        Session whose model versions are pinned; empty without one.
    kind : str, default="default"
        Kind of request; the cascade rates models for each kind separately.
    priority : int, default=5
        From 0 (least urgent) to 9 (most urgent).
    bill_id : str, default=""
        Identifier of the bill; a rerun under an idempotency key keeps the first one.
    claimant : str, default=""
        Claim attempt that holds the idempotency key; empty if there is none.
    may_have_run : bool, default=False
        Whether any attempt may have started the request at an endpoint.
    tried_incarnation_ids : list of str
        Endpoint of each attempt, in order.
    """

    request_id: str
    customer: Customer
    deadline_s: float
    fingerprint: int
    idempotency_key: str = ""
    session_id: str = ""
    kind: str = DEFAULT_REQUEST_KIND
    priority: int = PRIORITY_NORMAL
    bill_id: str = ""
    claimant: str = ""
    may_have_run: bool = False
    tried_incarnation_ids: list[str] = field(default_factory=list)

    @property
    def team(self) -> str:
        """The customer's team."""
        return self.customer.team

    @property
    def customer_name(self) -> str:
        """The customer's name."""
        return self.customer.settings.name

    @property
    def outcome_if_failed(self) -> str:
        """Outcome that the caller is told if the call fails now."""
        return UNKNOWN if self.may_have_run else NOT_RUN

    def remaining_s(self, clock: Clock) -> float:
        """Return the time left until the deadline, in seconds."""
        return self.deadline_s - clock.monotonic_s()


@dataclass(slots=True, frozen=True)
class CallHeaders:
    """Checked request headers.

    Parameters
    ----------
    token : str
        Bearer token.
    idempotency_key, session_id, kind, priority
        As in :class:`Call`.
    deadline_s : float
        Time from the arrival of the request to its deadline.
    """

    token: str
    idempotency_key: str
    session_id: str
    kind: str
    priority: int
    deadline_s: float


def read_headers(headers: HTTPHeaders, *, default_deadline_s: float) -> CallHeaders:
    """Return the checked headers of a caller's request.

    Parameters
    ----------
    headers : HTTPHeaders
        Headers as received.
    default_deadline_s : float
        Time allowed for a request without the header ``X-Deadline-Ms``.

    Raises
    ------
    RequestError
        If a header is missing, too long or malformed.
    """
    scheme, _, token = headers.get("Authorization", "").partition(" ")
    if scheme.lower() != "bearer" or not token:
        raise RequestError(
            "header Authorization is missing or not 'Bearer <token>'",
            status=401,
            outcome=NOT_RUN,
            error_type="unauthorised",
            step="authorise",
        )
    return CallHeaders(
        token=token.strip(),
        idempotency_key=_text_header(headers, "Idempotency-Key"),
        session_id=_text_header(headers, "X-Session-Id"),
        kind=_text_header(headers, "X-Request-Kind") or DEFAULT_REQUEST_KIND,
        priority=_integer_header(
            headers, "X-Priority", PRIORITY_NORMAL, 0, PRIORITY_HIGHEST
        ),
        deadline_s=_integer_header(
            headers, "X-Deadline-Ms", int(default_deadline_s * 1000), 1, 3_600_000
        )
        / 1000,
    )


def crash_guard_error(*, outcome: str, step: str, peer: str = "") -> RequestError:
    """Return the error for a request that crashed several endpoints."""
    return RequestError(
        "this request took down several endpoints and is refused",
        status=422,
        outcome=outcome,
        error_type=CRASHES_ENDPOINTS,
        step=step,
        peer=peer,
    )


def _text_header(headers: HTTPHeaders, name: str) -> str:
    value = headers.get(name, "")
    if len(value) > HEADER_LIMIT_BYTES or not value.isprintable():
        raise _bad_header_error(
            name, value, f"at most {HEADER_LIMIT_BYTES} printable bytes"
        )
    return value


def _integer_header(
    headers: HTTPHeaders, name: str, default: int, minimum: int, maximum: int
) -> int:
    value = headers.get(name)
    if value is None:
        return default
    if (
        not value.isascii()
        or not value.isdigit()
        or not minimum <= int(value) <= maximum
    ):
        raise _bad_header_error(
            name, value, f"a whole number from {minimum} to {maximum}"
        )
    return int(value)


def _bad_header_error(name: str, value: str, expected: str) -> RequestError:
    return RequestError(
        f"header {name} is {value[:64]!r}, expected {expected}",
        status=400,
        outcome=NOT_RUN,
        error_type="bad-header",
        step="headers",
    )
