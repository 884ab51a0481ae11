"""Parsing and construction of the HTTP headers that the platform defines."""

from dataclasses import dataclass, field

from tornado.httputil import HTTPHeaders

from sesameknot.platform._endpoint_notices import (
    EndpointNotices,
    parse_endpoint_notices,
)

REQUEST_ID_HEADER = "X-Request-Id"
DEADLINE_HEADER = "X-Deadline-Ms"
# ID:TOKENS entries in prompt order; the last part belongs to this request alone.
PROMPT_PREFIX_HEADER = "X-Prompt-Prefix"
# Prompt tokens and the limit of output tokens, not the tokens actually used.
TOKEN_USAGE_HEADER = "X-Token-Usage"
MODEL_HEADER = "X-Model"
LAST_EVENT_ID_HEADER = "Last-Event-Id"
EXPECTED_ENDPOINT_HEADER = "X-Expect-Instance"
CUSTOMER_HEADER = "X-Tenant"
PRIORITY_HEADER = "X-Request-Priority"
RECEIPT_HEADER = "X-Server-Stamp"
NOT_RUN_HEADER = "X-Not-Executed"
CONFIDENCE_HEADER = "X-Confidence"
ANSWERED_BY_HEADER = "X-Instance-Id"
# Runs of a request before another host handed it over.
RUN_COUNT_HEADER = "Sesameknot-Run-Count"
ANY_MODEL = "*"
MISDIRECTED_STATUS = 421
BEARER_PREFIX = "bearer "

# Set by the platform's own components only; removed from callers' requests.
RESERVED_HEADERS = frozenset(
    {
        "X-Expect-Instance",
        "X-Expect-Version",
        "X-Tenant",
        "X-Request-Priority",
        "X-Pin-Ms",
        "X-Hold",
        "X-Kv-Backup",
        "Kv-From",
        "Kv-Fetch",
        RUN_COUNT_HEADER,
        "Authorization",
    }
)
# Never forwarded, by RFC 9110 section 7.6.1 and by older convention.
HOP_BY_HOP_HEADERS = frozenset(
    {
        "Connection",
        "Keep-Alive",
        "Proxy-Connection",
        "Proxy-Authenticate",
        "Proxy-Authorization",
        "Te",
        "Trailer",
        "Transfer-Encoding",
        "Upgrade",
        "Expect",
    }
)


@dataclass(slots=True, frozen=True)
class PromptPart:
    """A segment of a prompt; several requests may contain the same one."""

    part_id: str
    token_count: int


@dataclass(slots=True, frozen=True, kw_only=True)
class RequestMetadata:
    """Fields parsed from the headers of a caller's request.

    Parameters
    ----------
    request_id : str
        Identifier of this attempt by the caller; empty if not given.
    api_key : str
        Bearer token that identifies the customer; empty if none was sent.
    time_left_ms : int or None
        Time until the caller's deadline; None if not given.
    model : str
        Model that the caller requests; empty if the router chooses.
    names_model : bool
        Whether endpoints get the name of a model, be it the word for any model.
    prompt : tuple of PromptPart
        Parts of the prompt in order; the last one belongs to this request alone.
    prompt_token_count, output_token_limit_count : int
        Tokens of the prompt and limit of output tokens; 0 if not given.
    resume_after_event_id : str
        Last event that the caller received; empty for a new stream.
    """

    request_id: str
    api_key: str = ""
    time_left_ms: int | None = None
    model: str = ""
    names_model: bool = False
    prompt: tuple[PromptPart, ...] = ()
    prompt_token_count: int = 0
    output_token_limit_count: int = 0
    resume_after_event_id: str = ""

    @property
    def session_key(self) -> str:
        """Identifier of the last prompt part that the session's requests share.

        With several parts this is the one before the last, since the last one belongs
        to the request alone. It is empty for a request without a prompt.
        """
        if not self.prompt:
            return ""
        return self.prompt[-2 if len(self.prompt) > 1 else -1].part_id

    @property
    def shared_part_ids(self) -> list[str]:
        """Identifiers of the prompt parts that other requests may have as well."""
        return [part.part_id for part in self.prompt[:-1]]


@dataclass(slots=True, frozen=True, kw_only=True)
class AttemptMetadata:
    """Fields that the router sends in the headers of one attempt."""

    endpoint_id: str
    time_left_ms: int
    customer: str = ""
    model: str = ""
    priority: int | None = None
    resume_after_event_id: str = ""


