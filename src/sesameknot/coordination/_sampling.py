"""Random sampling."""

from collections.abc import Sequence
from typing import TypeVar

import numpy as np

T = TypeVar("T")


def sample(
    random_state: np.random.Generator, items: Sequence[T], count: int
) -> list[T]:
    """Return up to ``count`` of ``items`` in random order, without replacement."""
    order = random_state.permutation(len(items))[:count]
    return [items[index] for index in order]
