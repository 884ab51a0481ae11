"""Rules that all requests share: which endpoint is next, who may follow a failure."""

import structlog

from sesameknot.clock import Clock
from sesameknot.errors import ConnectError, RouterError
from sesameknot.forwarding.attempt import AttemptRunner, NotSentError
from sesameknot.forwarding.crash_detector import CrashDetector
from sesameknot.forwarding.endpoint_picker import EndpointPicker, NoEndpoint
from sesameknot.forwarding.error_answer import (
    RequestEndedError,
    not_run_answer,
    timeout_answer,
    unknown_outcome_answer,
)
from sesameknot.forwarding.per_service import PerService
from sesameknot.forwarding.request import ForwardedRequest
from sesameknot.policy.retry_window import RetryWindow
from sesameknot.settings.front import AttemptSettings
from sesameknot.state.fleet_view import KnownEndpoint

# Connections that may fail before a request is given up.
CONNECT_FAILURE_LIMIT_COUNT = 4
DEFAULT_WAIT_S = 0.3

log = structlog.get_logger(__name__)


class RetryPolicy:
    """Rules that plain and streamed requests share: who may follow a failure.

    Parameters
    ----------
    picker : EndpointPicker
        Chooses endpoints.
    runner : AttemptRunner
        Starts attempts.
    crash_detector : CrashDetector
        Recognises requests that take endpoints down.
    retry_budgets : PerService of RetryWindow
        Bounds repeated requests.
    settings : AttemptSettings
        Limits.
    clock : Clock
        Source of monotonic time.
    """

    def __init__(
        self,
        *,
        picker: EndpointPicker,
        runner: AttemptRunner,
        crash_detector: CrashDetector,
        retry_budgets: PerService[RetryWindow],
        settings: AttemptSettings,
        clock: Clock,
    ) -> None:
        self.picker = picker
        self.runner = runner
        self.crash_detector = crash_detector
        self.retry_budgets = retry_budgets
        self.settings = settings
        self.clock = clock

    def next_endpoint(self, request: ForwardedRequest, *, model: str) -> KnownEndpoint:
        """Return the endpoint of the next attempt.

        Raises
        ------
        RequestEndedError
            If there is none; the answer is true to what may have run.
        """
        if self.crash_detector.refuses(request):
            raise self.ended_error(request, "request takes endpoints down")
        endpoint = self.picker.pick(request, model=model)
        if isinstance(endpoint, NoEndpoint):
            raise self.ended_error(
                request, endpoint.reason, estimated_wait_s=endpoint.estimated_wait_s
            )
        return endpoint

    def ended_error(
        self,
        request: ForwardedRequest,
        reason: str,
        *,
        estimated_wait_s: float = DEFAULT_WAIT_S,
    ) -> RequestEndedError:
        """Return the error that ends a request without an endpoint's answer."""
        time_left_s = request.time_left_s(self.clock.monotonic_s())
        if request.run_count == 0:
            return RequestEndedError(
                not_run_answer(
                    reason,
                    estimated_wait_s=estimated_wait_s,
                    time_left_s=max(0.0, time_left_s),
                )
            )
        return RequestEndedError(
            timeout_answer() if time_left_s <= 0.0 else unknown_outcome_answer(reason)
        )

    async def may_retry(
        self, request: ForwardedRequest, endpoint: KnownEndpoint, error: RouterError
    ) -> bool:
        """Return whether another attempt may follow one that failed at ``endpoint``."""
        await self.crash_detector.record_if_down(request, endpoint, error)
        if request.time_left_s(self.clock.monotonic_s()) <= 0.0:
            return False
        if isinstance(error, NotSentError):
            return True
        if isinstance(error, ConnectError):
            request.connect_failure_count += 1
            return request.connect_failure_count < CONNECT_FAILURE_LIMIT_COUNT
        if not request.route.repeatable or not request.has_attempts_left:
            return False
        return self.spend_retry(request)

    def attempt_timeout_s(
        self, request: ForwardedRequest, limit_ms: float, *, max_time_share: float = 1.0
    ) -> float:
        """Return how long an attempt may be waited for.

        Parameters
        ----------
        limit_ms : float
            Wait after which another attempt is better.
        max_time_share : float, default=1.0
            Largest part of the time left while another attempt may follow.
        """
        time_left_s = request.time_left_s(self.clock.monotonic_s())
        is_last_attempt = request.run_count + 1 >= request.route.attempt_limit_count
        if is_last_attempt or not request.route.repeatable:
            return time_left_s
        return min(max_time_share * time_left_s, limit_ms / 1000.0)

    def may_resend(self, request: ForwardedRequest) -> bool:
        """Return whether a request that an endpoint did not run may go to another."""
        if request.not_run_count > self.settings.not_run_resend_count:
            return False
        if request.time_left_s(self.clock.monotonic_s()) <= 0.0:
            return False
        return self.spend_retry(request)

    def spend_retry(self, request: ForwardedRequest) -> bool:
        """Take one repeated request from the service's budget."""
        if self.retry_budgets.get(request.service).try_spend():
            return True
        log.warning(
            "retry_budget_spent",
            request_id=request.request_id,
            service=request.service,
            attempts=len(request.tried_endpoint_ids),
        )
        return False
