"""Choice of an endpoint by load, cached prompt parts and observed failures."""

import random
from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from sesameknot.clock import Clock
from sesameknot.policy.rendezvous import unit_hash
from sesameknot.registry import Registry

CACHE_ENTRY_LIMIT_COUNT = 20_000


@dataclass(slots=True, frozen=True, kw_only=True)
class PlacementCandidate:
    """An endpoint that may get a request.

    Parameters
    ----------
    endpoint_id : str
        Name of the endpoint.
    same_domain : bool
        Whether it stands in this host's failure domain.
    in_flight_count : int
        Requests of all hosts there, as far as known.
    pending_tokens : int
        Prompt tokens of those that are still being read.
    failure_share : float
        Recent share of this host's attempts that it failed.
    slot_count : int
        Requests that it runs at once; 0 if unknown.
    preferred_for_model : bool
        Whether it should run the request's model.
    """

    endpoint_id: str
    same_domain: bool = False
    in_flight_count: int = 0
    pending_tokens: int = 0
    failure_share: float = 0.0
    slot_count: int = 0
    preferred_for_model: bool = True


@dataclass(slots=True, frozen=True, kw_only=True)
class PlacementRequest:
    """Request to place; ``prompt`` holds identifiers and token counts in order."""

    model: str = ""
    prompt: tuple[tuple[str, int], ...] = ()


@dataclass(slots=True, frozen=True, kw_only=True)
class PlacementCosts:
    """Costs in milliseconds that the choice compares."""

    prefill_ms_per_token: float
    request_load_ms: float
    other_domain_ms: float
    failure_penalty_ms: float
    waiting_ms: float = 0.0
    other_model_ms: float = 0.0


class Placement(Protocol):
    """Picks one candidate."""

    def choose(
        self, candidates: Sequence[PlacementCandidate], request: PlacementRequest
    ) -> PlacementCandidate:
        """Return one of the candidates, of which there is at least one."""


PLACEMENTS: Registry[type] = Registry("placement")


class PromptCacheTracker:
    """Prompt parts that this host had endpoints read lately.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.
    cache_life_s : float
        Time for which a part is taken as cached after its last use.
    """

    __slots__ = ("_used_s", "cache_life_s", "clock")

    def __init__(self, *, clock: Clock, cache_life_s: float) -> None:
        self.clock = clock
        self.cache_life_s = cache_life_s
        self._used_s: OrderedDict[tuple[str, str, str], float] = OrderedDict()

    def record_prompt(self, endpoint_id: str, request: PlacementRequest) -> None:
        """Remember that an endpoint reads the request's prompt."""
        now_s = self.clock.monotonic_s()
        for part_id, _ in request.prompt:
            key = (endpoint_id, request.model, part_id)
            self._used_s[key] = now_s
            self._used_s.move_to_end(key)
        while len(self._used_s) > CACHE_ENTRY_LIMIT_COUNT:
            self._used_s.popitem(last=False)

    def cached_tokens(self, endpoint_id: str, request: PlacementRequest) -> int:
        """Return the tokens at the start of the prompt that are taken as cached."""
        limit_s = self.clock.monotonic_s() - self.cache_life_s
        cached = 0
        for part_id, token_count in request.prompt:
            used_s = self._used_s.get((endpoint_id, request.model, part_id))
            if used_s is None or used_s < limit_s:
                break
            cached += token_count
        return cached


class _Placement:
    """Base class of the variants."""

    __slots__ = ("cache", "costs", "random_generator")

    def __init__(
        self,
        *,
        costs: PlacementCosts,
        cache: PromptCacheTracker,
        random_generator: random.Random,
    ) -> None:
        self.costs = costs
        self.cache = cache
        self.random_generator = random_generator

    def _load_ms(self, candidate: PlacementCandidate) -> float:
        costs = self.costs
        waiting = 0
        if candidate.slot_count:
            waiting = max(0, candidate.in_flight_count + 1 - candidate.slot_count)
        return (
            candidate.in_flight_count * costs.request_load_ms
            + waiting * costs.waiting_ms
            + candidate.pending_tokens * costs.prefill_ms_per_token
            + candidate.failure_share * costs.failure_penalty_ms
            + (0.0 if candidate.same_domain else costs.other_domain_ms)
            + (0.0 if candidate.preferred_for_model else costs.other_model_ms)
        )


@PLACEMENTS.register("least_busy")
class LeastBusyPlacement(_Placement):
    """The least busy endpoint; ties are drawn."""

    __slots__ = ()

    def choose(
        self, candidates: Sequence[PlacementCandidate], request: PlacementRequest
    ) -> PlacementCandidate:
        """Return the candidate with the lowest load."""
        draw = self.random_generator.random
        return min(candidates, key=lambda each: (self._load_ms(each), draw()))


@PLACEMENTS.register("prompt_cache")
class PromptCachePlacement(_Placement):
    """The endpoint with the shortest estimated time to the first token.

    Notes
    -----
    Hosts do not tell each other what they sent where. Rendezvous hashing of the
    shared part of the prompt gives all of them the same favourite, whose cache is
    taken as warm at half its worth.
    """

    __slots__ = ()

    FAVOURITE_TRUST = 0.5

    def choose(
        self, candidates: Sequence[PlacementCandidate], request: PlacementRequest
    ) -> PlacementCandidate:
        """Return the candidate with the lowest estimate."""
        if not request.prompt:
            return LeastBusyPlacement.choose(self, candidates, request)
        shared = request.prompt[-2 if len(request.prompt) > 1 else -1][0]
        ranks = [unit_hash(shared, c.endpoint_id) for c in candidates]
        favourite = max(range(len(candidates)), key=ranks.__getitem__)
        shared_tokens = sum(tokens for _, tokens in request.prompt[:-1])
        total_tokens = sum(tokens for _, tokens in request.prompt)

        def estimate_ms(index: int) -> float:
            candidate = candidates[index]
            cached = float(self.cache.cached_tokens(candidate.endpoint_id, request))
            if index == favourite:
                cached = max(cached, self.FAVOURITE_TRUST * shared_tokens)
            prefill_ms = (total_tokens - cached) * self.costs.prefill_ms_per_token
            return self._load_ms(candidate) + prefill_ms

        return candidates[min(range(len(candidates)), key=estimate_ms)]
