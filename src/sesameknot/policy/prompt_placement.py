"""Placement of requests by endpoint load, cached prompt parts and failures."""

import random
from collections import OrderedDict
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Protocol

from sesameknot.clock import Clock
from sesameknot.policy.rendezvous import unit_hash
from sesameknot.registry import Registry

CACHE_ENTRY_LIMIT_COUNT = 20_000
# Endpoints with up to this many requests more than the least loaded one are near ties.
# Reports of loads are up to 0.5 s old, so other hosts may have sent as many meanwhile.
# The wider the tie, the more streams run on slow endpoints at low load.
# docs/design/uneven-endpoints.md compares widths.
NEAR_TIE_LOAD_COUNT = 5


@dataclass(slots=True, frozen=True, kw_only=True)
class PlacementCandidate:
    """State of an endpoint that a request may be sent to.

    Parameters
    ----------
    endpoint_id : str
        Identifier of the endpoint.
    same_domain : bool
        Whether it is in the failure domain of this host.
    in_flight_count : int
        Requests of all hosts that are in flight there, as far as known.
    pending_tokens : int
        Prompt tokens of those requests that are not processed yet.
    failure_share : float
        Share of this host's recent attempts that failed there.
    slot_count : int
        Number of requests that it runs concurrently; 0 if unknown.
    preferred_for_model : bool
        Whether the model partition prefers it for the request's model.
    relative_event_time : float
        Time per event of its streams over the mean of the service; 1 where the
        difference is small or not known.
    """

    endpoint_id: str
    same_domain: bool = False
    in_flight_count: int = 0
    pending_tokens: int = 0
    failure_share: float = 0.0
    slot_count: int = 0
    preferred_for_model: bool = True
    relative_event_time: float = 1.0


@dataclass(slots=True, frozen=True, kw_only=True)
class PlacementRequest:
    """Request to place; ``prompt`` lists the id and token count of each part."""

    model: str = ""
    prompt: tuple[tuple[str, int], ...] = ()


@dataclass(slots=True, frozen=True, kw_only=True)
class PlacementCosts:
    """Weights of the cost estimate, in milliseconds."""

    prefill_ms_per_token: float
    request_load_ms: float
    other_domain_ms: float
    failure_penalty_ms: float
    waiting_ms: float = 0.0
    other_model_ms: float = 0.0


class Placement(Protocol):
    """Chooses the endpoint for a request."""

    def choose(
        self, candidates: Sequence[PlacementCandidate], request: PlacementRequest
    ) -> PlacementCandidate:
        """Return one of the candidates, which must not be empty."""


PLACEMENTS: Registry[type] = Registry("placement")


class PromptCacheTracker:
    """Tracks the prompt parts that this host recently sent to endpoints.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.
    cache_life_s : float
        Time in seconds after its last use for which a part counts as cached.
    incarnation_id : callable
        Returns the identifier of an endpoint's present process, whose cache is empty at
        its start.
    """

    __slots__ = ("_incarnation_id", "_last_used_s", "cache_life_s", "clock")

    def __init__(
        self,
        *,
        clock: Clock,
        cache_life_s: float,
        incarnation_id: Callable[[str], str],
    ) -> None:
        self.clock = clock
        self.cache_life_s = cache_life_s
        self._incarnation_id = incarnation_id
        self._last_used_s: OrderedDict[tuple[str, str, str], float] = OrderedDict()

    def record_prompt(self, endpoint_id: str, request: PlacementRequest) -> None:
        """Record that an endpoint processes the prompt of a request."""
        now_s = self.clock.monotonic_s()
        incarnation_id = self._incarnation_id(endpoint_id)
        for part_id, _ in request.prompt:
            key = (incarnation_id, request.model, part_id)
            self._last_used_s[key] = now_s
            self._last_used_s.move_to_end(key)
        while len(self._last_used_s) > CACHE_ENTRY_LIMIT_COUNT:
            self._last_used_s.popitem(last=False)

    def cached_tokens(self, endpoint_id: str, request: PlacementRequest) -> int:
        """Return the number of leading prompt tokens that count as cached."""
        oldest_valid_s = self.clock.monotonic_s() - self.cache_life_s
        incarnation_id = self._incarnation_id(endpoint_id)
        cached_count = 0
        for part_id, token_count in request.prompt:
            key = (incarnation_id, request.model, part_id)
            last_used_s = self._last_used_s.get(key)
            if last_used_s is None or last_used_s < oldest_valid_s:
                break
            cached_count += token_count
        return cached_count


