"""HTTP server that can answer a request before it has read the request's body."""

from collections.abc import Callable
from typing import Any

from tornado.httpserver import HTTPServer
from tornado.httputil import (
    HTTPConnection,
    HTTPHeaders,
    HTTPMessageDelegate,
    HTTPServerRequest,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.iostream import IOStream

# Told of each request when its head has arrived; may return what writes to the stream
# instead of the usual answer.
EarlyAnswerChoice = Callable[[HTTPServerRequest], Callable[[IOStream], object] | None]


class EarlyAnswerServer(HTTPServer):
    """HTTP server that offers each request to ``choose_early_answer`` first."""

    def initialize(
        self, *args: Any, choose_early_answer: EarlyAnswerChoice, **options: Any
    ) -> None:
        """Initialize the server."""
        super().initialize(*args, **options)
        self._choose_early_answer = choose_early_answer

    def start_request(
        self, server_conn: object, request_conn: HTTPConnection
    ) -> HTTPMessageDelegate:
        """Return what receives the next request of a connection."""
        delegate = super().start_request(server_conn, request_conn)
        return _EarlyAnswerDelegate(delegate, request_conn, self._choose_early_answer)


class _EarlyAnswerDelegate(HTTPMessageDelegate):
    def __init__(
        self,
        delegate: HTTPMessageDelegate,
        connection: Any,
        choose_early_answer: EarlyAnswerChoice,
    ) -> None:
        self._connection = connection
        self._choose_early_answer = choose_early_answer
        # Of the usual request.
        self.data_received = delegate.data_received
        self.finish = delegate.finish
        self.on_connection_close = delegate.on_connection_close
        self._headers_received = delegate.headers_received

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> Any:
        request = HTTPServerRequest(
            connection=self._connection, start_line=start_line, headers=headers
        )
        answer_early = self._choose_early_answer(request)
        if answer_early is None:
            return self._headers_received(start_line, headers)
        answer_early(self._connection.detach())
        return None
