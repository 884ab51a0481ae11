"""Forwarding of streamed requests: attempts, event relay and resumption."""

from functools import partial

import structlog

from sesameknot.errors import TransportError
from sesameknot.forwarding.answer_timer import AnswerTimer
from sesameknot.forwarding.attempt import (
    SERVER_ERROR_STATUS,
    SUCCESS_STATUS_LIMIT,
    Attempt,
    NotSentError,
)
from sesameknot.forwarding.caller import CallerConnection
from sesameknot.forwarding.events import (
    EVENT_LIMIT_BYTES,
    EventTooLargeError,
)
from sesameknot.forwarding.model_cascade import ModelCascade
from sesameknot.forwarding.request import ForwardedRequest
from sesameknot.forwarding.retry_policy import RetryPolicy
from sesameknot.forwarding.sound_answer import SoundAnswerWatch
from sesameknot.forwarding.stream_pace import StreamPace
from sesameknot.forwarding.stream_state import StreamState
from sesameknot.platform import headers_for_caller
from sesameknot.policy.answer_buffer import AnswerReservation
from sesameknot.policy.answer_times import AnswerTimes
from sesameknot.router.metrics import RouterMetrics
from sesameknot.state.known_endpoint import KnownEndpoint

# Largest share of the time left that one attempt may wait, so that a retry still has
# time to answer.
MAX_WAIT_SHARE = 0.5

log = structlog.get_logger(__name__)


