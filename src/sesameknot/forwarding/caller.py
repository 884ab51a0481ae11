"""Connection to the caller of one request."""

import asyncio

from tornado.httputil import HTTPHeaders, HTTPServerRequest, ResponseStartLine
from tornado.iostream import StreamClosedError

from sesameknot.errors import TransportError
from sesameknot.forwarding.error_answer import ErrorAnswer
from sesameknot.platform import UNREACHABLE_HEADER
from sesameknot.policy.answer_buffer import AnswerBuffer, AnswerReservation
from sesameknot.router.drain import Drain

# A body up to this size is sent together with the head, which copies it; a larger one
# would be held twice until the caller has read it.
JOINED_BYTES = 64 * 1024


class CallerConnection:
    """Sends one answer to a caller.

    Parameters
    ----------
    http_request : tornado.httputil.HTTPServerRequest
        The request as received by the HTTP server.
    drain : Drain
        Tells whether this host is leaving; answers that begin then ask the caller to
        close its connection.
    """

    __slots__ = ("_connection", "_drain", "head_sent", "status")

    def __init__(self, http_request: HTTPServerRequest, drain: Drain) -> None:
        self._connection = http_request.connection
        self._drain = drain
        self.head_sent = False
        self.status = 0

    def cancel_on_close(self, task: "asyncio.Task[None]") -> None:
        """Cancel ``task`` when the caller closes the connection."""
        self._connection.set_close_callback(lambda: task.cancel())

    async def send_head(
        self, status: int, headers: HTTPHeaders, *, data: bytes = b""
    ) -> None:
        """Send status, headers and the first bytes of the body.

        Raises
        ------
        TransportError
            If the caller closed the connection.
        """
        if self._drain.draining:
            headers["Connection"] = "close"
        self.head_sent = True
        self.status = status
        start_line = ResponseStartLine("HTTP/1.1", status, "Answer")
        try:
            await self._connection.write_headers(start_line, headers, data or None)
        except StreamClosedError as error:
            raise TransportError(
                "caller closed the connection", step="answer"
            ) from error

    async def send(self, data: bytes) -> None:
        """Send a part of the body.

        Raises
        ------
        TransportError
            If the caller closed the connection.
        """
        await self._wait_until(self._connection.write(data))

    async def begin_held(
        self,
        status: int,
        headers: HTTPHeaders,
        data: bytes,
        held: AnswerReservation,
        *,
        other_bytes: int,
    ) -> None:
        """Send the head and then ``data``, as :meth:`send_held` does."""
        await self.send_head(status, headers, data=data[:JOINED_BYTES])
        await self.send_held(data[JOINED_BYTES:], held, other_bytes=other_bytes)

    async def send_held(
        self, data: bytes, held: AnswerReservation, *, other_bytes: int = 0
    ) -> None:
        """Send a part of the body that counts against a limit until it is sent.

        Nothing counts while the caller reads as fast as data arrives.

        Parameters
        ----------
        data : bytes
            The part.
        held : AnswerReservation
            Reservation of the answer.
        other_bytes : int, default=0
            Bytes of the answer that are held beside the part.

        Raises
        ------
        TransportError
            If the caller closed the connection, or reads too slowly for the limit.
        """
        for start in range(0, len(data), JOINED_BYTES):
            # A write copies its data.
            written = self._connection.write(data[start : start + JOINED_BYTES])
            if not written.done() and not held.hold(len(data) + other_bytes):
                raise TransportError(f"caller is slow, {held.reason}", step="answer")
            await self._wait_until(written)

    async def _wait_until(self, written: "asyncio.Future[None]") -> None:
        try:
            await written
        except StreamClosedError as error:
            raise TransportError(
                "caller closed the connection", step="answer"
            ) from error

    async def send_complete(
        self, status: int, headers: HTTPHeaders, body: bytes
    ) -> None:
        """Send a complete answer.

        Raises
        ------
        TransportError
            If the caller closed the connection.
        """
        headers["Content-Length"] = str(len(body))
        if len(body) <= JOINED_BYTES:
            await self.send_head(status, headers, data=body)
        else:
            await self.send_head(status, headers)
            await self.send(body)
        self.finish()

    async def send_counted(
        self, answers: AnswerBuffer, status: int, headers: HTTPHeaders, body: bytes
    ) -> None:
        """Send a complete answer that counts against a limit until it is sent.

        Its bytes must have been released just before, so that there is room for them.
        """
        with answers.reservation() as reservation:
            reservation.hold(len(body))
            await self.send_complete(status, headers, body)

    def finish(self) -> None:
        """Mark the answer as complete."""
        self._connection.finish()

    async def send_error(self, error_answer: ErrorAnswer) -> None:
        """Send an error answer, or abort if the answer has already begun."""
        if self.head_sent:
            self.abort()
            return
        headers, body = _error_content(error_answer)
        await self.send_complete(error_answer.status, headers, body)

    def send_error_early(self, error_answer: ErrorAnswer) -> None:
        """Send an error answer while the caller still sends the request's body.

        The reader of the body marks the answer as complete.
        """
        headers, body = _error_content(error_answer)
        headers["Content-Length"] = str(len(body))
        if self._drain.draining:
            headers["Connection"] = "close"
        self.head_sent = True
        self.status = error_answer.status
        start_line = ResponseStartLine("HTTP/1.1", error_answer.status, "Answer")
        self._connection.write_headers(start_line, headers, body)

    def abort(self) -> None:
        """Close the connection, so that an incomplete answer does not look complete."""
        self._connection.close()


def _error_content(error_answer: ErrorAnswer) -> tuple[HTTPHeaders, bytes]:
    """Return headers and body of an error answer."""
    headers = HTTPHeaders({"Content-Type": "text/plain"})
    if error_answer.retry_after_s:
        headers["Retry-After"] = f"{error_answer.retry_after_s:.3f}"
    if error_answer.unreachable:
        headers[UNREACHABLE_HEADER] = "1"
    return headers, (error_answer.reason + "\n").encode()
