"""Binary ``sesameknot-screen``: the live page of the control room."""

import asyncio
import contextlib
import sys
from importlib import resources
from pathlib import Path

from absl import app, flags
from tornado.httpserver import HTTPServer
from tornado.iostream import StreamClosedError
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler, StaticFileHandler

from sesameknot.apps._logging import configure_logging
from sesameknot.apps._serving import stop_event
from sesameknot.apps._tls_flags import peer_context
from sesameknot.clock import SystemClock
from sesameknot.coordination.router_view import RouterView
from sesameknot.errors import SettingsError
from sesameknot.operator.fleet import RouterFleet
from sesameknot.operator.screen import ScreenPoller, ScreenTargets
from sesameknot.transport.peer_client import PeerClient

USAGE_EXIT_CODE = 2
# The page loads scripts and styles only from its own server.
CONTENT_POLICY = "default-src 'self'"

_ADDRESS = flags.DEFINE_string("address", "127.0.0.1", "IP number to listen on.")
_PORT = flags.DEFINE_integer("port", 8750, "Port to listen on.", lower_bound=0)
_ROUTERS = flags.DEFINE_list("routers", [], "HTTP addresses of routers, ip:port.")
_PEERS = flags.DEFINE_list(
    "peers", [], "Peer addresses of routers whose objects are read, ip:port."
)
_TOKEN = flags.DEFINE_string(
    "operator_token_file", "", "File with the routers' operator token."
)
_POLL = flags.DEFINE_integer("poll_ms", 1000, "Time between polls.", lower_bound=100)
_FIRST_TOKEN = flags.DEFINE_float("target_first_token_ms", 700.0, "Latency target.")
_SAVING = flags.DEFINE_float("target_saving_share", 0.4, "Cost target.")
_ERRORS = flags.DEFINE_float("alarm_error_share", 0.05, "Errors that raise an alarm.")


class PageHandler(StaticFileHandler):
    """Serves the page and its static files."""

    def set_extra_headers(self, path: str) -> None:
        """Forbid content from other servers; require revalidation of cached files."""
        self.set_header("Content-Security-Policy", CONTENT_POLICY)
        self.set_header("Cache-Control", "no-cache")


class EventsHandler(RequestHandler):
    """Server-sent events, one for each state of the screen."""

    def initialize(self, poller: ScreenPoller) -> None:
        """Set the poller that provides the states."""
        self.poller = poller

    async def get(self) -> None:
        """Send the latest state and each later one until the viewer disconnects."""
        self.set_header("Content-Type", "text/event-stream")
        self.set_header("Cache-Control", "no-store")
        sequence = 0
        with contextlib.suppress(StreamClosedError):
            while not self.request.connection.stream.closed():
                sequence, state_json = await self.poller.next_after(sequence)
                self.write(b"id: %d\ndata: %s\n\n" % (sequence, state_json))
                await self.flush()


def make_application(poller: ScreenPoller) -> Application:
    """Return the HTTP application of the screen."""
    static = str(resources.files("sesameknot.apps").joinpath("static"))
    files = {"path": static, "default_filename": "screen.html"}
    return Application(
        [
            (r"/events", EventsHandler, {"poller": poller}),
            (r"/(.*)", PageHandler, files),
        ],
        log_function=lambda _: None,
    )


def _make_poller(stack: contextlib.ExitStack) -> ScreenPoller:
    clock = SystemClock()
    token = Path(_TOKEN.value).read_text().strip() if _TOKEN.value else ""
    peer_client = PeerClient("screen", clock=clock, tls=peer_context())
    fleet = RouterFleet(_ROUTERS.value, clock=clock, token=token, peer=peer_client)
    stack.callback(fleet.close)
    return ScreenPoller(
        fleet,
        sources=[RouterView(address, peer=peer_client) for address in _PEERS.value],
        clock=clock,
        targets=ScreenTargets(
            first_token_ms=_FIRST_TOKEN.value,
            saving_share=_SAVING.value,
            error_share=_ERRORS.value,
        ),
        interval_s=_POLL.value / 1000,
    )


async def _serve() -> None:
    stopped = stop_event()
    with contextlib.ExitStack() as stack:
        poller = _make_poller(stack)
        server = HTTPServer(make_application(poller))
        sockets = bind_sockets(_PORT.value, _ADDRESS.value)
        server.add_sockets(sockets)
        port = sockets[0].getsockname()[1]
        print(f"listening on {_ADDRESS.value}:{port}", flush=True)
        poll_task = asyncio.create_task(poller.run())
        await stopped.wait()
        poll_task.cancel()
        server.stop()
        await server.close_all_connections()


def _main(argv: list[str]) -> int:
    if len(argv) > 1 or not _ROUTERS.value:
        print("error: expected --routers and no arguments", file=sys.stderr)
        return USAGE_EXIT_CODE
    configure_logging("info")
    try:
        asyncio.run(_serve())
    except (OSError, SettingsError) as error:
        print(f"error: {error}", file=sys.stderr)
        return USAGE_EXIT_CODE
    return 0


def run() -> None:
    """Run the binary."""
    app.run(_main)


if __name__ == "__main__":
    run()
