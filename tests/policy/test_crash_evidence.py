"""Tests of the evidence that a request crashes endpoints.

The load: endpoints of one or more failure domains crash at one moment, with sound
requests in flight; other requests crash each endpoint that runs them.
"""

import math
import random

from benchmarks.crash_evidence import Case, play
from testtools import TestCase
from testtools.matchers import Equals

from sesameknot.clock import ManualClock
from sesameknot.coordination.crash_exchange import CrashExchange
from sesameknot.policy.crash_evidence import (
    SOUND_CRASH_RATE,
    Crash,
    CrashTest,
    trial_sizes,
)
from sesameknot.policy.crash_guard import CrashGuard
from sesameknot.protocol.codec import Envelope, decode, encode
from sesameknot.protocol.messages import DomainSync

LIMIT_COUNT = 3
HOST_COUNT = 4
RUN_S = 0.2
REQUEST, OTHER_REQUEST = 7, 8
# Runs with a crashing request that the users allow after its third crash.
LATE_LIMIT_COUNT = 3
TRIAL_COUNT = 20_000


class CrashTestTest(TestCase):
    def test_runs_in_flight_together_are_one_trial(self):
        """Guards against a crash of a whole domain that counts as several."""
        together = [Crash(10.0 + n / 1000, 9.0 + n / 10) for n in range(5)]
        after = Crash(11.0, 10.5)
        self.assertThat(trial_sizes([after, *together]), Equals([5, 1]))

    def test_crashes_without_a_known_start_are_trials_of_their_own(self):
        """Guards against counts of older builds that refuse nothing."""
        self.assertThat(trial_sizes([Crash(1.0)] * 3), Equals([1, 1, 1]))

    def test_crashes_of_one_moment_alone_refuse_nothing(self):
        """Guards against a refusal by evidence that a sound request can give."""
        crashes = [Crash(10.0, 9.0)] * 100
        self.assertFalse(CrashTest(LIMIT_COUNT).refuses(crashes))

    def test_crashes_one_after_the_other_refuse_at_the_limit(self):
        """Guards against more crashes than the limit by a request that retries."""
        test = CrashTest(LIMIT_COUNT)
        crashes = [Crash(float(n), n - 0.1) for n in range(LIMIT_COUNT)]
        self.assertTrue(test.refuses(crashes))
        self.assertFalse(test.refuses(crashes[1:]))
        self.assertFalse(test.refuses(crashes, answered_before=True))

    def test_error_rates_hold(self):
        """Guards against boundaries that do not give the stated error rates.

        A sound request meets crashes at the stated rate, and its first answer ends the
        test.
        """
        test, generator = CrashTest(LIMIT_COUNT), random.Random(1)
        refused_count = 0
        for _ in range(TRIAL_COUNT):
            crashes = []
            while generator.random() < SOUND_CRASH_RATE:
                crashes.append(Crash(float(len(crashes))))
            refused_count += test.refuses(crashes)
        self.assertTrue(refused_count / TRIAL_COUNT <= math.exp(-test.upper))

    def test_loads_with_crashes_of_domains_refuse_no_sound_request(self):
        """Guards against sound requests that are refused by chance in some load."""
        for domain_count, in_flight_count, hot_share in (
            (1, 200, 1.0),
            (4, 1, 0.0),
            (4, 60, 0.5),
        ):
            case = Case(domain_count, in_flight_count, hot_share)
            refused = [outcome.refused_count for outcome in play(case)]
            self.assertThat(refused, Equals([0] * len(refused)), str(case))

    def test_loads_with_a_crashing_request_stop_it_in_time(self):
        """Guards against a request that crashes endpoints while it is in doubt."""
        for callers_count, deadly_from_s in ((1, 0.0), (30, 0.0), (30, 8.0)):
            case = Case(1, 30, 0.5, 1, callers_count, deadly_from_s)
            late = max(outcome.late_count for outcome in play(case))
            self.assertTrue(late <= LATE_LIMIT_COUNT, f"{late} {case}")


