"""Tests of the comparison of stream paces, and of roll-outs that are decided by it.

The load: a busy service, in which a quarter of all streams are slow for other reasons,
and a new version that slows half of its streams several times.
"""

import numpy as np
from testtools import TestCase
from testtools.matchers import Equals, Is, LessThan

from sesameknot.policy.rollout_statistics import VersionSample
from sesameknot.policy.route_evidence import VersionPair
from sesameknot.policy.stream_pace import PaceGroup, compare_paces, pace_level
from sesameknot.policy.timed_rollout import (
    RolloutAction,
    RolloutProgress,
    TimedRolloutPlan,
    TimedRolloutPolicy,
)

PLAN = TimedRolloutPlan(
    first_share=0.25, first_share_at=0.5, full_share_at=0.72, decide_at=0.88
)
STABLE = VersionSample(366, 88)
# Share of the false-alarm rate of 0.05 that one of two tests of one of two steps has.
FALSE_ALARM_SHARE = 0.0125


def groups(model, gap_s, stream_count):
    """Return streams of a model with this time between events."""
    return PaceGroup(model, pace_level(gap_s), stream_count)


class ComparePacesTest(TestCase):
    def test_each_model_is_compared_with_itself(self):
        """Guards against a new version that seems slow as it runs larger models."""
        stable = [groups("small", 0.02, 90), groups("large", 0.1, 10)]
        new = [groups("large", 0.1, 20), groups("small", 0.02, 5)]
        new_sample, stable_sample = compare_paces(new, stable)
        self.assertThat(new_sample, Equals(VersionSample(25, 0)))
        self.assertThat(stable_sample, Equals(VersionSample(100, 0)))

    def test_streams_at_three_times_the_usual_pace_are_slow(self):
        """Guards against a slow version that passes, and moderate ones that do not."""
        stable = [groups("m", 0.02, 50)]
        new = [groups("m", 0.16, 4), groups("m", 0.04, 3)]
        new_sample, _ = compare_paces(new, stable)
        self.assertThat(new_sample, Equals(VersionSample(7, 4)))

    def test_model_without_usual_streams_is_left_out(self):
        """Guards against verdicts on a model that only the new version runs."""
        samples = compare_paces([groups("m", 0.2, 9)], [groups("m", 0.02, 3)])
        self.assertThat(samples, Equals((VersionSample(), VersionSample())))


class SlowVersionTest(TestCase):
    def action(self, elapsed_share, new, *, step_share=0.03):
        """Return the action at full share with these new streams and slow streams."""
        progress = RolloutProgress(
            started=True,
            share=1.0,
            elapsed_share=elapsed_share,
            time_since_raise_share=1.0,
            target_endpoint_count=2,
            step_share=step_share,
        )
        answers = VersionSample(500, 0)
        return TimedRolloutPolicy(PLAN).next_action(
            progress,
            [VersionPair(new=answers, stable=answers)],
            new_streams=VersionSample(*new),
            stable_streams=STABLE,
        )[0]

    def test_slow_streams_are_found_among_many_slow_ones(self):
        """Guards against a slow version that a busy service hides."""
        self.assertThat(self.action(0.9, (15, 11)), Is(RolloutAction.ROLL_BACK))

    def test_end_is_put_off_in_doubt_while_there_is_time(self):
        """Guards against a version that is kept one step before it is found slow."""
        self.assertThat(self.action(0.9, (15, 9)), Is(RolloutAction.WAIT))
        self.assertThat(self.action(0.97, (15, 9)), Is(RolloutAction.WAIT))

    def test_doubt_outlasts_the_time_and_ends_with_more_streams(self):
        """Guards against a slow version that is completed because its time is over."""
        self.assertThat(self.action(1.5, (15, 9)), Is(RolloutAction.WAIT))
        self.assertThat(self.action(1.5, (40, 13)), Is(RolloutAction.FINISH))

    def test_version_of_usual_pace_ends_in_time(self):
        """Guards against doubts about every version of a busy service."""
        self.assertThat(self.action(0.9, (40, 10)), Is(RolloutAction.FINISH))

    def test_version_of_usual_pace_is_rarely_stopped(self):
        """Guards against false alarms, with a look after each stream."""
        generator = np.random.default_rng(23)
        policy = TimedRolloutPolicy(PLAN)
        stopped_count = 0
        for _ in range(2000):
            slow_counts = np.cumsum(generator.random(60) < 88 / 366)
            stopped_count += any(
                policy.is_slow(VersionSample(number, int(slow_count)), STABLE)
                for number, slow_count in enumerate(slow_counts, start=1)
            )
        self.assertThat(stopped_count / 2000, LessThan(FALSE_ALARM_SHARE))
