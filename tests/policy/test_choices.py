"""Tests of the choice of models, versions and endpoints."""

import numpy as np
from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase
from testtools.matchers import Equals, GreaterThan, LessThan

from sesameknot.clock import ManualClock
from sesameknot.policy._model_mix import ModelPoint, cheapest_mix
from sesameknot.policy._windowed_estimate import WindowedEstimate
from sesameknot.policy.cascade import AdaptivePolicy, ModelCandidate
from sesameknot.policy.endpoint_choice import EndpointView, RequestShape
from sesameknot.policy.registry import ENDPOINT_CHOICES
from sesameknot.policy.version_choice import VersionOptions, choose_version

VERSIONS = ["v1", "v2", "v3"]
UNIT_INTERVAL = st.floats(0.0, 1.0)


class MixTest(TestCase):
    @given(
        st.lists(
            st.tuples(UNIT_INTERVAL, st.floats(0.1, 10.0)), min_size=1, max_size=4
        ),
        UNIT_INTERVAL,
    )
    def test_no_mix_on_a_grid_is_cheaper(self, models, target):
        """Guards against a search that misses the cheapest pair of models."""
        points = [ModelPoint(str(i), q, c) for i, (q, c) in enumerate(models)]
        mix = cheapest_mix(points, target)
        best_quality = max(quality for quality, _ in models)
        grid = np.linspace(0.0, 1.0, 21)
        for low_quality, low_cost in models:
            for high_quality, high_cost in models:
                quality = low_quality + grid * (high_quality - low_quality)
                cost = low_cost + grid * (high_cost - low_cost)
                sufficient_costs = cost[quality >= min(target, best_quality)]
                if target <= best_quality and sufficient_costs.size:
                    self.assertThat(
                        mix.cost, LessThan(float(sufficient_costs.min()) + 1e-6)
                    )

    @given(
        st.lists(
            st.tuples(UNIT_INTERVAL, st.floats(0.1, 10.0)), min_size=1, max_size=4
        ),
        UNIT_INTERVAL,
    )
    def test_the_mix_reaches_the_target_where_a_model_does(self, models, target):
        """Guards against a cheap mix whose quality is below the target."""
        points = [ModelPoint(str(i), q, c) for i, (q, c) in enumerate(models)]
        mix = cheapest_mix(points, target)
        low, high = models[int(mix.low)], models[int(mix.high)]
        quality = low[0] + mix.high_share * (high[0] - low[0])
        best_quality = max(quality for quality, _ in models)
        self.assertThat(quality, GreaterThan(min(target, best_quality) - 1e-9))


class WindowedEstimateTest(TestCase):
    def test_a_shift_shortens_the_window_and_noise_does_not(self):
        """Guards against a long window that hides a shift for hundreds of ratings."""
        generator = np.random.default_rng(4)
        estimate = WindowedEstimate(0.5, clock=ManualClock())
        for rating in generator.beta(4.8, 1.2, size=2000):
            estimate.add_quality(float(rating))
        self.assertThat(estimate.count, GreaterThan(1000))
        self.assertThat(abs(estimate.quality - 0.8), LessThan(0.02))
        for rating in generator.beta(3.3, 2.7, size=100):
            estimate.add_quality(float(rating))
        self.assertThat(abs(estimate.quality - 0.55), LessThan(0.05))


class AdaptivePolicyTest(TestCase):
    def test_a_model_that_turns_bad_loses_its_traffic(self):
        """Guards against estimates that keep the ratings from before a shift."""
        clock, generator = ManualClock(), np.random.default_rng(7)
        policy = AdaptivePolicy(
            quality_target=0.8, clock=clock, random_generator=generator
        )
        candidates = [
            ModelCandidate("small", 1.0, 0.5),
            ModelCandidate("large", 10.0, 0.9),
        ]
        shares = []
        for small_quality in (0.9, 0.4):
            counts = {"small": 0, "large": 0}
            for index in range(4000):
                clock.advance(0.1)
                model = policy.choose("note", candidates)
                quality = small_quality if model == "small" else 0.9
                rated = quality if generator.random() < 0.25 else None
                policy.observe("note", model, rated, 1.0 if model == "small" else 10.0)
                counts[model] += index >= 2000
            shares.append(counts["small"] / 2000)
        self.assertThat(shares[0], GreaterThan(0.9))
        self.assertThat(shares[1], LessThan(0.35))


