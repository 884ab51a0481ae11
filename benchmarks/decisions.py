"""Decisions against the targets of section 1.3 of the design page.

The bounds come from the stated targets. All workloads are seeded, so each run gives
the same verdict. Decision times depend on the machine and do not gate.
"""

from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from functools import partial

from benchmarks._decision_time import decision_times
from benchmarks._figures import Figure, report
from sesameknot.experiment.cost import HINDSIGHT, run_cost
from sesameknot.experiment.domain_change import run_domain_change
from sesameknot.experiment.exposure import run_exposure
from sesameknot.experiment.latency import run_latency
from sesameknot.experiment.settings import (
    CostSettings,
    DomainChangeSettings,
    ExposureSettings,
    LatencySettings,
)

WORKER_COUNT = 2
DEPLOYMENTS = ("association", "cooperativa")
RANDOM_STATE = 1

QUALITY_TARGET = 0.8
COST_OF_COSTLIEST = 0.6
COST_OF_BEST_FIXED = 1.1
FIRST_TOKEN_P95_S = 0.7
TOKEN_GAP_P95_MS = 47.0
P99_OF_RANDOM = 0.5
P99_OF_LEAST_LOADED = 1.0
GOODPUT_SHARE = 0.9
EXPOSURE_OF_FIXED = 0.1
FALSE_ALARM_RATE = 0.05
# "Equals the missing capacity" and "the least valuable work" are taken with these
# tolerances, in shares of the offered work and of the most valuable requests.
LOSS_TOLERANCE = 0.05
VALUABLE_LOSS_TOLERANCE = 0.01

# Bad versions: drop in the mean rating, rise in the error rate.
BAD_VERSIONS = ((0.05, 0.0), (0.1, 0.0), (0.2, 0.0), (0.0, 0.05))


def cost(deployment: str, shift: bool) -> list[Figure]:
    """Return cost and quality of the adaptive cascade."""
    settings = CostSettings(
        deployment=deployment,
        shift=shift,
        policies=["costliest", "adaptive"],
        request_count=300_000,
        quality_target=QUALITY_TARGET,
        random_state=RANDOM_STATE,
    )
    by_policy = {outcome.policy: outcome for outcome in run_cost(settings)}
    adaptive = by_policy["adaptive"]
    costliest = adaptive.cost_microunits / by_policy["costliest"].cost_microunits
    best = adaptive.cost_microunits / by_policy[HINDSIGHT].cost_microunits
    name = f"cost.{deployment}.{'shift' if shift else 'steady'}"
    return [
        Figure(f"{name}.of_costliest", costliest, "-", at_most=COST_OF_COSTLIEST),
        Figure(f"{name}.of_best_fixed", best, "-", at_most=COST_OF_BEST_FIXED),
        Figure(
            f"{name}.worst_kind_quality",
            adaptive.worst_quality,
            "-",
            at_least=QUALITY_TARGET,
        ),
        Figure(f"{name}.last_quarter_quality", adaptive.late_quality, "-"),
    ]


def latency(deployment: str) -> list[Figure]:
    """Return first-token times at 80% load."""
    settings = LatencySettings(
        deployment=deployment, loads=[0.8], random_state=RANDOM_STATE
    )
    by_choice = {outcome.choice: outcome for outcome in run_latency(settings)}
    adaptive = by_choice["adaptive"]
    p99_s = adaptive.first_token_p99_s
    random = p99_s / by_choice["random"].first_token_p99_s
    least = p99_s / by_choice["least_loaded"].first_token_p99_s
    two = p99_s / by_choice["power_of_two"].first_token_p99_s
    name = f"latency.{deployment}"
    return [
        Figure(
            f"{name}.first_token_p95",
            adaptive.first_token_p95_s,
            "s",
            at_most=FIRST_TOKEN_P95_S,
        ),
        Figure(
            f"{name}.token_gap_p95", adaptive.gap_p95_ms, "ms", at_most=TOKEN_GAP_P95_MS
        ),
        Figure(f"{name}.p99_of_random", random, "-", at_most=P99_OF_RANDOM),
        Figure(f"{name}.p99_of_least_loaded", least, "-", at_most=P99_OF_LEAST_LOADED),
        Figure(f"{name}.p99_of_power_of_two", two, "-"),
    ]


