"""Admission of request bodies within the host's memory."""

import structlog
from tornado.httputil import HTTPServerRequest

from sesameknot.forwarding.caller import CallerConnection
from sesameknot.forwarding.error_answer import (
    REQUEST_TIMEOUT_STATUS,
    ErrorAnswer,
    leaving_answer,
    not_run_answer,
)
from sesameknot.platform import RequestMetadata, parse_request_metadata
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
    body_limit_s : float
        Time within which a body must come.
    drain : Drain
        Tells whether the host is leaving.
    metrics : RouterMetrics
        Counts refused requests.
    """

    __slots__ = ("_body_limit_s", "_drain", "_metrics", "_retry_after_s", "budget")

    def __init__(
        self,
        budget: MemoryBudget,
        *,
        retry_after_s: float,
        body_limit_s: float,
        drain: Drain,
        metrics: RouterMetrics,
    ) -> None:
        self.budget = budget
        self._retry_after_s = retry_after_s
        self._body_limit_s = body_limit_s
        self._drain = drain
        self._metrics = metrics

    def new_body(self) -> RequestBody:
        """Return an empty body that counts against the budget."""
        return RequestBody(reservation=self.budget.reservation())

    def time_limit_s(self, http_request: HTTPServerRequest) -> float:
        """Return the time within which a body must come: the caller's, if it names one.

        The route is not looked up yet, as the configuration may not be there.
        """
        metadata = parse_request_metadata(http_request.headers)
        if metadata.time_left_ms is None:
            return self._body_limit_s
        return min(metadata.time_left_ms / 1000.0, self._body_limit_s)

    def refuse(self, http_request: HTTPServerRequest) -> None:
        """Answer a request whose body is not read; it has not run and never will."""
        metadata = parse_request_metadata(http_request.headers)
        error_answer = not_run_answer(
            "no memory for the body",
            estimated_wait_s=self._retry_after_s,
            time_left_s=(metadata.time_left_ms or 0) / 1000.0,
        )
        self._metrics.refused_bodies.inc({"reason": "memory"})
        log.info(
            "request_body_refused",
            request_id=metadata.request_id,
            path=http_request.path,
            length=http_request.headers.get("Content-Length", ""),
            retry_after_ms=round(error_answer.retry_after_s * 1000),
            used_bytes=self.budget.used_bytes,
            limit_bytes=self.budget.limit_bytes,
        )
        self._answer(http_request, metadata, error_answer)

    def refuse_late(self, http_request: HTTPServerRequest) -> None:
        """Answer a request whose body has not come in time; it has not run."""
        metadata = parse_request_metadata(http_request.headers)
        limit_s = self.time_limit_s(http_request)
        error_answer = ErrorAnswer(
            status=REQUEST_TIMEOUT_STATUS,
            reason=f"body not received within {limit_s:g} s",
        )
        self._metrics.refused_bodies.inc({"reason": "late"})
        self._answer(http_request, metadata, error_answer)

    def refuse_leaving(self, http_request: HTTPServerRequest) -> None:
        """Answer a request whose body comes too late for a host that leaves."""
        metadata = parse_request_metadata(http_request.headers)
        error_answer = leaving_answer(time_left_s=(metadata.time_left_ms or 0) / 1000.0)
        self._metrics.refused_bodies.inc({"reason": "leaving"})
        self._answer(http_request, metadata, error_answer)

    def _answer(
        self,
        http_request: HTTPServerRequest,
        metadata: RequestMetadata,
        error_answer: ErrorAnswer,
    ) -> None:
        caller = CallerConnection(http_request, self._drain)
        caller.send_error_early(error_answer)
        self._metrics.observe_request("ended", error_answer.status, 0.0)
        log.info(
            "request_finished",
            request_id=metadata.request_id,
            path=http_request.path,
            outcome="ended",
            status=error_answer.status,
            reason=error_answer.reason,
            duration_ms=0,
        )