class _PlacementBase:
    """Base class with the cost estimate that all variants share.

    Parameters
    ----------
    costs : PlacementCosts
        Weights of the cost estimate.
    cache : PromptCacheTracker
        Prompts that endpoints have cached.
    random_generator : random.Random
        Source of random choices.
    spread_near_ties : bool, default=False
        Whether to draw among nearly equal endpoints also where all are even.

    Notes
    -----
    Where endpoints are known to be uneven, the load of each, the request included,
    counts in proportion to its time per event, and one of those with nearly the lowest
    cost is drawn at random: other hosts see the same loads, up to 0.5 s old, and would
    all choose the lowest.
    """

    __slots__ = ("cache", "costs", "random_generator", "spread_near_ties")

    def __init__(
        self,
        *,
        costs: PlacementCosts,
        cache: PromptCacheTracker,
        random_generator: random.Random,
        spread_near_ties: bool = False,
    ) -> None:
        self.costs = costs
        self.cache = cache
        self.random_generator = random_generator
        self.spread_near_ties = spread_near_ties

    def _load_ms(self, candidate: PlacementCandidate) -> float:
        costs = self.costs
        waiting_count = 0
        if candidate.slot_count:
            waiting_count = max(0, candidate.in_flight_count + 1 - candidate.slot_count)
        work_ms = (
            candidate.in_flight_count * costs.request_load_ms
            + waiting_count * costs.waiting_ms
            + candidate.pending_tokens * costs.prefill_ms_per_token
        )
        if candidate.relative_event_time != 1.0:
            # The request's own load, which is the same at all other endpoints, too.
            work_ms += costs.request_load_ms
            work_ms *= candidate.relative_event_time
            work_ms -= costs.request_load_ms
        return (
            work_ms
            + candidate.failure_share * costs.failure_penalty_ms
            + (0.0 if candidate.same_domain else costs.other_domain_ms)
            + (0.0 if candidate.preferred_for_model else costs.other_model_ms)
        )

    def _spreads(self, candidates: Sequence[PlacementCandidate]) -> bool:
        return self.spread_near_ties or _uneven(candidates)

    def _near_lowest(self, costs_ms: Sequence[float]) -> list[int]:
        """Return the indices of the candidates with nearly the lowest cost."""
        limit_ms = min(costs_ms) + NEAR_TIE_LOAD_COUNT * self.costs.request_load_ms
        return [i for i, cost_ms in enumerate(costs_ms) if cost_ms <= limit_ms]

    def _draw(self, candidates: Sequence[PlacementCandidate]) -> PlacementCandidate:
        """Return a candidate, drawn in proportion to speed."""
        speeds = [1.0 / candidate.relative_event_time for candidate in candidates]
        return self.random_generator.choices(candidates, speeds)[0]


@PLACEMENTS.register("least_busy")
class LeastBusyPlacement(_PlacementBase):
    """Chooses the least busy endpoint; ties are broken at random."""

    __slots__ = ()

    def choose(
        self, candidates: Sequence[PlacementCandidate], request: PlacementRequest
    ) -> PlacementCandidate:
        """Return the candidate with the lowest load."""
        if self._spreads(candidates):
            loads_ms = [self._load_ms(candidate) for candidate in candidates]
            return self._draw([candidates[i] for i in self._near_lowest(loads_ms)])
        draw_tie_break = self.random_generator.random
        return min(
            candidates,
            key=lambda candidate: (self._load_ms(candidate), draw_tie_break()),
        )


@PLACEMENTS.register("prompt_cache")
class PromptCachePlacement(_PlacementBase):
    """Chooses the endpoint with the shortest estimated time to the first token.

    Notes
    -----
    Hosts do not exchange which prompts they sent where. Rendezvous hashing of the
    shared part of the prompt gives all hosts the same affinity endpoint, where half of
    the shared tokens count as cached.
    """

    __slots__ = ()

    AFFINITY_CACHED_SHARE = 0.5

    def choose(
        self, candidates: Sequence[PlacementCandidate], request: PlacementRequest
    ) -> PlacementCandidate:
        """Return the candidate with the lowest estimated cost."""
        if not request.prompt:
            return LeastBusyPlacement.choose(self, candidates, request)
        shared_part_id = request.prompt[-2 if len(request.prompt) > 1 else -1][0]
        hashes = [unit_hash(shared_part_id, c.endpoint_id) for c in candidates]
        affinity_index = max(range(len(candidates)), key=hashes.__getitem__)
        shared_tokens = sum(tokens for _, tokens in request.prompt[:-1])
        total_tokens = sum(tokens for _, tokens in request.prompt)

        cached_counts = [
            self.cache.cached_tokens(c.endpoint_id, request) for c in candidates
        ]

        def estimate_ms(index: int) -> float:
            candidate = candidates[index]
            cached = float(cached_counts[index])
            if index == affinity_index:
                cached = max(cached, self.AFFINITY_CACHED_SHARE * shared_tokens)
            prefill_ms = (total_tokens - cached) * self.costs.prefill_ms_per_token
            return self._load_ms(candidate) + prefill_ms

        if self._spreads(candidates):
            costs_ms = [estimate_ms(index) for index in range(len(candidates))]
            near = self._near_lowest(costs_ms)
            # What this host knows to be cached still decides; hosts differ in that.
            most = max(cached_counts[i] for i in near)
            return self._draw([candidates[i] for i in near if cached_counts[i] == most])
        return candidates[min(range(len(candidates)), key=estimate_ms)]


def _uneven(candidates: Sequence[PlacementCandidate]) -> bool:
    return any(candidate.relative_event_time != 1.0 for candidate in candidates)
