"""Carry roll-outs from the order to their end, one host at a time.

Every host computes the same order of hosts for a service. A host acts if no host
before it answers. Two hosts that act at once do no harm: each step is a conditional
update of the roll-out's status.
"""

import asyncio
from collections.abc import Sequence
from dataclasses import replace

import structlog

from sesameknot.clock import Clock
from sesameknot.errors import ConflictError, PlatformError, RouterError
from sesameknot.platform import ROLLOUT_KIND, StoreClient, encode_rollout_progress
from sesameknot.policy.rendezvous import rendezvous_order
from sesameknot.policy.rollout_statistics import VersionSample
from sesameknot.policy.timed_rollout import (
    RolloutAction,
    RolloutProgress,
    TimedRolloutPolicy,
)
from sesameknot.protocol.fleet_records import RolloutOrder, RolloutOutcome
from sesameknot.protocol.messages import OrderAge, StatsReply, StatsRequest
from sesameknot.state.fleet_view import FleetView
from sesameknot.state.version_counts import VersionCounts
from sesameknot.transport.peer_client import PeerClient

PEER_TIMEOUT_S = 0.3
OPEN_OUTCOMES = frozenset({RolloutOutcome.REQUESTED, RolloutOutcome.RUNNING})

log = structlog.get_logger(__name__)


class _Course:
    """What this host has seen of one roll-out; times are monotonic."""

    __slots__ = ("seen_s", "share", "share_s", "started_s", "target_version")

    def __init__(self, order: RolloutOrder, started_s: float, now_s: float) -> None:
        self.target_version = order.target_version
        self.started_s = started_s
        self.seen_s = now_s
        self.share = order.share
        self.share_s = now_s


