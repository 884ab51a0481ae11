"""Choice of a model per request kind: cheapest mix that meets a quality target."""

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
    """A model of the cascade for one request.

    Parameters
    ----------
    model : str
        Name of the model.
    cost_microunits : float
        Expected cost of the request on this model.
    prior_quality : float, default=0.5
        Quality assumed before ratings arrive.
    """

    model: str
    cost_microunits: float
    prior_quality: float = 0.5


class CascadePolicy(Protocol):
    """Chooses models and learns from ratings."""

    def choose(self, kind: str, candidates: Sequence[ModelCandidate]) -> str:
        """Return the model for a request; candidates stand in cascade order."""

    def observe(
        self, kind: str, model: str, quality: float | None, cost_microunits: float
    ) -> None:
        """Take the rating, or None if unrated, and the cost of an answer.

        An answer is reported once: either when its rating arrives, or with None.
        """


def _required(candidates: Sequence[ModelCandidate]) -> Sequence[ModelCandidate]:
    if not candidates:
        raise SettingsError("no candidate model, expected at least one", step="cascade")
    return candidates


class _FixedPolicy:
    """A policy that learns nothing."""

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
class CheapestPolicy(_FixedPolicy):
    """Always the model with the lowest cost."""

    __slots__ = ()

    def choose(self, kind: str, candidates: Sequence[ModelCandidate]) -> str:
        """Return the cheapest candidate."""
        return min(_required(candidates), key=lambda c: c.cost_microunits).model


@CASCADE_POLICIES.register("costliest")
class CostliestPolicy(_FixedPolicy):
    """Always the model with the highest cost."""

    __slots__ = ()

    def choose(self, kind: str, candidates: Sequence[ModelCandidate]) -> str:
        """Return the costliest candidate."""
        return max(_required(candidates), key=lambda c: c.cost_microunits).model


