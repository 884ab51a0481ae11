"""Server delegate for callers' connections that reads requests and tracks idle ones."""

import asyncio
import contextlib
from collections.abc import Callable
from typing import Protocol
from weakref import WeakSet

import structlog
from tornado.http1connection import HTTP1ServerConnection
from tornado.httputil import (
    HTTPConnection,
    HTTPHeaders,
    HTTPMessageDelegate,
    HTTPServerConnectionDelegate,
    HTTPServerRequest,
    RequestStartLine,
)

from sesameknot.transport.request_body import RequestBody

log = structlog.get_logger(__name__)

RequestCallback = Callable[[HTTPServerRequest, RequestBody], None]
RequestTracker = Callable[[], contextlib.AbstractContextManager[None]]


class BodyPolicy(Protocol):
    """Decides which bodies are read."""

    def new_body(self) -> RequestBody:
        """Return an empty body."""

    def refuse(self, http_request: HTTPServerRequest) -> None:
        """Send the answer to a request whose body finds no memory.

        The reader marks it as complete, as the caller may still be sending.
        """

    def refuse_late(self, http_request: HTTPServerRequest) -> None:
        """Send the answer to a request whose body has not come in time."""

    def refuse_leaving(self, http_request: HTTPServerRequest) -> None:
        """Send the answer to a request whose body comes too late for a leaving host."""

    def time_limit_s(self, http_request: HTTPServerRequest) -> float:
        """Return the time within which a body must come."""


class CallerConnections(HTTPServerConnectionDelegate):
    """Delegate of an HTTP server that knows what each connection waits for.

    Parameters
    ----------
    on_request : callable
        Called with each request whose body is complete, and the body, which it must
        release.
    body_policy : BodyPolicy or None, default=None
        Decides which bodies are read; None reads all of them.
    track_request : callable, default=contextlib.nullcontext
        Returns a context that is open while a request's body is being read.
    """

    def __init__(
        self,
        on_request: RequestCallback,
        *,
        body_policy: BodyPolicy | None = None,
        track_request: RequestTracker = contextlib.nullcontext,
    ) -> None:
        self.on_request = on_request
        self.body_policy = body_policy
        self.track_request = track_request
        self.idle_connections: WeakSet[HTTP1ServerConnection] = WeakSet()
        self.readers: set[_RequestReader] = set()
        self._stopped = False

    def start_request(
        self, server_conn: HTTP1ServerConnection, request_conn: HTTPConnection
    ) -> HTTPMessageDelegate:
        """Mark a connection idle and return a reader of its next request."""
        if self._stopped:
            server_conn.stream.close()
        else:
            self.idle_connections.add(server_conn)
        return _RequestReader(self, server_conn, request_conn)

    def on_close(self, server_conn: HTTP1ServerConnection) -> None:
        """Stop tracking a closed connection."""
        self.idle_connections.discard(server_conn)

    def close_idle(self) -> int:
        """Close connections that wait for a request; return their number."""
        connections = list(self.idle_connections)
        for connection in connections:
            connection.stream.close()
        return len(connections)

    def stop(self) -> None:
        """Read no request from now on, and refuse those whose body is not complete.

        Connections with a request in flight are closed after its answer.
        """
        self._stopped = True
        self.close_idle()
        for reader in list(self.readers):
            reader.refuse_leaving()


class _RequestReader(HTTPMessageDelegate):
    """Read one request and pass it to ``on_request``."""

    def __init__(
        self,
        connections: CallerConnections,
        server_conn: HTTP1ServerConnection,
        request_conn: HTTPConnection,
    ) -> None:
        self._connections = connections
        self._server_conn = server_conn
        self._request_conn = request_conn
        self._body = RequestBody()
        self._refused = False
        # Open from the head's end until the body is complete.
        self._reading = contextlib.ExitStack()
        self._request: HTTPServerRequest | None = None

    def headers_received(
        self, start_line: RequestStartLine, headers: HTTPHeaders
    ) -> None:
        connections = self._connections
        connections.idle_connections.discard(self._server_conn)
        connections.readers.add(self)
        self._reading.enter_context(connections.track_request())
        self._reading.callback(connections.readers.discard, self)
        self._request = HTTPServerRequest(
            connection=self._request_conn, start_line=start_line, headers=headers
        )
        policy = connections.body_policy
        if policy is None:
            return
        self._body = policy.new_body()
        declared_bytes = self._declared_bytes(headers)
        if declared_bytes or "Transfer-Encoding" in headers:
            timer = asyncio.get_running_loop().call_later(
                policy.time_limit_s(self._request), self._refuse_late
            )
            self._reading.callback(timer.cancel)
        if not self._body.reserve(declared_bytes):
            self._refuse()

    def _declared_bytes(self, headers: HTTPHeaders) -> int:
        """Return the body's length; 0 if none is declared or the server rejects it."""
        length = headers.get("Content-Length", "")
        size_bytes = int(length) if length.isdecimal() else 0
        limit_bytes = self._server_conn.params.max_body_size
        return 0 if limit_bytes is not None and size_bytes > limit_bytes else size_bytes

    def _refuse(self) -> None:
        """Answer at once, and read the rest of the body without keeping it.

        Closing the connection with unread bytes would reset it, and the caller could
        lose the answer.
        """
        policy, request = self._connections.body_policy, self._request
        if policy is None or request is None:
            return
        self._refused = True
        self._body.release()
        policy.refuse(request)
        if "Expect" in request.headers and not self._body.size_bytes:
            # The caller waits for permission to send the body and gets none.
            self._request_conn.finish()

    def _refuse_late(self) -> None:
        """End a request whose body has not come in time."""
        policy = self._connections.body_policy
        if policy is not None:
            self._give_up(policy.refuse_late)

    def refuse_leaving(self) -> None:
        """End a request whose body is not complete when the host stops reading."""
        policy = self._connections.body_policy
        if policy is not None:
            self._give_up(policy.refuse_leaving)

    def _give_up(self, refuse: Callable[[HTTPServerRequest], None]) -> None:
        if self._request is None or self._server_conn.stream.closed():
            return
        if not self._refused:
            self._refused = True
            self._body.release()
            refuse(self._request)
        # This closes the connection, as the body is not complete.
        self._request_conn.finish()

    def data_received(self, chunk: bytes) -> None:
        if not self._refused and not self._body.append(chunk):
            self._refuse()

    def finish(self) -> None:
        # What accepts the request counts it before this context ends.
        with self._reading:
            self._pass_on()

    def _pass_on(self) -> None:
        if self._request is None:
            return
        if self._refused:
            self._request_conn.finish()
            return
        if self._server_conn.stream.closed():
            # The connection was closed in the loop iteration that read the request.
            self._body.release()
            log.info("request_dropped", path=self._request.path, reason="closed")
            return
        self._body.finish()
        self._connections.on_request(self._request, self._body)

    def on_connection_close(self) -> None:
        self._reading.close()
        self._connections.idle_connections.discard(self._server_conn)
        self._body.release()
