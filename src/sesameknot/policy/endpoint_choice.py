"""Strategies that choose an endpoint from delayed load reports."""

from collections.abc import Sequence
from typing import Protocol

import numpy as np

from sesameknot.policy._load_model import EndpointView, LoadModel, RequestShape
from sesameknot.policy.registry import ENDPOINT_CHOICES

__all__ = ["EndpointChoice", "EndpointView", "LoadModel", "RequestShape"]


class EndpointChoice(Protocol):
    """Chooses one of the endpoints that may run a request."""

    def choose(
        self, endpoints: Sequence[EndpointView], request: RequestShape
    ) -> EndpointView | None:
        """Return the chosen endpoint, or None if ``endpoints`` is empty."""


class _EndpointChoiceBase:
    """Base class with the options that all variants share."""

    __slots__ = ("load_model", "random_generator")

    def __init__(
        self,
        *,
        random_generator: np.random.Generator,
        load_model: LoadModel | None = None,
    ) -> None:
        self.random_generator = random_generator
        self.load_model = load_model or LoadModel()

    def _sample(
        self, endpoints: Sequence[EndpointView], count: int
    ) -> list[EndpointView]:
        # For few draws, redrawing duplicates is cheaper than permuting 730 endpoints.
        size = len(endpoints)
        if size <= count:
            return list(endpoints)
        chosen: dict[int, EndpointView] = {}
        while len(chosen) < count:
            index = int(self.random_generator.random() * size)
            chosen[index] = endpoints[index]
        return list(chosen.values())


@ENDPOINT_CHOICES.register("random")
class RandomChoice(_EndpointChoiceBase):
    """Chooses a random endpoint."""

    __slots__ = ()

    def choose(
        self, endpoints: Sequence[EndpointView], request: RequestShape
    ) -> EndpointView | None:
        """Return a random endpoint."""
        return self._sample(endpoints, 1)[0] if endpoints else None


@ENDPOINT_CHOICES.register("least_loaded")
class LeastLoadedChoice(_EndpointChoiceBase):
    """Chooses the endpoint with the lowest reported load; ties are broken at random."""

    __slots__ = ()

    def choose(
        self, endpoints: Sequence[EndpointView], request: RequestShape
    ) -> EndpointView | None:
        """Return an endpoint with the lowest reported utilisation."""
        if not endpoints:
            return None
        lowest = min(view.reported_utilisation for view in endpoints)
        least_loaded = [
            view for view in endpoints if view.reported_utilisation == lowest
        ]
        return self._sample(least_loaded, 1)[0]


@ENDPOINT_CHOICES.register("power_of_two")
class PowerOfTwoChoice(_EndpointChoiceBase):
    """Chooses the less loaded of two random endpoints, by their reports."""

    __slots__ = ()

    def choose(
        self, endpoints: Sequence[EndpointView], request: RequestShape
    ) -> EndpointView | None:
        """Return the less loaded of two random endpoints."""
        if not endpoints:
            return None
        return min(
            self._sample(endpoints, 2), key=lambda view: view.reported_utilisation
        )


@ENDPOINT_CHOICES.register("adaptive")
class AdaptiveChoice(_EndpointChoiceBase):
    """Chooses the shortest estimated response time among a few random endpoints.

    Parameters
    ----------
    random_generator : numpy.random.Generator
        Source of randomness.
    load_model : LoadModel, default=None
        Estimates the response times.
    candidate_count : int, default=3
        Number of random endpoints that are compared, at least 2. A small number keeps
        many routers from choosing the same endpoint from the same report.

    Notes
    -----
    The endpoint with the longest cached prefix of the request is compared as well.
    """

    __slots__ = ("candidate_count",)

    def __init__(
        self,
        *,
        random_generator: np.random.Generator,
        load_model: LoadModel | None = None,
        candidate_count: int = 3,
    ) -> None:
        super().__init__(random_generator=random_generator, load_model=load_model)
        if candidate_count < 2:
            raise ValueError(
                f"candidate_count is {candidate_count!r}, expected at least 2"
            )
        self.candidate_count = candidate_count

    def choose(
        self, endpoints: Sequence[EndpointView], request: RequestShape
    ) -> EndpointView | None:
        """Return the candidate with the shortest estimated response time."""
        if not endpoints:
            return None
        candidates = self._sample(endpoints, self.candidate_count)
        if request.prompt_tokens:
            best_cached = max(endpoints, key=lambda view: view.cached_tokens)
            if best_cached.cached_tokens > 0:
                candidates.append(best_cached)
        return min(
            candidates, key=lambda view: self.load_model.response_time_s(view, request)
        )
