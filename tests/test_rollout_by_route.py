"""Tests of roll-outs to versions that fail on one route, or on a few answers only."""

import asyncio

from testtools.matchers import Equals, LessThan
from tornado.testing import gen_test

from tests.front_world import (
    PLAIN_SERVICE,
    SAFE_PATH,
    UNSAFE_PATH,
    FrontWorld,
    configuration,
)
from tests.virtual_time import VirtualTimeMixin

ROLLOUT_S = 16.0
CALM_S = 4.0
REQUEST_INTERVAL_S = 0.02
# One request of seven goes to the rare route.
PATHS = [UNSAFE_PATH] * 6 + [SAFE_PATH]
# The routes want an answer within 0.4 s.
SLOW_SHARE = 0.12
SLOW_S = 0.25
EXPOSE_SHARE = 0.15
EXPOSE_SLACK_COUNT = 30


class RolloutByRouteTest(VirtualTimeMixin, FrontWorld):
    def setUp(self):
        super().setUp()
        self.store.put("config", "main", configuration())
        self.tasks = []

    def add_version(self, version, **options):
        """Start two endpoints of a version; some answers of each one are slow."""
        options = {"slow_share": SLOW_SHARE, "slow_s": SLOW_S, **options}
        for number in range(2):
            self.add_endpoint(
                f"{version}-{number}",
                PLAIN_SERVICE,
                version=version,
                event_count=0,
                **options,
            )

    def rollout_state(self):
        status = self.store.get("rollouts", PLAIN_SERVICE)["Status"] or {}
        return status.get("State")

    def run_count(self, version):
        endpoints = self.endpoints.items()
        return sum(len(e.runs) for name, e in endpoints if name.startswith(version))

    async def roll_out(
        self, *, interval_s=REQUEST_INTERVAL_S, watched_s=0.0, **options
    ):
        """Order a roll-out under load; return its state and the exposure."""
        self.add_version("v1")
        bounds = {
            "rollout_share": EXPOSE_SHARE,
            "rollout_slack_count": EXPOSE_SLACK_COUNT,
        }
        fronts = [await self.start_front(f"host-{n}", **bounds) for n in range(2)]
        await self.send_for(fronts, CALM_S, interval_s)
        self.add_version("v2", **options)
        order = {"Service": PLAIN_SERVICE, "Target": "v2", "DurationS": ROLLOUT_S}
        self.store.put("rollouts", PLAIN_SERVICE, order)
        before_count = self.run_count("v1")
        await self.send_for(fronts, ROLLOUT_S, interval_s)
        new_count = self.run_count("v2")
        all_count = new_count + self.run_count("v1") - before_count
        await self.send_for(fronts, watched_s, interval_s)
        for task in self.tasks:
            task.cancel()
        return self.rollout_state(), new_count, all_count

    async def send_for(self, fronts, duration_s, interval_s):
        """Send requests of all routes at equal intervals."""
        for number in range(round(duration_s / interval_s)):
            path = PATHS[number % len(PATHS)]
            request = self.ask(fronts[number % len(fronts)], path)
            self.tasks.append(asyncio.create_task(request))
            await self.pause(interval_s)

    @gen_test(timeout=110)
    async def test_version_that_fails_on_a_rare_route_is_rolled_back(self):
        """Guards against failures on one route that the other routes thin out."""
        state, new_count, all_count = await self.roll_out(
            error_share=0.31, error_path=SAFE_PATH
        )
        self.assertThat(state, Equals("rolled_back"))
        limit_count = EXPOSE_SHARE * all_count + EXPOSE_SLACK_COUNT
        self.assertThat(new_count, LessThan(limit_count))

    @gen_test(timeout=110)
    async def test_version_that_fails_a_few_in_a_hundred_is_rolled_back(self):
        """Guards against a rise below the one that the test sought."""
        state, new_count, all_count = await self.roll_out(error_share=0.06)
        self.assertThat(state, Equals("rolled_back"))
        limit_count = EXPOSE_SHARE * all_count + EXPOSE_SLACK_COUNT
        self.assertThat(new_count, LessThan(limit_count))

    @gen_test(timeout=110)
    async def test_version_with_few_answers_is_not_completed_when_they_fail(self):
        """Guards against a bad version that is completed since few answers came."""
        state, _, _ = await self.roll_out(interval_s=0.8, error_share=1.0)
        self.assertThat(state in ("rolled_back", "running"), Equals(True), state)

    @gen_test(timeout=110)
    async def test_good_version_is_completed_in_time(self):
        """Guards against doubts about every version."""
        state, _, _ = await self.roll_out()
        self.assertThat(state, Equals("succeeded"))
