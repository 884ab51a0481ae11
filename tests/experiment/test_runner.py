"""Tests of the experiment tool."""

import csv
import tempfile
from pathlib import Path

import msgspec
from testtools import ExpectedException, TestCase
from testtools.matchers import Equals

from sesameknot.errors import SettingsError
from sesameknot.experiment.report import csv_table, text_table
from sesameknot.experiment.runner import run_experiment
from sesameknot.experiment.settings import ExperimentSettings
from sesameknot.settings.loader import load_file

EXAMPLES = Path(__file__).parents[2] / "examples" / "experiments"
SMALL = {
    "cost": {"request_count": 500},
    "latency": {"duration_s": 20.0, "warmup_s": 2.0, "loads": [0.5]},
    "exposure": {"trial_count": 2},
    "domain_change": {
        "duration_s": 30.0,
        "out_at_s": 10.0,
        "back_at_s": 20.0,
        "grace_s": 5.0,
        "loads": [0.5],
    },
}
LABELS = {
    "cost": ["costliest", "cheapest", "fixed_mix", "adaptive", "best fixed"],
    "latency": ["random", "least_loaded", "power_of_two", "adaptive"],
    "exposure": [
        "fixed",
        "sequential",
        "fixed, same ratings",
        "fixed, same ratings and duration",
    ],
    "domain_change": ["least_loaded", "adaptive"],
}


class RunExperimentTest(TestCase):
    def test_each_example_repeats_and_writes_table_and_plot(self):
        """Guards against examples that do not load and runs that depend on chance."""
        for name, small in SMALL.items():
            settings = load_file(EXAMPLES / f"{name}.yaml", ExperimentSettings)
            settings = msgspec.structs.replace(settings, **small)
            with tempfile.TemporaryDirectory() as out:
                first = run_experiment(settings, Path(out), name)
                second = run_experiment(settings, Path(out), name)
                files = sorted(path.name for path in Path(out).iterdir())
                text = (Path(out) / f"{name}.csv").read_text()
                rows = list(csv.reader(text.splitlines()))
            self.assertThat(first, Equals(second))
            expected = [f"{name}.csv", f"{name}.png", f"{name}.txt"]
            self.assertThat(files, Equals(expected))
            self.assertThat([row[0] for row in rows[1:]], Equals(LABELS[name]))

    def test_a_wrong_experiment_names_place_and_value(self):
        """Guards against a misspelt option that is silently ignored."""
        with tempfile.TemporaryDirectory() as directory:
            path = Path(directory) / "bad.yaml"
            path.write_text("experiment: cost\nrequest_cuont: 5\n")
            with ExpectedException(SettingsError, ".*bad.yaml.*request_cuont.*"):
                load_file(path, ExperimentSettings)


class TableTest(TestCase):
    def test_columns_are_aligned(self):
        """Guards against tables that cannot be read or parsed."""
        rows = [["policy", "cost"], ["a", "1"], ["best, fixed", "20"]]
        self.assertThat(
            text_table(rows),
            Equals("     policy  cost\n          a     1\nbest, fixed    20\n"),
        )
        self.assertThat(csv_table(rows), Equals('policy,cost\na,1\n"best, fixed",20\n'))
