"""Which model answers: cheap ones first, costly ones where they are not sure."""

from collections.abc import Callable, Sequence

from sesameknot.registry import Registry

# Takes the models from the smallest to the largest, those that were asked, the last
# answer's confidence from 0 to 100 and the threshold; returns the next model to ask or
# None to keep the answer.
CascadeStrategy = Callable[
    [Sequence[str], Sequence[str], float | None, float], str | None
]

CASCADES: Registry[CascadeStrategy] = Registry("cascade strategy")


@CASCADES.register("smallest_then_largest")
def smallest_then_largest(
    models: Sequence[str],
    asked: Sequence[str],
    confidence: float | None,
    threshold: float,
) -> str | None:
    """Ask the smallest model, then the largest if the first is not sure."""
    if not asked:
        return models[0]
    return _larger(models[-1:], asked, confidence, threshold)


@CASCADES.register("stepwise")
def stepwise(
    models: Sequence[str],
    asked: Sequence[str],
    confidence: float | None,
    threshold: float,
) -> str | None:
    """Ask the models in turn until one is sure."""
    return _larger(models, asked, confidence, threshold)


@CASCADES.register("always_largest")
def always_largest(
    models: Sequence[str],
    asked: Sequence[str],
    confidence: float | None,
    threshold: float,
) -> str | None:
    """Ask the largest model only."""
    return None if asked else models[-1]


def _larger(
    models: Sequence[str],
    asked: Sequence[str],
    confidence: float | None,
    threshold: float,
) -> str | None:
    if asked and (confidence is None or confidence >= threshold):
        return None
    return next((model for model in models if model not in asked), None)
