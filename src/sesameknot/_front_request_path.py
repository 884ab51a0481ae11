"""Part of the composition root: builds the request path of the front process."""

import contextlib
import random
from collections.abc import Callable

from sesameknot.clock import Clock
from sesameknot.coordination.endpoint_permits import EndpointPermits
from sesameknot.coordination.endpoint_slots import EndpointSlots
from sesameknot.coordination.pause_guard import PauseGuard
from sesameknot.forwarding.attempt_runner import AttemptRunner
from sesameknot.forwarding.crash_detector import CrashDetector
from sesameknot.forwarding.endpoint_probes import EndpointProbes
from sesameknot.forwarding.endpoint_selector import EndpointSelector
from sesameknot.forwarding.ingress import Ingress
from sesameknot.forwarding.model_cascade import ModelCascade
from sesameknot.forwarding.notice_observer import NoticeObserver
from sesameknot.forwarding.peer_handover import PeerHandover
from sesameknot.forwarding.per_service import PerService
from sesameknot.forwarding.plain import PlainForwarder
from sesameknot.forwarding.request_scheduler import RequestScheduler
from sesameknot.forwarding.retry_policy import RetryPolicy
from sesameknot.forwarding.stream import StreamForwarder
from sesameknot.policy.answer_buffer import AnswerBuffer
from sesameknot.policy.answer_times import AnswerTimes
from sesameknot.policy.cold_start_limiter import ColdStartLimiter
from sesameknot.policy.confidence_cascade import CASCADE_STRATEGIES
from sesameknot.policy.crash_guard import CrashGuard
from sesameknot.policy.endpoint_pace import EndpointPace
from sesameknot.policy.model_partition import ModelPartition
from sesameknot.policy.pressure import PressureGauge
from sesameknot.policy.prompt_part_guard import PromptPartGuard
from sesameknot.policy.prompt_placement import (
    PLACEMENTS,
    PlacementCosts,
    PromptCacheTracker,
)
from sesameknot.policy.sliding_retry_budget import SlidingRetryBudget
from sesameknot.router.drain import Drain
from sesameknot.router.metrics import RouterMetrics
from sesameknot.settings.front import FrontSettings
from sesameknot.settings.host import HostSettings
from sesameknot.state.attempt_counts import AttemptCounts
from sesameknot.state.endpoint_reachability import EndpointReachability
from sesameknot.state.fleet_view import FleetView
from sesameknot.transport.endpoint_client import EndpointClient

# Safety factor: hosts may count requests and retries in slightly different windows.
RETRY_RATIO_FACTOR = 0.85
# Number of hosts among which the retry slack is divided; the actual number is not
# known when the retry budgets are built.
ASSUMED_HOST_COUNT = 32


