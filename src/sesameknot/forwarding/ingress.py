"""Entry point for requests: routing, authentication, forwarding and logging."""

import asyncio
import contextlib
from collections.abc import Coroutine
from typing import Any

import structlog
from tornado.httputil import HTTPServerRequest

from sesameknot.clock import Clock
from sesameknot.coordination.pause_guard import PauseGuard
from sesameknot.errors import TransportError
from sesameknot.forwarding.attempt_runner import AttemptRunner
from sesameknot.forwarding.caller import CallerConnection
from sesameknot.forwarding.crash_detector import CrashDetector
from sesameknot.forwarding.error_answer import (
    ErrorAnswer,
    RequestEndedError,
    leaving_answer,
    not_run_answer,
    timeout_answer,
    unsuited_answer,
)
from sesameknot.forwarding.peer_handover import PeerHandover
from sesameknot.forwarding.plain import PlainForwarder
from sesameknot.forwarding.request import ForwardedRequest
from sesameknot.forwarding.request_scheduler import RequestScheduler
from sesameknot.forwarding.stream import StreamForwarder
from sesameknot.platform import (
    RequestMetadata,
    parse_request_metadata,
    parse_run_count,
)
from sesameknot.policy.rendezvous import unit_hash
from sesameknot.protocol.configuration import Configuration, RequestKind, Route
from sesameknot.router.drain import Drain
from sesameknot.router.metrics import RouterMetrics
from sesameknot.state.fleet_view import FleetView
from sesameknot.transport.request_body import RequestBody

NO_ROUTE_STATUS = 404
UNAUTHORIZED_STATUS = 401
INTERNAL_ERROR_STATUS = 500
# Callers are asked to retry after this time while the configuration is loading.
STARTING_WAIT_S = 0.5
# A host usually reads its configuration from the store well within this time. Requests
# that come before wait for it, since other hosts may be starting as well.
START_LIMIT_S = 1.0
START_POLL_S = 0.01
# Largest share of its time that a request waits for the configuration.
START_WAIT_SHARE = 0.3

log = structlog.get_logger(__name__)


