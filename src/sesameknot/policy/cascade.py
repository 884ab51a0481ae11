"""Policies that choose a model for each request, by request kind."""

import math
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Protocol

import numpy as np

from sesameknot.clock import Clock
from sesameknot.errors import SettingsError
from sesameknot.policy._model_mix import ModelMix, ModelPoint, cheapest_mix
from sesameknot.policy._windowed_estimate import WindowedEstimate
from sesameknot.policy.registry import CASCADE_POLICIES


@dataclass(slots=True, frozen=True)
class ModelCandidate:
    """A model that may answer a request.

    Parameters
    ----------
    model : str
        Name of the model.
    cost_microunits : float
        Expected cost of the request on this model, in microunits.
    prior_quality : float, default=0.5
        Quality that is assumed before ratings arrive.
    """

    model: str
    cost_microunits: float
    prior_quality: float = 0.5


class CascadePolicy(Protocol):
    """Chooses models and learns from ratings and costs."""

    def choose(self, kind: str, candidates: Sequence[ModelCandidate]) -> str:
        """Return the model for a request; candidates are in cascade order."""

    def observe(
        self, kind: str, model: str, quality: float | None, cost_microunits: float
    ) -> None:
        """Record the cost of an answer and its rating, which is None if unrated.

        Each answer is recorded once: when its rating arrives, or as unrated.
        """


def _non_empty(
    candidates: Sequence[ModelCandidate],
) -> Sequence[ModelCandidate]:
    if not candidates:
        raise SettingsError("no candidate model, expected at least one", step="cascade")
    return candidates


class _StaticPolicy:
    """Base class of policies that ignore ratings."""

    __slots__ = ("clock", "quality_target", "random_generator")

    def __init__(
        self,
        *,
        quality_target: float,
        clock: Clock,
        random_generator: np.random.Generator,
    ) -> None:
        self.quality_target = quality_target
        self.clock = clock
        self.random_generator = random_generator

    def observe(
        self, kind: str, model: str, quality: float | None, cost_microunits: float
    ) -> None:
        """Ignore the rating."""


@CASCADE_POLICIES.register("cheapest")
class CheapestPolicy(_StaticPolicy):
    """Always chooses the model with the lowest cost."""

    __slots__ = ()

    def choose(self, kind: str, candidates: Sequence[ModelCandidate]) -> str:
        """Return the cheapest candidate."""
        return min(_non_empty(candidates), key=lambda c: c.cost_microunits).model


@CASCADE_POLICIES.register("costliest")
class CostliestPolicy(_StaticPolicy):
    """Always chooses the model with the highest cost."""

    __slots__ = ()

    def choose(self, kind: str, candidates: Sequence[ModelCandidate]) -> str:
        """Return the costliest candidate."""
        return max(_non_empty(candidates), key=lambda c: c.cost_microunits).model


@CASCADE_POLICIES.register("fixed_mix")
class FixedMixPolicy(_StaticPolicy):
    """Chooses models by fixed traffic shares per request kind.

    Parameters
    ----------
    shares : mapping of str to mapping of str to float, default=None
        Share of each model by kind; the key ``"*"`` applies to all other kinds.
        Without shares, the cheapest mix by prior quality is used.
    """

    __slots__ = ("shares",)

    def __init__(
        self,
        *,
        quality_target: float,
        clock: Clock,
        random_generator: np.random.Generator,
        shares: Mapping[str, Mapping[str, float]] | None = None,
    ) -> None:
        super().__init__(
            quality_target=quality_target,
            clock=clock,
            random_generator=random_generator,
        )
        self.shares = shares or {}

    def choose(self, kind: str, candidates: Sequence[ModelCandidate]) -> str:
        """Return a random model, weighted by the shares of ``kind``."""
        _non_empty(candidates)
        shares = self.shares.get(kind) or self.shares.get("*")
        draw = float(self.random_generator.random())
        if shares is None:
            return self._choose_by_prior_quality(candidates, draw)
        weights = [shares.get(candidate.model, 0.0) for candidate in candidates]
        draw *= sum(weights)
        for candidate, weight in zip(candidates, weights, strict=True):
            draw -= weight
            if draw < 0.0:
                return candidate.model
        return candidates[-1].model

    def _choose_by_prior_quality(
        self, candidates: Sequence[ModelCandidate], draw: float
    ) -> str:
        points = [
            ModelPoint(c.model, c.prior_quality, c.cost_microunits) for c in candidates
        ]
        mix = cheapest_mix(points, self.quality_target)
        return mix.high if draw < mix.high_share else mix.low


