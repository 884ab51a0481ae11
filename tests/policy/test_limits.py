"""Tests of admission, rate limits, the crash guard and roll-out statistics."""

import numpy as np
from hypothesis import given
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from testtools import TestCase
from testtools.matchers import Equals, LessThan

from sesameknot.clock import ManualClock
from sesameknot.policy.admission import (
    Admission,
    AdmissionLoad,
    AdmissionReason,
    AdmissionRequest,
    RecentValues,
)
from sesameknot.policy.crash_guard import CrashGuard
from sesameknot.policy.retry_budget import RetryBudget
from sesameknot.policy.rollout_monitor import RolloutMonitor
from sesameknot.policy.rollout_ramp import RolloutRamp
from sesameknot.policy.rollout_statistics import (
    RolloutVerdict,
    SequentialTest,
    VersionSample,
)
from sesameknot.policy.token_bucket import TokenBuckets


def _admission(seed=1):
    return Admission(clock=ManualClock(), random_generator=np.random.default_rng(seed))


class AdmissionTest(TestCase):
    @given(
        values=st.lists(st.sampled_from([0.5, 1.0, 2.0, 8.0]), min_size=20),
        in_flight=st.integers(0, 120),
        wait_s=st.floats(0.0, 12.0),
    )
    def test_shed_work_is_never_more_valuable_than_admitted_work(
        self, values, in_flight, wait_s
    ):
        """Guards against high-value requests refused while low-value ones run."""
        admission = _admission()
        for value in values:
            admission.admit(
                AdmissionRequest("c", value, 10.0, 1e9), AdmissionLoad(0, 100)
            )
        load = AdmissionLoad(in_flight, 100, wait_s)
        # Unlike admit, _decide adds nothing to the window, so all values see the same
        # ranks.
        outcomes = {
            value: admission._decide(AdmissionRequest("c", value, 10.0, 1e9), load)
            is AdmissionReason.ADMITTED
            for value in sorted(set(values))
        }
        admitted = [value for value, was_admitted in outcomes.items() if was_admitted]
        shed = [value for value, was_admitted in outcomes.items() if not was_admitted]
        if admitted and shed:
            self.assertTrue(max(shed) <= min(admitted))
        if in_flight >= 100 or wait_s >= 10.0:
            self.assertThat(admitted, Equals([]))

    def test_a_rate_limit_names_the_wait_and_spends_nothing_when_shed(self):
        """Guards against refused requests that use up tokens of the rate limit."""
        admission = _admission()
        request = AdmissionRequest("c", 1.0, 10.0, 1.0)
        full, idle = AdmissionLoad(100, 100), AdmissionLoad(0, 100)
        for _ in range(5):
            reason = admission.admit(request, full).reason
            self.assertThat(reason, Equals(AdmissionReason.CONCURRENCY_LIMIT))
        self.assertTrue(admission.admit(request, idle).admitted)
        self.assertTrue(admission.admit(request, idle).admitted)
        refused = admission.admit(request, idle)
        self.assertThat(refused.reason, Equals(AdmissionReason.RATE_LIMIT))
        self.assertThat(refused.retry_after_s, Equals(1.0))
        admission.clock.advance(1.0)
        self.assertTrue(admission.admit(request, idle).admitted)

    @given(st.lists(st.integers(0, 9), min_size=1, max_size=60), st.integers(0, 9))
    def test_ranks_equal_those_of_a_naive_window(self, values, probe):
        """Guards against a sorted window that diverges from the recent values."""
        recent = RecentValues(16)
        for value in values:
            recent.add(float(value))
        window = values[-16:]
        below = sum(value < probe for value in window) / len(window)
        not_above = sum(value <= probe for value in window) / len(window)
        self.assertThat(recent.rank(float(probe)), Equals((below, not_above)))


class TokenBucketsTest(TestCase):
    @given(st.lists(st.floats(0.0, 3.0), max_size=200), st.floats(0.2, 20.0))
    def test_no_interval_exceeds_rate_and_burst(self, pauses_s, rate_per_s):
        """Guards against a bucket that accumulates more than its burst."""
        clock = ManualClock()
        buckets = TokenBuckets(clock=clock, burst_s=2.0)
        burst = max(1.0, 2.0 * rate_per_s)
        taken_s = []
        for pause_s in pauses_s:
            clock.advance(pause_s)
            wait_s = buckets.wait_s("c", rate_per_s)
            if buckets.take("c", rate_per_s):
                self.assertThat(wait_s, Equals(0.0))
                taken_s.append(clock.monotonic_s())
        for first in range(len(taken_s)):
            for last in range(first, len(taken_s)):
                max_count = burst + rate_per_s * (taken_s[last] - taken_s[first])
                self.assertThat(last - first + 1, LessThan(max_count + 1e-6))


