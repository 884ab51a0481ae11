"""Run the stand-in of the rating service and the weight store."""

from absl import flags

from sesameknot.apps._binary import run_with_flags
from sesameknot.apps._serving import serve_until_stopped
from sesameknot.standins.rating import RatingOptions, RatingStandin

FLAGS = flags.FLAGS

flags.DEFINE_string("address", "127.0.0.1", "IP number to listen on.")
flags.DEFINE_integer("port", 9200, "TCP port to listen on.")
flags.DEFINE_list("qualities", [], "Mean scores as model/version=score.")
flags.DEFINE_float("default_quality", 0.9, "Mean score of other versions.")
flags.DEFINE_float("noise", 0.1, "Standard deviation of a score.")
flags.DEFINE_float("delay_s", 0.0, "Time until a score is published.")
flags.DEFINE_float("gap_share", 0.0, "Share of answers that are never rated.")
flags.DEFINE_float("weight_rate_per_s", 5.0, "Rate limit of the weight store.")
flags.DEFINE_integer("random_state", 0, "Seed.")


def _qualities() -> dict[str, float]:
    pairs = (entry.partition("=") for entry in FLAGS.qualities)
    return {name: float(score) for name, _, score in pairs}


async def serve() -> None:
    """Serve until SIGINT or SIGTERM."""
    options = RatingOptions(
        qualities=_qualities(),
        default_quality=FLAGS.default_quality,
        noise=FLAGS.noise,
        delay_s=FLAGS.delay_s,
        gap_share=FLAGS.gap_share,
        random_state=FLAGS.random_state,
    )
    standin = RatingStandin(options, weight_rate_per_s=FLAGS.weight_rate_per_s)
    server = standin.server()
    await serve_until_stopped(server, FLAGS.address, FLAGS.port)


def run() -> None:
    """Run the binary."""
    run_with_flags(serve)


if __name__ == "__main__":
    run()
