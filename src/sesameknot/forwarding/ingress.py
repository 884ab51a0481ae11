"""Accept callers' requests: route, identify the customer, serve, account."""

import asyncio

import structlog
from tornado.httputil import HTTPServerRequest

from sesameknot.clock import Clock
from sesameknot.errors import TransportError
from sesameknot.forwarding.caller import CallerConnection
from sesameknot.forwarding.plain import PlainForwarder
from sesameknot.forwarding.refusal import Refusal, RequestEndedError, not_run, timed_out
from sesameknot.forwarding.request import ForwardedRequest
from sesameknot.forwarding.stream import StreamForwarder
from sesameknot.platform import RequestFacts, request_facts
from sesameknot.policy.rendezvous import unit_hash
from sesameknot.protocol.configuration import Configuration, RequestKind, Route
from sesameknot.router.drain import Drain
from sesameknot.router.metrics import RouterMetrics
from sesameknot.state.fleet_view import FleetView

NO_ROUTE_STATUS = 404
NO_KEY_STATUS = 401
FAULT_STATUS = 500
# Wait that callers are told while this host knows no configuration yet.
START_WAIT_S = 0.5
# Another host takes the caller's next connection at once.
LEAVING_WAIT_S = 0.05

log = structlog.get_logger(__name__)


class Ingress:
    """Serves each request in a task of its own.

    Parameters
    ----------
    view : FleetView
        Configuration and endpoints.
    plain : PlainForwarder
        Serves requests with one body.
    stream : StreamForwarder
        Serves streamed requests.
    drain : Drain
        Counts requests in flight.
    metrics : RouterMetrics
        Counters and latency histograms.
    clock : Clock
        Source of monotonic time.
    """

    def __init__(
        self,
        *,
        view: FleetView,
        plain: PlainForwarder,
        stream: StreamForwarder,
        drain: Drain,
        metrics: RouterMetrics,
        clock: Clock,
    ) -> None:
        self._view = view
        self._plain = plain
        self._stream = stream
        self._drain = drain
        self._metrics = metrics
        self._clock = clock
        self._tasks: set[asyncio.Task[None]] = set()

    def accept(self, received: HTTPServerRequest) -> None:
        """Start serving a request that was read whole."""
        task = asyncio.create_task(self._run(received))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _run(self, received: HTTPServerRequest) -> None:
        caller = CallerConnection(received)
        caller.closing = self._drain.draining
        current = asyncio.current_task()
        if current is not None:
            caller.cancel_on_close(current)
        started_s = self._clock.monotonic_s()
        facts = request_facts(received.headers)
        outcome, reason = "answered", ""
        with self._drain.track_request():
            try:
                await self._serve(received, facts, caller, started_s)
            except RequestEndedError as error:
                outcome, reason = "ended", error.refusal.reason
                await self._end(caller, error.refusal)
            except TransportError as error:
                outcome, reason = "broken", str(error)
                caller.break_off()
            except asyncio.CancelledError:
                outcome, reason = "caller-left", "connection closed"
                caller.break_off()
            except Exception:
                log.exception("request_fault", request_id=facts.request_id)
                outcome, reason = "fault", "internal error"
                await self._end(caller, Refusal(status=FAULT_STATUS, reason=reason))
        duration_s = self._clock.monotonic_s() - started_s
        self._metrics.observe_request(outcome, caller.status, duration_s)
        log.info(
            "request_finished",
            request_id=facts.request_id,
            path=received.path,
            outcome=outcome,
            status=caller.status,
            reason=reason,
            duration_ms=round(duration_s * 1000),
        )

    async def _end(self, caller: CallerConnection, refusal: Refusal) -> None:
        try:
            await caller.refuse(refusal)
        except (TransportError, OSError) as error:
            log.info("refusal_not_delivered", reason=str(error))

    async def _serve(
        self,
        received: HTTPServerRequest,
        facts: RequestFacts,
        caller: CallerConnection,
        started_s: float,
    ) -> None:
        request = self._admit(received, facts, started_s)
        log.info(
            "request_accepted",
            request_id=request.request_id,
            route=request.route.name,
            service=request.service,
            customer=request.customer.name if request.customer else "",
            configuration=self._configuration(facts).version,
            time_left_ms=round((request.deadline_s - started_s) * 1000),
            resume_after=facts.resume_after_event_id,
        )
        serve = self._plain.serve
        if request.route.kind is RequestKind.STREAM:
            serve = self._stream.serve
        try:
            async with asyncio.timeout_at(self._loop_time(request.deadline_s)):
                await serve(request, caller)
        except TimeoutError as error:
            if request.run_count:
                raise RequestEndedError(timed_out()) from error
            refusal = not_run("deadline passed", wait_s=START_WAIT_S, time_left_s=0.0)
            raise RequestEndedError(refusal) from error

    def _loop_time(self, deadline_s: float) -> float:
        left_s = deadline_s - self._clock.monotonic_s()
        return asyncio.get_running_loop().time() + left_s

    def _admit(
        self, received: HTTPServerRequest, facts: RequestFacts, started_s: float
    ) -> ForwardedRequest:
        configuration = self._configuration(facts)
        route = configuration.route(_host(received), received.path)
        if route is None:
            raise RequestEndedError(Refusal(status=NO_ROUTE_STATUS, reason="no route"))
        customer = configuration.customer(facts.key) if facts.key else None
        if configuration.customers and not route.public and customer is None:
            raise RequestEndedError(Refusal(status=NO_KEY_STATUS, reason="unknown key"))
        limit_s = _limit_s(route, facts)
        if not self._drain.accepts(started_s + limit_s):
            raise RequestEndedError(
                not_run("host is leaving", wait_s=LEAVING_WAIT_S, time_left_s=limit_s)
            )
        session = facts.session_key or facts.request_id
        return ForwardedRequest(
            facts=facts,
            method=received.method,
            uri=received.uri,
            headers=received.headers,
            body=received.body if _has_body(received) else None,
            route=route,
            customer=customer,
            service=_service(route, session),
            arrived_s=started_s,
            deadline_s=started_s + limit_s,
            session_position=unit_hash("session", session),
        )

    def _configuration(self, facts: RequestFacts) -> Configuration:
        configuration = self._view.configuration
        if configuration is None or not self._view.ready:
            left_s = (facts.time_left_ms or 0) / 1000.0
            raise RequestEndedError(
                not_run("starting", wait_s=START_WAIT_S, time_left_s=left_s)
            )
        return configuration


def _host(received: HTTPServerRequest) -> str:
    name, _, port = received.host.rpartition(":")
    return name if name and port.isdigit() else received.host


def _has_body(received: HTTPServerRequest) -> bool:
    headers = received.headers
    return "Content-Length" in headers or "Transfer-Encoding" in headers


def _limit_s(route: Route, facts: RequestFacts) -> float:
    limit_ms = route.timeout_ms
    if facts.time_left_ms is not None:
        limit_ms = min(limit_ms, facts.time_left_ms)
    return limit_ms / 1000.0


def _service(route: Route, session: str) -> str:
    """Return the service of the session; the same one for its later requests."""
    total = sum(share.weight for share in route.services)
    place = unit_hash("service", route.name, session) * total
    for share in route.services:
        place -= share.weight
        if place < 0.0:
            return share.service
    return route.services[-1].service
