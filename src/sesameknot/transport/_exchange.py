"""One HTTP request and its answer, with progress deadlines and backpressure."""

import asyncio
from collections import deque
from collections.abc import Callable
from functools import partial

from tornado.httpclient import HTTPRequest, HTTPResponse
from tornado.httputil import HTTPHeaders

from sesameknot.clock import Clock
from sesameknot.errors import (
    ConnectError,
    DeadlineError,
    RouterError,
    TransportError,
)
from sesameknot.transport._attempt_connection import (
    CURRENT_ATTEMPT,
    READ_CHUNK_BYTES,
    AttemptConnection,
    AttemptHTTPClient,
    AttemptStream,
)
from sesameknot.transport._endpoint_call import CallLimits, EndpointCall
from sesameknot.transport.request_body import RequestBody

# From this on, reading from the endpoint pauses until the buffered body has been read.
# A host runs hundreds of attempts at a time, whose callers may all read slowly.
BUFFER_LIMIT_BYTES = 2 * READ_CHUNK_BYTES
# Time after which an attempt that may not be given up is checked again.
RECHECK_S = 0.25
# Statuses of answers. Informational responses have lower ones and precede the answer.
FINAL_STATUSES = range(200, 600)
INFORMATIONAL_STATUSES = range(100, 200)
# No request asks for another protocol, so no HTTP answer follows this response.
SWITCHING_PROTOCOLS_STATUS = 101
# Statuses of answers that end with their head.
BODILESS_STATUSES = frozenset({204, 304})
CHUNKS_HEADER = "Transfer-Encoding"