class StreamForwarder:
    """Forwards requests whose answer is a stream of events.

    Parameters
    ----------
    retry_policy : RetryPolicy
        Picks endpoints and limits retries.
    cascade : ModelCascade
        Chooses the models to ask.
    answer_times : AnswerTimes
        Receives the times that models need for their answers.
    patience_factor : float
        Multiple of the current mean time to the first event after which an attempt is
        retried at another endpoint.
    metrics : RouterMetrics
        Latency histograms.
    """

    def __init__(
        self,
        retry_policy: RetryPolicy,
        *,
        cascade: ModelCascade,
        answer_times: AnswerTimes,
        patience_factor: float,
        metrics: RouterMetrics,
    ) -> None:
        self._retry_policy = retry_policy
        self._cascade = cascade
        self._answer_times = answer_times
        self._patience_factor = patience_factor
        self._metrics = metrics

    async def forward(
        self, request: ForwardedRequest, caller: CallerConnection
    ) -> None:
        """Send the answer to ``request``.

        Raises
        ------
        RequestEndedError
            If there is no endpoint's answer to send.
        TransportError
            If the caller closed the connection.
        """
        self._retry_policy.retry_budgets.get(request.service).record_request()
        state = StreamState(request)
        state.model = self._cascade.first_model(state)
        while not await self._attempt(state, caller):
            pass

    async def _attempt(self, state: StreamState, caller: CallerConnection) -> bool:
        """Run one attempt; return whether the request is answered."""
        request = state.request
        endpoint, state.next_endpoint = state.next_endpoint, None
        if endpoint is None:
            endpoint = await self._retry_policy.next_endpoint(
                request, model=state.model
            )
        timer = AnswerTimer(
            self._answer_times,
            request,
            # The times of a continued stream are not those of an answer.
            model="" if state.splitter.last_event_id else state.model,
            clock=self._retry_policy.clock,
        )
        try:
            with self._retry_policy.runner.open(
                request,
                endpoint,
                model=state.model if request.route.models else "",
                resume_after_event_id=state.splitter.last_event_id,
                first_byte_timeout_s=self._first_event_timeout_s(state, endpoint),
                progress_timeout_s=self._event_gap_timeout_s(request, endpoint),
                claim_retry=partial(self._retry_policy.claim_retry, request, endpoint),
            ) as attempt:
                await attempt.read_head()
                if attempt.status >= SUCCESS_STATUS_LIMIT:
                    return await self._handle_error_status(state, attempt, caller)
                head_s = self._retry_policy.clock.monotonic_s()
                if await self._cascade.replaces(state, attempt, caller):
                    timer.answer_dropped(head_s)
                    return False
                runner = self._retry_policy.runner
                pace = StreamPace(
                    attempt,
                    attempt_counts=runner.attempt_counts,
                    endpoint_pace=runner.endpoint_pace,
                )
                try:
                    with runner.answer_buffer.reservation() as held:
                        await self._relay_events(
                            state, attempt, caller, pace, held, timer
                        )
                finally:
                    pace.ended(self._retry_policy.clock.monotonic_s())
                return True
        except (TransportError, NotSentError) as error:
            if error.step == "answer" and caller.head_sent and not error.peer:
                raise
            state.splitter.discard_incomplete()
            if not await self._retry_policy.may_retry(request, endpoint, error):
                raise self._retry_policy.ended_error(request, error.message) from error
            log.info(
                "stream_continues",
                request_id=request.request_id,
                after_event=state.splitter.last_event_id,
                head_sent=caller.head_sent,
            )
            return False
        finally:
            timer.attempt_ended()

    async def _handle_error_status(
        self, state: StreamState, attempt: Attempt, caller: CallerConnection
    ) -> bool:
        request = state.request
        if attempt.metadata.not_run:
            # The head of a refusal says all; its body may be cut.
            attempt.record_answer("refused")
            if self._retry_policy.may_resend(request):
                return False
            raise self._retry_policy.ended_error(request, "endpoints are full")
        body = await attempt.read_all()
        attempt.record_answer("error")
        retryable = attempt.status >= SERVER_ERROR_STATUS and request.route.repeatable
        if (
            retryable
            and request.has_attempts_left
            and self._retry_policy.spend_retry(request)
        ):
            return False
        if caller.head_sent:
            raise self._retry_policy.ended_error(
                request, f"endpoint answered {attempt.status}"
            )
        answers = self._retry_policy.runner.answer_buffer
        headers = headers_for_caller(attempt.headers)
        await caller.send_counted(answers, attempt.status, headers, body)
        return True

    async def _relay_events(
        self,
        state: StreamState,
        attempt: Attempt,
        caller: CallerConnection,
        pace: StreamPace,
        held: AnswerReservation,
        timer: AnswerTimer,
    ) -> None:
        request = state.request
        clock = self._retry_policy.clock
        last_event_s = clock.monotonic_s()
        answer_watch = SoundAnswerWatch(attempt, self._retry_policy.crash_detector)
        # Comments before the first event; the caller gets no head because of them.
        comments = b""
        while data := await attempt.read():
            event_count = state.splitter.event_count
            block = self._split(state, attempt, data)
            if state.splitter.event_count == event_count:
                if caller.head_sent and block:
                    await caller.send_held(block, held)
                else:
                    comments += block
                held_bytes = len(comments) + state.splitter.incomplete_bytes
                self._check_held(attempt, held, held_bytes)
                continue
            now_s = clock.monotonic_s()
            attempt.report_progress()
            attempt.mark_prompt_processed()
            answer_watch.event_received(now_s)
            timer.first_event(now_s)
            pace.events_received(state.splitter.event_count - event_count, now_s)
            other_bytes = state.splitter.incomplete_bytes
            if caller.head_sent:
                self._metrics.token_gap_s.observe({}, now_s - last_event_s)
                await caller.send_held(block, held, other_bytes=other_bytes)
            else:
                self._metrics.first_token_s.observe({}, now_s - request.arrived_s)
                request.first_event_s = now_s
                await caller.begin_held(
                    attempt.status,
                    headers_for_caller(attempt.headers),
                    comments + block,
                    held,
                    other_bytes=other_bytes,
                )
            request.last_event_id = state.splitter.last_event_id
            last_event_s = now_s
            comments = b""
            held.hold(state.splitter.incomplete_bytes)
        self._check_end(state, attempt)
        if not caller.head_sent:
            await caller.send_head(attempt.status, headers_for_caller(attempt.headers))
        attempt.record_answer()
        timer.answer_ended()
        answer_watch.answer_ended()
        if attempt.ends_with_connection:
            crash_detector = self._retry_policy.crash_detector
            crash_detector.check_answer(request, attempt.endpoint)
        caller.finish()

    def _check_end(self, state: StreamState, attempt: Attempt) -> None:
        """Check that a stream which ended is not one that its endpoint broke off."""
        if state.splitter.incomplete:
            raise attempt.broken_stream_error("stream ended inside an event")
        if attempt.ends_with_connection and not state.splitter.event_count:
            raise attempt.broken_stream_error("stream ended before any event")

    def _split(self, state: StreamState, attempt: Attempt, data: bytes) -> bytes:
        try:
            return state.splitter.feed(data)
        except EventTooLargeError as error:
            raise attempt.invalid_answer_error(error.message, step=error.step) from None

    def _check_held(
        self, attempt: Attempt, held: AnswerReservation, held_bytes: int
    ) -> None:
        """Check that what is held without a whole event stays within the limits."""
        if held_bytes > EVENT_LIMIT_BYTES:
            reason = f"no event within {EVENT_LIMIT_BYTES} bytes"
            raise attempt.invalid_answer_error(reason, step="event")
        if not held.hold(held_bytes):
            raise attempt.invalid_answer_error(held.reason, step="event")

    def _first_event_timeout_s(
        self, state: StreamState, endpoint: KnownEndpoint
    ) -> float:
        request = state.request
        gauge = self._retry_policy.runner.pressure_gauges.get(request.service)
        # When all endpoints are busy, a retry would only restart the wait.
        typical_factor = self._patience_factor * gauge.level
        factor = max(self._retry_policy.settings.first_event_factor, typical_factor)
        timeout_s = self._timeout_s(
            request, endpoint, factor * request.route.latency_target_ms
        )
        return self._cascade.first_event_timeout_s(state, timeout_s)

    def _event_gap_timeout_s(
        self, request: ForwardedRequest, endpoint: KnownEndpoint
    ) -> float:
        gap_ms = request.route.event_gap_ms or request.route.latency_target_ms
        factor = self._retry_policy.settings.event_gap_factor
        return self._timeout_s(request, endpoint, factor * gap_ms)

    def _timeout_s(
        self, request: ForwardedRequest, endpoint: KnownEndpoint, limit_ms: float
    ) -> float:
        return self._retry_policy.attempt_timeout_s(
            request, endpoint, limit_ms, max_time_share=MAX_WAIT_SHARE
        )
