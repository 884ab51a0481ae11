"""Admission of request bodies within the host's memory."""

import structlog
from tornado.httputil import HTTPServerRequest

from sesameknot.forwarding.caller import CallerConnection
from sesameknot.forwarding.error_answer import not_run_answer
from sesameknot.platform import parse_request_metadata
from sesameknot.policy.memory_budget import MemoryBudget
from sesameknot.router.drain import Drain
from sesameknot.router.metrics import RouterMetrics
from sesameknot.transport.request_body import RequestBody

log = structlog.get_logger(__name__)


class BodyAdmission:
    """Creates the bodies of requests and refuses those that the memory can't hold.

    Parameters
    ----------
    budget : MemoryBudget
        Limit on the bodies of all requests.
    retry_after_s : float
        Time after which refused callers are asked to come again.
    drain : Drain
        Tells whether the host is leaving.
    metrics : RouterMetrics
        Counts refused requests.
    """

    __slots__ = ("_drain", "_metrics", "_retry_after_s", "budget")

    def __init__(
        self,
        budget: MemoryBudget,
        *,
        retry_after_s: float,
        drain: Drain,
        metrics: RouterMetrics,
    ) -> None:
        self.budget = budget
        self._retry_after_s = retry_after_s
        self._drain = drain
        self._metrics = metrics

    def new_body(self) -> RequestBody:
        """Return an empty body that counts against the budget."""
        return RequestBody(reservation=self.budget.reservation())

    def refuse(self, http_request: HTTPServerRequest) -> None:
        """Answer a request whose body is not read; it has not run and never will."""
        metadata = parse_request_metadata(http_request.headers)
        error_answer = not_run_answer(
            "no memory for the body",
            estimated_wait_s=self._retry_after_s,
            time_left_s=(metadata.time_left_ms or 0) / 1000.0,
        )
        caller = CallerConnection(http_request)
        caller.close_after_answer = self._drain.draining
        caller.send_error_early(error_answer)
        self._metrics.observe_request("ended", error_answer.status, 0.0)
        self._metrics.refused_bodies.inc({})
        log.info(
            "request_body_refused",
            request_id=metadata.request_id,
            path=http_request.path,
            length=http_request.headers.get("Content-Length", ""),
            retry_after_ms=round(error_answer.retry_after_s * 1000),
            used_bytes=self.budget.used_bytes,
            limit_bytes=self.budget.limit_bytes,
        )
        log.info(
            "request_finished",
            request_id=metadata.request_id,
            path=http_request.path,
            outcome="ended",
            status=error_answer.status,
            reason=error_answer.reason,
            duration_ms=0,
        )