@dataclass(slots=True)
class _SamplingPlan:
    """Sampling probabilities for a set of candidates, kept until the next rating."""

    points: list[ModelPoint]
    weights: list[float]
    explore_share: float
    mix: ModelMix
    remaining_use_count: int


class _KindState:
    """State of the adaptive policy for one request kind."""

    __slots__ = ("estimates", "plans", "quality_shortfall", "rating_count")

    def __init__(self) -> None:
        self.estimates: dict[str, WindowedEstimate] = {}
        self.rating_count = 0
        self.quality_shortfall = 0.0
        self.plans: dict[tuple[str, ...], _SamplingPlan] = {}


@CASCADE_POLICIES.register("adaptive")
class AdaptivePolicy:
    """Cheapest mix by windowed ratings, with exploration that never stops.

    Parameters
    ----------
    quality_target : float
        Minimum mean quality per request kind.
    clock : Clock
        Source of time.
    random_generator : numpy.random.Generator
        Source of randomness.
    explore_share : float, default=0.10
        Share of requests that explore, before any rating.
    min_explore_share : float, default=0.005
        Lower bound of the share of requests that explore.
    window_count : float, default=2000.0
        Window of the quality estimates, in ratings per model and kind.
    correction_count : float, default=150.0
        Number of ratings over which a quality shortfall is corrected.
    margin_standard_errors : float, default=0.8
        Safety margin above the target, in standard errors of the mean rating.

    Notes
    -----
    Exploration draws models with probabilities inversely proportional to their costs,
    so that it costs the same for each model. The mix accounts for the quality of the
    explored answers. Late ratings and estimation errors leave a difference between
    the mean rating and the target; this difference is accumulated and shifts the
    target of the mix (integral control).
    """

    __slots__ = (
        "_kinds",
        "clock",
        "correction_count",
        "explore_share",
        "margin_standard_errors",
        "min_explore_share",
        "quality_target",
        "random_generator",
        "window_count",
    )

    # Requests after which a plan is rebuilt to apply new costs and the decay over time.
    PLAN_USE_COUNT = 50
    # Ratings after which the exploration share has halved.
    EXPLORE_HALF_COUNT = 100.0
    # Limits of the shift of the target by the integral term. The target is lowered less
    # than raised: surplus quality from a period of easy requests must not make up for a
    # bad period.
    TARGET_RAISE_LIMIT = 0.05
    TARGET_CUT_LIMIT = 0.04
    # Typical standard deviation of ratings, and the number of ratings beyond which the
    # margin stops shrinking, since older ratings say nothing about current quality.
    RATING_DEVIATION = 0.17
    MARGIN_COUNT_LIMIT = 2000

    def __init__(
        self,
        *,
        quality_target: float,
        clock: Clock,
        random_generator: np.random.Generator,
        explore_share: float = 0.10,
        min_explore_share: float = 0.005,
        window_count: float = 2000.0,
        correction_count: float = 150.0,
        margin_standard_errors: float = 0.8,
    ) -> None:
        self.quality_target = quality_target
        self.clock = clock
        self.random_generator = random_generator
        self.explore_share = explore_share
        self.min_explore_share = min_explore_share
        self.window_count = window_count
        self.correction_count = correction_count
        self.margin_standard_errors = margin_standard_errors
        self._kinds: dict[str, _KindState] = {}

    def choose(self, kind: str, candidates: Sequence[ModelCandidate]) -> str:
        """Return the model for a request of ``kind``."""
        _non_empty(candidates)
        state = self._kinds.setdefault(kind, _KindState())
        models = tuple([candidate.model for candidate in candidates])
        plan = state.plans.get(models)
        if plan is None or plan.remaining_use_count <= 0:
            plan = state.plans[models] = self._build_plan(state, candidates)
        plan.remaining_use_count -= 1
        explore_draw, model_draw = self.random_generator.random(2).tolist()
        if explore_draw < plan.explore_share:
            return _draw_weighted(plan.points, plan.weights, model_draw)
        mix = plan.mix
        return mix.high if model_draw < mix.high_share else mix.low

    def observe(
        self, kind: str, model: str, quality: float | None, cost_microunits: float
    ) -> None:
        """Update the cost and quality estimates of ``model`` for ``kind``."""
        state = self._kinds.setdefault(kind, _KindState())
        estimate = self._estimate(state, model, self.quality_target)
        estimate.add_cost(cost_microunits)
        if quality is None:
            return
        estimate.add_quality(quality)
        state.rating_count += 1
        state.plans.clear()
        target_quality = self.quality_target + self._margin(state)
        quality_shortfall = state.quality_shortfall + target_quality - quality
        max_shortfall = self.TARGET_RAISE_LIMIT * self.correction_count
        min_shortfall = -self.TARGET_CUT_LIMIT * self.correction_count
        state.quality_shortfall = min(
            max_shortfall, max(min_shortfall, quality_shortfall)
        )

    def _build_plan(
        self, state: _KindState, candidates: Sequence[ModelCandidate]
    ) -> _SamplingPlan:
        points = [self._model_point(state, candidate) for candidate in candidates]
        explore_share = self._decayed_explore_share(state)
        weights = [1.0 / max(point.cost, 1e-9) for point in points]
        mix = cheapest_mix(
            points, self._mix_target(state, points, weights, explore_share)
        )
        return _SamplingPlan(points, weights, explore_share, mix, self.PLAN_USE_COUNT)

    def _estimate(
        self, state: _KindState, model: str, prior_quality: float
    ) -> WindowedEstimate:
        estimate = state.estimates.get(model)
        if estimate is None:
            estimate = WindowedEstimate(
                prior_quality, clock=self.clock, window_count=self.window_count
            )
            state.estimates[model] = estimate
        return estimate

    def _model_point(self, state: _KindState, candidate: ModelCandidate) -> ModelPoint:
        estimate = self._estimate(state, candidate.model, candidate.prior_quality)
        return ModelPoint(
            candidate.model,
            estimate.quality,
            estimate.cost(candidate.cost_microunits),
        )

    def _decayed_explore_share(self, state: _KindState) -> float:
        half = self.EXPLORE_HALF_COUNT
        decayed = self.explore_share * half / (half + state.rating_count)
        return max(self.min_explore_share, decayed)

    def _margin(self, state: _KindState) -> float:
        count = min(self.MARGIN_COUNT_LIMIT, 30 + state.rating_count)
        return self.margin_standard_errors * self.RATING_DEVIATION / math.sqrt(count)

    def _mix_target(
        self,
        state: _KindState,
        points: Sequence[ModelPoint],
        weights: Sequence[float],
        explore_share: float,
    ) -> float:
        explored_quality = sum(
            p.quality * w for p, w in zip(points, weights, strict=True)
        )
        explored_quality /= sum(weights)
        target = self.quality_target + state.quality_shortfall / self.correction_count
        target += self._margin(state)
        return (target - explore_share * explored_quality) / (1.0 - explore_share)


def _draw_weighted(
    points: Sequence[ModelPoint], weights: Sequence[float], model_draw: float
) -> str:
    remainder = model_draw * sum(weights)
    for point, weight in zip(points, weights, strict=True):
        remainder -= weight
        if remainder < 0.0:
            return point.model
    return points[-1].model
