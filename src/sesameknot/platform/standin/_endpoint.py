"""Stand-in for an endpoint that runs on the users' platform."""

import asyncio
import random
import socket
import struct
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field

from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPHeaders, HTTPServerRequest, ResponseStartLine
from tornado.iostream import IOStream, StreamClosedError

from sesameknot.platform import _endpoint_notices as endpoint_notices
from sesameknot.platform import _headers as platform_headers
from sesameknot.platform.standin._early_answer import EarlyAnswerServer

OK_STATUS = 200
MISDIRECTED_STATUS = 421
ERROR_STATUS = 500
# Time for which a fallen endpoint closes all connections.
FALL_DURATION_S = 3.0
# Time in which what was sent arrives before the connection is reset.
DELIVERY_TIME_S = 0.05
# SO_LINGER with zero seconds makes close send a TCP reset.
RESET_LINGER = struct.pack("ii", 1, 0)


@dataclass(slots=True, kw_only=True)
class RecordedRun:
    """A request that the endpoint ran; ``received_s`` is a monotonic time."""

    request_id: str
    method: str
    uri: str
    body: bytes
    headers: HTTPHeaders
    received_s: float
    caller_left: bool = False
    failed: bool = False


@dataclass(slots=True, kw_only=True)
class FleetEndpoint:
    """Endpoint whose fields determine its answers and faults.

    Parameters
    ----------
    endpoint_id : str
        Identifier that requests must expect; others are refused as misdirected.
    status : int, default=200
        Status of its answers.
    not_run : bool, default=False
        Whether every request is refused with the statement that it was not run.
    event_count : int, default=3
        Events of a streamed answer; 0 for plain answers.
    cut_after_count : int or None, default=None
        Events after which the connection of a stream is closed, in the middle of the
        next event. A resumed stream is not cut.
    confidences : dict of str to float
        Confidence that answers state, by model.
    delay_s, event_gap_s : float
        Delay before the first byte, and between events.
    silent : bool, default=False
        Whether requests are run but never answered.
    answer_request_id : str or None, default=None
        Request identifier that answers carry instead of the request's own.
    receipt : bool, default=True
        Whether answers carry the endpoint's receipt.
    crash_body : bytes or None, default=None
        Request body that crashes this endpoint.
    crash_part : str, default=""
        Identifier of a part of the prompt that crashes this endpoint.
    crash_after_head_s : float or None, default=None
        Time from the head of its answer to the crash, which happens even if the caller
        leaves; None for a crash before the head.
    cut_body : bool, default=False
        Whether the connection is closed in the middle of a plain answer.
    cut_uploads_from_bytes : int or None, default=None
        Size from which requests are answered with 200, no length and a part of the body
        as soon as their head has arrived; the connection is then reset. None for never.
    half_closes : bool, default=False
        Whether it closes its direction of such a connection before the reset.
    odd_status : str, default=""
        Status that its answers have instead of a valid one; empty for a valid one.
    rate_limit : str, default=""
        Request rate that its answers name; empty for none.
    leaving : str, default=""
        Value with which its answers say that it leaves; empty if they don't.
    retry_after : str, default=""
        Value of ``Retry-After`` in its refusals; empty for none.
    room_count : int or None, default=None
        Requests that it runs at once; more are refused as not run. None for no limit.
    brittle : str, default=""
        Refusals per second that it bears, as its answers say; empty for any number.
    crash_silently : bool, default=False
        Whether a crash leaves open connections without an end.
    error_share, error_path : float, str
        Share of the requests that are run and answered with 500, and the path that they
        begin with; all requests if it is empty.
    slow_share, slow_s : float
        Share of the requests that are answered after another delay, and that delay.
    models : tuple of str
        Models that it runs; requests that name another one are refused as misdirected.
        Empty for any.
    identified : bool, default=True
        Whether such refusals name the endpoint.
    started_s : list of float
        Monotonic times at which it started again.
    """

    endpoint_id: str
    status: int = OK_STATUS
    not_run: bool = False
    event_count: int = 3
    cut_after_count: int | None = None
    confidences: dict[str, float] = field(default_factory=dict)
    delay_s: float = 0.0
    event_gap_s: float = 0.0
    silent: bool = False
    answer_request_id: str | None = None
    receipt: bool = True
    crash_body: bytes | None = None
    crash_part: str = ""
    crash_after_head_s: float | None = None
    cut_body: bool = False
    cut_uploads_from_bytes: int | None = None
    half_closes: bool = False
    odd_status: str = ""
    rate_limit: str = ""
    leaving: str = ""
    retry_after: str = ""
    room_count: int | None = None
    brittle: str = ""
    crash_silently: bool = False
    error_share: float = 0.0
    error_path: str = ""
    slow_share: float = 0.0
    slow_s: float = 0.0
    models: tuple[str, ...] = ()
    identified: bool = True
    body: bytes = b"answer"
    runs: list[RecordedRun] = field(default_factory=list)
    refused_s: list[float] = field(default_factory=list)
    fallen_s: list[float] = field(default_factory=list)
    started_s: list[float] = field(default_factory=list)
    _running_count: int = 0
    _tasks: set[asyncio.Task[None]] = field(default_factory=set)
    _server: HTTPServer | None = None
    _random: random.Random = field(init=False)

    def __post_init__(self) -> None:
        self._random = random.Random(self.endpoint_id)

    def server(self) -> HTTPServer:
        """Return an HTTP server that serves this endpoint."""
        self._server = EarlyAnswerServer(
            self._accept_request, choose_early_answer=self._choose_early_answer
        )
        return self._server

    def _accept_request(self, request: HTTPServerRequest) -> None:
        self._spawn(self._serve_request(request))

    def _spawn(self, coroutine: Coroutine[object, object, None]) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _choose_early_answer(
        self, request: HTTPServerRequest
    ) -> Callable[[IOStream], None] | None:
        """Return what answers a request whose body has not arrived; None for later."""
        limit_bytes = self.cut_uploads_from_bytes
        if limit_bytes is None or not self._is_expected_by(request) or self._is_down:
            return None
        if int(request.headers.get("Content-Length", "0")) < limit_bytes:
            return None
        return lambda stream: self._spawn(self._cut_upload(request, stream))

    async def _cut_upload(self, request: HTTPServerRequest, stream: IOStream) -> None:
        run = self._record_run(request)
        part = self.body[: len(self.body) // 2]
        if self.event_count:
            part = _event(_first_event_number(request))
        head = _head(str(OK_STATUS), self._answer_headers(request, run))
        try:
            sock = stream.socket
            await stream.write(head + part)
            if self.half_closes:
                sock.shutdown(socket.SHUT_WR)
            await asyncio.sleep(DELIVERY_TIME_S)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_LINGER)
        except StreamClosedError:
            run.caller_left = True
        finally:
            stream.close()

    async def _serve_request(self, request: HTTPServerRequest) -> None:
        if self._is_down:
            request.connection.close()
            return
        try:
            if not self._is_expected_by(request) or not self._runs_model_of(request):
                identity = {platform_headers.ANSWERED_BY_HEADER: self.endpoint_id}
                self._refuse_request(
                    request, MISDIRECTED_STATUS, identity if self.identified else None
                )
            elif self.not_run or not self._has_room:
                self._refuse_request(
                    request, 503, {platform_headers.NOT_RUN_HEADER: "1"}
                )
                self._fall_if_overloaded()
            else:
                self._running_count += 1
                try:
                    await self._run_request(request)
                finally:
                    self._running_count -= 1
        except StreamClosedError:
            pass

    def _is_expected_by(self, request: HTTPServerRequest) -> bool:
        header = platform_headers.EXPECTED_ENDPOINT_HEADER
        return request.headers.get(header, self.endpoint_id) == self.endpoint_id

    def _runs_model_of(self, request: HTTPServerRequest) -> bool:
        model = request.headers.get(platform_headers.MODEL_HEADER, "")
        return not self.models or model in self.models

    @property
    def _has_room(self) -> bool:
        return self.room_count is None or self._running_count < self.room_count

    @property
    def _is_down(self) -> bool:
        now_s = asyncio.get_running_loop().time()
        return any(now_s - fallen_s < FALL_DURATION_S for fallen_s in self.fallen_s)

    def _fall_if_overloaded(self) -> None:
        """Answer nothing for a while after too many refusals within a second."""
        if not self.brittle:
            return
        now_s = asyncio.get_running_loop().time()
        recent_count = sum(now_s - refused_s < 1.0 for refused_s in self.refused_s)
        if recent_count > float(self.brittle) and not self._is_down:
            self.fallen_s.append(now_s)

    def _refuse_request(
        self,
        request: HTTPServerRequest,
        status: int,
        headers: dict[str, str] | None = None,
    ) -> None:
        self.refused_s.append(asyncio.get_running_loop().time())
        all_headers = HTTPHeaders({"Content-Length": "0", **(headers or {})})
        self._describe(all_headers)
        if self.retry_after:
            all_headers[endpoint_notices.RETRY_AFTER_HEADER] = self.retry_after
        request.connection.write_headers(
            ResponseStartLine("HTTP/1.1", status, ""), all_headers
        )
        request.connection.finish()

    def _record_run(self, request: HTTPServerRequest) -> RecordedRun:
        run = RecordedRun(
            request_id=request.headers.get(platform_headers.REQUEST_ID_HEADER, ""),
            method=request.method,
            uri=request.uri,
            body=request.body,
            headers=request.headers,
            received_s=asyncio.get_running_loop().time(),
        )
        self.runs.append(run)
        return run

    async def _run_request(self, request: HTTPServerRequest) -> None:
        run = self._record_run(request)
        request.connection.set_close_callback(lambda: setattr(run, "caller_left", True))
        if self._crashes_on(request):
            await self._crash(request, run)
            return
        slow = self._random.random() < self.slow_share
        await asyncio.sleep(self.slow_s if slow else self.delay_s)
        if self.silent:
            return
        if request.uri.startswith(self.error_path or "/"):
            run.failed = self._random.random() < self.error_share
        headers = self._answer_headers(request, run)
        if self.odd_status:
            headers["Content-Length"] = str(len(self.body))
            head = _head(self.odd_status, headers)
            await request.connection.stream.write(head + self.body)
            request.connection.close()
            return
        if not self.event_count or self.status != OK_STATUS or run.failed:
            headers["Content-Length"] = str(len(self.body))
            if self.cut_body:
                await self._write_head(
                    request, headers, self.body[: len(self.body) // 2]
                )
                request.connection.close()
                return
            status = ERROR_STATUS if run.failed else self.status
            await self._write_head(request, headers, self.body, status=status)
            request.connection.finish()
            return
        headers["Content-Type"] = "text/event-stream"
        await self._write_events(request, headers)

    def _crashes_on(self, request: HTTPServerRequest) -> bool:
        if self.crash_body is not None and request.body == self.crash_body:
            return True
        prompt = request.headers.get(platform_headers.PROMPT_PREFIX_HEADER, "")
        part_ids = [entry.partition(":")[0] for entry in prompt.split(",")]
        return bool(self.crash_part) and self.crash_part in part_ids

    async def _crash(self, request: HTTPServerRequest, run: RecordedRun) -> None:
        if self.crash_after_head_s is not None:
            await self._write_head(request, self._answer_headers(request, run))
            await asyncio.sleep(self.crash_after_head_s)
        await self.stop()

    async def stop(self) -> None:
        """End the process: refuse connections and close the open ones."""
        self._server.stop()
        # The request that crashes the endpoint is one of the tasks.
        for task in self._tasks - {asyncio.current_task()}:
            task.cancel()
        if not self.crash_silently:
            await self._server.close_all_connections()

    def start_again(self, port: int) -> None:
        """Start another process under the same identifier, on ``port``."""
        self.started_s.append(asyncio.get_running_loop().time())
        self._running_count = 0
        self.server().listen(port, "127.0.0.1")

    def _answer_headers(
        self, request: HTTPServerRequest, run: RecordedRun
    ) -> HTTPHeaders:
        headers = HTTPHeaders(
            {
                platform_headers.REQUEST_ID_HEADER: self.answer_request_id
                or run.request_id
            }
        )
        if self.receipt:
            headers[platform_headers.RECEIPT_HEADER] = (
                f"{self.endpoint_id}.{len(self.runs)}"
            )
        self._describe(headers)
        model = request.headers.get(platform_headers.MODEL_HEADER, "")
        if model in self.confidences:
            headers[platform_headers.CONFIDENCE_HEADER] = str(self.confidences[model])
        return headers

    def _describe(self, headers: HTTPHeaders) -> None:
        """Add what all answers say of the endpoint itself."""
        if self.rate_limit:
            headers[endpoint_notices.RATE_LIMIT_HEADER] = self.rate_limit
        if self.brittle:
            headers[endpoint_notices.BRITTLE_HEADER] = self.brittle
        if self.leaving:
            headers[endpoint_notices.LEAVING_HEADER] = self.leaving

    @property
    def refused_count(self) -> int:
        """Number of requests refused."""
        return len(self.refused_s)

    async def _write_head(
        self,
        request: HTTPServerRequest,
        headers: HTTPHeaders,
        data: bytes = b"",
        *,
        status: int | None = None,
    ) -> None:
        start = ResponseStartLine("HTTP/1.1", status or self.status, "")
        await request.connection.write_headers(start, headers, data or None)

    async def _write_events(
        self, request: HTTPServerRequest, headers: HTTPHeaders
    ) -> None:
        await self._write_head(request, headers)
        first_number = _first_event_number(request)
        for number in range(first_number, self.event_count + 1):
            event = _event(number)
            cut_after_count = self.cut_after_count
            if (
                cut_after_count is not None
                and first_number == 1
                and number > cut_after_count
            ):
                await request.connection.write(event[: len(event) // 2])
                request.connection.close()
                return
            await request.connection.write(event)
            await asyncio.sleep(self.event_gap_s)
        request.connection.finish()


def _first_event_number(request: HTTPServerRequest) -> int:
    """Return the number of the event after the last one that the caller received."""
    return int(request.headers.get(platform_headers.LAST_EVENT_ID_HEADER, "0")) + 1


def _event(number: int) -> bytes:
    return f"id: {number}\ndata: piece {number}\n\n".encode()


def _head(status: str, headers: HTTPHeaders) -> bytes:
    """Return the head of an answer with any status."""
    lines = [f"{name}: {value}\r\n" for name, value in headers.get_all()]
    return f"HTTP/1.1 {status} Status\r\n{''.join(lines)}\r\n".encode()