class CrashGuardEvidenceTest(TestCase):
    def setUp(self):
        super().setUp()
        self.clock = ManualClock()
        self.guards = [
            CrashGuard(
                clock=self.clock,
                limit_count=LIMIT_COUNT,
                place=lambda _, place=place: (place, HOST_COUNT),
            )
            for place in range(HOST_COUNT)
        ]
        self.exchanges = [CrashExchange(guard) for guard in self.guards]

    def crash(self, guard, request, *endpoint_ids):
        """Crash endpoints at one moment while they run a request."""
        now_s = self.clock.monotonic_s()
        for endpoint_id in endpoint_ids:
            guard.record(request, endpoint_id, began_s=now_s - RUN_S)

    def crash_one_by_one(self, guard, request, *endpoint_ids):
        """Crash endpoints one after the other."""
        for endpoint_id in endpoint_ids:
            self.clock.advance(2.0 * RUN_S)
            self.crash(guard, request, endpoint_id)

    def exchange(self):
        """Let every host send its counts to every other one, as bytes."""
        for sender in self.exchanges:
            message = DomainSync(host_id="h", crashes=sender.counts())
            received = decode(encode(Envelope(1, "h", message))).body
            for receiver in self.exchanges:
                if receiver is not sender:
                    receiver.merge(received.crashes)

    def test_request_in_doubt_is_sent_by_one_host_at_a_time(self):
        """Guards against many runs of a crashing request while it is in doubt."""
        self.crash(self.guards[0], REQUEST, "a", "b", "c", "d")
        self.exchange()
        for _ in range(HOST_COUNT):
            sent = [g.admits(REQUEST) for g in self.guards for _ in range(3)]
            self.assertThat(sum(sent), Equals(1))
            self.clock.advance(CrashGuard.TURN_S)

    def test_one_more_crash_decides(self):
        """Guards against a request that is in doubt for ever."""
        self.crash(self.guards[0], REQUEST, "a", "b", "c", "d")
        self.exchange()
        self.clock.advance(CrashGuard.TURN_S)
        self.crash(self.guards[1], REQUEST, "e")
        self.exchange()
        self.assertThat(
            [guard.refuses(REQUEST) for guard in self.guards],
            Equals([True] * HOST_COUNT),
        )

    def test_answer_at_one_host_ends_the_refusal_at_all(self):
        """Guards against hosts that refuse what another one knows as sound."""
        self.crash_one_by_one(self.guards[0], REQUEST, "a", "b", "c")
        self.exchange()
        self.clock.advance(30.0)
        self.assertTrue(self.guards[3].refuses(REQUEST))
        self.guards[1].record_answer(REQUEST)
        self.exchange()
        self.assertThat(
            [guard.admits(REQUEST) for guard in self.guards],
            Equals([True] * HOST_COUNT),
        )

    def test_host_that_was_cut_off_learns_of_the_answer_later(self):
        """Guards against a refusal that comes back with a host that missed an answer.

        The others have not told of the answer for a while.
        """
        self.crash_one_by_one(self.guards[0], REQUEST, "a", "b", "c")
        self.exchange()
        cut_off = self.exchanges.pop()
        self.guards[0].record_answer(REQUEST)
        self.exchange()
        self.clock.advance(60.0)
        self.exchanges.append(cut_off)
        self.exchange()
        self.exchange()
        self.assertThat(
            [guard.refuses(REQUEST) for guard in self.guards],
            Equals([False] * HOST_COUNT),
        )

    def test_answer_before_the_crashes_counts(self):
        """Guards against a request that a storm of other crashes makes a suspect."""
        guard = self.guards[0]
        guard.record_answer(REQUEST)
        self.crash_one_by_one(guard, REQUEST, "a", "b", "c", "d")
        self.assertFalse(guard.refuses(REQUEST))
        self.crash_one_by_one(guard, REQUEST, "e")
        self.assertTrue(guard.refuses(REQUEST))

    def test_crashes_that_another_request_explains_refuse_nothing(self):
        """Guards against refusal of what was in flight beside a crashing request."""
        guard = self.guards[0]
        for endpoint_id in "abcd":
            self.clock.advance(2.0 * RUN_S)
            self.crash(guard, OTHER_REQUEST, endpoint_id)
            if endpoint_id != "a":
                self.crash(guard, REQUEST, endpoint_id)
        self.clock.advance(HOST_COUNT * CrashGuard.TURN_S)
        self.assertFalse(guard.admits(OTHER_REQUEST))
        self.assertTrue(guard.admits(REQUEST))

    def test_refused_request_is_tried_again_a_few_times(self):
        """Guards against a mistake that lasts ten minutes, and too many more runs."""
        guard = CrashGuard(clock=self.clock, limit_count=LIMIT_COUNT)
        self.crash_one_by_one(guard, REQUEST, "a", "b", "c")
        run_count = 0
        for _ in range(int(guard.retention_s)):
            if guard.admits(REQUEST):
                run_count += 1
                self.crash(guard, REQUEST, f"e{run_count}")
            self.clock.advance(1.0)
        self.assertThat(run_count, Equals(2))
