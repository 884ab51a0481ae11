"""Cost experiment: cascade policies against the best fixed mix in hindsight."""

from dataclasses import dataclass

import numpy as np

from sesameknot.clock import ManualClock
from sesameknot.experiment.deployments import (
    DEPLOYMENTS,
    Deployment,
    Workload,
    draw_workload,
)
from sesameknot.experiment.ratings import RatingFake
from sesameknot.experiment.settings import CostSettings
from sesameknot.policy._model_mix import ModelPoint, cheapest_mix
from sesameknot.policy.cascade import CascadePolicy, ModelCandidate
from sesameknot.policy.registry import CASCADE_POLICIES

# Quality of the cheapest model after the shift, relative to before.
SHIFT_FACTOR = 0.7
# Quality that operators would assume before any rating.
PRIOR_QUALITIES = (0.5, 0.7, 0.9)
HINDSIGHT = "best fixed"


@dataclass(slots=True, frozen=True)
class CostOutcome:
    """Result of one policy.

    Parameters
    ----------
    policy : str
        Name of the policy.
    cost_microunits : float
        Mean cost per request.
    qualities : tuple of float
        True mean quality of each request kind.
    late_quality : float
        Lowest mean quality of a kind over the last quarter of the run.
    """

    policy: str
    cost_microunits: float
    qualities: tuple[float, ...]
    late_quality: float

    @property
    def worst_quality(self) -> float:
        """Lowest mean quality of a kind."""
        return min(self.qualities)


@dataclass(slots=True, frozen=True)
class _Truth:
    """True quality and cost of each request on each model."""

    quality: np.ndarray
    cost: np.ndarray


def run_cost(settings: CostSettings) -> list[CostOutcome]:
    """Run all policies on one workload; the best fixed mix comes last."""
    deployment = DEPLOYMENTS[settings.deployment]
    workload = draw_workload(
        deployment,
        rate_per_s=settings.requests_per_s,
        count=settings.request_count,
        random_generator=np.random.default_rng(settings.random_state),
    )
    truth = _truth(deployment, workload, shift=settings.shift)
    outcomes = []
    for name in settings.policies:
        models = _choices(name, deployment, workload, truth, settings)
        outcomes.append(_outcome(name, deployment, workload, truth, models))
    outcomes.append(_best_fixed(deployment, workload, truth, settings.quality_target))
    return outcomes


def _truth(deployment: Deployment, workload: Workload, *, shift: bool) -> _Truth:
    table = np.array([kind.qualities for kind in deployment.kinds])
    quality = table[workload.kind_index].copy()
    if shift:
        quality[len(quality) // 2 :, 0] *= SHIFT_FACTOR
    tokens = workload.prompt_tokens + workload.output_tokens
    return _Truth(quality, np.outer(tokens, deployment.costs_per_token))


def _choices(
    name: str,
    deployment: Deployment,
    workload: Workload,
    truth: _Truth,
    settings: CostSettings,
) -> np.ndarray:
    clock = ManualClock(0.0)
    seed = settings.random_state
    policy: CascadePolicy = CASCADE_POLICIES.get(name)(
        quality_target=settings.quality_target,
        clock=clock,
        random_generator=np.random.default_rng([seed, 1]),
    )
    ratings = RatingFake(
        share=settings.rating_share,
        delay_s=settings.rating_delay_s,
        random_generator=np.random.default_rng([seed, 2]),
    )
    kinds = [deployment.kinds[i].name for i in workload.kind_index]
    index_by_model = {model: i for i, model in enumerate(deployment.models)}
    chosen = np.zeros(len(kinds), dtype=int)
    for index, at_s in enumerate(workload.at_s.tolist()):
        clock.advance(at_s - clock.monotonic_s())
        for due in ratings.arrived(at_s):
            model = int(chosen[due.index])
            policy.observe(
                kinds[due.index],
                deployment.models[model],
                due.quality,
                float(truth.cost[due.index, model]),
            )
        candidates = [
            ModelCandidate(model, float(cost), prior)
            for model, cost, prior in zip(
                deployment.models, truth.cost[index], PRIOR_QUALITIES, strict=True
            )
        ]
        model = index_by_model[policy.choose(kinds[index], candidates)]
        chosen[index] = model
        quality = float(truth.quality[index, model])
        if not ratings.submit(index, quality, at_s):
            cost = float(truth.cost[index, model])
            policy.observe(kinds[index], deployment.models[model], None, cost)
    return chosen


def _outcome(
    name: str,
    deployment: Deployment,
    workload: Workload,
    truth: _Truth,
    models: np.ndarray,
) -> CostOutcome:
    rows = np.arange(len(models))
    quality = truth.quality[rows, models]
    late = rows >= len(rows) * 3 // 4
    masks = [workload.kind_index == i for i in range(len(deployment.kinds))]
    return CostOutcome(
        name,
        float(truth.cost[rows, models].mean()),
        tuple(float(quality[mask].mean()) for mask in masks),
        min(float(quality[mask & late].mean()) for mask in masks),
    )


def _best_fixed(
    deployment: Deployment, workload: Workload, truth: _Truth, target: float
) -> CostOutcome:
    total, qualities, late = 0.0, [], []
    last_quarter = np.arange(len(workload.at_s)) >= len(workload.at_s) * 3 // 4
    for kind in range(len(deployment.kinds)):
        mask = workload.kind_index == kind
        quality, cost = truth.quality[mask].mean(0), truth.cost[mask].mean(0)
        points = [
            ModelPoint(str(i), float(quality[i]), float(cost[i]))
            for i in range(len(quality))
        ]
        mix = cheapest_mix(points, target)
        low, high = int(mix.low), int(mix.high)
        total += mix.cost * mask.sum()
        share = mix.high_share
        qualities.append(float(quality[low] + share * (quality[high] - quality[low])))
        end = truth.quality[mask & last_quarter].mean(0)
        late.append(float(end[low] + share * (end[high] - end[low])))
    return CostOutcome(
        HINDSIGHT, total / len(workload.at_s), tuple(qualities), min(late)
    )
