"""HTTP handlers for requests of callers: chat completions and plain services."""

import json
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

import structlog
from tornado.web import RequestHandler, stream_request_body

from sesameknot.errors import RequestError, TransportError
from sesameknot.policy.memory_budget import MemoryBudget
from sesameknot.router._handler_sink import HandlerSink
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
    """Dependencies and limits of the caller handlers.

    Parameters
    ----------
    serve_chat, serve_service : callable
        Serve a request and write the answer to a sink.
    drain : Drain
        Tracks requests in flight.
    refusal_reason : callable
        Returns why new requests are refused, or an empty string.
    observe_request : callable
        Called with the kind of request, the HTTP status and the duration in seconds.
    body_limit_bytes : int
        Maximum size of a request body.
    body_budget : MemoryBudget
        Limit on the bodies of all requests.
    default_deadline_s : float
        Duration until the deadline of a request without the header ``X-Deadline-Ms``.
    """

    serve_chat: ServeChat
    serve_service: ServeService
    drain: Drain
    refusal_reason: Callable[[], str]
    observe_request: Callable[[str, int, float], None]
    body_limit_bytes: int
    body_budget: MemoryBudget
    default_deadline_s: float


@stream_request_body
class CallerHandler(RequestHandler):
    """Read a body of limited size, run a pipeline and answer its errors.

    Attributes
    ----------
    kind : str
        Kind of request, as a label of metrics.
    """

    kind = ""

    def initialize(self, api: CallerApi) -> None:
        """Set the dependencies; called by tornado for each request."""
        self.api = api
        self._body_chunks: list[bytes] = []
        self._body_size_bytes = 0
        self._reservation = api.body_budget.reservation()
        self._has_memory = True
        self._serving = False

    def prepare(self) -> None:
        """Reserve memory for a body of declared length; called before it is read."""
        length = self.request.headers.get("Content-Length", "")
        declared_bytes = int(length) if length.isdecimal() else 0
        if declared_bytes <= self.api.body_limit_bytes:
            self._reserve(declared_bytes)

    def _reserve(self, size_bytes: int) -> None:
        if not self._has_memory or size_bytes <= self._reservation.size_bytes:
            return
        self._has_memory = self._reservation.hold(size_bytes)
        if not self._has_memory:
            log.info(
                "request_body_refused",
                path=self.request.path,
                length=size_bytes,
                used_bytes=self.api.body_budget.used_bytes,
                limit_bytes=self.api.body_budget.limit_bytes,
            )
            self._drop_body()

    def _drop_body(self) -> None:
        self._body_chunks.clear()
        self._reservation.release()

    def data_received(self, chunk: bytes) -> None:
        """Store a chunk of the body, or drop the body if it is over a limit."""
        # A body over the limit is read to its end: if the connection were closed while
        # the caller still sends, it would be reset before the caller reads the error.
        # The HTTP server rejects bodies of more than twice the limit.
        self._body_size_bytes += len(chunk)
        if self._body_size_bytes > self.api.body_limit_bytes:
            self._drop_body()
            return
        self._reserve(self._body_size_bytes)
        if self._has_memory:
            self._body_chunks.append(chunk)

    def _check_body(self) -> None:
        if not self._has_memory:
            raise RequestError(
                "no memory for the body",
                status=503,
                outcome=NOT_RUN,
                error_type="unavailable",
                step="read_body",
                retry_after_s=1.0,
            )
        if self._body_size_bytes > self.api.body_limit_bytes:
            raise RequestError(
                f"body of {self._body_size_bytes} bytes, expected at most "
                f"{self.api.body_limit_bytes}",
                status=413,
                outcome=NOT_RUN,
                error_type="body-too-large",
                step="read_body",
            )

    async def serve(
        self, run_pipeline: Callable[[CallHeaders, AnswerSink], Any]
    ) -> None:
        """Check the request, run a pipeline and answer its errors."""
        sink = HandlerSink(self)
        self._serving = True
        try:
            self._check_body()
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
                await run_pipeline(headers, sink)
        except RequestError as error:
            self._answer_error(sink, error)
        except TransportError as error:
            log.info("caller_disconnected", reason=str(error))
        except Exception:
            log.exception("request_failed", path=self.request.path)
            self._answer_error(
                sink,
                RequestError(
                    "internal error",
                    status=500,
                    outcome=UNKNOWN,
                    error_type="internal",
                    step="serve",
                ),
            )
        finally:
            self._drop_body()

    def on_connection_close(self) -> None:
        """Free the memory of a body that will not be complete."""
        super().on_connection_close()
        if not self._serving:
            self._drop_body()

    def _answer_error(self, sink: HandlerSink, error: RequestError) -> None:
        if not sink.started:
            self._send_error_answer(error)
            return
        # The answer has begun; closing the connection tells the caller that it is
        # incomplete.
        log.warning("answer_aborted", reason=str(error))
        self.request.connection.stream.close()  # type: ignore[union-attr]

    def _send_error_answer(self, error: RequestError) -> None:
        self.set_status(error.status)
        self.set_header("Content-Type", "application/json")
        self.set_header("X-Outcome", error.outcome)
        if error.retry_after_s:
            self.set_header("Retry-After", str(max(1, round(error.retry_after_s))))
        self.finish(json.dumps(error_body(error)))

    def on_finish(self) -> None:
        """Report kind, status and duration of the request."""
        duration_s = self.request.request_time()
        self.api.observe_request(type(self).kind, self.get_status(), duration_s)

    @property
    def body(self) -> bytes:
        """The request body; its parts are not kept beside it."""
        body = b"".join(self._body_chunks)
        self._body_chunks = [body]
        return body


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

    async def _serve_request(self, service: str, path: str) -> None:
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

    get = head = post = put = delete = patch = _serve_request


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
