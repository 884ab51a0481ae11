"""The project's store stand-in, and another view of it for machines cut off."""

import json
import time
from typing import Any

from tornado.httpserver import HTTPServer
from tornado.httputil import (
    HTTPHeaders,
    HTTPServerRequest,
    RequestStartLine,
    ResponseStartLine,
)

from sesameknot.platform.standin import FleetStore


class PathView:
    """The same store for a machine that reaches the servers on paths of its own.

    A path that only one machine uses can be cut for this machine alone. The store's
    answers to it name the servers by the addresses at the near end of these paths.

    Parameters
    ----------
    store : FleetStore
        The store.
    addresses : dict of str to str
        Near end of the path to each server, by the server's address.
    """

    def __init__(self, store: FleetStore, *, addresses: dict[str, str]) -> None:
        self._store = store
        self._addresses = addresses

    def __getattr__(self, name: str) -> Any:
        """Return an attribute of the store."""
        return getattr(self._store, name)

    def json_text(self, body: Any) -> str:
        """Return an answer's JSON with the paths' addresses."""
        text = self._store.json_text(body)
        for address, near_end in self._addresses.items():
            text = text.replace(json.dumps(address), json.dumps(near_end))
        return text

    def server(self) -> HTTPServer:
        """Return an HTTP server that serves this view."""
        return FleetStore.server(self)  # type: ignore[arg-type]


class StaleCopies(FleetStore):
    """Store whose answers to calls that allow it are some seconds old.

    Parameters
    ----------
    kind : str
        Kind whose lists are old.
    age_s : float
        How old.
    """

    def __init__(self, kind: str, age_s: float) -> None:
        super().__init__()
        self._kind = kind
        self._age_s = age_s
        # Lists with the time from which they held.
        self._copies: list[tuple[float, list[dict[str, Any]]]] = [(0.0, [])]

    def _record(self, kind: str, item: dict[str, Any], *, removed: bool) -> None:
        super()._record(kind, item, removed=removed)
        if kind == self._kind:
            copy = json.loads(json.dumps(super().list(kind)))
            self._copies.append((time.monotonic(), copy))

    def old_list(self) -> list[dict[str, Any]]:
        """Return the list as it was ``age_s`` ago."""
        limit_s = time.monotonic() - self._age_s
        return [copy for since_s, copy in self._copies if since_s <= limit_s][-1]

    def server(self) -> HTTPServer:
        """Return an HTTP server that serves this store."""
        path = f"/sesameknot/objects/{self._kind}"
        current = super().server().request_callback

        def serve(request: HTTPServerRequest) -> None:
            stale = request.method == "GET" and request.path == path
            if not (stale and request.arguments.get("StaleOk")):
                request_delegate(request)
                return
            body = {"Items": self.old_list(), "MorePages": False, "AsOf": self.revision}
            text = json.dumps(body).encode()
            headers = HTTPHeaders({"Content-Type": "application/json"})
            headers["Content-Length"] = str(len(text))
            start_line = ResponseStartLine("HTTP/1.1", 200, "OK")
            request.connection.write_headers(start_line, headers, text)
            request.connection.finish()

        def request_delegate(request: HTTPServerRequest) -> None:
            adapter = current.start_request(None, request.connection)
            line = RequestStartLine(request.method, request.uri, request.version)
            adapter.headers_received(line, request.headers)
            if request.body:
                adapter.data_received(request.body)
            adapter.finish()

        return HTTPServer(serve)
