"""Part of the composition root: build the path of a caller's request."""

import contextlib
import random

from sesameknot.clock import Clock
from sesameknot.forwarding.attempt import AttemptRunner
from sesameknot.forwarding.crash_detector import CrashDetector
from sesameknot.forwarding.endpoint_picker import EndpointPicker
from sesameknot.forwarding.ingress import Ingress
from sesameknot.forwarding.per_service import PerService
from sesameknot.forwarding.plain import PlainForwarder
from sesameknot.forwarding.retry_policy import RetryPolicy
from sesameknot.forwarding.stream import StreamForwarder
from sesameknot.policy.cold_start_limiter import ColdStartLimiter
from sesameknot.policy.confidence_cascade import CASCADE_STRATEGIES
from sesameknot.policy.crash_guard import CrashGuard
from sesameknot.policy.model_partition import ModelPartition
from sesameknot.policy.pressure import PressureGauge
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
from sesameknot.state.fleet_view import FleetView
from sesameknot.transport.endpoint_client import EndpointClient

# Hosts may count requests and repeats in slightly different windows.
RETRY_RATIO_PART = 0.85
# Hosts for which the retry slack is divided before others are known.
FIRST_HOST_COUNT = 32


class RequestPath:
    """Builds the parts that a request passes, from the settings.

    Parameters
    ----------
    host : HostSettings
        Identity and bounds of this host.
    settings : FrontSettings
        The project's own settings.
    view : FleetView
        Configuration, endpoints and hosts.
    client : EndpointClient
        Connections to endpoints.
    counts : AttemptCounts
        Outcomes by version.
    crash_guard : CrashGuard
        Requests that took endpoints down.
    metrics : RouterMetrics
        Counters and latency histograms.
    clock : Clock
        Source of monotonic time.
    stack : contextlib.AsyncExitStack
        Closes the parts.
    """

    __slots__ = (
        "_client",
        "_clock",
        "_counts",
        "_crash_guard",
        "_host",
        "_metrics",
        "_settings",
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
        counts: AttemptCounts,
        crash_guard: CrashGuard,
        metrics: RouterMetrics,
        clock: Clock,
        stack: contextlib.AsyncExitStack,
    ) -> None:
        self._host = host
        self._settings = settings
        self._view = view
        self._client = client
        self._counts = counts
        self._crash_guard = crash_guard
        self._metrics = metrics
        self._clock = clock
        self._stack = stack

    def build(self, drain: Drain) -> Ingress:
        """Return the part that accepts callers' requests."""
        settings = self._settings
        cache = PromptCacheTracker(
            clock=self._clock, cache_life_s=settings.placement.cache_life_s
        )
        picker = self._build_picker(cache)
        runner = AttemptRunner(
            client=self._client,
            view=self._view,
            picker=picker,
            prompt_cache=cache,
            version_counts=self._counts,
            pressure_gauges=PerService(self._build_gauge),
            settings=settings.attempts,
            metrics=self._metrics,
            clock=self._clock,
        )
        crashes = CrashDetector(self._crash_guard)
        self._stack.callback(crashes.close)
        loop = RetryPolicy(
            picker=picker,
            runner=runner,
            crash_detector=crashes,
            retry_budgets=PerService(self._build_budget),
            settings=settings.attempts,
            clock=self._clock,
        )
        stream = StreamForwarder(
            loop,
            cascade=CASCADE_STRATEGIES.get(settings.cascade.strategy),
            cascade_settings=settings.cascade,
            patience_factor=settings.pressure.patience_factor,
            metrics=self._metrics,
        )
        return Ingress(
            view=self._view,
            plain_forwarder=PlainForwarder(loop),
            stream_forwarder=stream,
            drain=drain,
            metrics=self._metrics,
            clock=self._clock,
        )

    def _build_picker(self, cache: PromptCacheTracker) -> EndpointPicker:
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
        return EndpointPicker(
            view=self._view,
            placement=PLACEMENTS.get(placement.strategy)(
                costs=costs, cache=cache, random_generator=random.Random(seed)
            ),
            model_partition=ModelPartition(clock=self._clock),
            cold_admission=ColdStartLimiter(
                clock=self._clock, host_id=self._host.host_id
            ),
            domain=self._host.domain,
            clock=self._clock,
        )

    def _build_gauge(self) -> PressureGauge:
        pressure = self._settings.pressure
        return PressureGauge(
            clock=self._clock,
            calm_level=pressure.calm_level,
            full_level=pressure.full_level,
        )

    def _build_budget(self) -> SlidingRetryBudget:
        bounds = self._host.bounds
        return SlidingRetryBudget(
            clock=self._clock,
            ratio=bounds.retry_ratio * RETRY_RATIO_PART,
            window_s=bounds.retry_window_s,
            slack_count=bounds.retry_slack_count / FIRST_HOST_COUNT,
        )