@dataclass(slots=True, frozen=True, kw_only=True)
class AnswerMetadata:
    """Fields parsed from the status and headers of an endpoint's answer.

    Parameters
    ----------
    request_id : str
        Request that the endpoint answered; empty if not given.
    receipt : str
        The endpoint's proof that it produced this answer; empty if not given.
    not_run : bool
        Whether the endpoint states that it did not run the request.
    misdirected : bool
        Whether the endpoint states that the request is not for it: another one was
        expected, or it does not run the model that the request names.
    answered_by : str
        Identifier of the endpoint that answered; empty if not given.
    confidence : float or None
        The model's confidence in its answer, from 0 to 100; None if not given.
    notices : EndpointNotices
        What the endpoint says of itself.
    """

    request_id: str = ""
    receipt: str = ""
    not_run: bool = False
    misdirected: bool = False
    answered_by: str = ""
    confidence: float | None = None
    notices: EndpointNotices = field(default_factory=EndpointNotices)


def parse_request_metadata(headers: HTTPHeaders) -> RequestMetadata:
    """Parse the headers of a caller's request; a malformed value counts as absent."""
    token_counts = headers.get(TOKEN_USAGE_HEADER, "").split(",")
    model = headers.get(MODEL_HEADER, "")
    return RequestMetadata(
        request_id=headers.get(REQUEST_ID_HEADER, ""),
        api_key=_parse_api_key(headers.get("Authorization", "")),
        time_left_ms=_parse_count(headers.get(DEADLINE_HEADER)),
        model="" if model == ANY_MODEL else model,
        names_model=MODEL_HEADER in headers,
        prompt=_parse_prompt(headers.get(PROMPT_PREFIX_HEADER, "")),
        prompt_token_count=_parse_count(token_counts[0]) or 0,
        output_token_limit_count=(_parse_count(token_counts[1]) or 0)
        if len(token_counts) > 1
        else 0,
        resume_after_event_id=headers.get(LAST_EVENT_ID_HEADER, ""),
    )


def _parse_api_key(value: str) -> str:
    return (
        value[len(BEARER_PREFIX) :].strip()
        if value.lower().startswith(BEARER_PREFIX)
        else ""
    )


def _parse_count(value: str | None) -> int | None:
    try:
        return max(0, int(float(value))) if value is not None else None
    except (ValueError, OverflowError):
        return None


def _parse_prompt(value: str) -> tuple[PromptPart, ...]:
    parts = []
    for entry in value.split(","):
        part_id, _, tokens = entry.strip().partition(":")
        if part_id:
            parts.append(PromptPart(part_id, _parse_count(tokens) or 0))
    return tuple(parts)


def headers_for_endpoint(
    received: HTTPHeaders, attempt: AttemptMetadata
) -> HTTPHeaders:
    """Return the caller's end-to-end headers with those that the router sets."""
    headers = HTTPHeaders()
    options = _connection_options(received)
    for name, value in received.get_all():
        if name in HOP_BY_HOP_HEADERS or name in RESERVED_HEADERS or name in options:
            continue
        if name != "Content-Length":
            headers.add(name, value)
    headers[DEADLINE_HEADER] = str(attempt.time_left_ms)
    headers[EXPECTED_ENDPOINT_HEADER] = attempt.endpoint_id
    if attempt.customer:
        headers[CUSTOMER_HEADER] = attempt.customer
    if attempt.model:
        headers[MODEL_HEADER] = attempt.model
    if attempt.priority is not None:
        headers[PRIORITY_HEADER] = str(min(9, max(0, attempt.priority)))
    if attempt.resume_after_event_id:
        headers[LAST_EVENT_ID_HEADER] = attempt.resume_after_event_id
    return headers


def headers_for_caller(received: HTTPHeaders) -> HTTPHeaders:
    """Return an endpoint's answer headers without the hop-by-hop headers."""
    headers = HTTPHeaders()
    options = _connection_options(received)
    for name, value in received.get_all():
        if name not in HOP_BY_HOP_HEADERS and name not in options:
            headers.add(name, value)
    return headers


def _connection_options(headers: HTTPHeaders) -> set[str]:
    options = set()
    for value in headers.get_list("Connection"):
        options |= {token.strip().title() for token in value.split(",")}
    return options - {"Close", "Keep-Alive", ""}


def parse_answer_metadata(status: int, headers: HTTPHeaders) -> AnswerMetadata:
    """Parse the status and headers of an endpoint's answer."""
    try:
        confidence = float(headers[CONFIDENCE_HEADER])
    except (KeyError, ValueError):
        confidence = None
    return AnswerMetadata(
        request_id=headers.get(REQUEST_ID_HEADER, ""),
        receipt=headers.get(RECEIPT_HEADER, ""),
        not_run=NOT_RUN_HEADER in headers or status == MISDIRECTED_STATUS,
        misdirected=status == MISDIRECTED_STATUS,
        answered_by=headers.get(ANSWERED_BY_HEADER, ""),
        confidence=confidence,
        notices=parse_endpoint_notices(status, headers),
    )
