"""Advance the roll-outs that operators order in the store, for front hosts.

One host at a time coordinates the roll-out of a service. Every host computes the same
ranking of hosts for the service, and a host acts if no host ranked before it answers.
Two hosts that act at once do no harm, because each step is a conditional update of the
roll-out's status. The roll-outs that teams plan in their settings are run by
:mod:`sesameknot.coordination.rollout_runner`.
"""

import asyncio
from collections.abc import Sequence
from dataclasses import replace

import structlog

from sesameknot.clock import Clock
from sesameknot.coordination._order_timing import ExposureLimit, OrderTiming
from sesameknot.coordination._route_counts import RouteCounts
from sesameknot.coordination.host_calls import HostCalls
from sesameknot.errors import ConflictError, PlatformError, RouterError
from sesameknot.platform import ROLLOUT_KIND, StoreClient, encode_rollout_progress
from sesameknot.policy.rendezvous import rendezvous_order
from sesameknot.policy.rollout_statistics import VersionSample
from sesameknot.policy.route_evidence import VersionPair
from sesameknot.policy.stream_pace import PaceGroup, compare_paces
from sesameknot.policy.timed_rollout import (
    RolloutAction,
    RolloutProgress,
    TimedRolloutPolicy,
)
from sesameknot.protocol.fleet_records import RolloutOrder, RolloutOutcome
from sesameknot.protocol.messages import OrderAge, StatsReply, StatsRequest
from sesameknot.state.attempt_counts import AttemptCounts
from sesameknot.state.fleet_view import FleetView

PEER_TIMEOUT_S = 0.3
OPEN_OUTCOMES = frozenset({RolloutOutcome.REQUESTED, RolloutOutcome.RUNNING})

log = structlog.get_logger(__name__)


