"""Tests of the roll-out runner against failures of controllers and platform."""

import asyncio
import itertools

import numpy as np
import pytest
from testtools import TestCase
from testtools.matchers import Equals, Is

from sesameknot.coordination._held_rollout import SHARE_INTERVAL_S
from sesameknot.errors import RouterError
from tests.coordination.rollout_fakes import (
    KEY,
    LEASE_S,
    MARGIN_S,
    ORDER_TIMEOUT_S,
    SHARES,
    WITHDRAWAL_KEY,
    World,
    asynchronous,
    by_rank,
    run_to,
    run_to_share,
    settle,
    tick,
)


class HolderTest(TestCase):
    @asynchronous
    async def test_one_holder_takes_the_rollout_through_its_steps(self):
        """Guards against steps without loaded engines and against a wrong holder."""
        world = World()
        first, second, _ = by_rank(world)
        await tick(second)
        self.assertThat(world.rollout.holder, Equals(""))
        await run_to(world, first, "running")
        self.assertThat(world.rollout.share, Equals(SHARES[0] / 4))
        await run_to_share(world, first, SHARES[0])
        self.assertThat(world.rollout.step, Equals(0))
        self.assertThat(len(world.engine_client.sent), Equals(1))
        world.verdict = "advance"
        await run_to(world, first, "complete")
        self.assertThat((world.rollout.step, world.rollout.share), Equals((2, 1.0)))
        self.assertThat(
            {url for url, _ in world.engine_client.sent}, Equals({*world.engines})
        )

    @asynchronous
    async def test_a_successor_resumes_the_step_of_a_dead_holder(self):
        """Guards against a roll-out that restarts or stalls when its holder dies."""
        world = World()
        first, second, _ = by_rank(world)
        world.verdict = "advance"
        await run_to(world, first, "running")
        while world.rollout.step < 1:
            await tick(first)
            world.clock.advance(6.0 if world.rollout.step else 0.5)
        world.verdict = "continue"
        await tick(second)
        for _ in range(10):
            world.clock.advance((LEASE_S + MARGIN_S) / 10 - 0.01)
            await tick(second)
        self.assertThat(world.rollout.holder, Equals(first.host_id))
        world.clock.advance(0.2)
        await tick(second)
        acquired = world.rollout
        self.assertThat(
            (acquired.holder, acquired.fence, acquired.step),
            Equals((second.host_id, 2, 1)),
        )
        world.verdict = "advance"
        await run_to(world, second, "complete")

    @asynchronous
    async def test_a_paused_holder_that_wakes_after_a_takeover_changes_nothing(self):
        """Guards against a step, withdrawal or order without a valid lease."""
        cases = itertools.product(("advance", "stop"), ("none", "refuse"))
        for verdict, outage in cases:
            world = World(fencing=False)
            first, second, _ = by_rank(world)
            await run_to(world, first, "running")
            await tick(second)
            world.clock.advance(LEASE_S + MARGIN_S + 0.1)
            await tick(second)
            before, sent = world.core.table.get(KEY), len(world.engine_client.sent)
            self.assertThat(before.value["holder"], Equals(second.host_id))
            # Its router has not received the takeover either.
            world.views[first.host_id].frozen = True
            world.verdict = verdict
            for engine in world.engines.values():
                engine.versions = {"small/v1"}
            world.core.switch(outage=outage)
            await tick(first)
            self.assertThat(world.core.table.get(KEY), Equals(before))
            self.assertThat(world.withdrawn, Is(False))
            self.assertThat(len(world.engine_client.sent), Equals(sent))
            world.core.switch(outage="none")
            await tick(first)
            self.assertThat(first.held, Equals({}))

    @asynchronous
    async def test_the_lease_counts_from_when_a_write_was_sent(self):
        """Guards against two holders when the answer to a renewal is late."""
        world = World()
        first, second, _ = by_rank(world)
        await run_to(world, first, "running")
        world.growth_factor = 1.0  # The next write is a renewal.
        platform = first._platform
        put, answer = platform.put, asyncio.Event()

        async def put_with_late_answer(*arguments, **options):
            stored = await put(*arguments, **options)
            await answer.wait()
            return stored

        platform.put = put_with_late_answer
        world.clock.advance(2.0)
        renewal = asyncio.create_task(first.tick())
        await settle()
        await tick(second)
        world.clock.advance(LEASE_S + MARGIN_S)
        answer.set()
        await renewal
        await tick(second)
        self.assertThat(world.rollout.holder, Equals(second.host_id))
        self.assertThat(first._held[KEY].lease.valid, Is(False))

    @asynchronous
    async def test_a_restarted_controller_waits_for_its_own_old_lease(self):
        """Guards against two processes of one host that both hold the roll-out."""
        world = World()
        first, *_ = by_rank(world)
        await run_to(world, first, "running")
        restarted = world.runner(first.host_id)
        await tick(restarted)
        self.assertThat(world.rollout.fence, Equals(1))
        world.clock.advance(LEASE_S + MARGIN_S)
        await tick(restarted)
        self.assertThat(world.rollout.fence, Equals(2))

    @asynchronous
    async def test_a_later_member_begins_when_the_first_ones_do_not(self):
        """Guards against a roll-out that waits for controllers that are down."""
        world = World()
        *_, third = by_rank(world)
        await tick(third)
        world.clock.advance(2 * LEASE_S - 0.1)
        await tick(third)
        self.assertThat(world.rollout.holder, Equals(""))
        world.clock.advance(0.2)
        await tick(third)
        self.assertThat(world.rollout.holder, Equals(third.host_id))

    @asynchronous
    async def test_a_released_rollout_is_taken_at_once(self):
        """Guards against waiting for the lease after a planned shutdown."""
        world = World()
        first, *_ = by_rank(world)
        await run_to(world, first, "running")
        await first.release()
        self.assertThat(world.rollout.holder, Equals(""))
        restarted = world.runner(first.host_id)
        await tick(restarted)
        self.assertThat((world.rollout.fence, world.rollout.step), Equals((2, 0)))

    @asynchronous
    async def test_a_paused_rollout_makes_no_step_but_is_stopped_when_bad(self):
        """Guards against a pause that also disables stopping a bad version."""
        world = World()
        first, *_ = by_rank(world)
        await run_to(world, first, "running")
        world.views[first.host_id].frozen = True
        world.write_as_operator(state="paused")
        world.verdict = "advance"
        for _ in range(3):
            world.clock.advance(SHARE_INTERVAL_S)
            await tick(first)
        self.assertThat(first.held[KEY].state, Equals("paused"))
        self.assertThat(
            (world.rollout.state, world.rollout.step), Equals(("paused", 0))
        )
        world.verdict = "stop"
        await run_to(world, first, "stopped")
        self.assertThat(world.withdrawn, Is(True))


