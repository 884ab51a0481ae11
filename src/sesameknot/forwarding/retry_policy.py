"""Rules that all requests share: which endpoint is next, who may follow a failure."""

import structlog

from sesameknot.clock import Clock
from sesameknot.errors import ConnectError, RouterError
from sesameknot.forwarding.attempt import AttemptRunner, NotSentError
from sesameknot.forwarding.crash_detector import CrashDetector
from sesameknot.forwarding.endpoint_picker import EndpointPicker, NoEndpoint
from sesameknot.forwarding.per_service import PerService
from sesameknot.forwarding.refusal import (
    RequestEndedError,
    not_run,
    timed_out,
    unknown,
)
from sesameknot.forwarding.request import ForwardedRequest
from sesameknot.policy.retry_window import RetryWindow
from sesameknot.settings.front import AttemptSettings
from sesameknot.state.fleet_view import KnownEndpoint

# Connections that may fail before a request is given up.
CONNECT_TRY_LIMIT_COUNT = 4
BUSY_WAIT_S = 0.3

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
            raise self.ended(request, "request takes endpoints down")
        target = self.picker.pick(request, model=model)
        if isinstance(target, NoEndpoint):
            raise self.ended(request, target.reason, wait_s=target.wait_s)
        return target

    def ended(
        self, request: ForwardedRequest, reason: str, *, wait_s: float = BUSY_WAIT_S
    ) -> RequestEndedError:
        """Return the error that ends a request without an endpoint's answer."""
        left_s = request.time_left_s(self.clock.monotonic_s())
        if request.run_count == 0:
            return RequestEndedError(
                not_run(reason, wait_s=wait_s, time_left_s=max(0.0, left_s))
            )
        return RequestEndedError(timed_out() if left_s <= 0.0 else unknown(reason))

    async def may_follow(
        self, request: ForwardedRequest, known: KnownEndpoint, error: RouterError
    ) -> bool:
        """Return whether another attempt may follow one that failed at ``known``."""
        await self.crash_detector.inspect(request, known, error)
        if request.time_left_s(self.clock.monotonic_s()) <= 0.0:
            return False
        if isinstance(error, NotSentError):
            return True
        if isinstance(error, ConnectError):
            request.connect_failure_count += 1
            return request.connect_failure_count < CONNECT_TRY_LIMIT_COUNT
        if not request.route.repeatable or not request.attempts_left:
            return False
        return self.spend(request)

    def wait_s(
        self, request: ForwardedRequest, limit_ms: float, *, part: float = 1.0
    ) -> float:
        """Return how long an attempt may be waited for.

        Parameters
        ----------
        limit_ms : float
            Wait after which another attempt is better.
        part : float, default=1.0
            Largest part of the time left while another attempt may follow.
        """
        left_s = request.time_left_s(self.clock.monotonic_s())
        last = request.run_count + 1 >= request.route.attempt_limit_count
        if last or not request.route.repeatable:
            return left_s
        return min(part * left_s, limit_ms / 1000.0)

    def may_resend(self, request: ForwardedRequest) -> bool:
        """Return whether a request that an endpoint did not run may go to another."""
        if request.not_run_count > self.settings.not_run_resend_count:
            return False
        if request.time_left_s(self.clock.monotonic_s()) <= 0.0:
            return False
        return self.spend(request)

    def spend(self, request: ForwardedRequest) -> bool:
        """Take one repeated request from the service's budget."""
        if self.retry_budgets.of(request.service).try_spend():
            return True
        log.warning(
            "retry_budget_spent",
            request_id=request.request_id,
            service=request.service,
            attempts=len(request.tried_ids),
        )
        return False
