"""Creation of attempts with their time-outs and the components that they share."""

from collections.abc import Callable

from sesameknot.clock import Clock
from sesameknot.coordination.endpoint_permits import EndpointPermits
from sesameknot.coordination.endpoint_slots import EndpointSlots
from sesameknot.coordination.pause_guard import PauseGuard
from sesameknot.forwarding.attempt import Attempt
from sesameknot.forwarding.endpoint_probes import EndpointProbes
from sesameknot.forwarding.endpoint_selector import EndpointSelector, placement_request
from sesameknot.forwarding.notice_observer import NoticeObserver
from sesameknot.forwarding.per_service import PerService
from sesameknot.forwarding.request import ForwardedRequest
from sesameknot.platform import headers_for_endpoint
from sesameknot.policy.answer_buffer import AnswerBuffer
from sesameknot.policy.endpoint_pace import EndpointPace
from sesameknot.policy.pressure import PressureGauge
from sesameknot.policy.prompt_placement import PromptCacheTracker
from sesameknot.router.metrics import RouterMetrics
from sesameknot.settings.front import AttemptSettings
from sesameknot.state.attempt_counts import AttemptCounts
from sesameknot.state.endpoint_reachability import EndpointReachability
from sesameknot.state.fleet_view import FleetView
from sesameknot.state.known_endpoint import KnownEndpoint
from sesameknot.transport.endpoint_client import (
    CallLimits,
    EndpointCall,
    EndpointClient,
    Exchange,
)


class AttemptRunner:
    """Creates attempts.

    Parameters
    ----------
    client : EndpointClient
        Sends requests to endpoints.
    view : FleetView
        Updated when another endpoint answers at an endpoint's address.
    selector : EndpointSelector
        Checks endpoints again before a request is sent.
    prompt_cache : PromptCacheTracker
        Records which endpoints have which prompts cached.
    attempt_counts : AttemptCounts
        Good and bad answers by version.
    endpoint_pace : EndpointPace or None
        Time per event by endpoint; None if it is not learnt.
    pressure_gauges : PerService of PressureGauge
        Time to the first data of answers, by service.
    answer_buffer : AnswerBuffer
        Bounds the answers that this host holds in memory.
    permits : EndpointPermits
        Permits for endpoints that limit their request rate.
    slots : EndpointSlots
        Slots of endpoints that must not be asked in vain.
    notices : NoticeObserver
        Receives what endpoints say of themselves.
    reachability : EndpointReachability
        Receives which endpoints accept connections.
    probes : EndpointProbes
        Finds out whether an endpoint that accepted no connection is down.
    pause_guard : PauseGuard
        Tells whether what this host knows was confirmed since its last pause.
    settings : AttemptSettings
        Time-outs of attempts.
    metrics : RouterMetrics
        Attempt counters.
    clock : Clock
        Source of monotonic time.
    """

    def __init__(
        self,
        *,
        client: EndpointClient,
        view: FleetView,
        selector: EndpointSelector,
        prompt_cache: PromptCacheTracker,
        attempt_counts: AttemptCounts,
        endpoint_pace: EndpointPace | None,
        pressure_gauges: PerService[PressureGauge],
        answer_buffer: AnswerBuffer,
        permits: EndpointPermits,
        slots: EndpointSlots,
        notices: NoticeObserver,
        reachability: EndpointReachability,
        probes: EndpointProbes,
        pause_guard: PauseGuard,
        settings: AttemptSettings,
        metrics: RouterMetrics,
        clock: Clock,
    ) -> None:
        self.client = client
        self.view = view
        self.selector = selector
        self.prompt_cache = prompt_cache
        self.attempt_counts = attempt_counts
        self.endpoint_pace = endpoint_pace
        self.pressure_gauges = pressure_gauges
        self.answer_buffer = answer_buffer
        self.permits = permits
        self.slots = slots
        self.notices = notices
        self.reachability = reachability
        self.probes = probes
        self.pause_guard = pause_guard
        self.settings = settings
        self.metrics = metrics
        self.clock = clock

    def open(
        self,
        request: ForwardedRequest,
        endpoint: KnownEndpoint,
        *,
        model: str = "",
        resume_after_event_id: str = "",
        first_byte_timeout_s: float,
        progress_timeout_s: float,
        claim_retry: Callable[[], bool],
    ) -> Attempt:
        """Return an attempt with these time-outs, limited by the request's deadline.

        It is given up before the deadline only if ``claim_retry`` returns True.
        """
        time_left_s = max(0.001, request.time_left_s(self.clock.monotonic_s()))
        limits = CallLimits(
            connect_timeout_s=min(time_left_s, self.settings.connect_timeout_s),
            first_byte_timeout_s=min(time_left_s, first_byte_timeout_s),
            progress_timeout_s=min(time_left_s, progress_timeout_s),
            deadline_s=time_left_s,
            progress_bytes=self.settings.progress_bytes,
        )
        return Attempt(
            self,
            request,
            endpoint,
            model=model,
            resume_after_event_id=resume_after_event_id,
            limits=limits,
            claim_retry=claim_retry,
        )

    def refusal_reason(self, request: ForwardedRequest, endpoint: KnownEndpoint) -> str:
        """Return why the request must not be sent now; empty if it may."""
        if not self.pause_guard.confirmed:
            return "this host was paused"
        if not self.selector.is_usable(request, endpoint):
            return "endpoint became unusable"
        if not self.selector.take_cold_permit(request, endpoint):
            return "endpoint may have started again"
        return ""

    def release_slot(
        self,
        request: ForwardedRequest,
        endpoint: KnownEndpoint,
        *,
        refused: bool = False,
    ) -> None:
        """Give back the slot of an endpoint that a request holds, if it does."""
        slot = request.slots.pop(endpoint.incarnation_id, None)
        if slot is not None:
            self.slots.release(slot, refused=refused)

    def release_slots(self, request: ForwardedRequest) -> None:
        """Give back all slots that a request still holds."""
        for slot in request.slots.values():
            self.slots.release(slot, refused=False)
        request.slots.clear()

    def start_exchange(self, attempt: Attempt) -> Exchange:
        """Start the HTTP exchange of ``attempt``."""
        request = attempt.request
        if request.metadata.prompt:
            self.prompt_cache.record_prompt(
                attempt.endpoint.endpoint_id, placement_request(request, attempt.model)
            )
        return self.client.start_exchange(
            EndpointCall(
                url=f"http://{attempt.endpoint.entry.address}",
                path=request.uri,
                method=request.method,
                headers=headers_for_endpoint(request.headers, attempt.header_values()),
                body=request.body,
                limits=attempt.limits,
                before_send=attempt.before_send,
                may_give_up=attempt.may_give_up,
            )
        )
