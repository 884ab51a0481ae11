"""Tests of the roll-out decisions."""

import asyncio
import dataclasses

import numpy as np
from testtools import TestCase
from testtools.matchers import Equals, Is, LessThan

from sesameknot.apps._rollout_decision import SequentialDecision, decide_step
from sesameknot.protocol.messages import StatsReply, VersionStats
from sesameknot.settings.tree import RolloutSettings
from tests.coordination.rollout_fakes import World, tick

PLAN = RolloutSettings(name="july", model="small", to_version="v2", step_min_s=30.0)


def stats(rating, count=1000):
    """Return counters of answers that all have the same rating."""
    return VersionStats(
        request_count=count,
        rating_count=count,
        rating_sum=rating * count,
        rating_square_sum=rating * rating * count,
    )


RAMPED_SHARES = [0.2, 0.5, 1.0]
FIRST_SHARE = 0.05 * RAMPED_SHARES[0]
REQUESTS_PER_COLLECTION = 1000


class SeededRollout:
    """Roll-out with the real decision and simulated counters that follow its share."""

    def __init__(self, seed, *, quality_drop=0.0, error_rise=0.0):
        self.world = World(decision=SequentialDecision, step_shares=RAMPED_SHARES)
        self.world.stats = self._stats
        self.runner = self.world.runner("h0")
        self.quality_drop, self.error_rise = quality_drop, error_rise
        self.shares = []
        self._generator = np.random.default_rng(seed)
        self._counters = [
            VersionStats(team="feed", model="small", version=version)
            for version in ("v1", "v2")
        ]

    async def run_to(self, *states, limit=3000):
        """Tick until the roll-out is in one of ``states``; return the tick count."""
        for count in range(limit):
            rollout = self.world.rollout
            self.shares.append(rollout.share)
            if rollout.state in states:
                return count
            self.world.clock.advance(2.0)
            await tick(self.runner)
        raise AssertionError(f"{self.world.rollout} is in none of {states}")

    def _stats(self):
        share = self.world.rollout.share
        for stats, request_share, quality_drop, error_rise in zip(
            self._counters,
            (1.0 - share, share),
            (0.0, self.quality_drop),
            (0.0, self.error_rise),
            strict=True,
        ):
            count = int(
                self._generator.poisson(REQUESTS_PER_COLLECTION * request_share)
            )
            quality = 0.8 - quality_drop
            ratings = self._generator.beta(
                8 * quality, 8 * (1 - quality), size=count // 4
            )
            stats.request_count += count
            stats.error_count += int(self._generator.binomial(count, 0.01 + error_rise))
            stats.rating_count += len(ratings)
            stats.rating_sum += float(ratings.sum())
            stats.rating_square_sum += float((ratings**2).sum())
        versions = [dataclasses.replace(stats) for stats in self._counters]
        return [StatsReply(host_id="h1", incarnation=1, versions=versions)]


class SequentialDecisionTest(TestCase):
    def test_a_version_that_is_bad_from_the_start_stays_at_the_first_share(self):
        """Guards against a ramp that rises before the test stops a bad version."""
        for seed in range(10):
            for change in ({"quality_drop": 0.2}, {"error_rise": 0.2}):
                rollout = SeededRollout(seed, **change)
                asyncio.run(rollout.run_to("stopped"))
                self.assertThat(
                    set(rollout.shares), Equals({0.0, FIRST_SHARE}), f"{seed} {change}"
                )
                self.assertThat(rollout.world.withdrawn, Is(True))

    def test_a_good_version_goes_through_the_ramp_of_each_step(self):
        """Guards against a ramp that falls, skips a step or never ends."""
        ramp = [0.0, *(FIRST_SHARE * 2.0**k for k in range(5)), 0.2, 0.4, 0.5, 1.0]
        false_alarms = 0
        for seed in range(40):
            rollout = SeededRollout(seed)
            asyncio.run(rollout.run_to("complete", "stopped"))
            if rollout.world.rollout.state == "stopped":
                false_alarms += 1
            else:
                self.assertThat(list(dict.fromkeys(rollout.shares)), Equals(ramp))
        # The false-alarm rate of a roll-out is 5%, two of 40.
        self.assertThat(false_alarms, LessThan(3))

    def test_a_complete_version_that_turns_bad_is_stopped_soon(self):
        """Guards against earlier good counters that hide a new fault for hours."""
        # Seed 0 causes a false alarm during the roll-out itself.
        for seed in range(1, 6):
            asyncio.run(self._degrade_complete_version(seed))

    async def _degrade_complete_version(self, seed):
        rollout = SeededRollout(seed)
        await rollout.run_to("complete")
        for _ in range(300):
            rollout.world.clock.advance(2.0)
            await tick(rollout.runner)
        self.assertThat(rollout.world.rollout.state, Equals("complete"))
        rollout.quality_drop = 0.1
        self.assertThat(await rollout.run_to("stopped"), LessThan(10))


class DecideTest(TestCase):
    def test_a_good_version_advances_after_the_least_time_only(self):
        """Guards against a step that advances before its minimum duration."""
        early = decide_step(stats(0.9), stats(0.9), PLAN, 29.0)
        late = decide_step(stats(0.9), stats(0.9), PLAN, 30.0)
        self.assertThat((early, late), Equals(("continue", "advance")))

    def test_a_bad_version_is_stopped_at_once(self):
        """Guards against exposure until the minimum duration has passed."""
        self.assertThat(decide_step(stats(0.9), stats(0.5), PLAN, 0.0), Equals("stop"))
