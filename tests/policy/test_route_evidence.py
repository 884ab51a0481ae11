"""Tests of the evidence against a new version from several routes."""

import math
from dataclasses import replace

import numpy as np
from testtools import TestCase
from testtools.matchers import Equals, GreaterThan, LessThan

from sesameknot.policy.rollout_statistics import VersionSample
from sesameknot.policy.route_evidence import (
    Fault,
    VersionPair,
    chance_of_failures,
    evidence_against,
    misses_rise,
)
from sesameknot.policy.timed_rollout import DOUBT_CHANCE, DOUBT_LLR, STOP_LLR

TRIAL_COUNT = 2000
FALSE_ALARM_SHARE = 0.05
# Three standard deviations of the share in so many trials.
TOLERANCE = 3.0 * math.sqrt(FALSE_ALARM_SHARE / TRIAL_COUNT)
ROUTE_SHARES = np.array([0.5, 0.33, 0.17])
STABLE_COUNT = 600
LOOK_COUNT = 12


def pair(new, stable, route=""):
    """Return the answers and bad answers of both versions on a route."""
    return VersionPair(
        new=VersionSample(*new), stable=VersionSample(*stable), route=route
    )


def llr(new, stable):
    """Return the evidence from one route on which no answer is slow."""
    failed = [pair(new, stable, route) for route in ("", "only")]
    slow = [
        replace(
            failures,
            fault=Fault.SLOW,
            new=VersionSample(new[0]),
            stable=VersionSample(stable[0]),
        )
        for failures in failed
    ]
    return evidence_against(failed + slow).llr


class RouteEvidenceTest(TestCase):
    def test_version_that_fails_on_a_rare_route_is_found(self):
        """Guards against a route whose failures the others thin out."""
        pairs = [
            pair((70, 5), (700, 14)),
            pair((62, 1), (640, 14), "often"),
            pair((8, 4), (60, 0), "rare"),
        ]
        evidence = evidence_against(pairs)
        self.assertThat(evidence.llr, GreaterThan(STOP_LLR))
        self.assertThat(evidence.route, Equals("rare"))
        self.assertThat(llr((70, 5), (700, 14)), LessThan(DOUBT_LLR))

    def test_small_rise_is_found_in_many_answers(self):
        """Guards against a rise that counts as none because a larger one is sought."""
        self.assertThat(llr((250, 15), (2000, 2)), GreaterThan(STOP_LLR))

    def test_exact_test_of_one_decision(self):
        """Guards against a route whose failures a few answers of others hide."""
        pairs = [
            pair((68, 5), (161, 2)),
            pair((49, 0), (115, 1), "often"),
            pair((19, 5), (46, 1), "rare"),
        ]
        self.assertThat(chance_of_failures(pairs), LessThan(DOUBT_CHANCE))
        self.assertThat(chance_of_failures(pairs[1:2]), GreaterThan(0.99))
        single = [pair((40, 1), (400, 0)), pair((20, 1), (200, 0), "a")]
        self.assertThat(chance_of_failures(single), GreaterThan(DOUBT_CHANCE))

    def test_few_answers_that_all_fail_are_doubted(self):
        """Guards against a bad version that is completed after six answers."""
        self.assertThat(llr((6, 6), (4, 0)), GreaterThan(DOUBT_LLR))
        self.assertThat(llr((6, 6), (20, 0)), GreaterThan(STOP_LLR))

    def test_single_failure_is_no_reason_for_doubt(self):
        """Guards against good versions that are held up by one broken connection."""
        self.assertThat(llr((40, 1), (400, 0)), LessThan(DOUBT_LLR))
        self.assertThat(llr((20, 1), (300, 9)), LessThan(DOUBT_LLR))

    def test_no_answers_are_no_evidence(self):
        """Guards against a version that is judged before it was asked."""
        self.assertThat(llr((0, 0), (100, 5)), Equals(0.0))
        self.assertThat(misses_rise(pair((0, 0), (100, 5)), 0.3), Equals(1.0))
        self.assertThat(evidence_against([]).llr, LessThan(0.0))

    def test_many_answers_are_judged_at_once(self):
        """Guards against numbers that overflow, and decisions that take seconds."""
        good = [pair((50_000, 1500), (400_000, 12_000), str(n)) for n in range(100)]
        self.assertThat(chance_of_failures(good), Equals(1.0))
        self.assertThat(misses_rise(good[0], 0.3), LessThan(1e-9))
        bad = pair((50_000, 3000), (400_000, 12_000))
        self.assertThat(chance_of_failures([bad]), LessThan(1e-9))
        self.assertThat(misses_rise(pair((50_000, 20_000), (9, 0)), 0.3), Equals(1.0))

    def test_chances_are_exact(self):
        """Guards against sums that leave out terms that matter."""
        tail = 5.0 * 4.0 / (9.0 * 8.0)
        chance = chance_of_failures([pair((5, 2), (4, 0))])
        self.assertThat(abs(chance - tail), LessThan(1e-9))
        missed = misses_rise(pair((5, 1), (100, 0)), 0.3)
        exact = 0.7**5 + 5 * 0.3 * 0.7**4
        self.assertThat(abs(missed - exact), LessThan(1e-9))

    def test_chance_of_a_miss(self):
        """Guards against a version that passes with fewer answers than needed."""
        self.assertThat(misses_rise(pair((8, 0), (100, 0)), 0.3), GreaterThan(0.05))
        self.assertThat(misses_rise(pair((9, 0), (100, 0)), 0.3), LessThan(0.05))
        self.assertThat(misses_rise(pair((9, 1), (100, 0)), 0.3), GreaterThan(0.05))

    def test_good_versions_are_rarely_stopped(self):
        """Guards against false alarms over several routes and repeated looks."""
        generator = np.random.default_rng(39)
        for base_rate in (0.005, 0.02, 0.1):
            stopped_count = sum(
                self.is_stopped(generator, base_rate) for _ in range(TRIAL_COUNT)
            )
            share = stopped_count / TRIAL_COUNT
            self.assertThat(share, LessThan(FALSE_ALARM_SHARE + TOLERANCE), base_rate)

    def is_stopped(self, generator, base_rate):
        """Return whether a good version is stopped at one of several looks."""
        stable_counts = generator.multinomial(STABLE_COUNT, ROUTE_SHARES)
        stable_bad = generator.binomial(stable_counts, base_rate)
        counts = np.zeros(3, dtype=int)
        bad = np.zeros(3, dtype=int)
        for _ in range(LOOK_COUNT):
            new_counts = generator.multinomial(10, ROUTE_SHARES)
            counts += new_counts
            bad += generator.binomial(new_counts, base_rate)
            pairs = [
                pair((n, b), (s, sb), str(index))
                for index, (n, b, s, sb) in enumerate(
                    zip(counts, bad, stable_counts, stable_bad, strict=True)
                )
            ]
            total = pair(
                (counts.sum(), bad.sum()), (stable_counts.sum(), stable_bad.sum())
            )
            if evidence_against([total, *pairs]).llr >= STOP_LLR and bad.sum() >= 3:
                return True
        return False