@CASCADE_POLICIES.register("fixed_mix")
class FixedMixPolicy(_FixedPolicy):
    """Fixed traffic shares per request kind.

    Parameters
    ----------
    shares : mapping of str to mapping of str to float, default=None
        Share of each model by kind; the key ``"*"`` stands for all other kinds.
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
        """Return a model drawn by the shares of ``kind``."""
        _required(candidates)
        shares = self.shares.get(kind) or self.shares.get("*")
        draw = float(self.random_generator.random())
        if shares is None:
            return self._by_prior(candidates, draw)
        weights = [shares.get(candidate.model, 0.0) for candidate in candidates]
        draw *= sum(weights)
        for candidate, weight in zip(candidates, weights, strict=True):
            draw -= weight
            if draw < 0.0:
                return candidate.model
        return candidates[-1].model

    def _by_prior(self, candidates: Sequence[ModelCandidate], draw: float) -> str:
        points = [
            ModelPoint(c.model, c.prior_quality, c.cost_microunits) for c in candidates
        ]
        mix = cheapest_mix(points, self.quality_target)
        return mix.high if draw < mix.high_share else mix.low


@dataclass(slots=True)
class _Plan:
    """What to do with a set of candidates until the next rating."""

    points: list[ModelPoint]
    weights: list[float]
    explore_share: float
    mix: ModelMix
    uses_left: int


class _KindState:
    """What the adaptive policy knows about one request kind."""

    __slots__ = ("estimates", "plans", "rating_count", "shortfall")

    def __init__(self) -> None:
        self.estimates: dict[str, WindowedEstimate] = {}
        self.rating_count = 0
        self.shortfall = 0.0
        self.plans: dict[tuple[str, ...], _Plan] = {}


@CASCADE_POLICIES.register("adaptive")
class AdaptivePolicy:
    """Cheapest mix by windowed ratings, with exploration that never ends.

    Parameters
    ----------
    quality_target : float
        Least mean quality per request kind.
    clock : Clock
        Source of time.
    random_generator : numpy.random.Generator
        Source of draws.
    explore_share : float, default=0.10
        Share of exploration before any rating.
    explore_floor : float, default=0.005
        Share of exploration that always remains.
    window_count : float, default=2000.0
        Ratings per model and kind that count.
    repay_count : float, default=150.0
        Ratings over which a shortfall of quality is made up for.
    margin_deviations : float, default=0.8
        Margin above the target, in standard deviations of the mean rating.

    Notes
    -----
    Explored models are drawn in inverse proportion to their cost, so each costs the
    same. The exploration's own quality is taken into account by the mix. Late ratings
    and errors of the estimates leave a difference between the mean rating and the
    target; it is summed up and shifts the target of the mix (integral control).
    """

    __slots__ = (
        "_kinds",
        "clock",
        "explore_floor",
        "explore_share",
        "margin_deviations",
        "quality_target",
        "random_generator",
        "repay_count",
        "window_count",
    )

    # Requests after which costs and the decay by time are looked at again.
    PLAN_USES = 50
    # Ratings after which half of the initial exploration is over.
    EXPLORE_HALF_COUNT = 100.0
    # The integral term may raise the target by at most this much, and lower it less:
    # a surplus from a time of easy requests must not pay for a bad time.
    SHIFT_LIMIT = 0.05
    SURPLUS_LIMIT = 0.04
    # Usual standard deviation of ratings, and ratings at which the margin stops to
    # shrink, since older ratings say nothing about the present.
    RATING_DEVIATION = 0.17
    MARGIN_COUNT = 2000

    def __init__(
        self,
        *,
        quality_target: float,
        clock: Clock,
        random_generator: np.random.Generator,
        explore_share: float = 0.10,
        explore_floor: float = 0.005,
        window_count: float = 2000.0,
        repay_count: float = 150.0,
        margin_deviations: float = 0.8,
    ) -> None:
        self.quality_target = quality_target
        self.clock = clock
        self.random_generator = random_generator
        self.explore_share = explore_share
        self.explore_floor = explore_floor
        self.window_count = window_count
        self.repay_count = repay_count
        self.margin_deviations = margin_deviations
        self._kinds: dict[str, _KindState] = {}

    def choose(self, kind: str, candidates: Sequence[ModelCandidate]) -> str:
        """Return the model for a request of ``kind``."""
        _required(candidates)
        state = self._kinds.setdefault(kind, _KindState())
        models = tuple([candidate.model for candidate in candidates])
        plan = state.plans.get(models)
        if plan is None or plan.uses_left <= 0:
            plan = state.plans[models] = self._plan(state, candidates)
        plan.uses_left -= 1
        draw, pick = self.random_generator.random(2).tolist()
        if draw < plan.explore_share:
            return _weighted(plan.points, plan.weights, pick)
        mix = plan.mix
        return mix.high if pick < mix.high_share else mix.low

    def observe(
        self, kind: str, model: str, quality: float | None, cost_microunits: float
    ) -> None:
        """Update the estimates of ``model`` for ``kind``."""
        state = self._kinds.setdefault(kind, _KindState())
        estimate = self._estimate(state, model, self.quality_target)
        estimate.add_cost(cost_microunits)
        if quality is None:
            return
        estimate.add_quality(quality)
        state.rating_count += 1
        state.plans.clear()
        aim = self.quality_target + self._margin(state)
        shortfall = state.shortfall + aim - quality
        most = self.SHIFT_LIMIT * self.repay_count
        least = -self.SURPLUS_LIMIT * self.repay_count
        state.shortfall = min(most, max(least, shortfall))

    def _plan(self, state: _KindState, candidates: Sequence[ModelCandidate]) -> _Plan:
        points = [self._point(state, candidate) for candidate in candidates]
        explore = self._explore_share(state)
        weights = [1.0 / max(point.cost, 1e-9) for point in points]
        mix = cheapest_mix(points, self._mix_target(state, points, weights, explore))
        return _Plan(points, weights, explore, mix, self.PLAN_USES)

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

    def _point(self, state: _KindState, candidate: ModelCandidate) -> ModelPoint:
        estimate = self._estimate(state, candidate.model, candidate.prior_quality)
        return ModelPoint(
            candidate.model,
            estimate.quality,
            estimate.cost(candidate.cost_microunits),
        )

    def _explore_share(self, state: _KindState) -> float:
        half = self.EXPLORE_HALF_COUNT
        decayed = self.explore_share * half / (half + state.rating_count)
        return max(self.explore_floor, decayed)

    def _margin(self, state: _KindState) -> float:
        count = min(self.MARGIN_COUNT, 30 + state.rating_count)
        return self.margin_deviations * self.RATING_DEVIATION / math.sqrt(count)

    def _mix_target(
        self,
        state: _KindState,
        points: Sequence[ModelPoint],
        weights: Sequence[float],
        explore: float,
    ) -> float:
        explored = sum(p.quality * w for p, w in zip(points, weights, strict=True))
        explored /= sum(weights)
        target = self.quality_target + state.shortfall / self.repay_count
        target += self._margin(state)
        return (target - explore * explored) / (1.0 - explore)


def _weighted(
    points: Sequence[ModelPoint], weights: Sequence[float], pick: float
) -> str:
    rest = pick * sum(weights)
    for point, weight in zip(points, weights, strict=True):
        rest -= weight
        if rest < 0.0:
            return point.model
    return points[-1].model
