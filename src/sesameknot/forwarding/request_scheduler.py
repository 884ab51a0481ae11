"""Admission of requests to endpoints: wait for a slot, or refusal, under overload."""

import asyncio
import math
from collections.abc import Callable
from dataclasses import dataclass

import structlog

from sesameknot.clock import Clock
from sesameknot.forwarding.error_answer import RequestEndedError, not_run_answer
from sesameknot.forwarding.request import ForwardedRequest
from sesameknot.forwarding.service_schedule import ServiceSchedule, WaitingRequest
from sesameknot.router.metrics import RouterMetrics
from sesameknot.scheduling import (
    ORDERINGS,
    Action,
    AdmissionQueue,
    Entry,
    HostRoom,
    RefusalReason,
    RequestSize,
    RoomLimits,
    WorkEstimator,
    urgency_rank,
)
from sesameknot.settings.front import SchedulingSettings
from sesameknot.state.fleet_view import FleetView

# Interval at which waiting requests are looked at again. It bounds the delay until a
# new report of loads, or a time that has run out, takes effect.
WAKE_INTERVAL_S = 0.05
# A request may wait for what its target leaves after this multiple of the mean time to
# the first event, since every second answer takes longer than the mean; at least for
# the given share, as a slow service would else refuse all that has to wait.
FIRST_EVENT_FACTOR = 1.5
MIN_WAIT_SHARE = 0.25

log = structlog.get_logger(__name__)


@dataclass(slots=True, eq=False)
class _RunningRequest:
    """A request that runs, and when it began to."""

    schedule: ServiceSchedule
    size: RequestSize
    started_s: float