class Ingress:
    """Handles each request in a task of its own.

    Parameters
    ----------
    view : FleetView
        Configuration and endpoints.
    runner : AttemptRunner
        Gives back what a request holds at its end.
    plain_forwarder : PlainForwarder
        Forwards requests whose answer is a single body.
    stream_forwarder : StreamForwarder
        Forwards requests whose answer is a stream of events.
    handover : PeerHandover
        Hands requests over to other hosts while this one reaches no endpoint.
    crash_detector : CrashDetector
        Checks endpoints whose runs ended without an answer.
    scheduler : RequestScheduler
        Delays or refuses requests while endpoints lack room.
    drain : Drain
        Counts requests in flight; rejects new ones during shutdown.
    metrics : RouterMetrics
        Counters and latency histograms.
    pause_guard : PauseGuard
        Holds requests after a pause until this host knows what changed meanwhile.
    clock : Clock
        Source of monotonic time.
    """

    def __init__(
        self,
        *,
        view: FleetView,
        runner: AttemptRunner,
        plain_forwarder: PlainForwarder,
        stream_forwarder: StreamForwarder,
        handover: PeerHandover,
        crash_detector: CrashDetector,
        scheduler: RequestScheduler,
        drain: Drain,
        metrics: RouterMetrics,
        pause_guard: PauseGuard,
        clock: Clock,
    ) -> None:
        self._view = view
        self._pause_guard = pause_guard
        self._runner = runner
        self._plain_forwarder = plain_forwarder
        self._stream_forwarder = stream_forwarder
        self._handover = handover
        self._crash_detector = crash_detector
        self._scheduler = scheduler
        self._drain = drain
        self._metrics = metrics
        self._clock = clock
        self._tasks: set[asyncio.Task[None]] = set()
        self._time_limits: set[asyncio.Timeout] = set()
        self._start_limit_s = clock.monotonic_s() + START_LIMIT_S

    def accept(self, http_request: HTTPServerRequest, body: RequestBody) -> None:
        """Start handling a request whose body has been read completely."""
        self._start(self._handle(http_request, body, handed_over=False))

    def accept_handed_over(
        self, http_request: HTTPServerRequest, body: RequestBody
    ) -> None:
        """Start handling a request that another host hands over."""
        self._start(self._handle(http_request, body, handed_over=True))

    def end_requests(self) -> None:
        """Let the deadline of all requests in flight pass now.

        Their callers get an answer that says whether the request may have run.
        """
        now_s = asyncio.get_running_loop().time()
        for time_limit in self._time_limits:
            if not time_limit.expired():
                time_limit.reschedule(now_s)

    def _start(self, handling: Coroutine[Any, Any, None]) -> None:
        # Counted before the task runs, so that the host is never idle in between.
        tracked = contextlib.ExitStack()
        tracked.enter_context(self._drain.track_request())
        task = asyncio.create_task(handling)
        task.add_done_callback(lambda _: tracked.close())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _handle(
        self, http_request: HTTPServerRequest, body: RequestBody, *, handed_over: bool
    ) -> None:
        caller = CallerConnection(http_request, self._drain)
        current_task = asyncio.current_task()
        if current_task is not None:
            caller.cancel_on_close(current_task)
        arrived_s = self._clock.monotonic_s()
        metadata = parse_request_metadata(http_request.headers)
        outcome, reason = "answered", ""
        request: ForwardedRequest | None = None
        try:
            await self._wait_until_informed(metadata)
            request = self._admit(http_request, body, metadata, arrived_s)
            if handed_over:
                request.handed_over = True
                request.prior_run_count = parse_run_count(http_request.headers)
            await self._forward(request, caller)
        except RequestEndedError as error:
            outcome, reason = "ended", error.error_answer.reason
            await self._send_error(caller, error.error_answer)
        except TransportError as error:
            outcome, reason = "broken", str(error)
            caller.abort()
        except asyncio.CancelledError:
            outcome, reason = "caller-left", "connection closed"
            caller.abort()
        except Exception:
            log.exception("request_fault", request_id=metadata.request_id)
            outcome, reason = "fault", "internal error"
            await self._send_error(
                caller, ErrorAnswer(status=INTERNAL_ERROR_STATUS, reason=reason)
            )
        finally:
            body.release()
        duration_s = self._clock.monotonic_s() - arrived_s
        self._metrics.observe_request(outcome, caller.status, duration_s)
        log.info(
            "request_finished",
            request_id=metadata.request_id,
            path=http_request.path,
            outcome=outcome,
            status=caller.status,
            reason=reason,
            duration_ms=round(duration_s * 1000),
            first_event_ms=request.first_event_ms if request is not None else None,
        )

    async def _send_error(
        self, caller: CallerConnection, error_answer: ErrorAnswer
    ) -> None:
        try:
            await caller.send_error(error_answer)
        except (TransportError, OSError) as error:
            log.info("error_answer_not_sent", reason=str(error))

    async def _wait_until_informed(self, metadata: RequestMetadata) -> None:
        await self._wait_for_configuration(metadata)
        await self._pause_guard.wait_until_confirmed()

    async def _forward(
        self, request: ForwardedRequest, caller: CallerConnection
    ) -> None:
        metadata = request.metadata
        log.info(
            "request_accepted",
            request_id=request.request_id,
            route=request.route.name,
            service=request.service,
            customer=request.customer.name if request.customer else "",
            configuration=self._configuration(metadata).version,
            time_left_ms=round((request.deadline_s - request.arrived_s) * 1000),
            target_ms=request.route.latency_target_ms,
            priority=request.priority,
            prompt_tokens=metadata.prompt_token_count,
            resume_after=metadata.resume_after_event_id,
            handed_over=request.handed_over,
        )
        try:
            await self._forward_until_deadline(request, caller)
        except BaseException:
            self._crash_detector.check_abandoned_runs(request)
            raise
        finally:
            self._runner.release_slots(request)
            request.release_body()
            self._scheduler.ended(request)

    async def _forward_until_deadline(
        self, request: ForwardedRequest, caller: CallerConnection
    ) -> None:
        try:
            await self._forward_within(
                self._event_loop_time(request.deadline_s), request, caller
            )
        except TimeoutError as error:
            if request.run_count:
                raise RequestEndedError(timeout_answer()) from error
            error_answer = not_run_answer(
                "deadline passed", estimated_wait_s=STARTING_WAIT_S, time_left_s=0.0
            )
            raise RequestEndedError(error_answer) from error

    async def _forward_within(
        self, deadline_s: float, request: ForwardedRequest, caller: CallerConnection
    ) -> None:
        async with asyncio.timeout_at(deadline_s) as time_limit:
            self._time_limits.add(time_limit)
            try:
                await self._forward_or_hand_over(request, caller)
            finally:
                self._time_limits.discard(time_limit)

    async def _forward_or_hand_over(
        self, request: ForwardedRequest, caller: CallerConnection
    ) -> None:
        if self._handover.prefers(request):
            if not await self._handover.forward(request, caller):
                raise self._handover.refusal(request)
            return
        await self._scheduler.admit(request)
        forward = self._plain_forwarder.forward
        if request.route.kind is RequestKind.STREAM:
            forward = self._stream_forwarder.forward
        try:
            await forward(request, caller)
        except RequestEndedError:
            if not self._handover.may_take(request):
                raise
            if not await self._handover.forward(request, caller):
                raise self._handover.refusal(request) from None

    async def _wait_for_configuration(self, metadata: RequestMetadata) -> None:
        """Wait shortly after the start until the host knows where to send requests."""
        if self._view.ready:
            return
        now_s = self._clock.monotonic_s()
        limit_s = self._start_limit_s
        if metadata.time_left_ms is not None:
            wait_s = START_WAIT_SHARE * metadata.time_left_ms / 1000.0
            limit_s = min(limit_s, now_s + wait_s)
        # The view has no event, and a host that serves requests never comes here.
        while not self._view.ready and self._clock.monotonic_s() < limit_s:  # noqa: ASYNC110
            await asyncio.sleep(START_POLL_S)

    def _event_loop_time(self, deadline_s: float) -> float:
        time_left_s = deadline_s - self._clock.monotonic_s()
        return asyncio.get_running_loop().time() + time_left_s

    def _admit(
        self,
        http_request: HTTPServerRequest,
        body: RequestBody,
        metadata: RequestMetadata,
        arrived_s: float,
    ) -> ForwardedRequest:
        configuration = self._configuration(metadata)
        route = configuration.route(_host_name(http_request), http_request.path)
        if route is None:
            raise RequestEndedError(
                ErrorAnswer(status=NO_ROUTE_STATUS, reason="no route")
            )
        customer = (
            configuration.customer(metadata.api_key) if metadata.api_key else None
        )
        if configuration.customers and not route.public and customer is None:
            raise RequestEndedError(
                ErrorAnswer(status=UNAUTHORIZED_STATUS, reason="unknown key")
            )
        if route.models and metadata.model and metadata.model not in route.models:
            raise RequestEndedError(unsuited_answer())
        time_limit_s = _time_limit_s(route, metadata)
        if not self._drain.accepts(arrived_s + time_limit_s):
            raise RequestEndedError(leaving_answer(time_left_s=time_limit_s))
        session = metadata.session_key or metadata.request_id
        return ForwardedRequest(
            metadata=metadata,
            method=http_request.method,
            uri=http_request.uri,
            headers=http_request.headers,
            body=body if _has_body(http_request) else None,
            route=route,
            customer=customer,
            service=_choose_service(route, session),
            arrived_s=arrived_s,
            deadline_s=arrived_s + time_limit_s,
            session_position=unit_hash("session", session),
            last_event_id=metadata.resume_after_event_id,
        )

    def _configuration(self, metadata: RequestMetadata) -> Configuration:
        configuration = self._view.configuration
        if configuration is None or not self._view.ready:
            time_left_s = (metadata.time_left_ms or 0) / 1000.0
            raise RequestEndedError(
                not_run_answer(
                    "starting",
                    estimated_wait_s=STARTING_WAIT_S,
                    time_left_s=time_left_s,
                )
            )
        return configuration


def _host_name(http_request: HTTPServerRequest) -> str:
    name, _, port = http_request.host.rpartition(":")
    return name if name and port.isdigit() else http_request.host


def _has_body(http_request: HTTPServerRequest) -> bool:
    headers = http_request.headers
    return "Content-Length" in headers or "Transfer-Encoding" in headers


def _time_limit_s(route: Route, metadata: RequestMetadata) -> float:
    time_limit_ms = route.timeout_ms
    if metadata.time_left_ms is not None:
        time_limit_ms = min(time_limit_ms, metadata.time_left_ms)
    return time_limit_ms / 1000.0


def _choose_service(route: Route, session: str) -> str:
    """Return the service for a session, chosen by weight; always the same one."""
    total_weight = sum(service_share.weight for service_share in route.services)
    position = unit_hash("service", route.name, session) * total_weight
    for service_share in route.services:
        position -= service_share.weight
        if position < 0.0:
            return service_share.service
    return route.services[-1].service
