"""Parse and build chat completion requests, answers and streamed chunks.

Malformed requests, which come from callers, raise ``RequestError``; malformed answers
and chunks, which come from endpoints, raise ``FrameError``.
"""

from dataclasses import dataclass, field
from typing import Annotated, Any

import msgspec
from msgspec import Meta

from sesameknot.errors import FrameError, RequestError
from sesameknot.protocol._sse import SseParser
from sesameknot.protocol.prefix import CHARS_PER_TOKEN, prefix_hashes

__all__ = [
    "ChatAnswer",
    "ChatChunk",
    "ChatMessage",
    "ChatRequest",
    "SseParser",
    "Usage",
    "build_answer",
    "build_chunk",
    "build_request",
    "build_usage_chunk",
    "parse_answer",
    "parse_chunk",
    "parse_request",
]

BODY_LIMIT_BYTES = 4 * 1024 * 1024
MESSAGE_LIMIT_COUNT = 1024
NAME_LIMIT_CHARS = 128
TOKEN_LIMIT_COUNT = 131_072
DONE_DATA = b"[DONE]"
DONE_EVENT = b"data: [DONE]\n\n"

_PARSED_FIELDS = frozenset({"model", "messages", "stream", "max_tokens"})
_PARSE_ERRORS = (msgspec.MsgspecError, RecursionError, UnicodeError)


@dataclass(slots=True, frozen=True)
class ChatMessage:
    """One message; the text parts of structured content are joined."""

    role: str
    content: str


@dataclass(slots=True, kw_only=True)
class ChatRequest:
    """A caller's chat completion request.

    Parameters
    ----------
    model : str
        Model name, or ``auto``.
    messages : tuple of ChatMessage
        Messages of the conversation in order.
    stream : bool, default=False
        Whether the answer is streamed.
    max_tokens : int or None, default=None
        Limit on output tokens; None leaves it to the engine.
    extra : dict
        Other JSON fields, forwarded to the engine unchanged.
    """

    model: str
    messages: tuple[ChatMessage, ...]
    stream: bool = False
    max_tokens: int | None = None
    extra: dict[str, Any] = field(default_factory=dict)

    @property
    def estimated_prompt_tokens(self) -> float:
        """Prompt tokens estimated from the text length; engines report exact counts."""
        return sum(len(m.content) for m in self.messages) / CHARS_PER_TOKEN

    def prefix_hashes(self) -> list[int]:
        """Return one hash per complete block of the prompt."""
        return prefix_hashes((m.role, m.content) for m in self.messages)


@dataclass(slots=True, frozen=True)
class Usage:
    """Token counts of a complete answer."""

    prompt_tokens: int
    output_tokens: int


@dataclass(slots=True, frozen=True)
class ChatChunk:
    """One chunk of a streamed answer; engines send one per token.

    Parameters
    ----------
    text : str
        Text of the token; empty in the chunks that end a stream.
    finish_reason : str
        Why generation ended; empty before its end.
    usage : Usage or None
        Token counts; only one chunk at the end of the stream has them.
    """

    text: str = ""
    finish_reason: str = ""
    usage: Usage | None = None


@dataclass(slots=True, frozen=True)
class ChatAnswer:
    """A complete answer that was not streamed."""

    text: str
    finish_reason: str
    usage: Usage | None


_Name = Annotated[str, Meta(min_length=1, max_length=NAME_LIMIT_CHARS)]
_Tokens = Annotated[int, Meta(ge=0, le=2**31)]


class _Part(msgspec.Struct):
    type: str
    text: str


class _Message(msgspec.Struct):
    role: _Name
    content: str | list[_Part] | None = None


class _Request(msgspec.Struct):
    model: _Name
    messages: Annotated[
        list[_Message], Meta(min_length=1, max_length=MESSAGE_LIMIT_COUNT)
    ]
    stream: bool = False
    max_tokens: Annotated[int, Meta(ge=1, le=TOKEN_LIMIT_COUNT)] | None = None


class _Delta(msgspec.Struct):
    content: str | None = None


class _Choice(msgspec.Struct):
    delta: _Delta = msgspec.field(default_factory=_Delta)
    message: _Delta = msgspec.field(default_factory=_Delta)
    finish_reason: str | None = None


class _Usage(msgspec.Struct):
    prompt_tokens: _Tokens = 0
    completion_tokens: _Tokens = 0


class _Answer(msgspec.Struct):
    choices: list[_Choice]
    usage: _Usage | None = None


_ANSWER_DECODER = msgspec.json.Decoder(_Answer)
_encode = msgspec.json.Encoder().encode


