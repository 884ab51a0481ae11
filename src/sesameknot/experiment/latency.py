"""Latency experiment: endpoint choices at equal load, and goodput under overload."""

from dataclasses import dataclass

import numpy as np

from sesameknot.experiment._job import Job, JobOutcome
from sesameknot.experiment.deployments import DEPLOYMENTS
from sesameknot.experiment.fleet import Fleet, FleetOptions
from sesameknot.experiment.settings import LatencySettings

# From this load on, admission control is on; below it, all choices get the same work.
SHED_LOAD = 1.0


@dataclass(slots=True, frozen=True)
class LatencyOutcome:
    """Result of one choice at one load.

    Parameters
    ----------
    choice : str
        Endpoint choice.
    load : float
        Offered load.
    first_token_p50_s, first_token_p95_s, first_token_p99_s : float
        Time to the first token.
    gap_p95_ms : float
        Time between tokens, each request weighted by its tokens.
    response_p99_s : float
        Time to the complete response.
    goodput_per_s : float
        Responses per second that met their deadline.
    token_goodput_per_s : float
        Output tokens per second of those responses; long requests count for more.
    shed_share, late_share : float
        Shares of all requests.
    """

    choice: str
    load: float
    first_token_p50_s: float
    first_token_p95_s: float
    first_token_p99_s: float
    gap_p95_ms: float
    response_p99_s: float
    goodput_per_s: float
    token_goodput_per_s: float
    shed_share: float
    late_share: float


def run_latency(settings: LatencySettings) -> list[LatencyOutcome]:
    """Run every choice at every load on the same seeded arrivals."""
    outcomes = []
    for load in settings.loads:
        for choice in settings.choices:
            options = FleetOptions(
                deployment=DEPLOYMENTS[settings.deployment],
                choice=choice,
                load=load,
                duration_s=settings.duration_s,
                random_state=settings.random_state,
                sheds=load >= SHED_LOAD,
            )
            outcomes.append(summarise(options, settings.warmup_s))
    return outcomes


def summarise(options: FleetOptions, warmup_s: float) -> LatencyOutcome:
    """Run a fleet and return its figures without the warm-up."""
    jobs = [job for job in Fleet(options).run() if job.arrived_s >= warmup_s]
    complete = [
        job for job in jobs if job.outcome in (JobOutcome.ON_TIME, JobOutcome.LATE)
    ]
    first_s = np.array([job.first_token_wait_s for job in complete])
    response_s = np.array([job.finished_s - job.arrived_s for job in complete])
    on_time = [job for job in jobs if job.outcome is JobOutcome.ON_TIME]
    span_s = max(job.arrived_s for job in jobs) - warmup_s
    p50, p95, p99 = np.percentile(first_s, [50, 95, 99]).tolist()
    return LatencyOutcome(
        choice=options.choice,
        load=options.load,
        first_token_p50_s=p50,
        first_token_p95_s=p95,
        first_token_p99_s=p99,
        gap_p95_ms=_gap_p95_ms(complete),
        response_p99_s=float(np.percentile(response_s, 99)),
        goodput_per_s=len(on_time) / span_s,
        token_goodput_per_s=sum(job.shape.output_tokens for job in on_time) / span_s,
        shed_share=_count(jobs, JobOutcome.SHED) / len(jobs),
        late_share=_count(jobs, JobOutcome.LATE) / len(jobs),
    )


def _count(jobs: list[Job], outcome: JobOutcome) -> int:
    return sum(job.outcome is outcome for job in jobs)


def _gap_p95_ms(jobs: list[Job]) -> float:
    gaps = np.array([job.token_gap_s for job in jobs])
    tokens = np.array([job.shape.output_tokens for job in jobs])
    order = np.argsort(gaps)
    position = np.searchsorted(np.cumsum(tokens[order]), 0.95 * tokens.sum())
    return float(gaps[order][position]) * 1000.0
