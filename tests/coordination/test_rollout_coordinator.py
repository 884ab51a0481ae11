"""Tests of the coordination of roll-outs between front hosts."""

import asyncio

from testtools.matchers import Equals, HasLength
from tornado.testing import gen_test

from sesameknot.clock import ManualClock
from sesameknot.coordination._order_timing import ExposureLimit
from sesameknot.coordination.host_calls import HostCalls
from sesameknot.coordination.rollout_coordinator import RolloutCoordinator
from sesameknot.policy.rendezvous import rendezvous_order
from sesameknot.policy.timed_rollout import TimedRolloutPlan, TimedRolloutPolicy
from sesameknot.protocol.fleet_records import HostEntry, RolloutOrder, RolloutOutcome
from sesameknot.protocol.messages import OrderAge, StatsReply
from sesameknot.state.attempt_counts import AttemptCounts
from sesameknot.state.fleet_view import FleetView
from tests.support import LoopTestCase, eventually

SERVICE = "advisor"


class _WrittenEntry:
    revision = 9


class _Store:
    def __init__(self):
        self.written = []

    async def write_status(self, kind, name, status, *, expected_revision):
        self.written.append(status)
        return _WrittenEntry()


class _Peers:
    """A peer that received the order ``age_ms`` ago."""

    def __init__(self, age_ms):
        age = OrderAge(service=SERVICE, target_version="v2", age_ms=age_ms)
        self.reply = StatsReply(host_id="other", orders=[age])

    async def call(self, address, body, *, expect, timeout_s):
        return self.reply


class RolloutCoordinatorTest(LoopTestCase):
    def start(self, *, age_ms):
        self.clock = ManualClock()
        view = FleetView(self.clock)
        for host_id in ("other", "own"):
            view.hosts[host_id] = HostEntry(
                host_id=host_id, peer_address="127.0.0.1:1", domain="a"
            )
        view.rollouts[SERVICE] = RolloutOrder(
            service=SERVICE, target_version="v2", duration_s=20.0
        )
        self.store = _Store()
        plan = TimedRolloutPlan(
            first_share=0.25, first_share_at=0.5, full_share_at=0.7, decide_at=0.9
        )
        self.coordinator = RolloutCoordinator(
            view=view,
            store=self.store,
            calls=HostCalls(view=view, peers=_Peers(age_ms), clock=self.clock),
            attempt_counts=AttemptCounts(),
            rollout_policy=TimedRolloutPolicy(plan),
            host_id=rendezvous_order(SERVICE, view.hosts)[0],
            interval_s=0.01,
            exposure_limit=ExposureLimit(0.15, 30.0),
            clock=self.clock,
        )
        self.view = view
        task = asyncio.ensure_future(self.coordinator.run())
        self.closing(task.cancel)

    @gen_test
    async def test_course_counts_from_the_host_that_saw_the_order_first(self):
        """Guards against a late end if the coordinator received the order late."""
        self.start(age_ms=3000.0)
        await eventually(lambda: self.store.written, limit_s=2.0)
        started_ms = self.store.written[0]["StartedMs"]
        self.assertThat(started_ms, Equals(self.clock.wall_ms() - 3000))

    @gen_test
    async def test_fault_in_one_step_does_not_end_the_task(self):
        """Guards against roll-outs that no host advances after an unexpected error."""
        self.start(age_ms=0.0)
        advance = self.coordinator._advance
        faults = [KeyError("a host that is gone")]

        async def advance_after_a_fault(order):
            if faults:
                raise faults.pop()
            await advance(order)

        self.coordinator._advance = advance_after_a_fault
        await eventually(lambda: self.store.written, limit_s=2.0)
        self.assertThat(faults, HasLength(0))

    @gen_test
    async def test_age_from_the_store_is_not_passed_on(self):
        """Guards against one wrong wall clock that ends roll-outs on all hosts."""
        self.start(age_ms=0.0)
        self.view.rollouts[SERVICE] = RolloutOrder(
            service=SERVICE,
            target_version="v2",
            duration_s=20.0,
            outcome=RolloutOutcome.RUNNING,
            started_ms=1,
        )
        await eventually(self.coordinator.order_ages, limit_s=2.0)
        self.assertThat(self.coordinator.order_ages()[0].age_ms, Equals(0.0))

    @gen_test
    async def test_closed_order_is_forgotten(self):
        """Guards against a second order of a version that starts with an old age."""
        self.start(age_ms=0.0)
        await eventually(self.coordinator.order_ages, limit_s=2.0)
        self.view.rollouts[SERVICE] = RolloutOrder(
            service=SERVICE,
            target_version="v2",
            duration_s=20.0,
            outcome=RolloutOutcome.ROLLED_BACK,
        )
        await eventually(lambda: not self.coordinator.order_ages(), limit_s=2.0)
        self.assertThat(self.coordinator.order_ages(), HasLength(0))