class RetryBudgetTest(TestCase):
    @given(st.lists(st.booleans(), max_size=300))
    def test_retries_stay_within_the_ratio(self, steps):
        """Guards against retries that amplify an overload."""
        budget, requests, retries = RetryBudget(0.2, burst_count=3.0), 0, 0
        for is_request in steps:
            if is_request:
                requests += 1
                budget.deposit()
            else:
                retries += budget.try_spend()
            self.assertTrue(retries <= 0.2 * requests + 3.0 + 1e-9)


class CrashGuardMachine(RuleBasedStateMachine):
    """Three hosts that record and exchange crashes, checked against a full log."""

    RETENTION_S = 100.0

    def __init__(self):
        super().__init__()
        self.clock = ManualClock()
        self.hosts = [
            CrashGuard(clock=self.clock, retention_s=self.RETENTION_S) for _ in range(3)
        ]
        self.log = {}

    @rule(host=st.integers(0, 2), key=st.integers(0, 1), endpoint=st.integers(0, 2))
    def crash(self, host, key, endpoint):
        self.hosts[host].record(key, f"e{endpoint}")
        self.log.setdefault(key, []).append((self.clock.monotonic_s(), endpoint))

    @rule(
        source=st.integers(0, 2), receiver=st.integers(0, 2), transit_s=st.floats(0, 1)
    )
    def gossip(self, source, receiver, transit_s):
        entries = self.hosts[source].entries()
        self.clock.advance(transit_s)
        self.hosts[receiver].merge(entries)

    @rule(duration_s=st.sampled_from([1.0, 40.0, 101.0, 250.0]))
    def wait(self, duration_s):
        self.clock.advance(duration_s)
        for host in self.hosts:
            host.expire()

    @invariant()
    def refusals_are_justified(self):
        now_s = self.clock.monotonic_s()
        for host in self.hosts:
            for key in (0, 1):
                if host.refuses(key):
                    crashes = self.log[key]
                    # Transit time may extend an entry, by the margin at most.
                    age_s = now_s - max(at_s for at_s, _ in crashes)
                    assert age_s < self.RETENTION_S + host.REFRESH_MARGIN_S
                    assert len({endpoint for _, endpoint in crashes}) >= 2


CrashGuardTest = CrashGuardMachine.TestCase


class CrashMergeTest(TestCase):
    def test_counts_of_two_hosts_add_up_and_expire(self):
        """Guards against hosts that do not add up the crashes that each has seen."""
        clock = ManualClock()
        first, second = CrashGuard(clock=clock), CrashGuard(clock=clock)
        first.record(7, "e1")
        second.record(7, "e2")
        self.assertFalse(first.refuses(7))
        first.merge(second.entries())
        self.assertTrue(first.refuses(7))
        clock.advance(600.0)
        self.assertFalse(first.refuses(7))
        self.assertThat(first.entries(), Equals([]))
        first.record(7, "e3")
        self.assertFalse(first.refuses(7))

    def test_refused_request_outlasts_many_others(self):
        """Guards against a refusal that later crashes of other requests evict."""
        clock = ManualClock()
        guard = CrashGuard(clock=clock, size_limit=10)
        guard.record(7, "e1")
        guard.record(7, "e2")
        for other in range(100, 150):
            clock.advance(0.01)
            guard.record(other, "e3")
        self.assertTrue(guard.refuses(7))

    def test_slow_gossip_does_not_renew_an_entry(self):
        """Guards against hosts whose gossip delay renews each other's entries."""
        clock = ManualClock()
        first, second = (CrashGuard(clock=clock, retention_s=60.0) for _ in range(2))
        first.record(7, "e1")
        first.record(7, "e2")
        for _ in range(14):
            for source, receiver in ((first, second), (second, first)):
                entries = source.entries()
                clock.advance(2.0)
                receiver.merge(entries)
            clock.advance(1.0)
        self.assertThat((first.refuses(7), second.refuses(7)), Equals((False, False)))


