"""Pass a chat answer on to its caller and keep its text and token counts."""

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

STREAM_END = b"data: [DONE]\n\n"
OK_STATUS = 200
STREAM_CONTENT_TYPE = "text/event-stream"


class ChatAnswerWriter:
    """Write the chunks of one answer, which several attempts may produce.

    Parameters
    ----------
    call : Call
        The caller's request.
    request : ChatRequest
        Tells whether the answer is streamed.
    sink : AnswerSink
        Destination of the answer.
    clock : Clock
        Source of monotonic time.
    metrics : RouterMetrics
        Records the time to the first token and the gaps between tokens.
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
        self._chunk_texts: list[str] = []
        self._sent_chunks: list[bytes] = []
        self._headers: dict[str, str] = {}
        self._finish_reason = "stop"
        self._usage: Usage | None = None
        self.qualified_version = ""
        self.first_token_ms: float | None = None

    @property
    def token_count(self) -> int:
        """Number of tokens received so far; a resumed stream continues after them."""
        return len(self._chunk_texts)

    @property
    def text(self) -> str:
        """The text received so far."""
        return "".join(self._chunk_texts)

    @property
    def usage(self) -> Usage:
        """Token counts of the endpoint, or an estimate for an incomplete answer."""
        if self._usage is not None:
            return self._usage
        return Usage(int(self._request.estimated_prompt_tokens), self.token_count)

    def set_route(self, qualified_version: str, headers: dict[str, str]) -> None:
        """Set the version and headers of the answer, before its first chunk is sent."""
        self.qualified_version = qualified_version
        self._headers = headers

    def _start_answer(self, content_type: str) -> None:
        self._sink.start(OK_STATUS, {**self._headers, "Content-Type": content_type})

    async def write_chunks(self, chunks: list[ChatChunk]) -> None:
        """Record chunks that arrived together; send their text if it is streamed."""
        encoded = [data for chunk in chunks if (data := self._record_chunk(chunk))]
        if encoded:
            await self._send(b"".join(encoded))

    def _record_chunk(self, chunk: ChatChunk) -> bytes:
        if chunk.finish_reason:
            self._finish_reason = chunk.finish_reason
        if chunk.usage is not None:
            self._usage = chunk.usage
        if not chunk.text:
            return b""
        self._record_token_time()
        first = not self._chunk_texts
        self._chunk_texts.append(chunk.text)
        if not self._request.stream:
            return b""
        if first:
            self._start_answer(STREAM_CONTENT_TYPE)
        return build_chunk(self._call.request_id, self.qualified_version, chunk.text)

    async def _send(self, data: bytes) -> None:
        await self._sink.write(data)
        if self._call.idempotency_key:
            self._sent_chunks.append(data)

    def _record_token_time(self) -> None:
        now_s = self._clock.monotonic_s()
        if self.first_token_ms is None:
            self.first_token_ms = (now_s - self._started_s) * 1000.0
            self._metrics.first_token_s.observe({}, now_s - self._started_s)
        else:
            self._metrics.token_gap_s.observe({}, now_s - self._last_token_s)
        self._last_token_s = now_s

    async def finish(self) -> StoredAnswer:
        """Send the rest of the answer and return the answer to store with its claim."""
        is_streamed = self._request.stream
        content_type = STREAM_CONTENT_TYPE if is_streamed else "application/json"
        if not (is_streamed and self._chunk_texts):
            self._start_answer(content_type)
        await self._send(self._stream_end() if is_streamed else self._whole_answer())
        return StoredAnswer(
            fingerprint=self._call.fingerprint,
            status=OK_STATUS,
            headers={**self._headers, "Content-Type": content_type},
            body=b"".join(self._sent_chunks),
        )

    def _whole_answer(self) -> bytes:
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
                STREAM_END,
            )
        )
