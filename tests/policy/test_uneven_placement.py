"""Tests of placement at endpoints with different times per event."""

import itertools
import random
from collections import Counter
from dataclasses import replace

from testtools import TestCase
from testtools.matchers import Equals, GreaterThan, HasLength, LessThan, Not

from sesameknot.clock import ManualClock
from sesameknot.policy.prompt_placement import (
    PLACEMENTS,
    PlacementCandidate,
    PlacementCosts,
    PlacementRequest,
    PromptCacheTracker,
)

PROMPT = PlacementRequest(model="m", prompt=(("shared", 5382), ("own", 6610)))
NO_PROMPT = PlacementRequest()
TIMES = (0.6, 1.0, 1.6)


def placement(name, seed=1, **options):
    """Return a strategy with the costs of the default settings."""
    costs = PlacementCosts(
        prefill_ms_per_token=0.015,
        request_load_ms=5.0,
        other_domain_ms=100.0,
        failure_penalty_ms=1000.0,
        waiting_ms=200.0,
        other_model_ms=300.0,
    )
    cache = PromptCacheTracker(
        clock=ManualClock(), cache_life_s=10.0, incarnation_id=lambda name: name
    )
    return PLACEMENTS.get(name)(
        costs=costs, cache=cache, random_generator=random.Random(seed), **options
    )


def candidates(count, **fields):
    """Return endpoints of all speeds in turn."""
    return [
        PlacementCandidate(
            endpoint_id=f"e{n}",
            same_domain=True,
            slot_count=12,
            relative_event_time=TIMES[n % 3],
            **fields,
        )
        for n in range(count)
    ]


def former_cost_ms(strategy, candidate, request):
    """Return the cost by which endpoints were chosen before paces were learnt."""
    costs = strategy.costs
    waiting_count = max(0, candidate.in_flight_count + 1 - candidate.slot_count)
    return (
        candidate.in_flight_count * costs.request_load_ms
        + waiting_count * costs.waiting_ms
        + candidate.pending_tokens * costs.prefill_ms_per_token
        + candidate.failure_share * costs.failure_penalty_ms
        + (0.0 if candidate.same_domain else costs.other_domain_ms)
        + (0.0 if candidate.preferred_for_model else costs.other_model_ms)
    )


class UnevenPlacementTest(TestCase):
    def test_even_endpoints_are_chosen_as_before(self):
        """Guards against another placement where all endpoints are alike.

        Neither the choice nor the random numbers drawn for it may differ.
        """
        generator = random.Random(5)
        strategy, former = placement("least_busy"), random.Random(1)
        cached = placement("prompt_cache")
        for _ in range(300):
            even = [
                replace(
                    candidate,
                    relative_event_time=1.0,
                    same_domain=generator.random() < 0.3,
                    in_flight_count=generator.randrange(3),
                    pending_tokens=generator.choice([0, 0, 12_000]),
                    failure_share=generator.choice([0.0, 0.0, 0.25]),
                )
                for candidate in candidates(12)
            ]
            expected = min(
                even,
                key=lambda c: (former_cost_ms(strategy, c, NO_PROMPT), former.random()),
            )
            self.assertThat(strategy.choose(even, NO_PROMPT), Equals(expected))
            before = cached.random_generator.getstate()
            cached.choose(even, PROMPT)
            self.assertThat(cached.random_generator.getstate(), Equals(before))

    def test_work_is_in_proportion_to_speed(self):
        """Guards against slow endpoints that are as full as fast ones."""
        strategy, state = placement("least_busy"), candidates(30)
        for _ in range(180):
            chosen = strategy.choose(state, NO_PROMPT)
            index = state.index(chosen)
            count = chosen.in_flight_count + 1
            state[index] = replace(chosen, in_flight_count=count)
        by_time = Counter()
        for candidate in state:
            by_time[candidate.relative_event_time] += candidate.in_flight_count
        self.assertThat(by_time[0.6] / by_time[1.6], GreaterThan(1.8))
        self.assertThat(by_time[0.6] / by_time[1.6], LessThan(4.0))

    def test_hosts_with_the_same_report_choose_different_endpoints(self):
        """Guards against an idle endpoint that all hosts fill at once."""
        for name, request in (("least_busy", NO_PROMPT), ("prompt_cache", PROMPT)):
            state = candidates(12, in_flight_count=4)
            state[0] = replace(state[0], in_flight_count=3)
            chosen = Counter(
                placement(name, seed).choose(state, request).endpoint_id
                for seed in range(30)
            )
            self.assertThat(max(chosen.values()), LessThan(20), name)

    def test_endpoint_with_the_prompt_is_still_preferred(self):
        """Guards against a cached prompt that is processed again elsewhere."""
        small = PlacementRequest(model="m", prompt=(("shared", 198), ("own", 628)))
        for seed, prompt in itertools.product(range(30), (PROMPT, small)):
            strategy = placement("prompt_cache", seed)
            strategy.cache.record_prompt("e4", prompt)
            chosen = strategy.choose(candidates(12), prompt)
            self.assertThat(chosen.endpoint_id, Equals("e4"))

    def test_no_request_waits_at_a_full_endpoint_while_others_have_room(self):
        """Guards against a near tie between a full endpoint and one with room."""
        state = candidates(12, in_flight_count=12)
        state[2] = replace(state[2], in_flight_count=11)
        for seed in range(30):
            chosen = placement("least_busy", seed).choose(state, NO_PROMPT)
            self.assertThat(chosen.endpoint_id, Equals("e2"))

    def test_hosts_spread_over_even_endpoints_if_asked_to(self):
        """Guards against all hosts that read one report choosing one endpoint."""
        even = [replace(c, relative_event_time=1.0) for c in candidates(9)]
        chosen = Counter(
            placement("least_busy", seed, spread_near_ties=True)
            .choose(even, NO_PROMPT)
            .endpoint_id
            for seed in range(90)
        )
        self.assertThat(chosen, HasLength(9))
        even[0] = replace(even[0], in_flight_count=12)
        chosen = placement("prompt_cache", spread_near_ties=True).choose(even, PROMPT)
        self.assertThat(chosen.endpoint_id, Not(Equals("e0")))
