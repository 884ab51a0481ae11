"""One HTTP request and its answer, with progress deadlines and back pressure."""

import asyncio
from collections import deque

from tornado.httpclient import HTTPRequest, HTTPResponse
from tornado.httputil import HTTPHeaders, parse_response_start_line

from sesameknot.clock import Clock
from sesameknot.errors import (
    ConnectError,
    DeadlineError,
    RouterError,
    TransportError,
)
from sesameknot.transport._attempt_connection import (
    CURRENT_ATTEMPT,
    AttemptConnection,
    AttemptHTTPClient,
)
from sesameknot.transport._endpoint_call import CallLimits, EndpointCall

# Above this the endpoint is not read until the caller has taken what is there.
BUFFER_LIMIT_BYTES = 256 * 1024


class Exchange:
    """Run one attempt; the owner must call ``close``.

    Parameters
    ----------
    call : EndpointCall
        The request and its limits.
    http : AttemptHTTPClient
        Client that reports on the attempt's connection.
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
        self._parts: deque[bytes] = deque()
        self._buffered_bytes = 0
        self._header_lines: list[str] = []
        self._first_byte_seen = False
        self._ended = False
        self._error: RouterError | None = None
        self._reader: asyncio.Future[None] | None = None
        self._drained: asyncio.Future[None] | None = None
        self._started_s = self._progress_s = clock.monotonic_s()
        self._watch: asyncio.TimerHandle | None = None
        self._start(http)
        self._watch_deadlines()

    @property
    def _limits(self) -> CallLimits:
        return self.call.limits

    @property
    def buffered_bytes(self) -> int:
        """Bytes of the body that were received and not read yet."""
        return self._buffered_bytes

    @property
    def ended_by_reset(self) -> bool:
        """Whether the connection ended with an error instead of a close.

        Tornado takes a reset as the end of a body that has no length.
        """
        stream = self.connection.stream
        return stream is not None and isinstance(stream.error, OSError)

    def _start(self, http: AttemptHTTPClient) -> None:
        limits = self._limits
        request = HTTPRequest(
            self.call.url + self.call.path,
            method=self.call.method,
            headers=HTTPHeaders(self.call.headers),
            body=self.call.body,
            connect_timeout=min(limits.connect_timeout_s, limits.deadline_s),
            # The watch ends the attempt; this is its backstop.
            request_timeout=limits.deadline_s + limits.connect_timeout_s,
            follow_redirects=False,
            decompress_response=False,
            allow_nonstandard_methods=True,
            header_callback=self._on_header,
            streaming_callback=self._on_data,
        )
        token = CURRENT_ATTEMPT.set(self.connection)
        try:
            fetched = http.fetch(request, raise_error=False)
        finally:
            CURRENT_ATTEMPT.reset(token)
        fetched.add_done_callback(self._on_done)

    def _on_header(self, line: str) -> None:
        if line == "\r\n":
            start = parse_response_start_line(self._header_lines[0])
            self.status = start.code
            self.headers = HTTPHeaders()
            for header in self._header_lines[1:]:
                self.headers.parse_line(header)
            self._header_lines.clear()
            self._progress_s = self._clock.monotonic_s()
            self._wake()
            return
        self._header_lines.append(line.rstrip("\r\n"))

    async def _on_data(self, data: bytes) -> None:
        self._progress_s = self._clock.monotonic_s()
        if not self._first_byte_seen:
            self._first_byte_seen = True
            # The next deadline may now be earlier than the one being watched.
            self._stop_watch()
            self._watch_deadlines()
        self._parts.append(data)
        self._buffered_bytes += len(data)
        self._wake()
        if self._buffered_bytes > BUFFER_LIMIT_BYTES:
            self._drained = self._loop.create_future()
            await self._drained
            self._drained = None
            self._progress_s = self._clock.monotonic_s()

    def _on_done(self, fetched: "asyncio.Future[HTTPResponse]") -> None:
        if fetched.cancelled():
            self._fail(TransportError("attempt was cancelled", step="send"))
        elif (error := fetched.exception()) is not None:
            self._fail(self._translate(error))
        self._ended = True
        self._stop_watch()
        self._wake()

    def _translate(self, error: BaseException) -> RouterError:
        if isinstance(error, RouterError):
            return error
        message = str(error) or type(error).__name__
        if not self.connection.may_have_sent:
            return ConnectError(message, step="connect", peer=self.call.url)
        return TransportError(message, step=self._phase, peer=self.call.url)

    @property
    def _phase(self) -> str:
        return "progress" if self._first_byte_seen else "first byte"

    def _fail(self, error: RouterError) -> None:
        if self._error is None and not self._ended:
            self._error = error

    def _watch_deadlines(self) -> None:
        now_s = self._clock.monotonic_s()
        due_s, error = self._next_deadline()
        if now_s < due_s:
            self._watch = self._loop.call_later(due_s - now_s, self._watch_deadlines)
            return
        self._watch = None
        self._fail(error)
        self.connection.abandon()
        self._wake()

    def _next_deadline(self) -> tuple[float, RouterError]:
        limits = self._limits
        whole_s = self._started_s + limits.deadline_s
        if self._drained is not None:
            # The endpoint is not read on purpose; look again later.
            step_s = self._clock.monotonic_s() + limits.progress_timeout_s
        elif self._first_byte_seen:
            step_s = self._progress_s + limits.progress_timeout_s
        else:
            step_s = self._started_s + limits.first_byte_timeout_s
        if whole_s <= step_s:
            return whole_s, self._late("deadline", limits.deadline_s)
        limit_s = (
            limits.progress_timeout_s
            if self._first_byte_seen
            else limits.first_byte_timeout_s
        )
        return step_s, self._late(self._phase, limit_s)

    def _late(self, step: str, limit_s: float) -> RouterError:
        kind = DeadlineError if self.connection.may_have_sent else ConnectError
        return kind(f"no answer within {limit_s:g} s", step=step, peer=self.call.url)

    def _wake(self) -> None:
        if self._reader is not None and not self._reader.done():
            self._reader.set_result(None)

    async def _wait(self) -> None:
        self._reader = self._loop.create_future()
        try:
            await self._reader
        finally:
            self._reader = None

    async def read_headers(self) -> None:
        """Wait for status and headers.

        Raises
        ------
        ConnectError
            If nothing was sent.
        TransportError
            If the connection broke or a deadline passed after it was open.
        """
        while not self.status:
            if self._error is not None:
                raise self._error
            if self._ended:
                raise TransportError(
                    "answer has no headers", step="first byte", peer=self.call.url
                )
            await self._wait()

    async def read(self) -> bytes:
        """Return the parts of the body received so far, or ``b""`` at its end.

        Raises
        ------
        TransportError
            If the connection broke or a deadline passed.
        """
        while not self._parts:
            if self._error is not None:
                raise self._error
            if self._ended:
                return b""
            await self._wait()
        data = b"".join(self._parts)
        self._parts.clear()
        self._buffered_bytes = 0
        if self._drained is not None and not self._drained.done():
            self._drained.set_result(None)
        return data

    def _stop_watch(self) -> None:
        if self._watch is not None:
            self._watch.cancel()
            self._watch = None

    def close(self) -> None:
        """End the attempt; an unfinished one is dropped with its connection."""
        self._stop_watch()
        if not self._ended:
            self.connection.abandon()
        if self._drained is not None and not self._drained.done():
            self._drained.set_result(None)