def parse_request(
    body: bytes, *, body_limit_bytes: int = BODY_LIMIT_BYTES
) -> ChatRequest:
    """Return the request in ``body``.

    Raises
    ------
    RequestError
        With status 413 if the body is too large, and 400 if it is not a chat
        completion request.
    """
    if len(body) > body_limit_bytes:
        raise RequestError(
            f"body of {len(body)} bytes, expected at most {body_limit_bytes}",
            status=413,
            outcome="not-run",
            error_type="body_too_large",
            step="parse",
        )
    try:
        value = msgspec.json.decode(body)
        raw = msgspec.convert(value, _Request)
        messages = tuple(
            ChatMessage(m.role, _joined_text(m.content)) for m in raw.messages
        )
    except _PARSE_ERRORS as error:
        raise RequestError(
            f"not a chat completion request: {error}",
            status=400,
            outcome="not-run",
            error_type="bad-request",
            step="parse",
        ) from error
    return ChatRequest(
        model=raw.model,
        messages=messages,
        stream=raw.stream,
        max_tokens=raw.max_tokens,
        extra={name: value[name] for name in value if name not in _PARSED_FIELDS},
    )


def _joined_text(content: str | list[_Part] | None) -> str:
    if content is None:
        return ""
    if isinstance(content, str):
        return content
    for part in content:
        if part.type != "text":
            raise msgspec.ValidationError(
                f"content part of type {part.type!r}, expected 'text'"
            )
    return "".join(part.text for part in content)


def build_request(
    request: ChatRequest, *, model: str = "", stream: bool | None = None
) -> bytes:
    """Return the body to send to an engine.

    Parameters
    ----------
    request : ChatRequest
        The caller's request.
    model : str, default=""
        Model to run; empty keeps the model of the request.
    stream : bool or None, default=None
        Whether the engine streams; None keeps the request's value.
    """
    value: dict[str, Any] = {
        **request.extra,
        "model": model or request.model,
        "messages": [{"role": m.role, "content": m.content} for m in request.messages],
        "stream": request.stream if stream is None else stream,
    }
    if request.max_tokens is not None:
        value["max_tokens"] = request.max_tokens
    return _encode(value)


def parse_chunk(data: bytes) -> ChatChunk | None:
    """Return the chunk in the data of one event, or None at the end of the stream.

    Raises
    ------
    FrameError
        If the data is neither a chunk nor the ``[DONE]`` marker.
    """
    if data == DONE_DATA:
        return None
    raw = _decode_answer(data)
    choice = raw.choices[0] if raw.choices else None
    return ChatChunk(
        text=(choice.delta.content or "") if choice else "",
        finish_reason=(choice.finish_reason or "") if choice else "",
        usage=_parsed_usage(raw.usage),
    )


def parse_answer(body: bytes) -> ChatAnswer:
    """Return the complete answer in ``body``.

    Raises
    ------
    FrameError
        If ``body`` is not an answer.
    """
    raw = _decode_answer(body)
    if not raw.choices:
        raise FrameError("answer has no choices, expected one", step="parse answer")
    choice = raw.choices[0]
    return ChatAnswer(
        text=choice.message.content or "",
        finish_reason=choice.finish_reason or "",
        usage=_parsed_usage(raw.usage),
    )


def _decode_answer(data: bytes) -> _Answer:
    try:
        return _ANSWER_DECODER.decode(data)
    except _PARSE_ERRORS as error:
        raise FrameError(
            f"not a chat completion of {len(data)} bytes: {error}",
            step="parse answer",
        ) from error


def _parsed_usage(raw: _Usage | None) -> Usage | None:
    return Usage(raw.prompt_tokens, raw.completion_tokens) if raw else None


def _encoded_usage(usage: Usage) -> dict[str, int]:
    return {
        "prompt_tokens": usage.prompt_tokens,
        "completion_tokens": usage.output_tokens,
        "total_tokens": usage.prompt_tokens + usage.output_tokens,
    }


def build_chunk(
    request_id: str, model: str, text: str, *, finish_reason: str = ""
) -> bytes:
    """Return one streamed chunk as a server-sent event."""
    choice = {
        "index": 0,
        "delta": {"content": text} if text else {},
        "finish_reason": finish_reason or None,
    }
    return _chunk_event(request_id, model, {"choices": [choice]})


def build_usage_chunk(request_id: str, model: str, usage: Usage) -> bytes:
    """Return the chunk with the token counts as a server-sent event."""
    return _chunk_event(
        request_id, model, {"choices": [], "usage": _encoded_usage(usage)}
    )


def _chunk_event(request_id: str, model: str, value: dict[str, Any]) -> bytes:
    header = {"id": request_id, "object": "chat.completion.chunk", "model": model}
    return b"data: " + _encode(header | value) + b"\n\n"


def build_answer(request_id: str, model: str, answer: ChatAnswer) -> bytes:
    """Return the body of a complete answer that is not streamed."""
    value: dict[str, Any] = {
        "id": request_id,
        "object": "chat.completion",
        "model": model,
        "choices": [
            {
                "index": 0,
                "message": {"role": "assistant", "content": answer.text},
                "finish_reason": answer.finish_reason or None,
            }
        ],
    }
    if answer.usage is not None:
        value["usage"] = _encoded_usage(answer.usage)
    return _encode(value)