class RequestPathBuilder:
    """Builds the components of the request path from the settings.

    Parameters
    ----------
    host : HostSettings
        Identity and operational limits of this host.
    settings : FrontSettings
        Settings of the front process.
    view : FleetView
        Configuration, endpoints and hosts.
    client : EndpointClient
        Connections to endpoints.
    attempt_counts : AttemptCounts
        Outcomes by version.
    endpoint_pace : EndpointPace or None
        Time per event by endpoint; None if it is not learnt.
    crash_guard : CrashGuard
        Detects requests that crash endpoints.
    part_guard : PromptPartGuard
        Detects prompt parts that crash endpoints.
    metrics : RouterMetrics
        Counters and latency histograms.
    permits : EndpointPermits
        Permits for endpoints that limit their request rate.
    slots : EndpointSlots
        Slots of endpoints that must not be asked in vain.
    reachability : EndpointReachability
        Whether this host reaches the endpoints of each service.
    pause_guard : PauseGuard
        Detects pauses of this process.
    on_outage : callable
        Called when this host found out that an endpoint is down.
    clock : Clock
        Source of monotonic time.
    stack : contextlib.AsyncExitStack
        Closes the components.
    """

    __slots__ = (
        "_attempt_counts",
        "_client",
        "_clock",
        "_crash_guard",
        "_endpoint_pace",
        "_host",
        "_metrics",
        "_on_outage",
        "_part_guard",
        "_pause_guard",
        "_permits",
        "_reachability",
        "_settings",
        "_slots",
        "_stack",
        "_view",
    )

    def __init__(
        self,
        *,
        host: HostSettings,
        settings: FrontSettings,
        view: FleetView,
        client: EndpointClient,
        attempt_counts: AttemptCounts,
        endpoint_pace: EndpointPace | None,
        crash_guard: CrashGuard,
        part_guard: PromptPartGuard,
        metrics: RouterMetrics,
        permits: EndpointPermits,
        slots: EndpointSlots,
        reachability: EndpointReachability,
        pause_guard: PauseGuard,
        on_outage: Callable[[], None],
        clock: Clock,
        stack: contextlib.AsyncExitStack,
    ) -> None:
        self._host = host
        self._settings = settings
        self._view = view
        self._client = client
        self._attempt_counts = attempt_counts
        self._endpoint_pace = endpoint_pace
        self._crash_guard = crash_guard
        self._part_guard = part_guard
        self._metrics = metrics
        self._permits = permits
        self._slots = slots
        self._reachability = reachability
        self._pause_guard = pause_guard
        self._on_outage = on_outage
        self._clock = clock
        self._stack = stack

    def build(self, drain: Drain) -> Ingress:
        """Return the component that accepts callers' requests."""
        settings = self._settings
        prompt_cache = PromptCacheTracker(
            clock=self._clock,
            cache_life_s=settings.placement.cache_life_s,
            incarnation_id=self._incarnation_id,
        )
        selector = self._build_selector(prompt_cache)
        probes = EndpointProbes(
            view=self._view,
            client=self._client,
            host_id=self._host.host_id,
            on_outage=self._on_outage,
            clock=self._clock,
        )
        self._stack.callback(probes.close)
        runner = AttemptRunner(
            client=self._client,
            view=self._view,
            selector=selector,
            prompt_cache=prompt_cache,
            attempt_counts=self._attempt_counts,
            endpoint_pace=self._endpoint_pace,
            pressure_gauges=PerService(self._build_pressure_gauge),
            answer_buffer=AnswerBuffer(
                answer_limit_bytes=settings.attempts.answer_limit_bytes,
                total_limit_bytes=settings.attempts.all_answers_limit_bytes,
                free_bytes=settings.attempts.small_answer_bytes,
            ),
            permits=self._permits,
            reachability=self._reachability,
            probes=probes,
            slots=self._slots,
            notices=NoticeObserver(
                view=self._view, permits=self._permits, clock=self._clock
            ),
            pause_guard=self._pause_guard,
            settings=settings.attempts,
            metrics=self._metrics,
            clock=self._clock,
        )
        crash_detector = CrashDetector(
            crash_guard=self._crash_guard,
            part_guard=self._part_guard,
            probes=probes,
            clock=self._clock,
        )
        self._stack.callback(crash_detector.close)
        retry_policy = RetryPolicy(
            selector=selector,
            runner=runner,
            crash_detector=crash_detector,
            retry_budgets=PerService(self._build_retry_budget),
            settings=settings.attempts,
            clock=self._clock,
        )
        handover = PeerHandover(
            view=self._view,
            reachability=self._reachability,
            client=self._client,
            answer_buffer=runner.answer_buffer,
            host_id=self._host.host_id,
            metrics=self._metrics,
            clock=self._clock,
        )
        return Ingress(
            view=self._view,
            pause_guard=self._pause_guard,
            runner=runner,
            plain_forwarder=PlainForwarder(retry_policy),
            stream_forwarder=self._build_stream_forwarder(retry_policy),
            handover=handover,
            crash_detector=crash_detector,
            scheduler=self._build_scheduler(runner),
            drain=drain,
            metrics=self._metrics,
            clock=self._clock,
        )

    def _build_stream_forwarder(self, retry_policy: RetryPolicy) -> StreamForwarder:
        settings = self._settings
        answer_times = AnswerTimes(
            clock=self._clock,
            quantile=settings.cascade.time_quantile,
            decay_s=settings.cascade.time_decay_s,
        )
        cascade = ModelCascade(
            retry_policy,
            strategy=CASCADE_STRATEGIES.get(settings.cascade.strategy),
            settings=settings.cascade,
            answer_times=answer_times,
            metrics=self._metrics,
        )
        return StreamForwarder(
            retry_policy,
            cascade=cascade,
            answer_times=answer_times,
            patience_factor=settings.pressure.patience_factor,
            metrics=self._metrics,
        )

    def _build_scheduler(self, runner: AttemptRunner) -> RequestScheduler:
        settings = self._settings
        scheduler = RequestScheduler(
            view=self._view,
            settings=settings.scheduling,
            enabled=self._schedules,
            prefill_ms_per_token=settings.placement.prefill_ms_per_token,
            first_event_share=lambda service: runner.pressure_gauges.get(service).level,
            metrics=self._metrics,
            clock=self._clock,
        )
        self._stack.callback(scheduler.close)
        return scheduler

    @property
    def _schedules(self) -> bool:
        """Whether settings and deployment ask for the scheduling of requests."""
        return self._settings.scheduling.enabled and self._host.endpoint_memory_limited

    def _incarnation_id(self, endpoint_id: str) -> str:
        endpoint = self._view.endpoints.get(endpoint_id)
        return endpoint.incarnation_id if endpoint is not None else endpoint_id

    def _build_selector(self, prompt_cache: PromptCacheTracker) -> EndpointSelector:
        placement = self._settings.placement
        costs = PlacementCosts(
            prefill_ms_per_token=placement.prefill_ms_per_token,
            request_load_ms=placement.request_load_ms,
            other_domain_ms=placement.other_domain_ms,
            failure_penalty_ms=placement.failure_penalty_ms,
            waiting_ms=placement.waiting_ms,
            other_model_ms=placement.other_model_ms,
        )
        seed = self._settings.random_state or None
        return EndpointSelector(
            view=self._view,
            placement=PLACEMENTS.get(placement.strategy)(
                costs=costs,
                cache=prompt_cache,
                random_generator=random.Random(seed),
                # Requests must not gather at one endpoint, whose memory is limited.
                spread_near_ties=self._schedules,
            ),
            model_partition=ModelPartition(clock=self._clock),
            cold_start_limiter=ColdStartLimiter(
                clock=self._clock, host_id=self._host.host_id
            ),
            domain=self._host.domain,
            clock=self._clock,
        )

    def _build_pressure_gauge(self) -> PressureGauge:
        pressure = self._settings.pressure
        return PressureGauge(
            clock=self._clock,
            calm_level=pressure.calm_level,
            full_level=pressure.full_level,
        )

    def _build_retry_budget(self) -> SlidingRetryBudget:
        bounds = self._host.bounds
        return SlidingRetryBudget(
            clock=self._clock,
            ratio=bounds.retry_ratio * RETRY_RATIO_FACTOR,
            window_s=bounds.retry_window_s,
            slack_count=bounds.retry_slack_count / ASSUMED_HOST_COUNT,
        )
