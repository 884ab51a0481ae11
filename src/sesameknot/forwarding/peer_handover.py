"""Handing requests over to other hosts while this host reaches no endpoint.

Another host forwards the request as its own: with its limits, budgets and knowledge of
the endpoints. It never hands a request on, so that none goes round among hosts.
"""

import random

import structlog

from sesameknot.clock import Clock
from sesameknot.errors import ConnectError, TransportError
from sesameknot.forwarding.attempt import SUCCESS_STATUS_LIMIT
from sesameknot.forwarding.caller import CallerConnection
from sesameknot.forwarding.error_answer import (
    RequestEndedError,
    not_run_answer,
    unknown_outcome_answer,
    unsuited_answer,
)
from sesameknot.forwarding.events import EventSplitter
from sesameknot.forwarding.request import ForwardedRequest
from sesameknot.platform import (
    AnswerMetadata,
    handover_refused_as_unreachable,
    headers_for_caller,
    headers_for_host,
    parse_answer_metadata,
)
from sesameknot.policy.answer_buffer import AnswerBuffer
from sesameknot.protocol.configuration import RequestKind
from sesameknot.protocol.fleet_records import HostEntry
from sesameknot.router.metrics import RouterMetrics
from sesameknot.state.endpoint_reachability import EndpointReachability
from sesameknot.state.fleet_view import FleetView
from sesameknot.transport.endpoint_client import (
    CallLimits,
    EndpointCall,
    EndpointClient,
    Exchange,
)

# Hosts that a request is offered to in turn; many may be cut off at the same time.
HOST_TRY_COUNT = 6
CONNECT_TIMEOUT_S = 0.3
# Time for which a host is not asked again that reached no endpoint of the service, or
# did not answer.
UNFIT_S = 2.0
# Estimated time until some host reaches an endpoint.
UNREACHABLE_WAIT_S = 0.5
# A host's own answers without a run: its configuration or keys may be older.
REJECTED_STATUSES = frozenset({401, 404})
REFUSED_STATUSES = frozenset({429, 503})

log = structlog.get_logger(__name__)


class _NotTakenError(TransportError):
    """The other host did not take the request, and no endpoint runs it."""


