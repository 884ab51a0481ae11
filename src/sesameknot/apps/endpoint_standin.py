"""Run an endpoint stand-in."""

from absl import flags

from sesameknot.apps._binary import run_with_flags
from sesameknot.apps._serving import serve_until_stopped
from sesameknot.standins.endpoint import EndpointStandin, EngineOptions

FLAGS = flags.FLAGS

flags.DEFINE_string("address", "127.0.0.1", "IP number to listen on.")
flags.DEFINE_integer("port", 9100, "TCP port to listen on.")
flags.DEFINE_enum("kind", "model", ["model", "plain"], "Kind of endpoint.")
flags.DEFINE_list("versions", [], "Loaded versions as model/version; empty for all.")
flags.DEFINE_integer("capacity_count", 16, "Requests that run at a time when warm.")
flags.DEFINE_integer("cold_slot_count", 2, "Requests that it bears when cold.")
flags.DEFINE_float("cold_s", 0.0, "Duration of a cold start.")
flags.DEFINE_float("restart_s", 0.2, "Time without service after falling over.")
flags.DEFINE_float("token_s", 0.001, "Time per token of a request that runs alone.")
flags.DEFINE_float("batch_slope", 0.05, "Growth of token time per running request.")
flags.DEFINE_float("prompt_char_s", 0.0, "Time per uncached prompt character.")
flags.DEFINE_float("load_lag_s", 0.0, "Age of the published load.")
flags.DEFINE_float("load_order_s", 0.05, "Time to load a version.")
flags.DEFINE_bool("fencing", False, "Refuse orders with an old fence.")
flags.DEFINE_float("event_delay_s", 0.0, "Delay of cache events.")
flags.DEFINE_float("event_gap_share", 0.0, "Share of lost cache events.")
flags.DEFINE_integer("random_state", 0, "Seed.")

OPTION_FLAGS = (
    "kind",
    "capacity_count",
    "cold_slot_count",
    "cold_s",
    "restart_s",
    "token_s",
    "batch_slope",
    "prompt_char_s",
    "load_lag_s",
    "load_order_s",
    "fencing",
    "event_delay_s",
    "event_gap_share",
    "random_state",
)


async def serve() -> None:
    """Serve until SIGINT or SIGTERM."""
    options = EngineOptions(
        versions=tuple(FLAGS.versions),
        **{name: FLAGS[name].value for name in OPTION_FLAGS},
    )
    server = EndpointStandin(options).server()
    await serve_until_stopped(server, FLAGS.address, FLAGS.port)


def run() -> None:
    """Run the binary."""
    run_with_flags(serve)


if __name__ == "__main__":
    run()
