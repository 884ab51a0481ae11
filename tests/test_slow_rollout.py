"""Tests of roll-outs to versions whose streams are slow.

The load: a steady flow of streams, of which the new version's take longer than the
roll-out, so that none of them has ended when it is decided.
"""

import asyncio

from testtools.matchers import Equals
from tornado.testing import gen_test

from tests.front_world import MODEL_SERVICE, STREAM_PATH, FrontWorld, configuration
from tests.virtual_time import VirtualTimeMixin

EVENT_COUNT = 40
USUAL_GAP_S = 0.02
SLOW_FACTOR = 8.0
ROLLOUT_S = 8.0
REQUEST_INTERVAL_S = 0.05


class SlowRolloutTest(VirtualTimeMixin, FrontWorld):
    def setUp(self):
        super().setUp()
        self.store.put("config", "main", configuration())
        self.tasks = []

    def add_engines(self, version, gaps_s):
        """Start an engine of a version for each time between events."""
        for number, gap_s in enumerate(gaps_s):
            self.add_endpoint(
                f"{version}-{number}",
                MODEL_SERVICE,
                version=version,
                confidences={"small": 90, "large": 90},
                event_count=EVENT_COUNT,
                event_gap_s=gap_s,
            )

    def rollout_state(self):
        status = self.store.get("rollouts", MODEL_SERVICE)["Status"] or {}
        return status.get("State")

    async def roll_out(self, *, new_gaps_s):
        """Order a roll-out under load; return its state at the end."""
        self.add_engines("v1", [USUAL_GAP_S] * 2)
        fronts = [await self.start_front(f"host-{n}") for n in range(2)]
        await self.send_for(fronts, 3.0)
        self.add_engines("v2", new_gaps_s)
        self.store.put(
            "rollouts",
            MODEL_SERVICE,
            {"Service": MODEL_SERVICE, "Target": "v2", "DurationS": ROLLOUT_S},
        )
        await self.send_for(fronts, ROLLOUT_S)
        state = self.rollout_state()
        for task in self.tasks:
            task.cancel()
        return state

    async def send_for(self, fronts, duration_s):
        """Send requests of many sessions at equal intervals."""
        for number in range(round(duration_s / REQUEST_INTERVAL_S)):
            headers = {
                "X-Model": "*",
                "X-Token-Usage": "100,80",
                "X-Prompt-Prefix": f"5c1e:40,{number:04x}:40,{number:05x}:20",
            }
            request = self.ask(
                fronts[number % len(fronts)], STREAM_PATH, headers=headers
            )
            self.tasks.append(asyncio.create_task(request))
            await self.pause(REQUEST_INTERVAL_S)

    @gen_test(timeout=60)
    async def test_version_that_slows_half_of_its_streams_is_rolled_back(self):
        """Guards against a slow version that is kept because no slow stream ended."""
        slow_gap_s = SLOW_FACTOR * USUAL_GAP_S
        state = await self.roll_out(new_gaps_s=[USUAL_GAP_S, slow_gap_s])
        self.assertThat(state, Equals("rolled_back"))

    @gen_test(timeout=60)
    async def test_version_of_usual_pace_is_kept(self):
        """Guards against a roll-back because of moderate differences in pace."""
        state = await self.roll_out(new_gaps_s=[USUAL_GAP_S, 1.5 * USUAL_GAP_S])
        self.assertThat(state, Equals("succeeded"))