class Exchange:
    """One attempt; it starts on construction and must be closed with ``close``.

    Parameters
    ----------
    call : EndpointCall
        The request and its time limits.
    http : AttemptHTTPClient
        HTTP client that exposes the attempt's connection.
    clock : Clock
        Source of monotonic time.
    """

    def __init__(
        self, call: EndpointCall, *, http: AttemptHTTPClient, clock: Clock
    ) -> None:
        self.call = call
        self.status = 0
        self.headers = HTTPHeaders()
        self.connection = AttemptConnection(before_send=call.before_send)
        self._clock = clock
        self._loop = asyncio.get_running_loop()
        self._body_chunks: deque[bytes] = deque()
        self._buffered_bytes = 0
        self._header_lines: list[str] = []
        self._progress_seen = False
        self._unreported_bytes = 0
        self._fetch_done = False
        # Done when the operating system has taken the whole body; None without a body.
        self._body_sent: asyncio.Future[None] | None = None
        self._error: RouterError | None = None
        self._read_waiter: asyncio.Future[None] | None = None
        self._buffer_drained: asyncio.Future[None] | None = None
        self._started_s = self._last_progress_s = clock.monotonic_s()
        self._deadline_timer: asyncio.TimerHandle | None = None
        self._start(http)
        self._check_deadlines()

    @property
    def _limits(self) -> CallLimits:
        return self.call.limits

    @property
    def buffered_bytes(self) -> int:
        """Bytes of the body that are received but not read yet."""
        return self._buffered_bytes

    @property
    def ends_with_connection(self) -> bool:
        """Whether only the end of the connection shows the end of the answer."""
        if self.status in BODILESS_STATUSES or self.call.method == "HEAD":
            return False
        return not ("Content-Length" in self.headers or CHUNKS_HEADER in self.headers)

    def _check_end(self) -> None:
        """Check that an answer which ended with its connection is complete.

        Tornado treats a reset like an orderly close. An endpoint that closes the
        connection before it has received the request resets it a moment later, when
        more of the request arrives, so the orderly close shows nothing either.
        """
        stream = self.connection.stream
        if stream is None or not self.ends_with_connection:
            return
        reason = ""
        if isinstance(stream.error, OSError):
            reason = "connection was reset"
        elif not self._request_received(stream):
            reason = "answer ended before the request was received"
        if reason:
            raise TransportError(reason, step="body", peer=self.call.url)

    def _request_received(self, stream: AttemptStream) -> bool:
        """Return whether the peer's kernel has received the whole request."""
        body_sent = self._body_sent
        if body_sent is not None and (
            not body_sent.done() or body_sent.exception() is not None
        ):
            return False
        return not stream.unacknowledged_bytes

    def _start(self, http: AttemptHTTPClient) -> None:
        limits = self._limits
        headers = HTTPHeaders(self.call.headers)
        body = self.call.body
        if isinstance(body, bytes):
            body = RequestBody(body)
        send_body = None
        if body is not None:
            headers["Content-Length"] = str(body.size_bytes)
            send_body = partial(self._send_body, body)
        request = HTTPRequest(
            self.call.url + self.call.path,
            method=self.call.method,
            headers=headers,
            body_producer=send_body,
            connect_timeout=min(limits.connect_timeout_s, limits.deadline_s),
            # The deadline timer ends the attempt earlier; this limit is a backstop.
            request_timeout=limits.deadline_s + limits.connect_timeout_s,
            follow_redirects=False,
            decompress_response=False,
            allow_nonstandard_methods=True,
            header_callback=self._on_header_line,
            streaming_callback=self._on_body_chunk,
        )
        token = CURRENT_ATTEMPT.set(self.connection)
        try:
            fetch = http.fetch(request, raise_error=False)
        finally:
            CURRENT_ATTEMPT.reset(token)
        fetch.add_done_callback(self._on_fetch_done)

    def _send_body(
        self, body: RequestBody, write: Callable[[bytes | memoryview], object]
    ) -> None:
        body.send(write)
        stream = self.connection.stream
        if stream is not None and not stream.closed():
            # This write ends when all earlier ones have.
            self._body_sent = stream.write(b"")

    def _on_header_line(self, line: str) -> None:
        if line == "\r\n":
            # Tornado accepts any three digits, and passes them on as a number.
            status = int(self._header_lines[0].split(" ", 2)[1])
            if status not in FINAL_STATUSES:
                self._header_lines.clear()
                self._check_informational(status)
                return
            self.status = status
            self.headers = HTTPHeaders()
            for header in self._header_lines[1:]:
                self.headers.parse_line(header)
            self._header_lines.clear()
            self._last_progress_s = self._clock.monotonic_s()
            self._wake_reader()
            return
        self._header_lines.append(line.rstrip("\r\n"))

    def _check_informational(self, status: int) -> None:
        """End the attempt if a status is not that of an informational response."""
        if status in INFORMATIONAL_STATUSES and status != SWITCHING_PROTOCOLS_STATUS:
            return
        reason = f"answered status {status:03d}"
        self._set_error(TransportError(reason, step="status", peer=self.call.url))
        self.connection.abandon()
        self._wake_reader()

    async def _on_body_chunk(self, data: bytes) -> None:
        if self.connection.abandoned:
            return
        self._unreported_bytes += len(data)
        if self._unreported_bytes >= self._limits.progress_bytes:
            self.report_progress()
        self._body_chunks.append(data)
        self._buffered_bytes += len(data)
        self._wake_reader()
        if self._buffered_bytes >= BUFFER_LIMIT_BYTES:
            self._buffer_drained = self._loop.create_future()
            await self._buffer_drained
            self._buffer_drained = None
            self._last_progress_s = self._clock.monotonic_s()

    def report_progress(self) -> None:
        """Report that the body made progress, so that the progress time-out restarts.

        A reader that knows the body's units calls this for each of them. Otherwise a
        few bytes now and then would keep a stalled attempt going.
        """
        self._unreported_bytes = 0
        self._last_progress_s = self._clock.monotonic_s()
        if not self._progress_seen:
            self._progress_seen = True
            # The next deadline may now be earlier than the scheduled check.
            self._cancel_deadline_timer()
            if not self._fetch_done:
                self._check_deadlines()

    def _on_fetch_done(self, fetch: "asyncio.Future[HTTPResponse]") -> None:
        if fetch.cancelled():
            self._set_error(TransportError("attempt was cancelled", step="send"))
        elif (error := fetch.exception()) is not None:
            self._set_error(self._translate_error(error))
        self._fetch_done = True
        self._cancel_deadline_timer()
        self._wake_reader()

    def _translate_error(self, error: BaseException) -> RouterError:
        if isinstance(error, RouterError):
            return error
        message = str(error) or type(error).__name__
        if not self.connection.may_have_sent:
            return ConnectError(message, step="connect", peer=self.call.url)
        return TransportError(message, step=self._current_step, peer=self.call.url)

    @property
    def _current_step(self) -> str:
        return "progress" if self._progress_seen else "first byte"

    def _set_error(self, error: RouterError) -> None:
        if self._error is None and not self._fetch_done:
            self._error = error

    def _check_deadlines(self) -> None:
        now_s = self._clock.monotonic_s()
        due_s, error = self._next_deadline()
        if now_s < due_s:
            self._deadline_timer = self._loop.call_later(
                due_s - now_s, self._check_deadlines
            )
            return
        self._deadline_timer = None
        if not self._may_give_up(now_s):
            self._deadline_timer = self._loop.call_later(
                RECHECK_S, self._check_deadlines
            )
            return
        self._set_error(error)
        self.connection.abandon()
        self._wake_reader()

    def _may_give_up(self, now_s: float) -> bool:
        may_give_up = self.call.may_give_up
        if may_give_up is None or not self.connection.may_have_sent:
            return True
        past_deadline = now_s >= self._started_s + self._limits.deadline_s
        return past_deadline or may_give_up()

    def _next_deadline(self) -> tuple[float, RouterError]:
        limits = self._limits
        attempt_due_s = self._started_s + limits.deadline_s
        if self._buffer_drained is not None:
            # Reading is paused, so the endpoint is not to blame; check again later.
            step_due_s = self._clock.monotonic_s() + limits.progress_timeout_s
        elif self._progress_seen:
            step_due_s = self._last_progress_s + limits.progress_timeout_s
        else:
            step_due_s = self._started_s + limits.first_byte_timeout_s
        if attempt_due_s <= step_due_s:
            return attempt_due_s, self._deadline_error("deadline", limits.deadline_s)
        limit_s = (
            limits.progress_timeout_s
            if self._progress_seen
            else limits.first_byte_timeout_s
        )
        return step_due_s, self._deadline_error(self._current_step, limit_s)

    def _deadline_error(self, step: str, limit_s: float) -> RouterError:
        error_class = DeadlineError if self.connection.may_have_sent else ConnectError
        return error_class(
            f"no answer within {limit_s:g} s", step=step, peer=self.call.url
        )

    def _wake_reader(self) -> None:
        if self._read_waiter is not None and not self._read_waiter.done():
            self._read_waiter.set_result(None)

    async def _wait_for_event(self) -> None:
        self._read_waiter = self._loop.create_future()
        try:
            await self._read_waiter
        finally:
            self._read_waiter = None

    async def read_headers(self) -> None:
        """Wait until the status and headers are received.

        Raises
        ------
        ConnectError
            If no byte was sent.
        TransportError
            If the connection was lost, the status is that of no HTTP answer, or a
            deadline passed after the connection was open.
        """
        while not self.status:
            if self._error is not None:
                raise self._error
            if self._fetch_done:
                raise TransportError(
                    "answer has no headers", step="first byte", peer=self.call.url
                )
            await self._wait_for_event()

    async def read(self) -> bytes:
        """Return the buffered body, waiting for data if empty; ``b""`` at its end.

        Raises
        ------
        TransportError
            If the connection was lost, the answer is incomplete or a deadline passed.
        """
        while not self._body_chunks:
            if self._error is not None:
                raise self._error
            if self._fetch_done:
                self._check_end()
                return b""
            await self._wait_for_event()
        data = b"".join(self._body_chunks)
        self._body_chunks.clear()
        self._buffered_bytes = 0
        if self._buffer_drained is not None and not self._buffer_drained.done():
            self._buffer_drained.set_result(None)
        return data

    def _cancel_deadline_timer(self) -> None:
        if self._deadline_timer is not None:
            self._deadline_timer.cancel()
            self._deadline_timer = None

    def close(self) -> None:
        """End the attempt; if it is unfinished, close its connection."""
        self._cancel_deadline_timer()
        if not self._fetch_done:
            self.connection.abandon()
        # The event loop keeps the context of a cancelled timer until its time, and with
        # it this connection; the callback refers to the whole request.
        self.connection.before_send = None
        if self._buffer_drained is not None and not self._buffer_drained.done():
            self._buffer_drained.set_result(None)
