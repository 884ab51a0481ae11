"""Tests of roll-outs with little evidence, and of the exposure to a bad version."""

from testtools import TestCase
from testtools.matchers import Equals, GreaterThan, Is, LessThan

from sesameknot.coordination._order_timing import ExposureLimit, OrderTiming
from sesameknot.coordination._route_counts import RouteCounts
from sesameknot.policy.rollout_statistics import VersionSample
from sesameknot.policy.route_evidence import Fault, VersionPair
from sesameknot.policy.timed_rollout import (
    RolloutAction,
    RolloutProgress,
    TimedRolloutPlan,
    TimedRolloutPolicy,
)
from sesameknot.protocol.fleet_records import RolloutOrder
from sesameknot.protocol.messages import VersionStats

PLAN = TimedRolloutPlan(
    first_share=0.25, first_share_at=0.5, full_share_at=0.7, decide_at=0.88
)
STEP_SHARE = 0.03
LIMIT = ExposureLimit(0.15, 30.0)
STABLE = (400, 0)


def pairs_of(*by_route):
    """Return the pairs of failures: all routes together, then each one."""
    total = (sum(n for n, _ in by_route), sum(b for _, b in by_route))
    return [
        VersionPair(
            new=VersionSample(*new),
            stable=VersionSample(*STABLE),
            route=str(index) if index else "",
        )
        for index, new in enumerate([total, *by_route])
    ]


class DoubtTest(TestCase):
    def action(self, elapsed, share, pairs, *, since_raise=0.2, request_count=1e9):
        """Return the action while the service gets ``request_count`` requests."""
        progress = RolloutProgress(
            started=True,
            share=share,
            elapsed_share=elapsed,
            time_since_raise_share=since_raise,
            target_endpoint_count=2,
            step_share=STEP_SHARE,
            exposure_limit_share=LIMIT.share_of(request_count),
        )
        return TimedRolloutPolicy(PLAN).next_action(progress, pairs)[0]

    def test_failures_on_one_route_hold_the_roll_out(self):
        """Guards against a version that gets all sessions since most routes work."""
        doubted = pairs_of((40, 0), (9, 2))
        action = self.action(0.75, 0.25, doubted, request_count=200)
        self.assertThat(action, Is(RolloutAction.WAIT))

    def test_doubted_version_is_rolled_back_at_the_limit_of_its_exposure(self):
        """Guards against a bad version that waits for evidence at all sessions."""
        doubted = pairs_of((40, 0), (9, 2))
        early, late = (
            self.action(at, 1.0, doubted, since_raise=at - 0.7, request_count=276)
            for at in (0.75, 0.89)
        )
        self.assertThat(early, Is(RolloutAction.WAIT))
        self.assertThat(late, Is(RolloutAction.ROLL_BACK))

    def test_doubt_outlasts_the_time(self):
        """Guards against a version that is completed because its time is over."""
        doubted = pairs_of((40, 0), (9, 2))
        self.assertThat(self.action(1.2, 1.0, doubted), Is(RolloutAction.WAIT))

    def test_version_without_enough_answers_is_completed_late(self):
        """Guards against a version that is completed unseen, or never."""
        unseen = pairs_of((4, 0))
        self.assertThat(self.action(0.97, 1.0, unseen), Is(RolloutAction.WAIT))
        self.assertThat(self.action(1.5, 1.0, unseen), Is(RolloutAction.WAIT))
        self.assertThat(self.action(2.0, 1.0, unseen), Is(RolloutAction.FINISH))
        seen = pairs_of((9, 0))
        self.assertThat(self.action(1.1, 1.0, seen), Is(RolloutAction.FINISH))

    def test_rare_route_is_waited_for_only_in_time(self):
        """Guards against roll-outs that a route with few requests holds up."""
        rare = pairs_of((60, 0), (3, 0))
        self.assertThat(self.action(0.9, 1.0, rare), Is(RolloutAction.WAIT))
        self.assertThat(self.action(0.96, 1.0, rare), Is(RolloutAction.FINISH))

    def test_schedule_of_a_large_service_keeps_the_exposure_low(self):
        """Guards against a schedule that exceeds the limit where its slack is small."""
        good = pairs_of((100, 0))
        small = self.action(0.71, 0.25, good, request_count=150)
        large = self.action(0.71, 0.25, good, request_count=5000)
        self.assertThat(small, Is(RolloutAction.RAISE))
        self.assertThat(large, Is(RolloutAction.WAIT))
        self.assertThat(
            self.action(0.83, 0.25, good, request_count=5000), Is(RolloutAction.RAISE)
        )


class RouteCountsTest(TestCase):
    def test_failures_of_all_routes_come_first(self):
        """Guards against totals that mix routes, versions or faults."""
        counts = RouteCounts()
        for version, route, numbers in (
            ("v1", "a", (50, 1, 2)),
            ("v2", "a", (10, 3, 4)),
            ("v2", "b", (5, 0, 1)),
        ):
            record = VersionStats(
                version=version,
                route=route,
                request_count=numbers[0],
                error_count=numbers[1],
                slow_count=numbers[2],
            )
            counts.add(record, is_new=version == "v2")
        pairs = {(pair.fault, pair.route): pair for pair in counts.pairs()}
        first = counts.pairs()[0]
        self.assertThat((first.fault, first.route), Equals((Fault.FAILED, "")))
        self.assertThat(first.new, Equals(VersionSample(15, 3)))
        self.assertThat(first.stable, Equals(VersionSample(50, 1)))
        self.assertThat(pairs[Fault.SLOW, "b"].new, Equals(VersionSample(5, 1)))

    def test_host_of_an_earlier_build_is_counted_once(self):
        """Guards against counters without a route that are added twice."""
        counts = RouteCounts()
        counts.add(VersionStats(request_count=7, error_count=1), is_new=True)
        self.assertThat(counts.pairs()[0].new, Equals(VersionSample(7, 1)))


class OrderTimingTest(TestCase):
    def test_requests_of_the_duration_follow_from_the_rate(self):
        """Guards against a limit of exposure from a rate that is not known yet."""
        order = RolloutOrder(service="s", target_version="v2", duration_s=16.0)
        timing = OrderTiming(order, 0.0, 0.0)

        def expected_count(request_count, now_s):
            return timing.expected_request_count(request_count, now_s, duration_s=16.0)

        self.assertThat(LIMIT.share_of(expected_count(100, 0.0)), Equals(0.15))
        self.assertThat(expected_count(140, 4.0), Equals(160.0))
        self.assertThat(LIMIT.share_of(160.0), GreaterThan(0.33))
        self.assertThat(LIMIT.share_of(5000.0), LessThan(0.16))
