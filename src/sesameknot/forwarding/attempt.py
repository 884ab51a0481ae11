"""One attempt of a request at one endpoint, with its accounting."""

from types import TracebackType

import structlog
from tornado.httputil import HTTPHeaders

from sesameknot.clock import Clock
from sesameknot.errors import ConnectError, RouterError, TransportError
from sesameknot.forwarding.per_service import PerService
from sesameknot.forwarding.request import ForwardedRequest
from sesameknot.forwarding.target_picker import TargetPicker, placement_request
from sesameknot.platform import (
    AnswerMetadata,
    AttemptMetadata,
    headers_for_endpoint,
    parse_answer_metadata,
)
from sesameknot.policy.pressure import PressureGauge
from sesameknot.policy.prompt_placement import PromptCacheMemory
from sesameknot.router.metrics import RouterMetrics
from sesameknot.settings.front import AttemptSettings
from sesameknot.state.attempt_counts import SLOW_SHARE_OF_TARGET, AttemptCounts
from sesameknot.state.fleet_view import FleetView, KnownEndpoint
from sesameknot.transport.endpoint_client import (
    CallLimits,
    EndpointCall,
    EndpointClient,
    Exchange,
)

# The smallest time that an endpoint is told.
SHORTEST_TIME_LEFT_MS = 1
SUCCESS_STATUS_LIMIT = 300
SERVER_ERROR_STATUS = 500

log = structlog.get_logger(__name__)


class NotSentError(RouterError):
    """The endpoint may no longer get the request; nothing was sent."""


class AnswerError(TransportError):
    """An answer is not a whole answer to the request that was sent."""


class Attempt:
    """One attempt; a context manager that gives back all that it holds.

    Parameters
    ----------
    request : ForwardedRequest
        The request.
    known : KnownEndpoint
        Where it is sent.
    model : str
        Model that is named to the endpoint; empty where there is no choice.
    resume_after_event_id : str
        Last event that the caller has.
    """

    def __init__(
        self,
        runner: "AttemptRunner",
        request: ForwardedRequest,
        known: KnownEndpoint,
        *,
        model: str,
        resume_after_event_id: str,
        limits: CallLimits,
    ) -> None:
        self.request = request
        self.known = known
        self.model = model
        self.status = 0
        self.facts = AnswerMetadata()
        self._runner = runner
        self._limits = limits
        self._resume_after_event_id = resume_after_event_id
        self._reading_tokens = 0
        self._sent = False
        self._result = "abandoned"
        self._started_s = runner.clock.monotonic_s()
        self._first_s: float | None = None

    def __enter__(self) -> "Attempt":
        known = self.known
        known.in_flight_count += 1
        self._reading_tokens = self.request.facts.prompt_token_count
        known.pending_tokens += self._reading_tokens
        self.request.tried_ids.add(known.endpoint_id)
        self._exchange = self._runner.exchange(self)
        return self

    def __exit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self._exchange.close()
        self._count_for_version()
        self.prompt_read()
        self.known.in_flight_count -= 1
        self._runner.metrics.attempts.inc({"result": self._result})

    @property
    def headers(self) -> HTTPHeaders:
        """Headers of the answer."""
        return self._exchange.headers

    @property
    def limits(self) -> CallLimits:
        """Deadlines of the attempt."""
        return self._limits

    def before_send(self) -> None:
        """Check once more that the endpoint may get the request.

        Raises
        ------
        NotSentError
            If it became unusable while the connection was being opened.
        """
        if not self._runner.picker.still_usable(self.request, self.known):
            raise NotSentError(
                "endpoint became unusable", step="send", peer=self.known.endpoint_id
            )
        self._sent = True
        self.request.run_count += 1

    def terms(self) -> AttemptMetadata:
        """Return what the endpoint is told."""
        time_left_s = self.request.time_left_s(self._runner.clock.monotonic_s())
        customer = self.request.customer
        return AttemptMetadata(
            endpoint_id=self.known.endpoint_id,
            time_left_ms=max(SHORTEST_TIME_LEFT_MS, int(time_left_s * 1000)),
            customer=customer.name if customer is not None else "",
            model=self.model,
            priority=self.request.priority if self.request.facts.prompt else None,
            resume_after_event_id=self._resume_after_event_id,
        )

    async def read_head(self) -> None:
        """Wait for status and headers.

        Raises
        ------
        ConnectError, NotSentError
            If nothing was sent.
        TransportError
            If there was no answer, or one to another request.
        """
        try:
            await self._exchange.read_headers()
        except ConnectError as error:
            if not self._sent:
                self.known.health.unreachable()
            self.failed(error)
            raise
        except TransportError as error:
            self.known.health.failed()
            self.failed(error)
            raise
        self.status = self._exchange.status
        self.facts = parse_answer_metadata(self.status, self.headers)
        self._check_answer()
        if self.facts.not_run:
            # The endpoint states that it did not run the request.
            self.request.run_count -= 1
            self.request.not_run_count += 1
            if self.facts.misdirected:
                # Another endpoint has the address, so this one is gone.
                self._runner.view.remove_misdirected(self.known)
            log.info(
                "attempt_refused",
                request_id=self.request.request_id,
                endpoint=self.known.endpoint_id,
                status=self.status,
                model=self.model,
                in_flight=self.known.in_flight_count,
                others_in_flight=self.known.other_in_flight_count,
                slots=self.known.entry.slot_count,
            )

    def _check_answer(self) -> None:
        facts = self.facts
        expected_id = self.request.request_id
        reason = ""
        if facts.request_id and expected_id and facts.request_id != expected_id:
            reason = f"answer to request {facts.request_id!r}"
        elif self.status < SUCCESS_STATUS_LIMIT and not facts.receipt:
            reason = "success without a receipt"
        elif "Content-Encoding" in self.headers:
            reason = "encoded body"
        if reason:
            self.known.health.failed()
            error = AnswerError(reason, step="answer", peer=self.known.endpoint_id)
            self.failed(error)
            raise error

    async def read(self) -> bytes:
        """Return the next bytes of the body, ``b""`` at its end.

        Raises
        ------
        TransportError
            If the body is not complete.
        """
        try:
            data = await self._exchange.read()
            if not data and self._exchange.ended_by_reset:
                raise AnswerError(
                    "connection was reset", step="body", peer=self.known.endpoint_id
                )
        except TransportError as error:
            self.known.health.failed()
            self.failed(error)
            raise
        return data

    async def read_all(self) -> bytes:
        """Return the whole body."""
        parts = []
        while data := await self.read():
            parts.append(data)
        return b"".join(parts)

    def prompt_read(self) -> None:
        """Note that the endpoint has read the prompt."""
        if self._first_s is None:
            self._first_s = self._runner.clock.monotonic_s()
            if self._exchange.status:
                self._runner.pressures.of(self.known.entry.service).observe(
                    self._first_s - self._started_s,
                    self.request.route.latency_target_ms / 1000.0,
                )
        self.known.pending_tokens -= self._reading_tokens
        self._reading_tokens = 0

    def _count_for_version(self) -> None:
        """Count the answer for or against the endpoint's version."""
        if self._result == "abandoned" or not self._sent or self.facts.not_run:
            return
        first_s = self._first_s or self._runner.clock.monotonic_s()
        target_s = self.request.route.latency_target_ms / 1000.0
        slow = first_s - self._started_s > SLOW_SHARE_OF_TARGET * target_s
        failed = self._result == "failed" or self.status >= SERVER_ERROR_STATUS
        entry = self.known.entry
        self._runner.counts.count_attempt(
            entry.service, entry.version, bad=failed or slow
        )

    def succeeded(self, result: str = "answered") -> None:
        """Count a whole answer."""
        self._result = result
        if self.status >= SERVER_ERROR_STATUS and not self.facts.not_run:
            self.known.health.failed()
        else:
            self.known.health.succeeded()

    def failed(self, error: RouterError) -> None:
        """Count and log a failure."""
        self._result = "failed"
        log.warning(
            "attempt_failed",
            request_id=self.request.request_id,
            endpoint=self.known.endpoint_id,
            step=error.step,
            reason=error.message,
            sent=self._sent,
            status=self.status,
            model=self.model,
            failure_share=round(self.known.health.failure_share, 3),
        )