class VersionChoiceTest(TestCase):
    @given(
        allowed=st.sets(st.sampled_from([*VERSIONS, "*"])),
        withdrawn=st.sets(st.sampled_from(VERSIONS)),
        pinned=st.sampled_from(["", "gone", *VERSIONS]),
        share=UNIT_INTERVAL,
        key=st.text(max_size=8),
    )
    def test_only_a_usable_version_is_chosen(
        self, allowed, withdrawn, pinned, share, key
    ):
        """Guards against new requests on a withdrawn or forbidden version."""
        options = VersionOptions(
            "m", VERSIONS, "v1", allowed, withdrawn, "v2", rollout_share=share
        )
        usable = {
            v
            for v in VERSIONS
            if v not in withdrawn and ("*" in allowed or v in allowed)
        }
        chosen = choose_version(options, key, pinned_version=pinned)
        if not usable:
            self.assertThat(chosen, Equals(None))
            return
        self.assertTrue(chosen in usable)
        if pinned in usable:
            self.assertThat(chosen, Equals(pinned))
        elif "v1" in usable and share == 0.0:
            self.assertThat(chosen, Equals("v1"))

    def test_a_larger_share_keeps_the_sessions_of_a_smaller_one(self):
        """Guards against sessions that change their version at each roll-out step."""
        chosen = [
            {
                key
                for key in map(str, range(5000))
                if choose_version(
                    VersionOptions("m", VERSIONS, "v1", {"*"}, (), "v2", share), key
                )
                == "v2"
            }
            for share in (0.01, 0.25)
        ]
        self.assertTrue(chosen[0] <= chosen[1])
        self.assertThat(abs(len(chosen[1]) - 1250), LessThan(125))


class EndpointChoiceTest(TestCase):
    def test_each_variant_returns_a_given_endpoint_or_none(self):
        """Guards against a choice outside the available endpoints."""
        generator = np.random.default_rng(1)
        for name in ENDPOINT_CHOICES:
            choice = ENDPOINT_CHOICES.get(name)(random_generator=generator)
            self.assertThat(choice.choose([], RequestShape()), Equals(None))
            for size in (1, 2, 9):
                views = [EndpointView(f"e{i}", 16, i) for i in range(size)]
                self.assertTrue(choice.choose(views, RequestShape(100)) in views)

    @given(
        st.lists(
            st.tuples(st.integers(0, 20), st.floats(0.0, 4.0), st.integers(0, 16)),
            min_size=1,
            max_size=3,
        ),
        st.integers(0, 3),
    )
    def test_few_endpoints_are_compared_exactly(self, loads, cached):
        """Guards against a random sample that misses the best of few endpoints."""
        views = [
            EndpointView(
                f"e{i}",
                16,
                load,
                0,
                age_s,
                min(own_count, load),
                cached_tokens=cached_tokens,
            )
            for i, (load, age_s, own_count) in enumerate(loads)
            for cached_tokens in [400 if i == cached else 0]
        ]
        choice = ENDPOINT_CHOICES.get("adaptive")(
            random_generator=np.random.default_rng(1)
        )
        request = RequestShape(500, 100)
        times = [choice.load_model.response_time_s(view, request) for view in views]
        chosen = choice.load_model.response_time_s(
            choice.choose(views, request), request
        )
        self.assertThat(chosen, Equals(min(times)))

    def test_a_cached_prefix_counts_until_the_endpoint_is_busy(self):
        """Guards against sessions that overload one endpoint because of its cache."""
        choice = ENDPOINT_CHOICES.get("adaptive")(
            random_generator=np.random.default_rng(1)
        )
        for load, expected in ((2, "e0"), (14, "e1")):
            views = [
                EndpointView("e0", 16, load, cached_tokens=6000),
                EndpointView("e1", 16, 1),
            ]
            chosen = choice.choose(views, RequestShape(8000, 100))
            self.assertThat(chosen.endpoint_id, Equals(expected))

    def test_own_requests_count_until_a_report_holds_them(self):
        """Guards against a burst that a stale report directs to one endpoint."""
        choice = ENDPOINT_CHOICES.get("adaptive")(
            random_generator=np.random.default_rng(3)
        )
        sent = [0, 0, 0]
        for _ in range(48):
            views = [
                EndpointView(f"e{i}", 16, report, 0, 0.0, sent[i], sent[i])
                for i, report in enumerate((0, 4, 8))
            ]
            sent[int(choice.choose(views, RequestShape()).endpoint_id[1])] += 1
        loads = [count + report for count, report in zip(sent, (0, 4, 8), strict=True)]
        self.assertThat(max(loads) - min(loads), LessThan(2))
