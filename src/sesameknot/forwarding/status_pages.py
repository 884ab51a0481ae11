"""Readiness and metrics of the front process."""

from collections.abc import Callable

from aioprometheus.renderer import render
from tornado.httputil import HTTPHeaders, HTTPServerRequest, ResponseStartLine

from sesameknot.clock import Clock
from sesameknot.platform import READY_PATH
from sesameknot.router.drain import Drain
from sesameknot.router.metrics import RouterMetrics
from sesameknot.state.fleet_view import FleetView

METRICS_PATH = "/metrics"
OK_STATUS = 200
NOT_FOUND_STATUS = 404
NOT_READY_STATUS = 503


class StatusPages:
    """Answers the balancer and the collector of metrics.

    Parameters
    ----------
    view : FleetView
        Tells whether enough is known to serve.
    drain : Drain
        Tells whether the process is stopping.
    metrics : RouterMetrics
        What is shown.
    store_call_count : callable
        Returns the calls made to the store so far.
    clock : Clock
        Source of monotonic time.
    """

    def __init__(
        self,
        *,
        view: FleetView,
        drain: Drain,
        metrics: RouterMetrics,
        store_call_count: Callable[[], int],
        clock: Clock,
    ) -> None:
        self._view = view
        self._drain = drain
        self._metrics = metrics
        self._store_call_count = store_call_count
        self._clock = clock

    def answer_ready(self, received: HTTPServerRequest) -> None:
        """Answer 200 if requests can be served and the process is not stopping."""
        ready = self._view.ready and not self._drain.draining
        status = OK_STATUS if ready else NOT_READY_STATUS
        _respond(received, status if received.path == READY_PATH else NOT_FOUND_STATUS)

    def answer_metrics(self, received: HTTPServerRequest) -> None:
        """Answer with all metrics as text."""
        if received.path != METRICS_PATH:
            _respond(received, NOT_FOUND_STATUS)
            return
        metrics = self._metrics
        metrics.in_flight.set({}, self._drain.in_flight_count)
        metrics.platform_calls.set({}, self._store_call_count())
        age_s = self._clock.monotonic_s() - self._view.configuration_applied_s
        metrics.config_age_s.set({}, age_s)
        accepted = received.headers.get_list("Accept")
        content, headers = render(metrics.registry, accepted)
        _respond(received, OK_STATUS, content, headers)


def _respond(
    received: HTTPServerRequest,
    status: int,
    content: bytes = b"",
    headers: dict[str, str] | None = None,
) -> None:
    all_headers = HTTPHeaders(headers or {})
    all_headers["Content-Length"] = str(len(content))
    start = ResponseStartLine("HTTP/1.1", status, "")
    received.connection.write_headers(start, all_headers, content or None)
    received.connection.finish()