class RolloutStatisticsTest(TestCase):
    def _run_test(
        self, test, generator, *, drop=0.0, rise=0.0, batch_count=20, limit=400
    ):
        new, stable = np.zeros(5), np.zeros(5)
        for _ in range(limit):
            new += _batch(generator, batch_count, 0.8 - drop, 0.01 + rise)
            stable += _batch(generator, 4 * batch_count, 0.8, 0.01)
            verdict = test.verdict(_sample(new), _sample(stable))
            if verdict is not RolloutVerdict.CONTINUE:
                return verdict
        return RolloutVerdict.CONTINUE

    def _verdict_share(self, verdict, trial_count=1000, **change):
        generator = np.random.default_rng(11)
        test = SequentialTest(false_alarm_rate=0.05, miss_rate=0.05)
        match_count = sum(
            self._run_test(test, generator, **change) is verdict
            for _ in range(trial_count)
        )
        return match_count / trial_count

    def test_a_good_version_is_stopped_within_the_false_alarm_rate(self):
        """Guards against bounds whose error rate grows with repeated testing."""
        self.assertThat(self._verdict_share(RolloutVerdict.STOP), LessThan(0.05 + 1e-9))

    def test_the_watch_stops_a_version_that_turns_bad_after_completion(self):
        """Guards against old good evidence that hides a later change."""
        generator = np.random.default_rng(5)
        test = SequentialTest(false_alarm_rate=0.001)
        stable = sum(_batch(generator, 20, 0.8, 0.01) for _ in range(400))
        monitor = RolloutMonitor(test, _sample(stable), VersionSample())
        new, stops = np.zeros(5), []
        for index in range(2000):
            new += _batch(generator, 20, 0.8 if index < 1900 else 0.7, 0.01)
            if monitor.update(_sample(new)) is RolloutVerdict.STOP:
                stops.append(index)
                break
        self.assertTrue(stops and 1900 <= stops[0] < 1950, stops)
        self.assertTrue(monitor.round_count > 50, monitor.round_count)

    def test_a_ramp_grows_on_good_evidence_and_holds_on_bad(self):
        """Guards against a share that grows although the evidence is bad."""
        for drop, expected in ((0.0, 0.01), (0.3, 0.0005)):
            generator, clock = np.random.default_rng(2), ManualClock()
            ramp = RolloutRamp(SequentialTest(), 0.01, clock=clock)
            new, stable, shares = np.zeros(5), np.zeros(5), [ramp.share]
            for _ in range(60):
                clock.advance(30.0)
                new += _batch(generator, 20, 0.8 - drop, 0.0)
                stable += _batch(generator, 100, 0.8, 0.0)
                shares.append(ramp.update(_sample(new), _sample(stable)))
            self.assertThat(shares[-1], Equals(expected))
            self.assertThat(shares, Equals(sorted(shares)))

    def test_an_empty_share_of_callers_grows_after_the_idle_time(self):
        """Guards against a roll-out that never advances without any caller."""
        clock = ManualClock()
        ramp = RolloutRamp(SequentialTest(), 0.01, clock=clock, idle_s=600.0)
        clock.advance(599.0)
        no_requests = VersionSample()
        self.assertThat(ramp.update(no_requests, no_requests), Equals(0.0005))
        clock.advance(1.0)
        self.assertThat(ramp.update(no_requests, no_requests), Equals(0.001))

    def test_a_bad_version_is_advanced_within_the_miss_rate(self):
        """Guards against a test that accepts bad ratings or errors."""
        for change in ({"drop": 0.05}, {"rise": 0.02}, {"drop": 0.2}):
            share = self._verdict_share(RolloutVerdict.ADVANCE, **change)
            self.assertThat(share, LessThan(0.05 + 1e-9), str(change))


def _batch(generator, count, quality, error_rate):
    errors = generator.binomial(count, error_rate)
    ratings = generator.beta(8 * quality, 8 * (1 - quality), max(1, count // 4))
    return np.array(
        [count, errors, len(ratings), ratings.sum(), (ratings**2).sum()], dtype=float
    )


def _sample(values):
    requests, errors, ratings, total, squares = values.tolist()
    return VersionSample(int(requests), int(errors), int(ratings), total, squares)