class RolloutCoordinator:
    """Task that advances open roll-outs on the host that ranks first.

    Parameters
    ----------
    view : FleetView
        Orders, endpoints and hosts.
    store : StoreClient
        Stores the progress.
    calls : HostCalls
        Calls other hosts, for their counters.
    attempt_counts : AttemptCounts
        Counters of this host.
    rollout_policy : TimedRolloutPolicy
        Decides the next action.
    host_id : str
        Name of this host.
    interval_s : float
        Time between two checks of the open roll-outs.
    exposure_limit : ExposureLimit
        Requests that a bad version may get.
    clock : Clock
        Source of time.
    """

    def __init__(
        self,
        *,
        view: FleetView,
        store: StoreClient,
        calls: HostCalls,
        attempt_counts: AttemptCounts,
        rollout_policy: TimedRolloutPolicy,
        host_id: str,
        interval_s: float,
        exposure_limit: ExposureLimit,
        clock: Clock,
    ) -> None:
        self._exposure_limit = exposure_limit
        self._view = view
        self._store = store
        self._calls = calls
        self._attempt_counts = attempt_counts
        self._rollout_policy = rollout_policy
        self._host_id = host_id
        self._interval_s = interval_s
        self._clock = clock
        self._timings: dict[str, OrderTiming] = {}

    async def run(self) -> None:
        """Check and advance all open roll-outs until cancelled."""
        while True:
            await asyncio.sleep(self._interval_s)
            self._drop_closed()
            for order in self._open_or_unsaved_orders():
                try:
                    if order.service in self._view.unsaved_rollouts:
                        await self._save(order)
                    else:
                        self._update_timing(order)
                        await self._advance(order)
                except RouterError as error:
                    log.warning(
                        "rollout_step_failed",
                        service=order.service,
                        step=error.step,
                        reason=error.message,
                    )
                except Exception:
                    # An error in one order must not end the task for the others.
                    log.exception("rollout_step_failed", service=order.service)

    def order_ages(self) -> list[OrderAge]:
        """Return the time since this host received each open order.

        Start times from the store are not used, because the wall clock of the host
        that wrote them may be wrong.
        """
        now_s = self._clock.monotonic_s()
        return [
            OrderAge(
                service=service,
                target_version=timing.target_version,
                age_ms=(now_s - timing.first_seen_s) * 1000.0,
            )
            for service, timing in self._timings.items()
        ]

    def _open_orders(self) -> list[RolloutOrder]:
        orders = self._view.rollouts.values()
        return [order for order in orders if order.outcome in OPEN_OUTCOMES]

    def _open_or_unsaved_orders(self) -> list[RolloutOrder]:
        unsaved = self._view.unsaved_rollouts
        return [
            order
            for order in self._view.rollouts.values()
            if order.outcome in OPEN_OUTCOMES or order.service in unsaved
        ]

    async def _save(self, order: RolloutOrder) -> None:
        """Write again the progress that the store lost when it came from a copy."""
        if not await self._is_coordinator(order.service):
            return
        saved = await self._write_status(order)
        # After a conflict, the watch tells what another writer has stored.
        self._view.unsaved_rollouts.discard(order.service)
        if not saved:
            return
        log.info(
            "rollout_saved_again",
            service=order.service,
            target=order.target_version,
            outcome=str(order.outcome),
            share=order.share,
        )

    def _drop_closed(self) -> None:
        """Drop the times of closed orders; the same version may be ordered again."""
        still_open = {order.service for order in self._open_orders()}
        for service in set(self._timings) - still_open:
            del self._timings[service]

    def _update_timing(self, order: RolloutOrder) -> OrderTiming:
        now_s = self._clock.monotonic_s()
        timing = self._timings.get(order.service)
        if timing is None or timing.target_version != order.target_version:
            elapsed_s = 0.0
            if order.started_ms:
                elapsed_s = (self._clock.wall_ms() - order.started_ms) / 1000.0
            # The start may be another host's wall time; wall clocks differ and jump.
            elapsed_s = min(order.duration_s, max(0.0, elapsed_s))
            timing = OrderTiming(order, now_s - elapsed_s, now_s)
            if not order.share:
                # Troubles of the stable version before the order are no measure.
                self._attempt_counts.forget(order.service)
            self._timings[order.service] = timing
        if timing.share != order.share:
            timing.share = order.share
            timing.share_changed_s = now_s
        return timing

    async def _advance(self, order: RolloutOrder) -> None:
        if not await self._is_coordinator(order.service):
            return
        replies = await self._peer_stats()
        pairs = self._samples(order, replies)
        timing = self._update_timing(order)
        self._adopt_earliest_start(order, timing, replies)
        now_s = self._clock.monotonic_s()
        progress = RolloutProgress(
            started=order.outcome is RolloutOutcome.RUNNING,
            share=order.share,
            elapsed_share=(now_s - timing.started_s) / order.duration_s,
            time_since_raise_share=(now_s - timing.share_changed_s) / order.duration_s,
            target_endpoint_count=self._target_endpoint_count(order),
            step_share=self._interval_s / order.duration_s,
            exposure_limit_share=self._exposure_limit.share_of(
                timing.expected_request_count(
                    _request_count(pairs[0]), now_s, duration_s=order.duration_s
                )
            ),
        )
        new_streams, stable_streams = self._stream_samples(order, replies)
        action, share = self._rollout_policy.next_action(
            progress,
            pairs,
            new_streams=new_streams,
            stable_streams=stable_streams,
        )
        if action is RolloutAction.WAIT:
            if progress.elapsed_share >= 1.0 and not timing.undecided_logged:
                timing.undecided_logged = True
                self._log_undecided(order, pairs)
            return
        await self._write_progress(order, action, share, timing)
        new, stable = pairs[0].new, pairs[0].stable
        evidence = self._rollout_policy.evidence(pairs)
        log.info(
            "rollout_step",
            service=order.service,
            target=order.target_version,
            decision=str(action),
            share=share,
            elapsed_share=round(progress.elapsed_share, 3),
            new_answers=new.request_count,
            new_bad=new.error_count,
            stable_answers=stable.request_count,
            stable_bad=stable.error_count,
            evidence=round(evidence.llr, 2),
            route=evidence.route,
            fault=evidence.fault,
            new_streams=new_streams.request_count,
            new_slow=new_streams.error_count,
            stable_streams=stable_streams.request_count,
            stable_slow=stable_streams.error_count,
            revision=order.revision,
        )

    def _log_undecided(self, order: RolloutOrder, pairs: Sequence[VersionPair]) -> None:
        evidence = self._rollout_policy.evidence(pairs)
        log.warning(
            "rollout_undecided",
            service=order.service,
            target=order.target_version,
            share=order.share,
            evidence=round(evidence.llr, 2),
            route=evidence.route,
            fault=evidence.fault,
            answers={
                f"{pair.fault} {pair.route or 'all'}": [
                    pair.new.error_count,
                    pair.new.request_count,
                ]
                for pair in pairs
            },
        )

    async def _write_progress(
        self,
        order: RolloutOrder,
        action: RolloutAction,
        share: float,
        timing: OrderTiming,
    ) -> None:
        outcomes = {
            RolloutAction.FINISH: RolloutOutcome.SUCCEEDED,
            RolloutAction.ROLL_BACK: RolloutOutcome.ROLLED_BACK,
        }
        elapsed_ms = int((self._clock.monotonic_s() - timing.started_s) * 1000)
        updated = replace(
            order,
            outcome=outcomes.get(action, RolloutOutcome.RUNNING),
            share=share,
            started_ms=order.started_ms or self._clock.wall_ms() - elapsed_ms,
        )
        await self._write_status(updated)

    async def _write_status(self, order: RolloutOrder) -> bool:
        """Write the progress of an order; return False if its revision has changed."""
        try:
            entry = await self._store.write_status(
                ROLLOUT_KIND,
                order.service,
                encode_rollout_progress(order),
                expected_revision=order.revision,
            )
        except ConflictError as error:
            log.info("rollout_update_conflict", service=error.peer)
            return False
        except PlatformError:
            # The watch shows whether the update took effect.
            log.info(
                "rollout_update_unconfirmed",
                service=order.service,
                outcome=str(order.outcome),
            )
            raise
        current = self._view.rollouts.get(order.service)
        if current is not None and current.revision <= order.revision:
            self._view.rollouts[order.service] = replace(order, revision=entry.revision)
        return True

    async def _is_coordinator(self, service: str) -> bool:
        for host_id in rendezvous_order(service, self._view.live_hosts):
            if host_id == self._host_id:
                return True
            if await self._fetch_stats(host_id) is not None:
                return False
        return True

    async def _peer_stats(self) -> list[StatsReply]:
        """Return the replies of all other hosts that answer."""
        others = [h for h in self._view.live_hosts if h != self._host_id]
        replies = await asyncio.gather(*(self._fetch_stats(h) for h in others))
        return [reply for reply in replies if reply is not None]

    def _samples(
        self, order: RolloutOrder, replies: Sequence[StatsReply]
    ) -> list[VersionPair]:
        """Return the answers of both versions: of all routes, then of each route."""
        records = self._attempt_counts.records()
        for reply in replies:
            records += reply.versions
        counts = RouteCounts()
        for record in records:
            if record.model == order.service:
                counts.add(record, is_new=record.version == order.target_version)
        return counts.pairs()

    def _stream_samples(
        self, order: RolloutOrder, replies: Sequence[StatsReply]
    ) -> tuple[VersionSample, VersionSample]:
        """Return streams and slow streams of the target and of other versions."""
        records = self._attempt_counts.pace_records()
        for reply in replies:
            records += reply.paces
        new, stable = [], []
        for record in records:
            if record.service == order.service:
                group = PaceGroup(record.model, record.level, record.stream_count)
                is_new = record.version == order.target_version
                (new if is_new else stable).append(group)
        return compare_paces(new, stable)

    def _adopt_earliest_start(
        self, order: RolloutOrder, timing: OrderTiming, replies: Sequence[StatsReply]
    ) -> None:
        """Count the duration from the host that received the order first."""
        ages_ms = [
            age.age_ms
            for reply in replies
            for age in reply.orders
            if (age.service, age.target_version)
            == (order.service, order.target_version)
        ]
        age_s = min(order.duration_s, max(ages_ms, default=0.0) / 1000.0)
        timing.started_s = min(timing.started_s, self._clock.monotonic_s() - age_s)

    async def _fetch_stats(self, host_id: str) -> StatsReply | None:
        """Return a peer's reply; None if it does not answer."""
        request = StatsRequest(requester=self._host_id)
        return await self._calls.call(
            host_id, request, expect=StatsReply, timeout_s=PEER_TIMEOUT_S
        )

    def _target_endpoint_count(self, order: RolloutOrder) -> int:
        return sum(
            endpoint.entry.service == order.service
            and endpoint.entry.version == order.target_version
            and self._view.may_send(endpoint)
            for endpoint in self._view.endpoints.values()
        )


def _request_count(pair: VersionPair) -> int:
    return pair.new.request_count + pair.stable.request_count
