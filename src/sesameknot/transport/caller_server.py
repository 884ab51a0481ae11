"""Server delegate for callers' connections that reads requests and tracks idle ones."""

from collections.abc import Callable
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


class CallerConnections(HTTPServerConnectionDelegate):
    """Delegate of an HTTP server that tracks idle connections.

    Parameters
    ----------
    on_request : callable
        Called with each request whose body is complete, and the body, which it must
        release.
    """

    def __init__(self, on_request: RequestCallback) -> None:
        self.on_request = on_request
        self.idle_connections: WeakSet[HTTP1ServerConnection] = WeakSet()

    def start_request(
        self, server_conn: HTTP1ServerConnection, request_conn: HTTPConnection
    ) -> HTTPMessageDelegate:
        """Mark a connection idle and return a reader of its next request."""
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
        self._request: HTTPServerRequest | None = None

    def headers_received(
        self, start_line: RequestStartLine, headers: HTTPHeaders
    ) -> None:
        self._connections.idle_connections.discard(self._server_conn)
        self._request = HTTPServerRequest(
            connection=self._request_conn, start_line=start_line, headers=headers
        )

    def data_received(self, chunk: bytes) -> None:
        self._body.append(chunk)

    def finish(self) -> None:
        if self._request is None:
            return
        if self._server_conn.stream.closed():
            # The connection was closed in the loop iteration that read the request.
            log.info("request_dropped", path=self._request.path, reason="closed")
            return
        self._body.finish()
        self._connections.on_request(self._request, self._body)

    def on_connection_close(self) -> None:
        self._connections.idle_connections.discard(self._server_conn)