class RolloutDuty:
    """Task that moves roll-outs on.

    Parameters
    ----------
    view : FleetView
        Orders, endpoints and hosts.
    store : StoreClient
        Takes the progress.
    peers : PeerClient
        Collects the counters of other hosts.
    counts : VersionCounts
        Counters of this host.
    course : TimedRolloutPolicy
        Decides the steps.
    host_id : str
        This host.
    interval_s : float
        Pause between two looks.
    clock : Clock
        Source of time.
    """

    def __init__(
        self,
        *,
        view: FleetView,
        store: StoreClient,
        peers: PeerClient,
        counts: VersionCounts,
        course: TimedRolloutPolicy,
        host_id: str,
        interval_s: float,
        clock: Clock,
    ) -> None:
        self._view = view
        self._store = store
        self._peers = peers
        self._counts = counts
        self._course = course
        self._host_id = host_id
        self._interval_s = interval_s
        self._clock = clock
        self._courses: dict[str, _Course] = {}

    async def run(self) -> None:
        """Look after all open roll-outs until cancelled."""
        while True:
            await asyncio.sleep(self._interval_s)
            self._forget_closed()
            for order in self._open_orders():
                self._follow(order)
                try:
                    await self._look_after(order)
                except RouterError as error:
                    log.warning(
                        "rollout_step_failed",
                        service=order.service,
                        step=error.step,
                        reason=error.message,
                    )

    def order_ages(self) -> list[OrderAge]:
        """Return how long this host has known the open orders.

        Times from the store are left out; another host's wall clock may be wrong.
        """
        now_s = self._clock.monotonic_s()
        return [
            OrderAge(
                service=service,
                target_version=course.target_version,
                age_ms=(now_s - course.seen_s) * 1000.0,
            )
            for service, course in self._courses.items()
        ]

    def _open_orders(self) -> list[RolloutOrder]:
        orders = self._view.rollouts.values()
        return [order for order in orders if order.outcome in OPEN_OUTCOMES]

    def _forget_closed(self) -> None:
        """Forget courses that ended; the same version may be ordered again."""
        still_open = {order.service for order in self._open_orders()}
        for service in set(self._courses) - still_open:
            del self._courses[service]

    def _follow(self, order: RolloutOrder) -> _Course:
        now_s = self._clock.monotonic_s()
        course = self._courses.get(order.service)
        if course is None or course.target_version != order.target_version:
            elapsed_s = 0.0
            if order.started_ms:
                elapsed_s = (self._clock.wall_ms() - order.started_ms) / 1000.0
            # Wall clocks of hosts differ and may jump.
            elapsed_s = min(order.duration_s, max(0.0, elapsed_s))
            course = _Course(order, now_s - elapsed_s, now_s)
            self._courses[order.service] = course
        if course.share != order.share:
            course.share = order.share
            course.share_s = now_s
        return course

    async def _look_after(self, order: RolloutOrder) -> None:
        if not await self._is_first(order.service):
            return
        replies = await self._replies()
        new, stable = self._samples(order, replies)
        course = self._follow(order)
        self._learn_age(order, course, replies)
        now_s = self._clock.monotonic_s()
        progress = RolloutProgress(
            started=order.outcome is RolloutOutcome.RUNNING,
            share=order.share,
            elapsed_share=(now_s - course.started_s) / order.duration_s,
            time_since_raise_share=(now_s - course.share_s) / order.duration_s,
            target_endpoint_count=self._target_count(order),
        )
        step, share = self._course.next_action(progress, new, stable)
        if step is RolloutAction.WAIT:
            return
        await self._record(order, step, share, course)
        log.info(
            "rollout_step",
            service=order.service,
            target=order.target_version,
            decision=str(step),
            share=share,
            elapsed_share=round(progress.elapsed_share, 3),
            new_answers=new.request_count,
            new_bad=new.error_count,
            stable_answers=stable.request_count,
            stable_bad=stable.error_count,
            revision=order.revision,
        )

    async def _record(
        self, order: RolloutOrder, step: RolloutAction, share: float, course: _Course
    ) -> None:
        outcomes = {
            RolloutAction.FINISH: RolloutOutcome.SUCCEEDED,
            RolloutAction.ROLL_BACK: RolloutOutcome.ROLLED_BACK,
        }
        elapsed_ms = int((self._clock.monotonic_s() - course.started_s) * 1000)
        changed = replace(
            order,
            outcome=outcomes.get(step, RolloutOutcome.RUNNING),
            share=share,
            started_ms=order.started_ms or self._clock.wall_ms() - elapsed_ms,
        )
        try:
            entry = await self._store.write_status(
                ROLLOUT_KIND,
                order.service,
                encode_rollout_progress(changed),
                expected_revision=order.revision,
            )
        except ConflictError as error:
            log.info("rollout_changed_meanwhile", service=error.peer)
            return
        except PlatformError:
            # The watch shows whether the update took effect.
            log.info("rollout_update_unknown", service=order.service, decision=step)
            raise
        current = self._view.rollouts.get(order.service)
        if current is not None and current.revision <= order.revision:
            self._view.rollouts[order.service] = replace(
                changed, revision=entry.revision
            )

    async def _is_first(self, service: str) -> bool:
        for host_id in rendezvous_order(service, self._view.hosts):
            if host_id == self._host_id:
                return True
            if await self._stats_of(host_id) is not None:
                return False
        return True

    async def _replies(self) -> list[StatsReply]:
        """Return the answers of all other hosts that give one."""
        others = [h for h in self._view.hosts if h != self._host_id]
        found = await asyncio.gather(*(self._stats_of(h) for h in others))
        return [reply for reply in found if reply is not None]

    def _samples(
        self, order: RolloutOrder, replies: Sequence[StatsReply]
    ) -> tuple[VersionSample, VersionSample]:
        records = self._counts.records()
        for reply in replies:
            records += reply.versions
        new = [0, 0]
        stable = [0, 0]
        for record in records:
            if record.model != order.service:
                continue
            counts = new if record.version == order.target_version else stable
            counts[0] += record.request_count
            counts[1] += record.error_count
        return VersionSample(new[0], new[1]), VersionSample(stable[0], stable[1])

    def _learn_age(
        self, order: RolloutOrder, course: _Course, replies: Sequence[StatsReply]
    ) -> None:
        """Take the time of the host that saw the order first."""
        ages_ms = [
            age.age_ms
            for reply in replies
            for age in reply.orders
            if (age.service, age.target_version)
            == (order.service, order.target_version)
        ]
        age_s = min(order.duration_s, max(ages_ms, default=0.0) / 1000.0)
        course.started_s = min(course.started_s, self._clock.monotonic_s() - age_s)

    async def _stats_of(self, host_id: str) -> StatsReply | None:
        """Return a peer's answer, None if it does not answer."""
        try:
            return await self._peers.call(
                self._view.hosts[host_id].peer_address,
                StatsRequest(requester=self._host_id),
                expect=StatsReply,
                timeout_s=PEER_TIMEOUT_S,
            )
        except RouterError as error:
            log.info("peer_silent", peer=host_id, reason=error.message)
            return None

    def _target_count(self, order: RolloutOrder) -> int:
        return sum(
            known.entry.service == order.service
            and known.entry.version == order.target_version
            and self._view.may_send(known)
            for known in self._view.endpoints.values()
        )
