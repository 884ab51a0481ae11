"""Choice of an endpoint from lagging load reports."""

from collections.abc import Sequence
from typing import Protocol

import numpy as np

from sesameknot.policy._load_model import EndpointView, LoadModel, RequestShape
from sesameknot.policy.registry import ENDPOINT_CHOICES

__all__ = ["EndpointChoice", "EndpointView", "LoadModel", "RequestShape"]


class EndpointChoice(Protocol):
    """Picks one of the endpoints that may run a request."""

    def choose(
        self, endpoints: Sequence[EndpointView], request: RequestShape
    ) -> EndpointView | None:
        """Return the endpoint, or None if there is none."""


class _Choice:
    """Base class that holds the options of all variants."""

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
        # With few draws, repeated attempts are cheaper than a permutation of 730.
        size = len(endpoints)
        if size <= count:
            return list(endpoints)
        chosen: dict[int, EndpointView] = {}
        while len(chosen) < count:
            index = int(self.random_generator.random() * size)
            chosen[index] = endpoints[index]
        return list(chosen.values())


@ENDPOINT_CHOICES.register("random")
class RandomChoice(_Choice):
    """A random endpoint."""

    __slots__ = ()

    def choose(
        self, endpoints: Sequence[EndpointView], request: RequestShape
    ) -> EndpointView | None:
        """Return a random endpoint."""
        return self._sample(endpoints, 1)[0] if endpoints else None


@ENDPOINT_CHOICES.register("least_loaded")
class LeastLoadedChoice(_Choice):
    """The endpoint with the lowest reported load; ties are drawn."""

    __slots__ = ()

    def choose(
        self, endpoints: Sequence[EndpointView], request: RequestShape
    ) -> EndpointView | None:
        """Return the endpoint with the lowest report."""
        if not endpoints:
            return None
        lowest = min(view.reported_share for view in endpoints)
        ties = [view for view in endpoints if view.reported_share == lowest]
        return self._sample(ties, 1)[0]


@ENDPOINT_CHOICES.register("power_of_two")
class PowerOfTwoChoice(_Choice):
    """The lower report of two random endpoints."""

    __slots__ = ()

    def choose(
        self, endpoints: Sequence[EndpointView], request: RequestShape
    ) -> EndpointView | None:
        """Return the lower of two random reports."""
        if not endpoints:
            return None
        return min(self._sample(endpoints, 2), key=lambda view: view.reported_share)


@ENDPOINT_CHOICES.register("adaptive")
class AdaptiveChoice(_Choice):
    """The shortest estimated response time of a few random endpoints.

    Parameters
    ----------
    random_generator : numpy.random.Generator
        Source of draws.
    load_model : LoadModel, default=None
        Estimate of response times.
    candidate_count : int, default=3
        Random endpoints that are compared, at least two. Few candidates keep many
        routers from picking the same endpoint on the same report.

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
            cached = max(endpoints, key=lambda view: view.cached_tokens)
            if cached.cached_tokens > 0:
                candidates.append(cached)
        return min(
            candidates, key=lambda view: self.load_model.response_s(view, request)
        )
