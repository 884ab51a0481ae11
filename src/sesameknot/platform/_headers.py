"""Headers of requests and answers on the platform."""

from dataclasses import dataclass

from tornado.httputil import HTTPHeaders

REQUEST_ID = "X-Request-Id"
DEADLINE = "X-Deadline-Ms"
# The prompt's parts in order as ID:TOKENS entries; the last one is the request's own.
PROMPT = "X-Prompt-Prefix"
# Prompt tokens and most output tokens, not what was used.
TOKENS = "X-Token-Usage"
MODEL = "X-Model"
LAST_EVENT = "Last-Event-Id"
EXPECTED_ENDPOINT = "X-Expect-Instance"
CUSTOMER = "X-Tenant"
PRIORITY = "X-Request-Priority"
RECEIPT = "X-Server-Stamp"
NOT_RUN = "X-Not-Executed"
CONFIDENCE = "X-Confidence"
ANY_MODEL = "*"
MISDIRECTED_STATUS = 421
BEARER = "bearer "

# Set by the system only; dropped when a caller sends them.
SYSTEM_HEADERS = frozenset(
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
        "Authorization",
    }
)
# Headers of one connection, by RFC 9110 section 7.6.1 and older practice.
CONNECTION_HEADERS = frozenset(
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
    """One part of a prompt, which requests may share."""

    part_id: str
    token_count: int


@dataclass(slots=True, frozen=True, kw_only=True)
class RequestMetadata:
    """What a caller's headers say.

    Parameters
    ----------
    request_id : str
        Identity of this attempt of the caller.
    api_key : str
        Key of the customer; empty if none was sent.
    time_left_ms : int or None
        Time that the caller will wait.
    model : str
        Model that the caller names; empty if the system chooses.
    prompt : tuple of PromptPart
        Parts of the prompt, the request's own part last.
    prompt_token_count, output_token_limit_count : int
        Size of the request; 0 if not given.
    resume_after_event_id : str
        Last event that the caller already has; empty for a new stream.
    """

    request_id: str
    api_key: str = ""
    time_left_ms: int | None = None
    model: str = ""
    prompt: tuple[PromptPart, ...] = ()
    prompt_token_count: int = 0
    output_token_limit_count: int = 0
    resume_after_event_id: str = ""

    @property
    def session_key(self) -> str:
        """Part of the prompt that the session's requests share; may be empty.

        The last part belongs to the request alone where there are several.
        """
        if not self.prompt:
            return ""
        return self.prompt[-2 if len(self.prompt) > 1 else -1].part_id


@dataclass(slots=True, frozen=True, kw_only=True)
class AttemptMetadata:
    """What the system tells an endpoint with one attempt."""

    endpoint_id: str
    time_left_ms: int
    customer: str = ""
    model: str = ""
    priority: int | None = None
    resume_after_event_id: str = ""


@dataclass(slots=True, frozen=True, kw_only=True)
class AnswerMetadata:
    """What an endpoint's answer says.

    Parameters
    ----------
    request_id : str
        Request that the answer belongs to; empty if not given.
    receipt : str
        Proof that the endpoint made this answer.
    not_run : bool
        Whether the endpoint states that it did not run the request.
    misdirected : bool
        Whether another endpoint than the expected one answered.
    confidence : float or None
        The model's opinion of its answer, from 0 to 100.
    """

    request_id: str = ""
    receipt: str = ""
    not_run: bool = False
    misdirected: bool = False
    confidence: float | None = None


def parse_request_metadata(headers: HTTPHeaders) -> RequestMetadata:
    """Return the facts in a caller's headers; a malformed value counts as absent."""
    sizes = headers.get(TOKENS, "").split(",")
    model = headers.get(MODEL, "")
    return RequestMetadata(
        request_id=headers.get(REQUEST_ID, ""),
        api_key=_key(headers.get("Authorization", "")),
        time_left_ms=_count(headers.get(DEADLINE)),
        model="" if model == ANY_MODEL else model,
        prompt=_prompt(headers.get(PROMPT, "")),
        prompt_token_count=_count(sizes[0]) or 0,
        output_token_limit_count=(_count(sizes[1]) or 0) if len(sizes) > 1 else 0,
        resume_after_event_id=headers.get(LAST_EVENT, ""),
    )


def _key(value: str) -> str:
    return value[len(BEARER) :].strip() if value.lower().startswith(BEARER) else ""


def _count(value: str | None) -> int | None:
    try:
        return max(0, int(float(value))) if value is not None else None
    except (ValueError, OverflowError):
        return None


def _prompt(value: str) -> tuple[PromptPart, ...]:
    parts = []
    for entry in value.split(","):
        part_id, _, tokens = entry.strip().partition(":")
        if part_id:
            parts.append(PromptPart(part_id, _count(tokens) or 0))
    return tuple(parts)


def headers_for_endpoint(received: HTTPHeaders, terms: AttemptMetadata) -> HTTPHeaders:
    """Return the headers of an attempt: the caller's and those that the system sets."""
    headers = HTTPHeaders()
    named = _named_by_connection(received)
    for name, value in received.get_all():
        if name in CONNECTION_HEADERS or name in SYSTEM_HEADERS or name in named:
            continue
        if name != "Content-Length":
            headers.add(name, value)
    headers[DEADLINE] = str(terms.time_left_ms)
    headers[EXPECTED_ENDPOINT] = terms.endpoint_id
    if terms.customer:
        headers[CUSTOMER] = terms.customer
    if terms.model:
        headers[MODEL] = terms.model
    if terms.priority is not None:
        headers[PRIORITY] = str(min(9, max(0, terms.priority)))
    if terms.resume_after_event_id:
        headers[LAST_EVENT] = terms.resume_after_event_id
    return headers


def headers_for_caller(received: HTTPHeaders) -> HTTPHeaders:
    """Return an endpoint's headers without those of its connection."""
    headers = HTTPHeaders()
    named = _named_by_connection(received)
    for name, value in received.get_all():
        if name not in CONNECTION_HEADERS and name not in named:
            headers.add(name, value)
    return headers


def _named_by_connection(headers: HTTPHeaders) -> set[str]:
    named = set()
    for value in headers.get_list("Connection"):
        named |= {token.strip().title() for token in value.split(",")}
    return named - {"Close", "Keep-Alive", ""}


def parse_answer_metadata(status: int, headers: HTTPHeaders) -> AnswerMetadata:
    """Return the facts in an endpoint's status and headers."""
    try:
        confidence = float(headers[CONFIDENCE])
    except (KeyError, ValueError):
        confidence = None
    return AnswerMetadata(
        request_id=headers.get(REQUEST_ID, ""),
        receipt=headers.get(RECEIPT, ""),
        not_run=NOT_RUN in headers or status == MISDIRECTED_STATUS,
        misdirected=status == MISDIRECTED_STATUS,
        confidence=confidence,
    )
