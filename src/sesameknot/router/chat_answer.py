"""Pass a chat answer on to its caller and keep what the bill needs."""

from sesameknot.clock import Clock
from sesameknot.protocol.chat import (
    ChatAnswer,
    ChatChunk,
    ChatRequest,
    Usage,
    build_answer,
    build_chunk,
    build_usage_chunk,
)
from sesameknot.router.call import AnswerSink, Call, StoredAnswer
from sesameknot.router.metrics import RouterMetrics

END_MARK = b"data: [DONE]\n\n"
OK_STATUS = 200
STREAM_TYPE = "text/event-stream"


class ChatAnswerWriter:
    """Deliver the chunks of one answer, which several attempts may produce.

    Parameters
    ----------
    call : Call
        The caller's request.
    request : ChatRequest
        Tells whether the answer is streamed.
    sink : AnswerSink
        Where the answer goes.
    clock : Clock
        Source of monotonic time.
    metrics : RouterMetrics
        Observes first token and token gaps.
    """

    def __init__(
        self,
        call: Call,
        request: ChatRequest,
        sink: AnswerSink,
        *,
        clock: Clock,
        metrics: RouterMetrics,
    ) -> None:
        self._call = call
        self._request = request
        self._sink = sink
        self._clock = clock
        self._metrics = metrics
        self._started_s = clock.monotonic_s()
        self._last_token_s = 0.0
        self._texts: list[str] = []
        self._sent: list[bytes] = []
        self._headers: dict[str, str] = {}
        self._finish_reason = "stop"
        self._usage: Usage | None = None
        self.qualified_version = ""
        self.first_token_ms: float | None = None

    @property
    def token_count(self) -> int:
        """Tokens received so far; a resumed stream goes on after them."""
        return len(self._texts)

    @property
    def text(self) -> str:
        """The text received so far."""
        return "".join(self._texts)

    @property
    def usage(self) -> Usage:
        """Token counts of the engine, or an estimate for a cut answer."""
        if self._usage is not None:
            return self._usage
        return Usage(int(self._request.estimated_prompt_tokens), self.token_count)

    def set_route(self, qualified_version: str, headers: dict[str, str]) -> None:
        """Set what the answer's headers tell, before its first part."""
        self.qualified_version = qualified_version
        self._headers = headers

    def _start(self, content_type: str) -> None:
        self._sink.start(OK_STATUS, {**self._headers, "Content-Type": content_type})

    async def write_chunks(self, chunks: list[ChatChunk]) -> None:
        """Take chunks that arrived together; pass their text on if it is streamed."""
        parts = [part for chunk in chunks if (part := self._accept_chunk(chunk))]
        if parts:
            await self._send(b"".join(parts))

    def _accept_chunk(self, chunk: ChatChunk) -> bytes:
        if chunk.finish_reason:
            self._finish_reason = chunk.finish_reason
        if chunk.usage is not None:
            self._usage = chunk.usage
        if not chunk.text:
            return b""
        self._observe_token()
        first = not self._texts
        self._texts.append(chunk.text)
        if not self._request.stream:
            return b""
        if first:
            self._start(STREAM_TYPE)
        return build_chunk(self._call.request_id, self.qualified_version, chunk.text)

    async def _send(self, part: bytes) -> None:
        await self._sink.write(part)
        if self._call.idempotency_key:
            self._sent.append(part)

    def _observe_token(self) -> None:
        now_s = self._clock.monotonic_s()
        if self.first_token_ms is None:
            self.first_token_ms = (now_s - self._started_s) * 1000.0
            self._metrics.first_token_s.observe({}, now_s - self._started_s)
        else:
            self._metrics.token_gap_s.observe({}, now_s - self._last_token_s)
        self._last_token_s = now_s

    async def finish(self) -> StoredAnswer:
        """Send the last part and return the answer for later requests."""
        streamed = self._request.stream
        content_type = STREAM_TYPE if streamed else "application/json"
        if not (streamed and self._texts):
            self._start(content_type)
        await self._send(self._stream_end() if streamed else self._whole())
        return StoredAnswer(
            fingerprint=self._call.fingerprint,
            status=OK_STATUS,
            headers={**self._headers, "Content-Type": content_type},
            body=b"".join(self._sent),
        )

    def _whole(self) -> bytes:
        answer = ChatAnswer(self.text, self._finish_reason, self.usage)
        return build_answer(self._call.request_id, self.qualified_version, answer)

    def _stream_end(self) -> bytes:
        return b"".join(
            (
                build_chunk(
                    self._call.request_id,
                    self.qualified_version,
                    "",
                    finish_reason=self._finish_reason,
                ),
                build_usage_chunk(
                    self._call.request_id, self.qualified_version, self.usage
                ),
                END_MARK,
            )
        )
