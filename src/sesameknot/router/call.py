"""One caller's request and where its answer goes."""

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
DEFAULT_KIND = "default"
HEADER_LIMIT_BYTES = 256
PRIORITY_NORMAL = 5
PRIORITY_HIGHEST = 9


class AnswerSink(Protocol):
    """Where an answer goes; a tornado handler or a recorder in tests."""

    def start(self, status: int, headers: dict[str, str]) -> None:
        """Set status and headers; called once, before the first part."""

    async def write(self, part: bytes) -> None:
        """Send one part; raises if the caller is gone."""


class StoredAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """An answer kept with its claim for a later request with the same key."""

    fingerprint: int
    status: int
    headers: dict[str, str]
    body: bytes


@dataclass(slots=True)
class Call:
    """A request after its headers were checked.

    Parameters
    ----------
    request_id : str
        Identifier made by the router that received it.
    customer : Customer
        Customer that the token belongs to.
    deadline_s : float
        Monotonic time by which the answer must be whole.
    fingerprint : int
        Hash of customer and request, for crash counting and key reuse.
    idempotency_key : str, default=""
        Idempotency key.
    session_id : str, default=""
        Session whose version is pinned.
    kind : str, default="default"
        Kind of work, for the cascade.
    priority : int, default=5
        0 (least) to 9 (most urgent).
    bill_id : str, default=""
        Identifier of the bill; that of the first request with the key.
    claimant : str, default=""
        Claim attempt that holds the key; empty without one.
    may_have_run : bool, default=False
        Whether any byte may have reached an endpoint.
    """

    request_id: str
    customer: Customer
    deadline_s: float
    fingerprint: int
    idempotency_key: str = ""
    session_id: str = ""
    kind: str = DEFAULT_KIND
    priority: int = PRIORITY_NORMAL
    bill_id: str = ""
    claimant: str = ""
    may_have_run: bool = False
    tried_endpoint_ids: list[str] = field(default_factory=list)

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
        """What a failure now means to the caller."""
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
    deadline_s : float
        Duration until the deadline.
    """

    token: str
    idempotency_key: str
    session_id: str
    kind: str
    priority: int
    deadline_s: float


def read_headers(headers: HTTPHeaders, *, default_deadline_s: float) -> CallHeaders:
    """Return the checked headers of a caller's request.

    Raises
    ------
    RequestError
        If a header is missing, too long or not of its form.
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
        idempotency_key=_text(headers, "Idempotency-Key"),
        session_id=_text(headers, "X-Session-Id"),
        kind=_text(headers, "X-Request-Kind") or DEFAULT_KIND,
        priority=_number(headers, "X-Priority", PRIORITY_NORMAL, 0, PRIORITY_HIGHEST),
        deadline_s=_number(
            headers, "X-Deadline-Ms", int(default_deadline_s * 1000), 1, 3_600_000
        )
        / 1000,
    )


def crash_guard_error(*, outcome: str, step: str, peer: str = "") -> RequestError:
    """Return the error for a request that took down several endpoints."""
    return RequestError(
        "this request took down several endpoints and is refused",
        status=422,
        outcome=outcome,
        error_type=CRASHES_ENDPOINTS,
        step=step,
        peer=peer,
    )


def _text(headers: HTTPHeaders, name: str) -> str:
    value = headers.get(name, "")
    if len(value) > HEADER_LIMIT_BYTES or not value.isprintable():
        raise _bad_header(name, value, f"at most {HEADER_LIMIT_BYTES} printable bytes")
    return value


def _number(
    headers: HTTPHeaders, name: str, default: int, least: int, most: int
) -> int:
    value = headers.get(name)
    if value is None:
        return default
    if not value.isascii() or not value.isdigit() or not least <= int(value) <= most:
        raise _bad_header(name, value, f"a whole number from {least} to {most}")
    return int(value)


def _bad_header(name: str, value: str, expected: str) -> RequestError:
    return RequestError(
        f"header {name} is {value[:64]!r}, expected {expected}",
        status=400,
        outcome=NOT_RUN,
        error_type="bad-header",
        step="headers",
    )
