"""Tests of the policies of the front process, named after load patterns."""

import random

from testtools import TestCase
from testtools.matchers import Equals, GreaterThan, Is, LessThan

from sesameknot.clock import ManualClock
from sesameknot.policy.cold_start_limiter import ColdStartLimiter
from sesameknot.policy.confidence_cascade import CASCADE_STRATEGIES
from sesameknot.policy.model_partition import ModelPartition
from sesameknot.policy.pressure import PressureGauge
from sesameknot.policy.prompt_placement import (
    PLACEMENTS,
    PlacementCandidate,
    PlacementCosts,
    PlacementRequest,
    PromptCacheTracker,
)
from sesameknot.policy.rendezvous import rendezvous_order, unit_hash
from sesameknot.policy.rollout_statistics import VersionSample
from sesameknot.policy.route_evidence import VersionPair
from sesameknot.policy.sliding_retry_budget import SlidingRetryBudget
from sesameknot.policy.timed_rollout import (
    RolloutAction,
    RolloutProgress,
    TimedRolloutPlan,
    TimedRolloutPolicy,
)

MODELS = ("small", "middle", "large")


class SlidingRetryBudgetTest(TestCase):
    def test_storm_of_failures_stays_within_the_ratio_in_every_window(self):
        """Guards against retries that cause more load than the requests."""
        clock = ManualClock()
        budget = SlidingRetryBudget(
            clock=clock, ratio=0.5, window_s=10.0, slack_count=2.0
        )
        request_times_s, retry_times_s = [], []
        for _ in range(600):
            clock.advance(0.05)
            budget.record_request()
            request_times_s.append(clock.monotonic_s())
            while budget.try_spend():
                retry_times_s.append(clock.monotonic_s())
            end_s = clock.monotonic_s()
            retry_count = sum(end_s - 10.0 < t for t in retry_times_s)
            # The oldest bucket expires as a whole, so the tolerance is one bucket.
            allowed_count = 0.5 * sum(end_s - 11.0 < t for t in request_times_s) + 2.0
            self.assertThat(retry_count, LessThan(allowed_count + 1.0))

    def test_quiet_service_may_repeat_its_first_requests(self):
        """Guards against a budget that is empty for services with little traffic."""
        budget = SlidingRetryBudget(
            clock=ManualClock(), ratio=0.1, window_s=10.0, slack_count=2.0
        )
        budget.record_request()
        self.assertTrue(budget.try_spend())
        self.assertTrue(budget.try_spend())
        self.assertFalse(budget.try_spend())


class ColdStartLimiterTest(TestCase):
    RATE_PER_S = 12.0

    def sent_in_worst_second(self, host_count):
        clock = ManualClock()
        hosts = [f"host-{n}" for n in range(host_count)]
        limiters = [ColdStartLimiter(clock=clock, host_id=host) for host in hosts]
        sent = []
        for _ in range(300):
            clock.advance(0.01)
            for limiter in limiters:
                while limiter.take("e1", self.RATE_PER_S, hosts):
                    sent.append(clock.monotonic_s())
        return max(sum(s <= t < s + 1.0 for t in sent) for s in sent)

    def test_all_hosts_press_on_one_cold_endpoint(self):
        """Guards against hosts that each send the total rate of the endpoint."""
        for host_count in (1, 8, 65, 380):
            worst = self.sent_in_worst_second(host_count)
            self.assertThat(worst, LessThan(self.RATE_PER_S * 1.5 + 5))
            self.assertThat(worst, GreaterThan(5))

    def test_host_that_knows_no_other_sends_nothing(self):
        """Guards against a host that takes the whole rate for itself."""
        limiter = ColdStartLimiter(clock=ManualClock(), host_id="host-0")
        self.assertFalse(limiter.may_use("e1", self.RATE_PER_S, []))


class PressureTest(TestCase):
    def gauge(self):
        clock = ManualClock()
        return clock, PressureGauge(clock=clock, calm_level=0.25, full_level=0.7)

    def test_overload_takes_away_the_optional_work(self):
        """Guards against optional large models that delay all answers under load."""
        clock, gauge = self.gauge()
        self.assertThat(gauge.headroom, Equals(1.0))
        for _ in range(50):
            clock.advance(0.05)
            gauge.observe(1.2, 1.5)
        self.assertThat(gauge.headroom, Equals(0.0))

    def test_calm_returns_within_seconds(self):
        """Guards against a headroom that stays low after a burst."""
        clock, gauge = self.gauge()
        for _ in range(50):
            gauge.observe(1.5, 1.5)
        for _ in range(100):
            clock.advance(0.08)
            gauge.observe(0.15, 1.5)
        self.assertThat(gauge.headroom, Equals(1.0))

    def test_single_slow_answer_says_little(self):
        """Guards against a headroom that one slow answer lowers at little traffic."""
        _, gauge = self.gauge()
        gauge.observe(0.7, 1.5)
        self.assertThat(gauge.headroom, Equals(1.0))