class AttemptRunner:
    """Starts attempts.

    Parameters
    ----------
    client : EndpointClient
        Opens exchanges.
    view : FleetView
        Told of endpoints that turn out to be gone.
    picker : TargetPicker
        Tells whether an endpoint may still get a request.
    cache : PromptCacheMemory
        Remembers which endpoints read which prompts.
    counts : AttemptCounts
        Answers by version.
    pressures : PerService of PressureGauge
        Time to the first part of answers by service.
    settings : AttemptSettings
        Deadlines.
    metrics : RouterMetrics
        Counters.
    clock : Clock
        Source of monotonic time.
    """

    def __init__(
        self,
        *,
        client: EndpointClient,
        view: FleetView,
        picker: TargetPicker,
        cache: PromptCacheMemory,
        counts: AttemptCounts,
        pressures: PerService[PressureGauge],
        settings: AttemptSettings,
        metrics: RouterMetrics,
        clock: Clock,
    ) -> None:
        self.client = client
        self.view = view
        self.picker = picker
        self.cache = cache
        self.counts = counts
        self.pressures = pressures
        self.settings = settings
        self.metrics = metrics
        self.clock = clock

    def open(
        self,
        request: ForwardedRequest,
        known: KnownEndpoint,
        *,
        model: str = "",
        resume_after_event_id: str = "",
        first_answer_s: float,
        progress_s: float,
    ) -> Attempt:
        """Return an attempt with these deadlines, cut at the request's own."""
        left_s = max(0.001, request.time_left_s(self.clock.monotonic_s()))
        limits = CallLimits(
            connect_timeout_s=min(left_s, self.settings.connect_timeout_s),
            first_byte_timeout_s=min(left_s, first_answer_s),
            progress_timeout_s=min(left_s, progress_s),
            deadline_s=left_s,
        )
        return Attempt(
            self,
            request,
            known,
            model=model,
            resume_after_event_id=resume_after_event_id,
            limits=limits,
        )

    def exchange(self, attempt: Attempt) -> Exchange:
        """Start the HTTP exchange of ``attempt``."""
        request = attempt.request
        if request.facts.prompt:
            self.cache.note(
                attempt.known.endpoint_id, placement_request(request, attempt.model)
            )
        return self.client.exchange(
            EndpointCall(
                url=f"http://{attempt.known.entry.address}",
                path=request.uri,
                method=request.method,
                headers=headers_for_endpoint(request.headers, attempt.terms()),
                body=request.body,
                limits=attempt.limits,
                before_send=attempt.before_send,
            )
        )
