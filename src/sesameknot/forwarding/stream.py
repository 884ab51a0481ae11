"""Forward streamed requests: cascade between models, pass events on, resume."""

import structlog

from sesameknot.errors import TransportError
from sesameknot.forwarding.attempt import (
    SERVER_ERROR_STATUS,
    SUCCESS_STATUS_LIMIT,
    Attempt,
    NotSentError,
)
from sesameknot.forwarding.attempt_loop import AttemptLoop
from sesameknot.forwarding.caller import CallerConnection
from sesameknot.forwarding.events import EventSplitter
from sesameknot.forwarding.request import ForwardedRequest
from sesameknot.platform import caller_headers
from sesameknot.policy.confidence_cascade import CascadeStep
from sesameknot.policy.pressure import PressureGauge
from sesameknot.router.metrics import RouterMetrics
from sesameknot.settings.front import CascadeStrategySettings

# While another attempt may follow, it must keep enough time to be answered.
LONGEST_WAIT_PART = 0.5

log = structlog.get_logger(__name__)


class _StreamState:
    """Progress of one streamed request.

    Parameters
    ----------
    request : ForwardedRequest
        The request.
    """

    __slots__ = ("asked_models", "model", "request", "splitter")

    def __init__(self, request: ForwardedRequest) -> None:
        self.request = request
        self.splitter = EventSplitter(request.facts.resume_after_event_id)
        self.model = request.facts.model
        self.asked_models: list[str] = []


