"""Run a load experiment that a YAML file describes."""

import sys
from pathlib import Path

from absl import app, flags

from sesameknot.errors import RouterError
from sesameknot.experiment.runner import run_experiment
from sesameknot.experiment.settings import ExperimentSettings
from sesameknot.settings.loader import load_file

FLAGS = flags.FLAGS

flags.DEFINE_string("experiment", None, "YAML file of the experiment.")
flags.DEFINE_string("out", "out", "Directory for tables and plots.")


def main(argv: list[str]) -> None:
    """Run the experiment and print its table."""
    del argv
    path = Path(FLAGS.experiment)
    try:
        settings = load_file(path, ExperimentSettings)
        print(run_experiment(settings, Path(FLAGS.out), path.stem), end="")
    except RouterError as error:
        sys.exit(str(error))


def run() -> None:
    """Entry point of the binary."""
    flags.mark_flag_as_required("experiment")
    app.run(main)


if __name__ == "__main__":
    run()
