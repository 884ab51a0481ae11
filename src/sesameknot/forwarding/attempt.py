"""One attempt of a request at one endpoint, with its counters."""

from collections.abc import Callable
from types import TracebackType
from typing import TYPE_CHECKING

import structlog
from tornado.httputil import HTTPHeaders

from sesameknot.errors import ConnectError, RouterError, TransportError
from sesameknot.forwarding.request import AbandonedRun, ForwardedRequest
from sesameknot.platform import (
    AnswerMetadata,
    AttemptMetadata,
    parse_answer_metadata,
)
from sesameknot.state.attempt_counts import SLOW_SHARE_OF_TARGET
from sesameknot.state.known_endpoint import KnownEndpoint
from sesameknot.transport.endpoint_client import CallLimits

if TYPE_CHECKING:
    from sesameknot.forwarding.attempt_runner import AttemptRunner

# Lower limit of the remaining time that is sent to an endpoint.
MIN_TIME_LEFT_MS = 1
SUCCESS_STATUS_LIMIT = 300
SERVER_ERROR_STATUS = 500
# Results of attempts that end while the endpoint may still be running the request.
ABANDONED_RESULTS = frozenset({"abandoned", "dropped"})

log = structlog.get_logger(__name__)


class NotSentError(RouterError):
    """The endpoint became unusable before the request was sent."""


class InvalidAnswerError(TransportError):
    """The answer is incomplete or does not belong to the request."""