class CascadeTest(TestCase):
    def test_smallest_then_largest(self):
        """Guards against large models for confident answers, and none for others."""
        strategy = CASCADE_STRATEGIES.get("smallest_then_largest")
        self.assertThat(strategy(MODELS, [], None, 45.0), Equals("small"))
        self.assertThat(strategy(MODELS, ["small"], 44.0, 45.0), Equals("large"))
        self.assertThat(strategy(MODELS, ["small"], 45.0, 45.0), Is(None))
        self.assertThat(strategy(MODELS, ["small", "large"], 5.0, 45.0), Is(None))

    def test_stepwise(self):
        """Guards against a strategy that skips a model."""
        strategy = CASCADE_STRATEGIES.get("stepwise")
        self.assertThat(strategy(MODELS, ["small"], 10.0, 45.0), Equals("middle"))
        self.assertThat(
            strategy(MODELS, ["small", "middle"], 10.0, 45.0), Equals("large")
        )

    def test_answer_without_an_opinion_is_kept(self):
        """Guards against a second run without evidence of low confidence."""
        strategy = CASCADE_STRATEGIES.get("stepwise")
        self.assertThat(strategy(MODELS, ["small"], None, 45.0), Is(None))


class PlacementTest(TestCase):
    def setUp(self):
        super().setUp()
        self.start_numbers = {}
        self.cache = PromptCacheTracker(
            clock=ManualClock(),
            cache_life_s=10.0,
            incarnation_id=lambda e: f"{e}@{self.start_numbers.get(e, 1)}",
        )
        self.request = PlacementRequest(
            model="m", prompt=(("a", 500), ("b", 4000), ("c", 2000))
        )

    def placement(self, name="prompt_cache"):
        costs = PlacementCosts(
            prefill_ms_per_token=0.015,
            request_load_ms=25.0,
            other_domain_ms=20.0,
            failure_penalty_ms=1000.0,
        )
        return PLACEMENTS.get(name)(
            costs=costs, cache=self.cache, random_generator=random.Random(1)
        )

    def candidates(self, count=6, **changed):
        return [
            PlacementCandidate(endpoint_id=f"e{n}", **changed.get(f"e{n}", {}))
            for n in range(count)
        ]

    def test_hot_key_stays_where_its_prompt_is_cached(self):
        """Guards against a shared prompt that every endpoint has to process."""
        chosen = {
            self.placement().choose(self.candidates(), self.request).endpoint_id
            for _ in range(20)
        }
        self.assertThat(len(chosen), Equals(1))

    def test_hot_key_overflows_when_its_endpoint_is_busy(self):
        """Guards against one endpoint that is overloaded by a hot key."""
        placement = self.placement()
        cached_id = placement.choose(self.candidates(), self.request).endpoint_id
        busy = {cached_id: {"in_flight_count": 10, "pending_tokens": 60_000}}
        chosen = placement.choose(self.candidates(**busy), self.request)
        self.assertThat(chosen.endpoint_id == cached_id, Equals(False))

    def test_endpoint_that_starts_again_has_nothing_cached(self):
        """Guards against counting the cache of a process that no longer exists."""
        self.cache.record_prompt("e0", self.request)
        self.assertThat(self.cache.cached_tokens("e0", self.request), Equals(6500))
        self.start_numbers["e0"] = 2
        self.assertThat(self.cache.cached_tokens("e0", self.request), Equals(0))
        self.cache.record_prompt("e0", self.request)
        self.assertThat(self.cache.cached_tokens("e0", self.request), Equals(6500))

    def test_failing_endpoint_gets_little(self):
        """Guards against an endpoint that looks idle because it fails fast."""
        placement = self.placement("least_busy")
        failing = {"e0": {"failure_share": 0.5}}
        others = {f"e{n}": {"in_flight_count": 8} for n in range(1, 6)}
        for _ in range(20):
            chosen = placement.choose(
                self.candidates(**failing, **others), PlacementRequest()
            )
            self.assertThat(chosen.endpoint_id == "e0", Equals(False))