class StreamForwarder:
    """Serves requests whose answer is a stream of events.

    Parameters
    ----------
    loop : AttemptLoop
        Shared rules.
    cascade : callable
        Which model is asked next.
    cascade_settings : CascadeStrategySettings
        Thresholds of the cascade.
    patience_factor : float
        Multiple of the usual time to the first event after which an attempt is given
        up for another one.
    metrics : RouterMetrics
        Latency histograms.
    """

    def __init__(
        self,
        loop: AttemptLoop,
        *,
        cascade: CascadeStep,
        cascade_settings: CascadeStrategySettings,
        patience_factor: float,
        metrics: RouterMetrics,
    ) -> None:
        self._loop = loop
        self._cascade = cascade
        self._thresholds = cascade_settings.confidence_thresholds
        self._patience_factor = patience_factor
        self._metrics = metrics

    async def serve(self, request: ForwardedRequest, caller: CallerConnection) -> None:
        """Answer ``request``.

        Raises
        ------
        RequestEndedError
            If no endpoint's answer can be given.
        TransportError
            If the caller is gone or the stream cannot be continued.
        """
        self._loop.budgets.of(request.service).note_first()
        state = _StreamState(request)
        if request.route.models and not state.model:
            state.model = self._next_model(state, confidence=None) or ""
        while not await self._attempt(state, caller):
            pass

    async def _attempt(self, state: _StreamState, caller: CallerConnection) -> bool:
        """Run one attempt; return whether the request is answered."""
        request = state.request
        known = self._loop.next_target(request, model=state.model)
        try:
            with self._loop.runner.open(
                request,
                known,
                model=state.model if request.route.models else "",
                resume_after_event_id=state.splitter.last_event_id,
                first_answer_s=self._first_event_s(request),
                progress_s=self._progress_s(request),
            ) as attempt:
                await attempt.read_head()
                if attempt.status >= SUCCESS_STATUS_LIMIT:
                    return await self._failed_status(state, attempt, caller)
                if self._dropped_for_larger(state, attempt, caller):
                    return False
                await self._pass_on(state, attempt, caller)
                return True
        except (TransportError, NotSentError) as error:
            if error.step == "answer" and caller.head_sent and not error.peer:
                raise
            state.splitter.drop_rest()
            if not await self._loop.may_follow(request, known, error):
                raise self._loop.ended(request, error.message) from error
            log.info(
                "stream_continues",
                request_id=request.request_id,
                after_event=state.splitter.last_event_id,
                head_sent=caller.head_sent,
            )
            return False

    async def _failed_status(
        self, state: _StreamState, attempt: Attempt, caller: CallerConnection
    ) -> bool:
        request = state.request
        body = await attempt.read_all()
        attempt.succeeded("refused" if attempt.facts.not_run else "error")
        if attempt.facts.not_run:
            if self._loop.may_resend(request):
                return False
            raise self._loop.ended(request, "endpoints are full")
        retry = attempt.status >= SERVER_ERROR_STATUS and request.route.repeatable
        if retry and request.attempts_left and self._loop.spend(request):
            return False
        if caller.head_sent:
            raise self._loop.ended(request, f"endpoint answered {attempt.status}")
        await caller.send_whole(attempt.status, caller_headers(attempt.headers), body)
        return True

    def _dropped_for_larger(
        self, state: _StreamState, attempt: Attempt, caller: CallerConnection
    ) -> bool:
        """Return whether a larger model is asked instead of this answer."""
        request = state.request
        if caller.head_sent or not state.asked_models or not request.attempts_left:
            return False
        model = self._next_model(state, confidence=attempt.facts.confidence)
        if model is None:
            return False
        # The larger model must have time for its first event.
        left_s = request.time_left_s(self._loop.clock.monotonic_s())
        if left_s < request.route.latency_target_ms / 1000.0:
            return False
        if not self._loop.spend(request):
            return False
        log.info(
            "answer_dropped_for_larger_model",
            request_id=request.request_id,
            confidence=attempt.facts.confidence,
            threshold=round(self._threshold(request), 1),
            pressure=round(self._pressure(request).level, 3),
            model=state.model,
            next_model=model,
        )
        attempt.succeeded("dropped")
        state.model = model
        return True

    def _next_model(
        self, state: _StreamState, *, confidence: float | None
    ) -> str | None:
        models = state.request.route.models
        if not models or state.request.facts.model:
            return None
        threshold = self._threshold(state.request)
        model = self._cascade(models, state.asked_models, confidence, threshold)
        if model is not None:
            state.asked_models.append(model)
        return model

    def _threshold(self, request: ForwardedRequest) -> float:
        rank = min(max(0, request.route.priority), len(self._thresholds) - 1)
        # Under load, a large model's run would delay the answers of others.
        return self._thresholds[rank] * self._pressure(request).headroom

    def _pressure(self, request: ForwardedRequest) -> PressureGauge:
        return self._loop.runner.pressures.of(request.service)

    async def _pass_on(
        self, state: _StreamState, attempt: Attempt, caller: CallerConnection
    ) -> None:
        request = state.request
        clock = self._loop.clock
        last_s = clock.monotonic_s()
        while data := await attempt.read():
            events = state.splitter.feed(data)
            if not events:
                continue
            now_s = clock.monotonic_s()
            attempt.prompt_read()
            if caller.head_sent:
                self._metrics.token_gap_s.observe({}, now_s - last_s)
                await caller.send(events)
            else:
                self._metrics.first_token_s.observe({}, now_s - request.arrived_s)
                headers = caller_headers(attempt.headers)
                await caller.send_head(attempt.status, headers, data=events)
            last_s = now_s
        if state.splitter.rest:
            raise TransportError(
                "stream ended inside an event",
                step="body",
                peer=attempt.known.endpoint_id,
            )
        if not caller.head_sent:
            await caller.send_head(attempt.status, caller_headers(attempt.headers))
        attempt.succeeded()
        caller.finish()

    def _first_event_s(self, request: ForwardedRequest) -> float:
        # Where all endpoints are busy, another attempt only begins to wait again.
        usual = self._patience_factor * self._pressure(request).level
        factor = max(self._loop.settings.first_event_factor, usual)
        return self._wait_s(request, factor * request.route.latency_target_ms)

    def _progress_s(self, request: ForwardedRequest) -> float:
        gap_ms = request.route.event_gap_ms or request.route.latency_target_ms
        return self._wait_s(request, self._loop.settings.event_gap_factor * gap_ms)

    def _wait_s(self, request: ForwardedRequest, limit_ms: float) -> float:
        return self._loop.wait_s(request, limit_ms, part=LONGEST_WAIT_PART)