class Attempt:
    """One attempt; the context manager closes the exchange and updates all counters.

    Parameters
    ----------
    runner : AttemptRunner
        Access to the client, counters and clock.
    request : ForwardedRequest
        The request.
    endpoint : KnownEndpoint
        Endpoint that the request is sent to.
    model : str
        Model that the endpoint is told to run; empty if there is no choice.
    resume_after_event_id : str
        ID of the last event that the caller received; empty for a new stream.
    limits : CallLimits
        Time-outs of the attempt.
    claim_retry : callable
        Takes a retry that may follow the attempt; returns False if there is none.
    """

    def __init__(
        self,
        runner: "AttemptRunner",
        request: ForwardedRequest,
        endpoint: KnownEndpoint,
        *,
        model: str,
        resume_after_event_id: str,
        limits: CallLimits,
        claim_retry: Callable[[], bool],
    ) -> None:
        self.request = request
        self.endpoint = endpoint
        self.model = model
        self.status = 0
        # Whether the expected endpoint refused the request because of what it asks.
        self.unsuited = False
        self.metadata = AnswerMetadata()
        self._runner = runner
        self._limits = limits
        self._claim_retry = claim_retry
        self._overdue = False
        self._resume_after_event_id = resume_after_event_id
        self._pending_token_count = 0
        self._sent = False
        self._result = "abandoned"
        self._started_s = runner.clock.monotonic_s()
        self._sent_s = self._started_s
        self._head_s: float | None = None
        self._first_data_s: float | None = None

    def __enter__(self) -> "Attempt":
        endpoint = self.endpoint
        endpoint.in_flight_count += 1
        self._pending_token_count = self.request.metadata.prompt_token_count
        endpoint.pending_tokens += self._pending_token_count
        self.request.tried_incarnation_ids.add(endpoint.incarnation_id)
        self._exchange = self._runner.start_exchange(self)
        return self

    def __exit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self._exchange.close()
        self._runner.release_slot(
            self.request, self.endpoint, refused=self.metadata.not_run
        )
        self._record_abandoned_run()
        self._record_version_result()
        self.mark_prompt_processed()
        self.endpoint.in_flight_count -= 1
        self._runner.metrics.attempts.inc({"result": self._result})

    @property
    def headers(self) -> HTTPHeaders:
        """Headers of the answer."""
        return self._exchange.headers

    @property
    def ends_with_connection(self) -> bool:
        """Whether only the end of its connection shows the end of the answer."""
        return self._exchange.ends_with_connection

    @property
    def limits(self) -> CallLimits:
        """Time-outs of the attempt."""
        return self._limits

    def before_send(self) -> None:
        """Check again that the request may be sent to the endpoint.

        Raises
        ------
        NotSentError
            If the endpoint became unusable while the connection was being opened, or
            this host was paused and does not know yet.
        """
        reason = self._runner.refusal_reason(self.request, self.endpoint)
        if reason:
            raise NotSentError(reason, step="send", peer=self.endpoint.endpoint_id)
        self._runner.reachability.record_connected(
            self.endpoint.entry.service, endpoint_id=self.endpoint.endpoint_id
        )
        self._sent = True
        self._sent_s = self._runner.clock.monotonic_s()
        self.request.sent_s[self.endpoint.incarnation_id] = self._sent_s
        self.request.count_run()

    def may_give_up(self) -> bool:
        """Return whether to end the attempt, whose endpoint is silent, for a retry."""
        if self._claim_retry():
            return True
        if not self._overdue:
            self._overdue = True
            self.endpoint.health.failed()
            request_id, endpoint_id = self.request.request_id, self.endpoint.endpoint_id
            log.info("attempt_overdue", request_id=request_id, endpoint=endpoint_id)
        return False

    def header_values(self) -> AttemptMetadata:
        """Return the values for the headers of the request to the endpoint."""
        time_left_s = self.request.time_left_s(self._runner.clock.monotonic_s())
        customer = self.request.customer
        return AttemptMetadata(
            endpoint_id=self.endpoint.endpoint_id,
            time_left_ms=max(MIN_TIME_LEFT_MS, int(time_left_s * 1000)),
            customer=customer.name if customer is not None else "",
            model=self.model,
            priority=(
                self.request.endpoint_priority if self.request.metadata.prompt else None
            ),
            resume_after_event_id=self._resume_after_event_id,
        )

    async def read_head(self) -> None:
        """Wait for the status and headers of the answer.

        Raises
        ------
        ConnectError, NotSentError
            If nothing was sent.
        TransportError
            If there was no answer, or an invalid one.
        """
        try:
            await self._exchange.read_headers()
        except ConnectError as error:
            if not self._sent:
                self._record_unreachable()
            self.record_failure(error)
            raise
        except TransportError as error:
            self.endpoint.health.failed()
            self.record_failure(error)
            raise
        self._head_s = self._runner.clock.monotonic_s()
        self.status = self._exchange.status
        self.metadata = parse_answer_metadata(self.status, self.headers)
        self._check_answer()
        self._runner.notices.observe(
            self.endpoint,
            self.metadata,
            request_id=self.request.request_id,
            sent_s=self._sent_s,
        )
        if self.metadata.not_run:
            # The endpoint declares that it did not run the request.
            self.request.run_count -= 1
            self.request.not_run_count += 1
            if self.metadata.misdirected:
                self._judge_misdirection()
            log.info(
                "attempt_refused",
                request_id=self.request.request_id,
                endpoint=self.endpoint.endpoint_id,
                status=self.status,
                model=self.model or self.request.metadata.model,
                answered_by=self.metadata.answered_by,
                unsuited=self.unsuited,
                in_flight=self.endpoint.in_flight_count,
                others_in_flight=self.endpoint.other_in_flight_count,
                slots=self.endpoint.entry.slot_count,
            )

    def _judge_misdirection(self) -> None:
        """Tell an address that another endpoint has from an unsuited request.

        A request that names a model which the endpoint does not run is refused with the
        same status. It says nothing about the endpoint.
        """
        answered_by = self.metadata.answered_by
        names_model = bool(self.model) or self.request.metadata.names_model
        if answered_by == self.endpoint.endpoint_id:
            self.unsuited = True
            self.request.unsuited_count += 1
        elif answered_by or not names_model:
            self._runner.view.note_misdirected(self.endpoint)
        else:
            # Either is possible, so other endpoints are preferred for a while.
            self.endpoint.health.failed()

    def _record_unreachable(self) -> None:
        """Record that the endpoint accepted no connection."""
        self.endpoint.health.unreachable()
        if self._limits.deadline_s <= self._limits.connect_timeout_s:
            # The caller's deadline passed first.
            return
        self._runner.probes.check_later(self.endpoint)
        service = self.endpoint.entry.service
        self._runner.reachability.record_failure(
            service,
            endpoint_id=self.endpoint.endpoint_id,
            usable_count=self._runner.view.usable_count(service),
        )

    def _check_answer(self) -> None:
        metadata = self.metadata
        expected_id = self.request.request_id
        reason = ""
        if metadata.request_id and expected_id and metadata.request_id != expected_id:
            reason = f"answer to request {metadata.request_id!r}"
        elif self.status < SUCCESS_STATUS_LIMIT and not metadata.receipt:
            reason = "success without a receipt"
        elif "Content-Encoding" in self.headers:
            reason = "answer has a Content-Encoding"
        if reason:
            raise self.invalid_answer_error(reason, step="answer")

    def invalid_answer_error(self, reason: str, *, step: str) -> InvalidAnswerError:
        """Count an invalid answer against the endpoint and return its error."""
        self.endpoint.health.failed()
        error = InvalidAnswerError(reason, step=step, peer=self.endpoint.endpoint_id)
        self.record_failure(error)
        return error

    def waited_s(self) -> float:
        """Return the time since the start of the attempt."""
        return self._runner.clock.monotonic_s() - self._started_s

    def broken_stream_error(self, reason: str) -> TransportError:
        """Return the error of a stream that its endpoint broke off."""
        return TransportError(reason, step="body", peer=self.endpoint.endpoint_id)

    async def read(self) -> bytes:
        """Return the next bytes of the body, ``b""`` at its end.

        Raises
        ------
        TransportError
            If the connection fails before the end of the body, or the body may be
            incomplete.
        """
        try:
            return await self._exchange.read()
        except TransportError as error:
            self.endpoint.health.failed()
            self.record_failure(error)
            raise

    async def read_all(self) -> bytes:
        """Return the whole body.

        Raises
        ------
        TransportError
            If the connection fails before the end of the body, or the body is too
            large.
        """
        chunks = []
        with self._runner.answer_buffer.reservation() as reservation:
            while data := await self.read():
                if not reservation.add(len(data)):
                    raise self.invalid_answer_error(reservation.reason, step="body")
                chunks.append(data)
        return b"".join(chunks)

    def report_progress(self) -> None:
        """Report that a whole event was received."""
        self._exchange.report_progress()

    def mark_prompt_processed(self) -> None:
        """Record that the endpoint has processed the prompt; repeated calls do nothing.

        The first event of a stream shows it, otherwise the end of the attempt.
        """
        if self._first_data_s is None:
            self._first_data_s = self._runner.clock.monotonic_s()
            if self._exchange.status:
                self._runner.pressure_gauges.get(self.endpoint.entry.service).observe(
                    self._first_data_s - self._started_s,
                    self.request.route.latency_target_ms / 1000.0,
                )
        self.endpoint.pending_tokens -= self._pending_token_count
        self._pending_token_count = 0

    def _record_abandoned_run(self) -> None:
        """Keep the endpoint of a run that this host ended for a check of crashes."""
        if self._result not in ABANDONED_RESULTS or self.metadata.not_run:
            return
        if self._sent:
            self.request.abandoned_runs.append(
                AbandonedRun(self.endpoint, self._head_s)
            )

    def _record_version_result(self) -> None:
        """Count the answer and its faults for the endpoint's version."""
        if self._result == "abandoned" or not self._sent or self.metadata.not_run:
            return
        now_s = self._runner.clock.monotonic_s()
        target_s = self.request.route.latency_target_ms / 1000.0
        waited_s = (self._first_data_s or now_s) - self._started_s
        entry = self.endpoint.entry
        self._runner.attempt_counts.count_attempt(
            entry.service,
            entry.version,
            route=self.request.route.name,
            failed=self._result == "failed" or self.status >= SERVER_ERROR_STATUS,
            # Endpoints of a new version have just started, and are slow while cold.
            slow=waited_s > SLOW_SHARE_OF_TARGET * target_s
            and not self._runner.view.cold_left_s(self.endpoint),
        )

    def record_answer(self, result: str = "answered") -> None:
        """Record a complete answer; a 5xx status counts against the endpoint."""
        self._result = result
        if self.status >= SERVER_ERROR_STATUS and not self.metadata.not_run:
            self.endpoint.health.failed()
        else:
            self.endpoint.health.succeeded()

    def record_failure(self, error: RouterError) -> None:
        """Record and log a failed attempt."""
        self._result = "failed"
        log.warning(
            "attempt_failed",
            request_id=self.request.request_id,
            endpoint=self.endpoint.endpoint_id,
            step=error.step,
            reason=error.message,
            sent=self._sent,
            status=self.status,
            model=self.model,
            failure_share=round(self.endpoint.health.failure_share, 3),
        )