class PlatformOutageTest(TestCase):
    @asynchronous
    async def test_an_outage_holds_the_step_and_lets_it_go_on(self):
        """Guards against a step that its holder has taken but not stored."""
        for lost_answers in (0, 1):
            world = World()
            first, second, _ = by_rank(world)
            await run_to(world, first, "running")
            await run_to_share(world, first, SHARES[0])
            world.verdict = "advance"
            world.clock.advance(SHARE_INTERVAL_S)
            await tick(first)
            step, share = world.rollout.step, world.rollout.share
            world.core.switch(outage="refuse", lose_write_answers=lost_answers)
            for _ in range(20):
                world.clock.advance(1.0)
                await tick(first)
                await tick(second)
            self.assertThat((world.rollout.step, step), Equals((1, 1)))
            self.assertThat(world.rollout.share, Equals(share))
            world.core.switch(outage="none")
            await run_to(world, first, "complete")
            self.assertThat(world.rollout.fence, Equals(1))

    @asynchronous
    async def test_a_stop_is_resumed_from_each_point_at_which_it_can_break(self):
        """Guards against "stopped" while the bad version is still in service."""
        for successful_writes, successor in itertools.product(range(3), (0, 1)):
            world = World()
            runners = by_rank(world)
            await run_to(world, runners[0], "running")
            await tick(runners[1])
            world.verdict = "stop"
            _fail_after(world, runners[0], successful_writes)
            await tick(runners[0])
            if world.rollout.state == "stopped":
                self.assertThat(world.withdrawn, Is(True))
            world.core.switch(outage="none")
            del runners[0]._platform.put
            # The successor has no evidence against the version itself.
            world.verdict = "stop" if successful_writes == 0 else "continue"
            await tick(runners[successor])
            world.clock.advance(2 * (LEASE_S + MARGIN_S))
            await run_to(world, runners[successor], "stopped")
            self.assertThat(world.withdrawn, Is(True))
            self.assertThat(
                world.core.table.get(WITHDRAWAL_KEY).version
                < world.core.table.get(KEY).version,
                Is(True),
            )


def _fail_after(world, runner, successful_writes):
    put, count = runner._platform.put, itertools.count()

    async def counted_put(*arguments, **options):
        if next(count) >= successful_writes:
            world.core.switch(outage="refuse")
        return await put(*arguments, **options)

    runner._platform.put = counted_put