class PeerHandover:
    """Sends requests to other hosts and relays their answers.

    Parameters
    ----------
    view : FleetView
        Hosts.
    reachability : EndpointReachability
        Tells which services this host reaches.
    client : EndpointClient
        Opens connections to other hosts.
    answer_buffer : AnswerBuffer
        Bounds the answers that this host holds in memory.
    host_id : str
        Name of this host.
    metrics : RouterMetrics
        Counts requests by what became of them.
    clock : Clock
        Source of monotonic time.
    """

    def __init__(
        self,
        *,
        view: FleetView,
        reachability: EndpointReachability,
        client: EndpointClient,
        answer_buffer: AnswerBuffer,
        host_id: str,
        metrics: RouterMetrics,
        clock: Clock,
    ) -> None:
        self._view = view
        self._reachability = reachability
        self._client = client
        self._answer_buffer = answer_buffer
        self._host_id = host_id
        self._metrics = metrics
        self._clock = clock
        self._unfit_until_s: dict[tuple[str, str], float] = {}

    def prefers(self, request: ForwardedRequest) -> bool:
        """Return whether to hand a new request over without an attempt of this host."""
        unreachable = self._reachability.is_unreachable(request.service)
        return unreachable and not request.handed_over and bool(self._others())

    def may_take(self, request: ForwardedRequest) -> bool:
        """Return whether to hand a request over after this host's attempts failed."""
        if request.handed_over or not request.connect_failure_count:
            return False
        if not self._reachability.is_unreachable(request.service):
            return not request.run_count and not request.not_run_count
        return not request.run_count or (
            request.route.repeatable and request.has_attempts_left
        )

    async def forward(
        self, request: ForwardedRequest, caller: CallerConnection
    ) -> bool:
        """Send the answer to ``request``; return False if no host takes it.

        Raises
        ------
        RequestEndedError
            If another host tried in vain, or two refused because endpoints are full.
        TransportError
            If the answer breaks off after its beginning was sent to the caller.
        """
        refusal: RequestEndedError | None = None
        for host in self._candidates(request.service):
            if request.time_left_s(self._clock.monotonic_s()) <= 0.0:
                break
            try:
                await self._send(host, request, caller)
            except _NotTakenError as error:
                self._record(host, request, "not taken", error.message)
                continue
            except RequestEndedError as error:
                self._record(host, request, "refused", error.message)
                if refusal is not None or request.run_count:
                    raise
                # The host may be leaving, or know less of the endpoints than others.
                refusal = error
                continue
            except TransportError as error:
                if error.step == "answer" and not error.peer:
                    # The caller closed the connection.
                    raise
                self._record(host, request, "failed", error.message)
                if request.route.repeatable and request.has_attempts_left:
                    continue
                if caller.head_sent:
                    raise
                answer = unknown_outcome_answer(error.message)
                raise RequestEndedError(answer) from error
            self._record(host, request, "answered", "")
            return True
        if refusal is not None:
            raise refusal
        return False

    def refusal(self, request: ForwardedRequest) -> RequestEndedError:
        """Return the error of a request that no host takes."""
        reason = "no endpoint is reachable"
        if request.run_count:
            return RequestEndedError(unknown_outcome_answer(reason))
        time_left_s = request.time_left_s(self._clock.monotonic_s())
        return RequestEndedError(
            not_run_answer(
                reason,
                estimated_wait_s=UNREACHABLE_WAIT_S,
                time_left_s=max(0.0, time_left_s),
            )
        )

    def _others(self) -> list[HostEntry]:
        return [
            host
            for host in self._view.live_hosts.values()
            if host.handover_address and host.host_id != self._host_id
        ]

    def _candidates(self, service: str) -> list[HostEntry]:
        """Return hosts to ask, in random order, so that the load is spread."""
        now_s = self._clock.monotonic_s()
        fit = [
            host
            for host in self._others()
            if self._unfit_until_s.get((host.host_id, service), 0.0) <= now_s
        ]
        return random.sample(fit, min(HOST_TRY_COUNT, len(fit)))

    def _mark_unfit(self, host: HostEntry, service: str) -> None:
        now_s = self._clock.monotonic_s()
        for key in [k for k, until_s in self._unfit_until_s.items() if until_s < now_s]:
            del self._unfit_until_s[key]
        self._unfit_until_s[host.host_id, service] = now_s + UNFIT_S

    def _record(
        self, host: HostEntry, request: ForwardedRequest, result: str, reason: str
    ) -> None:
        self._metrics.handovers.inc({"result": result})
        log.info(
            "request_handed_over",
            request_id=request.request_id,
            service=request.service,
            peer=host.host_id,
            result=result,
            reason=reason,
        )

    async def _send(
        self, host: HostEntry, request: ForwardedRequest, caller: CallerConnection
    ) -> None:
        exchange = self._client.start_exchange(self._call(host, request))
        try:
            try:
                await exchange.read_headers()
            except ConnectError as error:
                self._mark_unfit(host, request.service)
                raise _NotTakenError(error.message, peer=host.host_id) from error
            metadata = parse_answer_metadata(exchange.status, exchange.headers)
            self._check_taken(host, request, exchange, metadata)
            if exchange.status >= SUCCESS_STATUS_LIMIT and caller.head_sent:
                raise TransportError(
                    f"answered {exchange.status}", step="resume", peer=host.host_id
                )
            if (
                request.route.kind is RequestKind.STREAM
                and exchange.status < SUCCESS_STATUS_LIMIT
            ):
                await self._relay_stream(host, request, caller, exchange)
            else:
                await self._relay_plain(host, caller, exchange)
        finally:
            exchange.close()

    def _call(self, host: HostEntry, request: ForwardedRequest) -> EndpointCall:
        time_left_s = request.time_left_s(self._clock.monotonic_s())
        return EndpointCall(
            url=f"http://{host.handover_address}",
            path=request.uri,
            method=request.method,
            headers=headers_for_host(
                request.headers,
                time_left_ms=max(1, int(time_left_s * 1000)),
                run_count=request.prior_run_count + request.run_count,
                resume_after_event_id=request.last_event_id,
            ),
            body=request.body,
            before_send=request.count_run,
            limits=CallLimits(
                connect_timeout_s=CONNECT_TIMEOUT_S,
                first_byte_timeout_s=time_left_s,
                progress_timeout_s=time_left_s,
                deadline_s=time_left_s,
            ),
        )

    def _check_taken(
        self,
        host: HostEntry,
        request: ForwardedRequest,
        exchange: Exchange,
        metadata: AnswerMetadata,
    ) -> None:
        """Check that the answer is an endpoint's, and to this request."""
        status = exchange.status
        if handover_refused_as_unreachable(exchange.headers):
            request.run_count -= 1
            self._mark_unfit(host, request.service)
            raise _NotTakenError("reaches no endpoint either", peer=host.host_id)
        if not metadata.receipt and status in REJECTED_STATUSES:
            request.run_count -= 1
            raise _NotTakenError(f"answered {status}", peer=host.host_id)
        if not metadata.receipt and status in REFUSED_STATUSES:
            raise self._refusal_of(host, request, metadata)
        if not metadata.receipt and metadata.misdirected:
            request.run_count -= 1
            reason = f"unsuited, says {host.host_id}"
            raise RequestEndedError(
                unknown_outcome_answer(reason)
                if request.run_count
                else unsuited_answer()
            )
        if metadata.request_id and metadata.request_id != request.request_id:
            raise TransportError(
                f"answer to request {metadata.request_id!r}",
                step="answer",
                peer=host.host_id,
            )
        if status < SUCCESS_STATUS_LIMIT and not metadata.receipt:
            raise TransportError(
                "success without a receipt", step="answer", peer=host.host_id
            )

    def _refusal_of(
        self, host: HostEntry, request: ForwardedRequest, metadata: AnswerMetadata
    ) -> RequestEndedError:
        """Return the error of a request that another host refused as not run."""
        request.run_count -= 1
        reason = f"refused by {host.host_id}"
        if request.run_count:
            return RequestEndedError(unknown_outcome_answer(reason))
        time_left_s = request.time_left_s(self._clock.monotonic_s())
        return RequestEndedError(
            not_run_answer(
                reason,
                estimated_wait_s=metadata.notices.pause_s or UNREACHABLE_WAIT_S,
                time_left_s=max(0.0, time_left_s),
            )
        )

    async def _relay_plain(
        self, host: HostEntry, caller: CallerConnection, exchange: Exchange
    ) -> None:
        chunks = []
        with self._answer_buffer.reservation() as reservation:
            while data := await exchange.read():
                if not reservation.add(len(data)):
                    raise TransportError(
                        reservation.reason, step="body", peer=host.host_id
                    )
                chunks.append(data)
            body = b"".join(chunks)
            chunks.clear()
            headers = headers_for_caller(exchange.headers)
            await caller.send_complete(exchange.status, headers, body)

    async def _relay_stream(
        self,
        host: HostEntry,
        request: ForwardedRequest,
        caller: CallerConnection,
        exchange: Exchange,
    ) -> None:
        splitter = EventSplitter(request.last_event_id)
        with self._answer_buffer.reservation() as held:
            while data := await exchange.read():
                block = splitter.feed(data)
                if not held.hold(splitter.incomplete_bytes):
                    raise TransportError(held.reason, step="body", peer=host.host_id)
                if not block:
                    continue
                other_bytes = splitter.incomplete_bytes
                if caller.head_sent:
                    await caller.send_held(block, held, other_bytes=other_bytes)
                else:
                    request.first_event_s = self._clock.monotonic_s()
                    await caller.begin_held(
                        exchange.status,
                        headers_for_caller(exchange.headers),
                        block,
                        held,
                        other_bytes=other_bytes,
                    )
                request.last_event_id = splitter.last_event_id
        if splitter.incomplete:
            raise TransportError(
                "stream ended inside an event", step="body", peer=host.host_id
            )
        if not caller.head_sent:
            headers = headers_for_caller(exchange.headers)
            await caller.send_head(exchange.status, headers)
        caller.finish()
