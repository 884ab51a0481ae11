"""Run the experiment that a settings record describes."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from sesameknot.experiment.cost import run_cost
from sesameknot.experiment.domain_change import run_domain_change
from sesameknot.experiment.exposure import run_exposure
from sesameknot.experiment.latency import run_latency
from sesameknot.experiment.report import write_report
from sesameknot.experiment.settings import (
    CostSettings,
    DomainChangeSettings,
    ExperimentSettings,
    ExposureSettings,
    LatencySettings,
)


@dataclass(slots=True, frozen=True)
class Experiment:
    """An experiment and what its report shows.

    Parameters
    ----------
    run : callable
        Takes the settings and returns outcomes.
    label : str
        Field that names an outcome.
    values : tuple of str
        Fields to plot.
    """

    run: Callable[[Any], Sequence[Any]]
    label: str
    values: tuple[str, ...]


EXPERIMENTS: dict[type, Experiment] = {
    CostSettings: Experiment(
        run_cost, "policy", ("cost_microunits", "worst_quality", "late_quality")
    ),
    LatencySettings: Experiment(
        run_latency, "choice", ("first_token_p95_s", "first_token_p99_s", "gap_p95_ms")
    ),
    ExposureSettings: Experiment(
        run_exposure, "schedule", ("exposed_count", "false_alarm_share")
    ),
    DomainChangeSettings: Experiment(
        run_domain_change, "choice", ("lost_work_share", "shed_count", "late_count")
    ),
}


def run_experiment(settings: ExperimentSettings, directory: Path, name: str) -> str:
    """Run an experiment, write its report and return the table as text."""
    experiment = EXPERIMENTS[type(settings)]
    return write_report(
        experiment.run(settings),
        directory,
        name,
        label=experiment.label,
        values=experiment.values,
    )
