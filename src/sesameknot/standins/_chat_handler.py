"""Handler of chat completions."""

import asyncio
import json
from dataclasses import dataclass
from typing import Any

from tornado.iostream import StreamClosedError

from sesameknot.protocol.prefix import BLOCK_CHARS, prefix_hashes
from sesameknot.standins._answer_text import answer_tokens
from sesameknot.standins._batch import DroppedError
from sesameknot.standins._endpoint_handlers import EndpointHandler
from sesameknot.standins._execution_record import Execution

DEFAULT_TOKEN_COUNT = 16
CHARS_PER_PROMPT_TOKEN = 4


class CancelledByCallerError(Exception):
    """The request was cancelled or its connection closed."""


@dataclass(slots=True, kw_only=True)
class _ChatWork:
    request_id: str
    model: str
    version: str
    messages: list[tuple[str, str]]
    token_count: int
    offset: int
    priority: int
    streamed: bool
    execution: Execution

    @property
    def prompt_chars(self) -> int:
        return sum(len(content) for _, content in self.messages)

    def usage(self) -> dict[str, int]:
        prompt_tokens = -(-self.prompt_chars // CHARS_PER_PROMPT_TOKEN)
        return {
            "prompt_tokens": prompt_tokens,
            "completion_tokens": self.token_count,
            "total_tokens": prompt_tokens + self.token_count,
        }


class ChatHandler(EndpointHandler):
    """Generate answers, plain or as server-sent events."""

    _closed_by_caller = False

    def on_connection_close(self) -> None:
        """Stop generating when the caller goes away."""
        super().on_connection_close()
        self._closed_by_caller = True

    async def post(self) -> None:
        """Answer one chat completion request."""
        self.engine.record.arrived_count += 1
        value = self.json_body()
        if value is None or self.refuse_if_unavailable():
            return
        version = self.request.headers.get("X-Version", "")
        name = f"{value.get('model', '')}/{version}"
        if self.engine.versions and name not in self.engine.versions:
            self.refuse(404, "version_not_loaded", f"{name!r} is not loaded")
            return
        if self.engine.switches.bad_versions.get(name) == "errors":
            self.refuse(500, "engine_error", f"{name!r} failed")
            return
        work = self._work(value, version)
        try:
            await self._run(work)
        except (DroppedError, StreamClosedError):
            self._finish_badly(work, "dropped")
        except CancelledByCallerError:
            self._finish_badly(work, "cancelled")

    def _work(self, value: dict[str, Any], version: str) -> _ChatWork:
        headers = self.request.headers
        model = str(value.get("model", ""))
        messages = [
            (str(m.get("role", "")), str(m.get("content", "")))
            for m in value.get("messages", [])
        ]
        execution = self.new_execution(model, version)
        execution.offset = int(headers.get("X-Resume-Offset", "0"))
        return _ChatWork(
            request_id=execution.request_id,
            model=model,
            version=version,
            messages=messages,
            token_count=int(value.get("max_tokens") or DEFAULT_TOKEN_COUNT),
            offset=execution.offset,
            priority=int(headers.get("X-Priority", "0")),
            streamed=bool(value.get("stream", False)),
            execution=execution,
        )

    async def _run(self, work: _ChatWork) -> None:
        engine = self.engine
        self._crash_if_poisoned(work)
        delayed = engine.switches.delay.take()
        if delayed:
            await asyncio.sleep(engine.switches.delay.before_s)
        generation = await engine.enter(work.priority)
        try:
            tokens = await self._prefill(work, generation)
            await self._generate(work, tokens, generation)
        finally:
            engine.leave(generation)
        if delayed:
            await asyncio.sleep(engine.switches.delay.after_s)
        if engine.switches.drop_answer.take():
            raise DroppedError("answer dropped", step="answer")
        await self._send_end(work, tokens)
        engine.record.end(work.execution, "done", sent_whole=True)

    def _crash_if_poisoned(self, work: _ChatWork) -> None:
        text = "\n".join(content for _, content in work.messages)
        if any(crash in text for crash in self.engine.switches.crash_texts):
            self.engine.fall_over()
            raise DroppedError("request crashed the engine", step="run")

    async def _prefill(self, work: _ChatWork, generation: int) -> list[str]:
        hit_count = self.engine.cache.touch(prefix_hashes(work.messages))
        missing_chars = max(0, work.prompt_chars - hit_count * BLOCK_CHARS)
        prompt_s = missing_chars * self.engine.options.prompt_char_s
        await self.engine.work(prompt_s, generation)
        name = f"{work.model}/{work.version}"
        bad = self.engine.switches.bad_versions.get(name) == "low-quality"
        return answer_tokens(
            work.request_id, work.model, work.version, work.token_count, low_quality=bad
        )

    async def _generate(
        self, work: _ChatWork, tokens: list[str], generation: int
    ) -> None:
        for token in tokens[work.offset :]:
            await self.engine.work(self.engine.options.token_s, generation)
            if self._closed_by_caller or work.request_id in self.engine.cancelled:
                raise CancelledByCallerError
            if work.streamed:
                await self._send_chunk(work, {"content": token})

    async def _send_chunk(
        self,
        work: _ChatWork,
        delta: dict[str, str],
        *,
        finish_reason: str | None = None,
    ) -> None:
        if not self._headers_written:
            self.set_header("Content-Type", "text/event-stream")
            self.put_load_headers()
        choice = {"index": 0, "delta": delta, "finish_reason": finish_reason}
        await self._send_event(self._envelope(work, "chat.completion.chunk", [choice]))

    async def _send_event(self, value: dict[str, Any]) -> None:
        await self.engine.connections.may_write(self.stream)
        self.write(f"data: {json.dumps(value)}\n\n")
        await self.flush()

    def _envelope(
        self, work: _ChatWork, kind: str, choices: list[dict[str, Any]]
    ) -> dict[str, Any]:
        return {
            "id": work.request_id,
            "object": kind,
            "model": work.model,
            "choices": choices,
        }

    async def _send_end(self, work: _ChatWork, tokens: list[str]) -> None:
        if work.streamed:
            await self._send_chunk(work, {}, finish_reason="stop")
            end = self._envelope(work, "chat.completion.chunk", [])
            await self._send_event(end | {"usage": work.usage()})
            await self.engine.connections.may_write(self.stream)
            await self.finish("data: [DONE]\n\n")
            return
        self.put_load_headers()
        text = "".join(tokens)
        choice = {
            "index": 0,
            "message": {"role": "assistant", "content": text},
            "finish_reason": "stop",
        }
        answer = self._envelope(work, "chat.completion", [choice])
        await self.engine.connections.may_write(self.stream)
        await self.finish(answer | {"usage": work.usage()})

    def _finish_badly(self, work: _ChatWork, outcome: str) -> None:
        self.engine.record.end(work.execution, outcome, sent_whole=False)
        self.stream.close()


class CancelHandler(EndpointHandler):
    """Cancel a request by its id."""

    def post(self, request_id: str) -> None:
        """Mark the request as cancelled; it ends at its next token."""
        running = any(
            e.request_id == request_id and e.outcome == "running"
            for e in self.engine.record.executions
        )
        if running:
            self.engine.cancelled.add(request_id)
        self.write({"cancelled": running})
