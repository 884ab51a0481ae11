"""Tests of the choice of models where the latency target is no guide."""

import random

from testtools import TestCase
from testtools.matchers import Equals, GreaterThan, Is, LessThan
from testtools.matchers import MatchesAll as All

from sesameknot.clock import ManualClock
from sesameknot.policy.answer_times import ESTIMATE_LIMIT_COUNT, AnswerTimes
from sesameknot.policy.model_choice import (
    ModelChoiceReason,
    judge_answer,
    largest_must_be_first,
    learns_times,
    replacement_headroom,
    scaled_time_s,
)
from sesameknot.policy.quality_target import QualityTarget
from sesameknot.policy.sliding_retry_budget import SlidingRetryBudget


def between(low, high):
    """Return a matcher of values between two others."""
    return All(GreaterThan(low), LessThan(high))


class AnswerTimesTest(TestCase):
    def setUp(self):
        super().setUp()
        self.clock = ManualClock()
        self.times = AnswerTimes(clock=self.clock, quantile=0.9, decay_s=60.0)

    def observe(self, *durations_s, tokens=2000):
        for duration_s in durations_s:
            self.times.observe_first_event("s", "large", tokens, duration_s)

    def test_there_is_no_estimate_before_enough_recent_observations(self):
        """Guards against decisions on one lucky answer, or on those before a pause."""
        self.observe(0.3, 0.3)
        self.assertThat(self.times.first_event_s("s", "large", 2000), Is(None))
        self.observe(0.3)
        self.assertThat(self.times.first_event_s("s", "large", 2000), between(0.3, 0.4))
        self.assertThat(self.times.first_event_s("s", "small", 2000), Is(None))
        self.clock.advance(60.0)
        self.assertThat(self.times.first_event_s("s", "large", 2000), Is(None))

    def test_estimate_is_a_high_quantile_that_follows_the_load(self):
        """Guards against answers that are dropped as the mean time would suffice."""
        self.observe(*[0.2] * 80, *[1.0] * 20)
        self.assertThat(self.times.first_event_s("s", "large", 2000), between(0.9, 1.3))
        self.clock.advance(180.0)
        self.observe(*[0.2] * 80)
        self.assertThat(self.times.first_event_s("s", "large", 2000), between(0.2, 0.3))

    def test_short_prompts_do_not_stand_for_long_ones(self):
        """Guards against too low an estimate for a prompt that takes long to read."""
        self.observe(*[0.1] * 20, tokens=800)
        self.assertThat(self.times.first_event_s("s", "large", 12000), Is(None))
        self.observe(*[0.9] * 20, tokens=12000)
        self.assertThat(self.times.first_event_s("s", "large", 3000), between(0.9, 1.1))
        self.assertThat(self.times.first_event_s("s", "large", 800), between(0.1, 0.13))

    def test_waits_that_are_given_up_raise_the_estimate(self):
        """Guards against an estimate of only those answers that came in time."""
        self.observe(*[0.2] * 10)
        self.times.observe_wait_without_event("s", "large", 2000, 0.05)
        self.assertThat(self.times.first_event_s("s", "large", 2000), LessThan(0.3))
        for _ in range(3):
            self.times.observe_wait_without_event("s", "large", 2000, 2.0)
        self.assertThat(self.times.first_event_s("s", "large", 2000), GreaterThan(2.0))

    def test_rest_of_the_answer_counts(self):
        """Guards against long answers that are cut off at the deadline."""
        self.observe(*[0.2] * 10)
        for _ in range(3):
            self.times.observe_rest("long", "large", 3.0)
        for route, least_s in (("long", 3.0), ("short", 0.0)):
            answer_s = self.times.answer_s("s", "large", 2000, route=route)
            self.assertThat(answer_s, between(least_s + 0.2, least_s + 1.0))

    def test_memory_is_bounded(self):
        """Guards against growth with the models that callers name."""
        for number in range(2 * ESTIMATE_LIMIT_COUNT):
            self.times.observe_rest(f"route-{number}", "large", 1.0)
        self.assertThat(len(self.times._estimates), Equals(ESTIMATE_LIMIT_COUNT))


