"""Binary ``sesameknot-platform-standin``: a platform for tests and the demo."""

from absl import flags
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets

from sesameknot.apps._binary import run_with_flags
from sesameknot.apps._serving import stop_event
from sesameknot.clock import SystemClock
from sesameknot.standins.platform import PlatformCore, make_application

_ADDRESS = flags.DEFINE_string("address", "127.0.0.1", "IP number to listen on.")
_PORT = flags.DEFINE_integer("port", 8700, "Port to listen on.", lower_bound=0)
_WRITES = flags.DEFINE_float("writes_per_s", 400.0, "Limit of writes per second.")
_READS = flags.DEFINE_float("reads_per_s", 2000.0, "Limit of reads per second.")
_HISTORY = flags.DEFINE_integer(
    "history_count", 2000, "Changes that a watch can resume from."
)
_HOST_LAG = flags.DEFINE_integer("host_lag_ms", 2000, "Age of the host list.")


async def _serve() -> None:
    core = PlatformCore(
        clock=SystemClock(),
        writes_per_s=_WRITES.value,
        reads_per_s=_READS.value,
        history_count=_HISTORY.value,
        host_lag_s=_HOST_LAG.value / 1000,
    )
    server = HTTPServer(make_application(core))
    sockets = bind_sockets(_PORT.value, _ADDRESS.value)
    server.add_sockets(sockets)
    port = sockets[0].getsockname()[1]
    print(f"listening on {_ADDRESS.value}:{port}", flush=True)
    stopped = stop_event()
    await stopped.wait()
    server.stop()
    await server.close_all_connections()


def run() -> None:
    """Run the binary."""
    run_with_flags(_serve)


if __name__ == "__main__":
    run()
