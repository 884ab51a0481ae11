"""Cheapest mix of models that meets a quality target."""

from collections.abc import Sequence
from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class ModelPoint:
    """Estimated quality and cost of one model."""

    model: str
    quality: float
    cost: float


@dataclass(slots=True, frozen=True)
class ModelMix:
    """Traffic shares of at most two models.

    Parameters
    ----------
    low, high : str
        Models of lower and higher quality; equal if a single model is cheapest.
    high_share : float
        Traffic share of ``high``; ``low`` gets the rest.
    cost : float
        Expected cost per request.
    """

    low: str
    high: str
    high_share: float
    cost: float


def cheapest_mix(points: Sequence[ModelPoint], quality_target: float) -> ModelMix:
    """Return the cheapest mix whose expected quality is at least the target.

    Parameters
    ----------
    points : sequence of ModelPoint
        At least one model.
    quality_target : float
        Minimum expected quality.

    Returns
    -------
    Mix
        The model of the highest quality alone if none reaches the target.

    Notes
    -----
    This is a linear program with two constraints, so an optimum with at most two
    models exists. There are few models, so all pairs are compared.
    """
    sufficient = [point for point in points if point.quality >= quality_target]
    if not sufficient:
        best = max(points, key=lambda point: (point.quality, -point.cost))
        return ModelMix(best.model, best.model, 1.0, best.cost)
    single = min(sufficient, key=lambda point: (point.cost, -point.quality))
    cheapest = ModelMix(single.model, single.model, 1.0, single.cost)
    for low in points:
        if low.quality >= quality_target or low.cost >= single.cost:
            continue
        for high in sufficient:
            high_share = (quality_target - low.quality) / (high.quality - low.quality)
            cost = low.cost + high_share * (high.cost - low.cost)
            if cost < cheapest.cost:
                cheapest = ModelMix(low.model, high.model, high_share, cost)
    return cheapest