def goodput(deployment: str) -> list[Figure]:
    """Return goodput at twice the load against that at full load."""
    settings = LatencySettings(
        deployment=deployment,
        choices=["adaptive"],
        loads=[1.0, 2.0],
        random_state=RANDOM_STATE,
    )
    full, double = run_latency(settings)
    requests = double.goodput_per_s / full.goodput_per_s
    # Shedding long requests raises the number of responses, so tokens gate as well.
    tokens = double.token_goodput_per_s / full.token_goodput_per_s
    name = f"goodput.{deployment}"
    return [
        Figure(f"{name}.requests_200_of_100", requests, "-", at_least=GOODPUT_SHARE),
        Figure(f"{name}.tokens_200_of_100", tokens, "-", at_least=GOODPUT_SHARE),
    ]


def exposure(quality_drop: float, error_rise: float) -> list[Figure]:
    """Return callers that meet a bad version, against a fixed schedule."""
    settings = ExposureSettings(
        trial_count=200,
        quality_drop=quality_drop,
        error_rise=error_rise,
        false_alarm_rate=FALSE_ALARM_RATE,
        random_state=RANDOM_STATE,
    )
    fixed, sequential, rated, slow = run_exposure(settings)
    exposed = sequential.exposed_count
    name = f"exposure.drop_{quality_drop:g}.errors_{error_rise:g}"
    return [
        Figure(
            f"{name}.of_fixed",
            exposed / fixed.exposed_count,
            "-",
            at_most=EXPOSURE_OF_FIXED,
        ),
        Figure(
            f"{name}.false_alarms",
            sequential.false_alarm_share,
            "-",
            at_most=FALSE_ALARM_RATE,
        ),
        Figure(f"{name}.false_alarms_fixed", fixed.false_alarm_share, "-"),
        Figure(f"{name}.missed", sequential.miss_share, "-"),
        Figure(f"{name}.exposed", exposed, "callers"),
        Figure(f"{name}.duration", sequential.good_duration_s, "s"),
        Figure(f"{name}.duration_fixed", fixed.good_duration_s, "s"),
        Figure(f"{name}.of_fixed_same_ratings", exposed / rated.exposed_count, "-"),
        Figure(
            f"{name}.of_fixed_same_ratings_and_duration",
            exposed / slow.exposed_count,
            "-",
        ),
    ]


def domain_change(deployment: str, sudden: bool) -> list[Figure]:
    """Return losses while a domain is out, with and without spare capacity."""
    settings = DomainChangeSettings(
        deployment=deployment,
        choices=["adaptive"],
        sudden=sudden,
        random_state=RANDOM_STATE,
    )
    spare, scarce = run_domain_change(settings)
    failed = spare.shed_count + spare.late_count + spare.lost_count
    excess = scarce.lost_work_share - scarce.missing_share
    valuable = scarce.lost_shares[-1]
    name = f"domain.{deployment}.{'sudden' if sudden else 'planned'}"
    if sudden:
        # The target is about operators who take a domain out, so this does not gate.
        return [
            Figure(f"{name}.spare.failed", failed, "requests"),
            Figure(f"{name}.scarce.excess_loss", excess, "-"),
            Figure(f"{name}.scarce.valuable_loss", valuable, "-"),
        ]
    return [
        Figure(f"{name}.spare.failed", failed, "requests", at_most=0.0),
        Figure(f"{name}.spare.late_sends", spare.late_send_count, "requests", 0.0),
        Figure(f"{name}.scarce.excess_loss", excess, "-", at_most=LOSS_TOLERANCE),
        Figure(
            f"{name}.scarce.valuable_loss",
            valuable,
            "-",
            at_most=VALUABLE_LOSS_TOLERANCE,
        ),
        Figure(f"{name}.scarce.least_valuable_loss", scarce.lost_shares[0], "-"),
    ]


def _jobs() -> list[Callable[[], list[Figure]]]:
    jobs: list[Callable[[], list[Figure]]] = []
    for deployment in DEPLOYMENTS:
        jobs += [partial(cost, deployment, shift) for shift in (False, True)]
    for deployment in DEPLOYMENTS:
        jobs += [partial(latency, deployment), partial(goodput, deployment)]
        jobs += [partial(domain_change, deployment, x) for x in (False, True)]
    jobs += [partial(exposure, drop, rise) for drop, rise in BAD_VERSIONS]
    return jobs


def _call(job: Callable[[], list[Figure]]) -> list[Figure]:
    return job()


def main() -> bool:
    """Run all measurements and return whether all bounds hold."""
    passed = report(decision_times())
    with ProcessPoolExecutor(WORKER_COUNT) as pool:
        for figures in pool.map(_call, _jobs()):
            passed = report(figures) and passed
    return passed
