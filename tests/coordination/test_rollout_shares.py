"""Tests of the shares that the holder of a roll-out writes to the platform."""

import itertools

from testtools import TestCase
from testtools.matchers import Equals, Is

from sesameknot.coordination._held_rollout import SHARE_INTERVAL_S
from tests.coordination.rollout_fakes import (
    LEASE_S,
    MARGIN_S,
    SHARES,
    World,
    asynchronous,
    by_rank,
    run_to,
    run_to_share,
    stats_reply,
    tick,
)


class ShareTest(TestCase):
    @asynchronous
    async def test_shares_are_written_seldom_and_in_notable_amounts(self):
        """Guards against sending every small change of a share to all hosts."""
        for growth_factor, expected in ((2.0, 3), (1.04, 13)):
            world = World()
            first, *_ = by_rank(world)
            world.growth_factor = growth_factor
            await run_to(world, first, "running")
            written = [(world.clock.monotonic_s(), world.rollout.share)]
            while world.rollout.share < SHARES[0]:
                world.clock.advance(0.25)
                await tick(first)
                if world.rollout.share != written[-1][1]:
                    written.append((world.clock.monotonic_s(), world.rollout.share))
            # The first share, then as many raises as make it four times as large. With
            # a factor of 1.04, three raises make one write.
            self.assertThat(len(written), Equals(expected))
            for (before_s, before), (after_s, after) in itertools.pairwise(written):
                self.assertThat(after_s - before_s >= 2.0, Is(True))
                notable = after >= 1.1 * before or after == SHARES[0]
                self.assertThat(notable, Is(True), str(written))

    @asynchronous
    async def test_an_accepted_step_waits_for_its_full_share(self):
        """Guards against advancing before all callers of the step were served."""
        world = World()
        first, *_ = by_rank(world)
        world.verdict, world.growth_factor = "advance", 1.0
        await run_to(world, first, "running")
        for _ in range(20):
            world.clock.advance(SHARE_INTERVAL_S)
            await tick(first)
        held = (world.rollout.step, world.rollout.share)
        self.assertThat(held, Equals((0, SHARES[0] / 4)))

    @asynchronous
    async def test_a_larger_share_keeps_the_evidence_of_its_step(self):
        """Guards against discarding the evidence of a step with each raise."""
        world = World()
        world.stats = lambda: stats_reply(int(world.clock.monotonic_s()))
        first, *_ = by_rank(world)
        await run_to(world, first, "running")
        await tick(first)
        began_s = world.clock.monotonic_s()
        await run_to_share(world, first, SHARES[0])
        await tick(first)
        elapsed_s = world.clock.monotonic_s() - began_s
        # The last counters are at most one collection interval old.
        self.assertThat(world.tested_count >= elapsed_s - 3.0 > 0.0, Is(True))

    @asynchronous
    async def test_a_successor_goes_on_from_the_stored_share(self):
        """Guards against sessions that change version at a takeover."""
        world = World()
        first, second, _ = by_rank(world)
        await run_to(world, first, "running")
        await run_to_share(world, first, SHARES[0] / 2)
        await tick(second)
        world.clock.advance(LEASE_S + MARGIN_S + 0.1)
        shares = []
        for _ in range(12):
            await tick(second)
            shares.append(world.rollout.share)
            world.clock.advance(0.5)
        self.assertThat(world.rollout.holder, Equals(second.host_id))
        # Two seconds pass between the takeover and the first raise.
        self.assertThat(shares[:5], Equals([SHARES[0] / 2] * 4 + [SHARES[0]]))
        self.assertThat(set(shares[5:]), Equals({SHARES[0]}))

    @asynchronous
    async def test_a_share_that_is_not_stored_does_not_grow(self):
        """Guards against skipping several raises after a platform outage."""
        world = World()
        first, *_ = by_rank(world)
        await run_to(world, first, "running")
        world.core.switch(outage="refuse")
        for _ in range(10):
            world.clock.advance(SHARE_INTERVAL_S)
            await tick(first)
        world.core.switch(outage="none")
        world.clock.advance(SHARE_INTERVAL_S)
        await tick(first)
        self.assertThat(world.rollout.share, Equals(SHARES[0] / 2))