class EngineTest(TestCase):
    @asynchronous
    async def test_a_successor_waits_for_orders_to_engines_without_fencing(self):
        """Guards against reading engine state while an old order is in progress."""
        world = World(fencing=False)
        first, second, _ = by_rank(world)
        release = asyncio.Event()
        for engine in world.engines.values():
            engine.release = release
        await tick(first)
        await tick(first)
        self.assertThat(len(world.engine_client.sent), Equals(1))
        await tick(second)
        world.clock.advance(LEASE_S + MARGIN_S + 0.1)
        await tick(second)
        self.assertThat(world.rollout.holder, Equals(second.host_id))
        world.clock.advance(ORDER_TIMEOUT_S - 0.5)
        await tick(second)
        release.set()
        await settle()
        await run_to(world, second, "running")
        self.assertThat(
            world.engine_client.sent, Equals([(world.engine_client.sent[0][0], 1)])
        )

    @asynchronous
    async def test_a_fence_of_another_rollout_does_not_block_the_holder(self):
        """Guards against a roll-out that an engine's higher fence blocks for good."""
        world = World()
        for engine in world.engines.values():
            engine.fence = 7
        first, *_ = by_rank(world)
        await run_to(world, first, "running")
        self.assertThat(world.rollout.fence, Equals(8))

    @asynchronous
    async def test_an_engine_that_refuses_holds_the_step_and_a_dead_one_does_not(self):
        """Guards against moving all traffic to the few engines with the version."""
        world = World()
        first, *_ = by_rank(world)
        await run_to(world, first, "running")
        (loaded, _), *_ = world.engine_client.sent
        refusing, dead = [url for url in world.engines if url != loaded]

        async def refuse(*arguments):
            raise RouterError("weight store is busy")

        load, world.engines[refusing].load = world.engines[refusing].load, refuse
        engine = world.engines.pop(dead)
        world.engine_client.fetch_load = _unreachable(
            world.engine_client.fetch_load, dead
        )
        world.verdict = "advance"
        for _ in range(30):
            world.clock.advance(1.0)
            await tick(first)
        # A quarter of the traffic needs one engine, all of it also the refusing one.
        self.assertThat(world.rollout.step, Equals(1))
        world.engines[refusing].load = load
        await run_to(world, first, "complete")
        self.assertThat(engine.accepted, Equals([]))


def _unreachable(load, dead):
    async def checked(endpoint_id, url):
        if url == dead:
            raise RouterError("connection refused")
        return await load(endpoint_id, url)

    return checked


@pytest.mark.parametrize("seed", range(30))
def test_random_failures_leave_one_holder_and_one_way(seed):
    """Guards against two holders, a step back, and a stop without withdrawal."""
    asyncio.run(_random_schedule(seed))


async def _random_schedule(seed):
    rng = np.random.default_rng(seed)
    world = World(fencing=bool(seed % 2))
    runners = {name: world.runner(name) for name in ("h0", "h1", "h2")}
    bad = seed % 3 == 0
    highest, rollout = (0, 0), world.rollout
    for _ in range(400):
        world.clock.advance(float(rng.choice([0.0, 0.2, 1.0, 4.0])))
        name = str(rng.choice(list(runners)))
        action = rng.integers(12)
        if action == 0:
            world.views[name].frozen = not world.views[name].frozen
        elif action == 1:
            world.core.switch(outage=str(rng.choice(["none", "refuse", "hang"])))
        elif action == 2:
            world.core.switch(lose_write_answers=int(rng.integers(3)))
        elif action == 3:
            runners[name] = world.runner(name)
        elif action == 4:
            world.verdict = str(rng.choice(["continue", "advance"]))
            world.growth_factor = float(rng.choice([1.0, 1.04, 2.0]))
        elif action == 6:
            url = str(rng.choice(list(world.engines)))
            world.engines[url].versions = {"small/v1"}
        elif action == 5 and bad and world.rollout.share > 0:
            world.verdict = "stop"
        else:
            await tick(runners[name])
        before, rollout = rollout, world.rollout
        _check_shares(before, rollout)
        valid = [n for n, r in runners.items() if _holds(r)]
        assert len(valid) <= 1, (seed, valid)
        assert not world.engine_client.unauthorised, seed
        assert (rollout.fence, rollout.step) >= highest, (seed, rollout)
        assert rollout.step >= highest[1], (seed, rollout)
        highest = (rollout.fence, rollout.step)
        if rollout.state == "stopped":
            assert world.withdrawn, seed
    await _recover(world, runners, "stop" if bad else "advance")
    expected = "stopped" if bad else "complete"
    assert world.rollout.state == expected, (seed, world.rollout)


def _check_shares(before, after):
    """Check the change of one tick against the rules for shares."""
    if after.state == "stopped":
        assert after.share == 0.0
        return
    full = SHARES[before.step]
    if (after.step, after.state) != (before.step, before.state) and before.share:
        assert before.share == full, (before, after)
    change = after.share - before.share
    assert change >= 0.0, (before, after)
    assert after.share <= SHARES[after.step], (before, after)
    small = change < 0.1 * before.share and after.step == before.step
    assert not (change and small) or after.share == full, (before, after)


def _holds(runner):
    return any(held.lease.valid for held in runner._held.values())


async def _recover(world, runners, verdict):
    world.core.switch(outage="none", lose_write_answers=0)
    world.verdict, world.growth_factor = verdict, 2.0
    for view in world.views.values():
        view.frozen = False
    for _ in range(200):
        world.clock.advance(0.7)
        for runner in runners.values():
            await tick(runner)
