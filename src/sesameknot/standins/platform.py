"""Stand-in of the platform's object API, over HTTP and in-process.

Beside the API described in :mod:`sesameknot.transport.platform_client` the server
takes switches by POST with a JSON object:

- ``/standin/outage`` ``{"mode": "none" | "refuse" | "hang"}``
- ``/standin/slowness`` ``{"ms": 50}``
- ``/standin/lose_write_answers`` ``{"count": 1}``
- ``/standin/old_data`` ``{"on": true}``
- ``/standin/hosts`` ``{"host_id", "address", "state": "live" | "leaving" | "gone"}``

``GET /standin/record`` returns call counts and all objects. A list includes
tombstones, because a reader that lost the history learns of a deletion only there.
"""

import json
from io import BytesIO
from typing import Any
from urllib.parse import parse_qsl, unquote, urlsplit

from tornado.httpclient import HTTPRequest, HTTPResponse
from tornado.httputil import HTTPHeaders
from tornado.web import Application, RequestHandler

from sesameknot.clock import Clock, SystemClock
from sesameknot.errors import PlatformError
from sesameknot.standins._platform_core import (
    Answer,
    AnswerLostError,
    Call,
    PlatformCore,
)
from sesameknot.standins._platform_limits import OUTAGE_MODES
from sesameknot.transport.platform_client import PlatformClient

__all__ = ["InProcessPlatform", "PlatformCore", "make_application"]

_KINDS = {"GET": "get", "PUT": "put", "DELETE": "delete"}


def make_application(core: PlatformCore) -> Application:
    """Return the HTTP application that serves ``core``."""
    arguments = {"core": core}
    return Application(
        [
            (r"/v1/objects/(.+)", _ObjectHandler, arguments),
            (r"/v1/objects", _ReadHandler, {**arguments, "kind": "list"}),
            (r"/v1/watch", _ReadHandler, {**arguments, "kind": "watch"}),
            (r"/v1/hosts", _ReadHandler, {**arguments, "kind": "hosts"}),
            (r"/standin/record", _RecordHandler, arguments),
            (r"/standin/(\w+)", _SwitchHandler, arguments),
        ],
        log_function=lambda handler: None,
    )


class _CoreHandler(RequestHandler):
    def initialize(self, core: PlatformCore, kind: str = "") -> None:
        self.core = core
        self.kind = kind

    async def respond(self, kind: str, key: str = "") -> None:
        call = Call(
            kind,
            key=key,
            query={name: self.get_query_argument(name) for name in self._names()},
            prefixes=tuple(self.get_query_arguments("prefix", strip=False)) or ("",),
            body=self.request.body,
            if_match=self.request.headers.get("If-Match"),
        )
        try:
            answer = await self.core.respond(call)
        except AnswerLostError:
            self.request.connection.stream.close()
            return
        self.set_status(answer.status)
        self.finish(answer.body)

    def _names(self) -> list[str]:
        return list(self.request.query_arguments)


class _ObjectHandler(_CoreHandler):
    async def get(self, key: str) -> None:
        await self.respond("get", key)

    async def put(self, key: str) -> None:
        await self.respond("put", key)

    async def delete(self, key: str) -> None:
        await self.respond("delete", key)


class _ReadHandler(_CoreHandler):
    async def get(self) -> None:
        await self.respond(self.kind)


class _RecordHandler(_CoreHandler):
    def get(self) -> None:
        self.finish(self.core.record())


class _SwitchHandler(_CoreHandler):
    def post(self, name: str) -> None:
        try:
            body = json.loads(self.request.body)
            self._apply(name, body)
        except (ValueError, KeyError, TypeError) as error:
            self.set_status(400)
            self.finish({"error": f"{name}: {error!r}"})
            return
        self.finish({"done": name})

    def _apply(self, name: str, body: dict[str, Any]) -> None:
        if name == "outage":
            if body["mode"] not in OUTAGE_MODES:
                raise ValueError(f"mode {body['mode']!r}, expected {OUTAGE_MODES}")
            self.core.switch(outage=body["mode"])
        elif name == "slowness":
            self.core.switch(slow_ms=int(body["ms"]))
        elif name == "lose_write_answers":
            self.core.switch(lose_write_answers=int(body["count"]))
        elif name == "old_data":
            self.core.switch(old_data=bool(body["on"]))
        elif name == "hosts":
            self.core.set_host(
                body["host_id"], body["address"], body.get("state", "live")
            )
        else:
            raise ValueError("unknown switch")


class InProcessPlatform(PlatformClient):
    """A platform client that answers from a core without sockets.

    Parameters
    ----------
    core : PlatformCore or None, default=None
        Shared by all clients of one test; made anew if None.
    clock : Clock or None, default=None
        Clock of a new core.
    """

    def __init__(
        self, core: PlatformCore | None = None, *, clock: Clock | None = None
    ) -> None:
        self.core = core or PlatformCore(clock=clock or SystemClock(), host_lag_s=0.0)
        self.url = "in-process"
        self.timeout_s = 2.0
        self.token = ""
        self.call_count = 0

    async def _fetch(
        self,
        method: str,
        path: str,
        *,
        step: str,
        body: str | None = None,
        headers: dict[str, str] | None = None,
        timeout_s: float | None = None,
    ) -> HTTPResponse:
        self.call_count += 1
        parts = urlsplit(path)
        pairs = parse_qsl(parts.query, keep_blank_values=True)
        kind = _KINDS[method] if parts.path.startswith("/v1/objects/") else step
        call = Call(
            kind,
            key=unquote(parts.path.removeprefix("/v1/objects/")),
            query=dict(pairs),
            prefixes=tuple(v for name, v in pairs if name == "prefix") or ("",),
            body=(body or "").encode(),
            if_match=(headers or {}).get("If-Match"),
        )
        if self.core.switches.outage == "hang":
            # A caller sees a timeout; waiting for it would need wall time.
            raise PlatformError("no answer (hang)", step=step, peer=self.url)
        try:
            answer = await self.core.respond(call)
        except AnswerLostError:
            raise PlatformError("connection closed", step=step, peer=self.url) from None
        return _response(method, path, answer)

    def close(self) -> None:
        """Do nothing; there is no connection."""


def _response(method: str, path: str, answer: Answer) -> HTTPResponse:
    return HTTPResponse(
        HTTPRequest("http://in-process" + path, method=method),
        answer.status,
        headers=HTTPHeaders(),
        buffer=BytesIO(json.dumps(answer.body).encode()),
    )