class ModelPartitionTest(TestCase):
    ENDPOINTS = [f"e{n}" for n in range(10)]

    def partition(self, **work):
        partition = ModelPartition(clock=ManualClock())
        for model, model_work in work.items():
            partition.record_run(model, model_work)
        return partition

    def test_large_model_is_kept_apart_with_its_part_of_the_endpoints(self):
        """Guards against large runs that delay the small ones on every endpoint."""
        partition = self.partition(small=2.0, large=8.0)
        small = partition.preferred_endpoint_ids("small", MODELS, self.ENDPOINTS)
        large = partition.preferred_endpoint_ids("large", MODELS, self.ENDPOINTS)
        self.assertThat((len(small), len(large)), Equals((2, 8)))
        self.assertThat(small & large, Equals(set()))

    def test_model_without_runs_still_has_an_endpoint(self):
        """Guards against a model without any endpoint when it is first needed."""
        partition = self.partition(small=5.0)
        self.assertThat(
            len(partition.preferred_endpoint_ids("large", MODELS, self.ENDPOINTS)),
            Equals(1),
        )

    def test_few_endpoints_run_all_models(self):
        """Guards against a partition of fewer endpoints than models."""
        partition = self.partition(small=1.0, large=1.0)
        endpoint_ids = partition.preferred_endpoint_ids("small", MODELS, ["e1", "e2"])
        self.assertThat(endpoint_ids, Equals({"e1", "e2"}))


class RendezvousTest(TestCase):
    def test_lost_host_moves_only_its_own_keys(self):
        """Guards against needless moves of caches and duties when a host leaves."""
        names = [f"h{n}" for n in range(10)]
        keys = [f"k{n}" for n in range(200)]
        before = {key: rendezvous_order(key, names)[0] for key in keys}
        after = {key: rendezvous_order(key, names[1:])[0] for key in keys}
        moved = [key for key in keys if before[key] != after[key]]
        self.assertThat({before[key] for key in moved}, Equals({"h0"}))
        self.assertThat(unit_hash("a"), LessThan(1.0))


class TimedRolloutPolicyTest(TestCase):
    PLAN = TimedRolloutPlan(
        first_share=0.1, first_share_at=0.5, full_share_at=0.7, decide_at=0.9
    )

    def next_action(
        self,
        elapsed,
        share,
        *,
        since_raise=1.0,
        started=True,
        target_count=2,
        new=(0, 0),
    ):
        progress = RolloutProgress(
            started=started,
            share=share,
            elapsed_share=elapsed,
            time_since_raise_share=since_raise,
            target_endpoint_count=target_count,
        )
        policy = TimedRolloutPolicy(self.PLAN)
        pair = VersionPair(new=VersionSample(*new), stable=VersionSample(200, 2))
        return policy.next_action(progress, [pair])

    def test_sessions_keep_their_version_in_the_first_half(self):
        """Guards against sessions that move to a version that is not yet tested."""
        self.assertThat(
            self.next_action(0.0, 0.0, started=False),
            Equals((RolloutAction.START, 0.0)),
        )
        self.assertThat(self.next_action(0.49, 0.0)[0], Is(RolloutAction.WAIT))
        self.assertThat(self.next_action(0.51, 0.0), Equals((RolloutAction.RAISE, 0.1)))

    def test_good_version_gets_all_and_is_finished(self):
        """Guards against a roll-out that never completes."""
        self.assertThat(
            self.next_action(0.71, 0.1, new=(20, 0)), Equals((RolloutAction.RAISE, 1.0))
        )
        self.assertThat(
            self.next_action(0.91, 1.0, new=(90, 1))[0], Is(RolloutAction.FINISH)
        )

    def test_late_stage_still_watches_the_version(self):
        """Guards against a roll-out that skips a stage after a store outage."""
        self.assertThat(
            self.next_action(0.95, 0.1, since_raise=0.01)[0], Is(RolloutAction.WAIT)
        )
        self.assertThat(
            self.next_action(0.95, 0.1, since_raise=0.11)[0], Is(RolloutAction.RAISE)
        )

    def test_bad_version_is_rolled_back_on_few_answers(self):
        """Guards against a version that fails a third of its requests."""
        self.assertThat(
            self.next_action(0.6, 0.1, new=(10, 4)),
            Equals((RolloutAction.ROLL_BACK, 0.0)),
        )
        self.assertThat(
            self.next_action(0.8, 1.0, new=(40, 13))[0], Is(RolloutAction.ROLL_BACK)
        )

    def test_usual_failures_do_not_roll_back(self):
        """Guards against rolling back a good version because of a few failures."""
        self.assertThat(
            self.next_action(0.8, 1.0, new=(100, 4))[0], Is(RolloutAction.WAIT)
        )

    def test_version_without_endpoints_waits(self):
        """Guards against sessions that are sent to a version without endpoints."""
        self.assertThat(
            self.next_action(0.6, 0.0, target_count=0)[0], Is(RolloutAction.WAIT)
        )
