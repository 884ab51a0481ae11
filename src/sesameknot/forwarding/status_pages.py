"""Readiness and metrics pages of the front process."""

from collections.abc import Callable

from aioprometheus.renderer import render
from tornado.httputil import HTTPHeaders, HTTPServerRequest, ResponseStartLine

from sesameknot.clock import Clock
from sesameknot.platform import READY_PATH
from sesameknot.policy.memory_budget import MemoryBudget
from sesameknot.router.drain import Drain
from sesameknot.router.metrics import RouterMetrics
from sesameknot.state.fleet_view import FleetView

METRICS_PATH = "/metrics"
OK_STATUS = 200
NOT_FOUND_STATUS = 404
NOT_READY_STATUS = 503


class StatusPages:
    """Answers readiness probes of the load balancer and scrapes of the metrics.

    Parameters
    ----------
    view : FleetView
        Tells whether the host has loaded enough state to serve requests.
    drain : Drain
        Tells whether the process is shutting down.
    metrics : RouterMetrics
        Metrics to render.
    body_budget : MemoryBudget
        Memory for the bodies of requests.
    store_call_count : callable
        Returns the number of calls made to the store so far.
    clock : Clock
        Source of monotonic time.
    """

    def __init__(
        self,
        *,
        view: FleetView,
        drain: Drain,
        metrics: RouterMetrics,
        body_budget: MemoryBudget,
        store_call_count: Callable[[], int],
        clock: Clock,
    ) -> None:
        self._view = view
        self._drain = drain
        self._metrics = metrics
        self._body_budget = body_budget
        self._store_call_count = store_call_count
        self._clock = clock

    def answer_ready(self, http_request: HTTPServerRequest) -> None:
        """Answer 200 if requests can be served and the process is not shutting down."""
        ready = self._view.ready and not self._drain.draining
        status = OK_STATUS if ready else NOT_READY_STATUS
        _respond(
            http_request,
            status if http_request.path == READY_PATH else NOT_FOUND_STATUS,
        )

    def answer_metrics(self, http_request: HTTPServerRequest) -> None:
        """Answer with all metrics in the format that the scraper accepts."""
        if http_request.path != METRICS_PATH:
            _respond(http_request, NOT_FOUND_STATUS)
            return
        metrics = self._metrics
        metrics.in_flight.set({}, self._drain.in_flight_count)
        metrics.body_bytes.set({}, self._body_budget.used_bytes)
        metrics.body_limit_bytes.set({}, self._body_budget.limit_bytes)
        metrics.platform_calls.set({}, self._store_call_count())
        metrics.limited_endpoints.set({}, self._view.endpoint_limits.limited_count)
        metrics.uneven_endpoints.set({}, self._view.uneven_count)
        config_age_s = self._clock.monotonic_s() - self._view.configuration_applied_s
        metrics.config_age_s.set({}, config_age_s)
        accept_headers = http_request.headers.get_list("Accept")
        body, headers = render(metrics.registry, accept_headers)
        _respond(http_request, OK_STATUS, body, headers)


def _respond(
    http_request: HTTPServerRequest,
    status: int,
    body: bytes = b"",
    headers: dict[str, str] | None = None,
) -> None:
    response_headers = HTTPHeaders(headers or {})
    response_headers["Content-Length"] = str(len(body))
    start_line = ResponseStartLine("HTTP/1.1", status, "")
    http_request.connection.write_headers(start_line, response_headers, body or None)
    http_request.connection.finish()
