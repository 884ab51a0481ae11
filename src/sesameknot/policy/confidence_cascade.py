"""Cascade strategies: try small models first, larger ones on low confidence."""

from collections.abc import Callable, Sequence

from sesameknot.registry import Registry

# Arguments: the models from the smallest to the largest, the models asked so far, the
# confidence of the last answer (0 to 100, None if unknown) and the threshold for it.
# Returns the next model to ask, or None to keep the answer.
CascadeStrategy = Callable[
    [Sequence[str], Sequence[str], float | None, float], str | None
]

CASCADE_STRATEGIES: Registry[CascadeStrategy] = Registry("cascade strategy")


@CASCADE_STRATEGIES.register("smallest_then_largest")
def smallest_then_largest(
    models: Sequence[str],
    asked_models: Sequence[str],
    confidence: float | None,
    threshold: float,
) -> str | None:
    """Ask the smallest model, then the largest if confidence is below the threshold."""
    if not asked_models:
        return models[0]
    return _next_larger_model(models[-1:], asked_models, confidence, threshold)


@CASCADE_STRATEGIES.register("stepwise")
def stepwise(
    models: Sequence[str],
    asked_models: Sequence[str],
    confidence: float | None,
    threshold: float,
) -> str | None:
    """Ask the models in turn until confidence reaches the threshold."""
    return _next_larger_model(models, asked_models, confidence, threshold)


@CASCADE_STRATEGIES.register("always_largest")
def always_largest(
    models: Sequence[str],
    asked_models: Sequence[str],
    confidence: float | None,
    threshold: float,
) -> str | None:
    """Ask the largest model only."""
    return None if asked_models else models[-1]


def _next_larger_model(
    models: Sequence[str],
    asked_models: Sequence[str],
    confidence: float | None,
    threshold: float,
) -> str | None:
    if asked_models and (confidence is None or confidence >= threshold):
        return None
    return next((model for model in models if model not in asked_models), None)
