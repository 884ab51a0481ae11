"""HTTP handlers for callers."""

import json
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

import structlog
from tornado.web import RequestHandler, stream_request_body

from sesameknot.errors import RequestError, TransportError
from sesameknot.router._sink import HandlerSink
from sesameknot.router.call import NOT_RUN, UNKNOWN, AnswerSink, CallHeaders
from sesameknot.router.call import read_headers as read_call_headers
from sesameknot.router.drain import Drain

log = structlog.get_logger(__name__)


@dataclass(slots=True, frozen=True)
class ServiceRequest:
    """A caller's request to a plain service."""

    service: str
    method: str
    path: str
    content_type: str
    body: bytes


ServeChat = Callable[[CallHeaders, bytes, AnswerSink], Awaitable[None]]
ServeService = Callable[[CallHeaders, ServiceRequest, AnswerSink], Awaitable[None]]


@dataclass(slots=True, frozen=True)
class CallerApi:
    """What the handlers need.

    Parameters
    ----------
    serve_chat, serve_service : callable
        Entry points of the pipelines.
    drain : Drain
        Counts requests in flight.
    refusal_reason : callable
        Returns why new requests are refused, or an empty string.
    observe_request : callable
        Takes the kind of request, the HTTP status and the duration in seconds.
    """

    serve_chat: ServeChat
    serve_service: ServeService
    drain: Drain
    refusal_reason: Callable[[], str]
    observe_request: Callable[[str, int, float], None]
    body_limit_bytes: int
    default_deadline_s: float


@stream_request_body
class CallerHandler(RequestHandler):
    """Read a bounded body, serve the call and turn errors into answers."""

    kind = ""

    def initialize(self, api: CallerApi) -> None:
        """Store the dependencies and an empty body."""
        self.api = api
        self._parts: list[bytes] = []
        self._size_bytes = 0

    def data_received(self, chunk: bytes) -> None:
        """Keep a part of the body, none of a body that is over the limit."""
        # A body that is too large is read to its end: closing the connection while the
        # caller still sends would reset it before the error is read. The server itself
        # ends bodies of more than twice the limit.
        self._size_bytes += len(chunk)
        if self._size_bytes > self.api.body_limit_bytes:
            self._parts.clear()
        else:
            self._parts.append(chunk)

    def _check_size(self) -> None:
        if self._size_bytes > self.api.body_limit_bytes:
            raise RequestError(
                f"body of {self._size_bytes} bytes, expected at most "
                f"{self.api.body_limit_bytes}",
                status=413,
                outcome=NOT_RUN,
                error_type="body-too-large",
                step="read_body",
            )

    async def serve(self, run: Callable[[CallHeaders, AnswerSink], Any]) -> None:
        """Run a pipeline and answer its errors."""
        sink = HandlerSink(self)
        try:
            self._check_size()
            reason = self.api.refusal_reason()
            if reason:
                raise RequestError(
                    reason,
                    status=503,
                    outcome=NOT_RUN,
                    error_type="unavailable",
                    step="accept",
                    retry_after_s=1.0,
                )
            headers = read_call_headers(
                self.request.headers, default_deadline_s=self.api.default_deadline_s
            )
            with self.api.drain.track_request():
                await run(headers, sink)
        except RequestError as error:
            self._fail(sink, error)
        except TransportError as error:
            log.info("caller_gone", reason=str(error))
        except Exception:
            log.exception("request_failed", path=self.request.path)
            self._fail(
                sink,
                RequestError(
                    "internal error",
                    status=500,
                    outcome=UNKNOWN,
                    error_type="internal",
                    step="serve",
                ),
            )

    def _fail(self, sink: HandlerSink, error: RequestError) -> None:
        if not sink.started:
            self._refuse(error)
            return
        # The status line is out: an aborted connection tells the caller that the
        # answer is not whole.
        log.warning("answer_aborted", reason=str(error))
        self.request.connection.stream.close()  # type: ignore[union-attr]

    def _refuse(self, error: RequestError) -> None:
        self.set_status(error.status)
        self.set_header("Content-Type", "application/json")
        self.set_header("X-Outcome", error.outcome)
        if error.retry_after_s:
            self.set_header("Retry-After", str(max(1, round(error.retry_after_s))))
        self.finish(json.dumps(error_body(error)))

    def on_finish(self) -> None:
        """Report status and duration."""
        duration_s = self.request.request_time()
        self.api.observe_request(type(self).kind, self.get_status(), duration_s)

    @property
    def body(self) -> bytes:
        """The whole request body."""
        return b"".join(self._parts)


class ChatHandler(CallerHandler):
    """``POST /v1/chat/completions``."""

    kind = "chat"

    async def post(self) -> None:
        """Serve a chat completion."""
        await self.serve(
            lambda headers, sink: self.api.serve_chat(headers, self.body, sink)
        )


class ServiceHandler(CallerHandler):
    """``/services/<name>/<path>`` with any method."""

    kind = "service"

    async def _any(self, service: str, path: str) -> None:
        query = f"?{self.request.query}" if self.request.query else ""
        request = ServiceRequest(
            service=service,
            method=str(self.request.method),
            path=f"/{path}{query}",
            content_type=self.request.headers.get("Content-Type", ""),
            body=self.body,
        )
        await self.serve(
            lambda headers, sink: self.api.serve_service(headers, request, sink)
        )

    get = head = post = put = delete = patch = _any


def error_body(error: RequestError) -> dict[str, Any]:
    """Return the JSON body of an error answer."""
    return {
        "error": {
            "message": error.message,
            "type": error.error_type,
            "step": error.step,
            "peer": error.peer,
            "outcome": error.outcome,
        }
    }