class RequestScheduler:
    """Decides when each request may start its first attempt.

    Parameters
    ----------
    view : FleetView
        Endpoints with their loads, and hosts.
    settings : SchedulingSettings
        Ordering and limits.
    enabled : bool
        Whether requests are scheduled at all.
    prefill_ms_per_token : float
        Initial cost of a prompt token.
    first_event_share : callable
        Returns the mean time to the first event of a service's answers, as a share of
        their latency target.
    metrics : RouterMetrics
        Queue length, waits and refusals.
    clock : Clock
        Source of monotonic time.
    """

    def __init__(
        self,
        *,
        view: FleetView,
        settings: SchedulingSettings,
        enabled: bool,
        prefill_ms_per_token: float,
        first_event_share: Callable[[str], float],
        metrics: RouterMetrics,
        clock: Clock,
    ) -> None:
        self._view = view
        self._settings = settings
        self._enabled = enabled
        self._ordering = ORDERINGS.get(settings.ordering)
        self._prefill_ms_per_token = prefill_ms_per_token
        self._first_event_share = first_event_share
        self._metrics = metrics
        self._clock = clock
        self._services: dict[str, ServiceSchedule] = {}
        # By identity, since requests are mutable.
        self._admitted: dict[int, _RunningRequest] = {}
        self._timer: asyncio.TimerHandle | None = None

    async def admit(self, request: ForwardedRequest) -> None:
        """Return when the first attempt of a request may start.

        Raises
        ------
        RequestEndedError
            If the request is refused; it has not run.
        """
        if not self._enabled:
            return
        request.urgency_rank = urgency_rank(request.priority, request.route.priority)
        now_s = self._clock.monotonic_s()
        schedule = self._schedule(request.service)
        size = _request_size(request)
        if not schedule.is_active(now_s) or request.prior_run_count:
            schedule.room.occupy()
            self._record_start(schedule, request, size, now_s)
            return
        entry = self._entry(schedule, request, size, now_s)
        self._start_waiting(schedule, now_s)
        decision = schedule.queue.offer(entry, schedule.room, now_s)
        for displaced in decision.displaced:
            schedule.resolve(displaced, RefusalReason.DISPLACED)
        if decision.action is Action.RUN:
            self._record_start(schedule, request, size, now_s)
        elif decision.reason is not None:
            raise self._refusal(schedule, request, entry, decision.reason)
        else:
            await self._wait(schedule, request, entry, size)
        self._update_metrics(schedule)

    def ended(self, request: ForwardedRequest) -> None:
        """Give back the slot of a request that ended, if it was admitted."""
        admitted = self._admitted.pop(id(request), None)
        if admitted is None:
            return
        now_s = self._clock.monotonic_s()
        schedule = admitted.schedule
        schedule.room.give_back()
        if request.run_count:
            run_s = now_s - admitted.started_s
            schedule.queue.record_run(run_s, now_s)
            schedule.estimator.observe(request.route.name, admitted.size, run_s, now_s)
        self._start_waiting(schedule, now_s)
        self._update_metrics(schedule)

    def close(self) -> None:
        """Stop the timer."""
        if self._timer is not None:
            self._timer.cancel()

    def _schedule(self, service: str) -> ServiceSchedule:
        schedule = self._services.get(service)
        if schedule is None:
            schedule = self._services[service] = ServiceSchedule(
                service,
                view=self._view,
                queue=AdmissionQueue(
                    ordering=self._ordering,
                    limit_count=self._settings.queue_limit_count,
                ),
                room=HostRoom(
                    RoomLimits(
                        crowded_share=self._settings.crowded_share,
                        endpoint_queue_share=self._settings.endpoint_queue_share,
                        reserve_share=self._settings.reserve_share,
                    )
                ),
                estimator=WorkEstimator(
                    prefill_ms_per_token=self._prefill_ms_per_token,
                    output_ms_per_token=self._settings.output_ms_per_token,
                    uncached_share=self._settings.uncached_share,
                ),
            )
        return schedule

    def _entry(
        self,
        schedule: ServiceSchedule,
        request: ForwardedRequest,
        size: RequestSize,
        now_s: float,
    ) -> Entry:
        target_s = request.route.latency_target_ms / 1000.0
        # A caller that has less time left must still get its answer.
        target_s = min(target_s, request.deadline_s - request.arrived_s)
        needed_share = FIRST_EVENT_FACTOR * self._first_event_share(request.service)
        wait_share = max(MIN_WAIT_SHARE, 1.0 - needed_share)
        wait_s = min(wait_share, self._settings.wait_share) * target_s
        return Entry(
            priority=request.endpoint_priority,
            customer=request.customer.name if request.customer is not None else "",
            work_s=schedule.estimator.estimate_s(request.route.name, size, now_s),
            arrived_s=now_s,
            latest_start_s=request.arrived_s + wait_s,
        )

    async def _wait(
        self,
        schedule: ServiceSchedule,
        request: ForwardedRequest,
        entry: Entry,
        size: RequestSize,
    ) -> None:
        outcome = asyncio.get_running_loop().create_future()
        schedule.waiters[entry] = WaitingRequest(request, entry, size, outcome)
        self._update_metrics(schedule)
        self._arm_timer()
        try:
            reason = await outcome
        finally:
            # Without effect unless the caller left or the deadline passed.
            schedule.waiters.pop(entry, None)
            schedule.queue.remove(entry)
            self._update_metrics(schedule)
        waited_s = self._clock.monotonic_s() - entry.arrived_s
        if reason is not None:
            raise self._refusal(schedule, request, entry, reason)
        self._metrics.scheduling_wait_s.observe(
            {"priority": str(entry.priority)}, waited_s
        )
        log.info(
            "request_delayed",
            **_log_fields(schedule, request, entry),
            waited_ms=round(waited_s * 1000),
        )

    def _start_waiting(self, schedule: ServiceSchedule, now_s: float) -> None:
        """Start all waiting requests that may start, and refuse those that cannot."""
        schedule.update(now_s)
        queue, room = schedule.queue, schedule.room
        active = schedule.is_active(now_s)
        # While there is room, also a request that is late after a pause is served.
        if active and room.crowded:
            for entry in queue.expired(room, now_s):
                schedule.resolve(entry, RefusalReason.LATE)
        while ready := queue.next_ready(room, now_s, unlimited=not active):
            waiter = schedule.waiters[ready]
            self._record_start(schedule, waiter.request, waiter.size, now_s)
            schedule.resolve(ready, None)

    def _record_start(
        self,
        schedule: ServiceSchedule,
        request: ForwardedRequest,
        size: RequestSize,
        now_s: float,
    ) -> None:
        self._admitted[id(request)] = _RunningRequest(schedule, size, now_s)

    def _refusal(
        self,
        schedule: ServiceSchedule,
        request: ForwardedRequest,
        entry: Entry,
        reason: RefusalReason,
    ) -> RequestEndedError:
        now_s = self._clock.monotonic_s()
        error_answer = not_run_answer(
            f"endpoints are full ({reason})",
            estimated_wait_s=schedule.queue.retry_after_s(schedule.room, now_s),
            time_left_s=max(0.0, request.time_left_s(now_s)),
        )
        self._metrics.scheduling_refusals.inc(
            {
                "service": schedule.service,
                "reason": str(reason),
                "priority": str(entry.priority),
                "customer": entry.customer,
            }
        )
        log.info(
            "request_not_admitted",
            **_log_fields(schedule, request, entry),
            waited_ms=round((now_s - entry.arrived_s) * 1000),
            reason=str(reason),
            retry_after_s=round(error_answer.retry_after_s, 3),
            served_share=round(schedule.queue.served_share(entry.priority, now_s), 3),
        )
        self._update_metrics(schedule)
        return RequestEndedError(error_answer)

    def _update_metrics(self, schedule: ServiceSchedule) -> None:
        labels = {"service": schedule.service}
        self._metrics.scheduling_queue.set(labels, len(schedule.queue))
        room = schedule.room
        self._metrics.scheduling_slots.set(
            {**labels, "kind": "used"}, room.in_use_count
        )
        self._metrics.scheduling_slots.set({**labels, "kind": "limit"}, room.limit)
        if math.isfinite(room.taken_share):
            self._metrics.scheduling_taken_share.set(labels, room.taken_share)

    def _arm_timer(self) -> None:
        if self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(WAKE_INTERVAL_S, self._wake)

    def _wake(self) -> None:
        self._timer = None
        now_s = self._clock.monotonic_s()
        try:
            for schedule in self._services.values():
                if len(schedule.queue):
                    self._start_waiting(schedule, now_s)
        finally:
            # Without the timer, requests would wait until their deadline.
            if any(len(schedule.queue) for schedule in self._services.values()):
                self._arm_timer()


def _request_size(request: ForwardedRequest) -> RequestSize:
    metadata = request.metadata
    shared_count = sum(part.token_count for part in metadata.prompt[:-1])
    prompt_count = metadata.prompt_token_count
    if metadata.prompt:
        prompt_count = shared_count + metadata.prompt[-1].token_count
    return RequestSize(
        own_count=prompt_count - shared_count,
        shared_count=shared_count,
        output_count=metadata.output_token_limit_count,
    )


def _log_fields(
    schedule: ServiceSchedule, request: ForwardedRequest, entry: Entry
) -> dict[str, object]:
    room = schedule.room
    return {
        "request_id": request.request_id,
        "service": schedule.service,
        "route": request.route.name,
        "priority": entry.priority,
        "customer": entry.customer,
        "work_ms": round(entry.work_s * 1000),
        "queued": len(schedule.queue),
        "in_use": room.in_use_count,
        "limit": round(room.limit, 1),
        "taken_share": round(room.taken_share, 3),
    }