class QualityTargetTest(TestCase):
    def target(self, confidences=(), *, share=0.9):
        target = QualityTarget(target_share=share, window_count=200)
        for confidence in confidences:
            target.observe(confidence)
        return target

    def test_prior_is_evenly_spread(self):
        """Guards against a first threshold that replaces all or no answers."""
        self.assertThat(self.target().threshold(1.0), between(54.0, 57.0))

    def test_target_is_reached_with_few_replacements(self):
        """Guards against needless replacements, and a target that is missed."""
        rng = random.Random(1)
        for low, high in ((0, 100), (40, 100), (0, 60)):
            confidences = [rng.uniform(low, high) for _ in range(400)]
            threshold = self.target(confidences).threshold(1.0)
            chances = [
                1.0 if confidence < threshold else confidence / 100.0
                for confidence in confidences
            ]
            share = sum(chances) / len(chances)
            self.assertThat(share, between(0.88, 0.93))

    def test_old_confidences_leave_the_window(self):
        """Guards against a threshold that stays after the answers have changed."""
        target = self.target([5.0] * 1000 + [95.0] * 200)
        self.assertThat(target.unaided_share, GreaterThan(0.9))
        self.assertThat(target.threshold(1.0), Equals(0.0))

    def test_load_lowers_the_target_to_what_the_smallest_model_reaches(self):
        """Guards against runs of large models that delay all requests under load."""
        target = self.target()
        thresholds = [target.threshold(headroom) for headroom in (1.0, 0.5, 0.0)]
        self.assertThat(thresholds, Equals(sorted(thresholds, reverse=True)))
        self.assertThat(thresholds[-1], Equals(0.0))
        self.assertThat(
            [target.take_largest(0.0) for _ in range(9)], Equals([False] * 9)
        )

    def test_confidences_out_of_range_are_ignored(self):
        """Guards against one malformed header that changes or breaks all decisions."""
        target = self.target([float("nan"), float("inf"), -1.0, 101.0])
        self.assertThat(target.threshold(1.0), Equals(self.target().threshold(1.0)))

    def test_largest_model_is_taken_for_the_missing_share(self):
        """Guards against the largest model for all where four in five suffice."""
        target = self.target()
        taken = sum(target.take_largest(1.0) for _ in range(100))
        self.assertThat(taken, between(78, 82))


class JudgeAnswerTest(TestCase):
    def test_reasons(self):
        """Guards against a replacement without need, time or a retry."""
        case = {
            "confidence": 30.0,
            "threshold": 50.0,
            "needed_s": 1.0,
            "time_left_s": 2.0,
            "retry_left": True,
        }
        reason = ModelChoiceReason
        for change, expected in (
            ({}, reason.BELOW_THRESHOLD),
            ({"confidence": 50.0}, reason.GOOD_ENOUGH),
            ({"confidence": None}, reason.GOOD_ENOUGH),
            ({"time_left_s": 0.9}, reason.TOO_LITTLE_TIME),
            ({"retry_left": False}, reason.NO_RETRY_LEFT),
        ):
            choice = judge_answer(**{**case, **change})
            self.assertThat(choice.reason, Equals(expected))
            self.assertThat(choice.larger, Equals(not change))

    def test_largest_goes_first_only_if_it_fits_and_two_do_not(self):
        """Guards against large runs that end too late or have time to come second."""
        for time_left_s, first in (
            (0.9, False),
            (1.0, True),
            (1.1, True),
            (1.3, False),
        ):
            self.assertThat(
                largest_must_be_first(
                    smallest_s=0.2, largest_s=1.0, time_left_s=time_left_s
                ),
                Equals(first),
            )
        unknown = largest_must_be_first(smallest_s=None, largest_s=1.0, time_left_s=1.1)
        self.assertThat(unknown, Equals(False))

    def test_targets_of_half_the_timeout_are_no_guide(self):
        """Guards against a new rule on routes whose target is one."""
        found = [learns_times(target, 4000) for target in (400, 1999, 2000, 4000)]
        self.assertThat(found, Equals([False, False, True, True]))

    def test_last_retries_are_left_to_failed_attempts(self):
        """Guards against requests lost as replacements spent the retry budget."""
        budget = SlidingRetryBudget(
            clock=ManualClock(), ratio=0.5, window_s=10.0, slack_count=0.0
        )
        self.assertThat(replacement_headroom(1.0, budget.used_share), Equals(0.0))
        for _ in range(20):
            budget.record_request()
        target = QualityTarget(target_share=0.9, window_count=200)
        thresholds = []
        while budget.try_spend():
            headroom = replacement_headroom(1.0, budget.used_share)
            thresholds.append(target.threshold(headroom))
        self.assertThat(thresholds[:8], Equals([target.threshold(1.0)] * 8))
        self.assertThat(thresholds[8], between(20.0, 40.0))
        self.assertThat(thresholds[9], Equals(0.0))


class ScaledTimeTest(TestCase):
    def scaled_s(self, observed_s, **costs):
        return scaled_time_s(observed_s, limit_s=4.0, **costs)

    def test_unobserved_model_is_estimated_by_its_cost(self):
        """Guards against hosts that keep bad answers for seconds after each start."""
        self.assertThat(self.scaled_s(0.1, observed_cost=0.02, cost=0.2), Equals(1.0))

    def test_slow_answers_of_a_loaded_endpoint_raise_the_estimate(self):
        """Guards against replacements that come after the deadline under load."""
        self.assertThat(self.scaled_s(0.5, observed_cost=0.02, cost=0.2), Equals(4.0))

    def test_estimate_is_the_limit_without_costs(self):
        """Guards against guesses where the configuration states no costs."""
        self.assertThat(self.scaled_s(0.1, observed_cost=None, cost=0.2), Equals(4.0))
        self.assertThat(self.scaled_s(0.1, observed_cost=0.02, cost=None), Equals(4.0))
