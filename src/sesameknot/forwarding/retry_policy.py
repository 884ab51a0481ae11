"""Retry rules of all requests: the next endpoint, limits and time-outs."""

from dataclasses import replace

import structlog

from sesameknot.clock import Clock
from sesameknot.errors import ConnectError, RouterError
from sesameknot.forwarding.attempt import NotSentError
from sesameknot.forwarding.attempt_runner import AttemptRunner
from sesameknot.forwarding.crash_detector import CrashDetector
from sesameknot.forwarding.endpoint_selector import EndpointSelector, NoEndpoint
from sesameknot.forwarding.error_answer import (
    RequestEndedError,
    not_run_answer,
    timeout_answer,
    unknown_outcome_answer,
    unsuited_answer,
)
from sesameknot.forwarding.per_service import PerService
from sesameknot.forwarding.request import ForwardedRequest
from sesameknot.policy.sliding_retry_budget import SlidingRetryBudget
from sesameknot.settings.front import AttemptSettings
from sesameknot.state.known_endpoint import KnownEndpoint

# Failed connections after which a request fails.
CONNECT_FAILURE_LIMIT_COUNT = 4
DEFAULT_ESTIMATED_WAIT_S = 0.3
# Endpoints that are asked for a permit before a request goes to one without a limit.
PERMIT_TRY_COUNT = 4
# Longest wait for a permit, as a share of the latency target. The most urgent requests
# wait longest, so that the others are refused first.
PERMIT_WAIT_SHARE = 0.25
# The same for a request that an endpoint has begun, whose answer would be lost.
REPEATED_PERMIT_WAIT_SHARE = 1.0
PERMIT_WAIT_SHARE_OF_TIME_LEFT = 0.3
# Endpoints that refuse what a request asks for before no other one is asked.
UNSUITED_LIMIT_COUNT = 2
# Wait that no endpoint with a limit is within.
UNLIMITED_ONLY_WAIT_S = -1.0

log = structlog.get_logger(__name__)


class RetryPolicy:
    """Decides whether a failed attempt is retried, at which endpoint and for how long.

    Parameters
    ----------
    selector : EndpointSelector
        Picks the endpoint of each attempt.
    runner : AttemptRunner
        Creates attempts.
    crash_detector : CrashDetector
        Detects requests that crash endpoints.
    retry_budgets : PerService of SlidingRetryBudget
        Retry budget of each service.
    settings : AttemptSettings
        Limits on resends and time-outs.
    clock : Clock
        Source of monotonic time.
    """

    def __init__(
        self,
        *,
        selector: EndpointSelector,
        runner: AttemptRunner,
        crash_detector: CrashDetector,
        retry_budgets: PerService[SlidingRetryBudget],
        settings: AttemptSettings,
        clock: Clock,
    ) -> None:
        self.selector = selector
        self.runner = runner
        self.crash_detector = crash_detector
        self.retry_budgets = retry_budgets
        self.settings = settings
        self.clock = clock

    async def next_endpoint(
        self, request: ForwardedRequest, *, model: str
    ) -> KnownEndpoint:
        """Return the endpoint of the next attempt, which may be sent to now.

        Raises
        ------
        RequestEndedError
            If there is none; the answer states whether the request may have run.
        """
        refusal_reason = self.crash_detector.refusal_reason(request)
        if refusal_reason:
            raise self.ended_error(request, refusal_reason)
        if request.handed_over and self._others_may_serve(request):
            # The host that handed the request over asks another one.
            raise self.ended_error(request, "no endpoint is reachable")
        patience_s = self._permit_patience_s(request)
        for try_number in range(PERMIT_TRY_COUNT + 1):
            unlimited = self.selector.has_unlimited(request)
            max_wait_s = 0.0 if unlimited else patience_s
            if unlimited and try_number == PERMIT_TRY_COUNT:
                max_wait_s = UNLIMITED_ONLY_WAIT_S
            endpoint = self.selector.pick(request, model=model, max_wait_s=max_wait_s)
            if isinstance(endpoint, NoEndpoint):
                raise self.ended_error(
                    request, endpoint.reason, estimated_wait_s=endpoint.estimated_wait_s
                )
            permitted = await self.runner.permits.acquire(
                endpoint, request_id=request.request_id, max_wait_s=max_wait_s
            )
            if not permitted or not await self._take_slot(request, endpoint):
                continue
            if self.selector.take_cold_permit(endpoint):
                return endpoint
            self.runner.release_slot(request, endpoint)
        raise self.ended_error(request, "endpoints are at their limits")

    async def _take_slot(
        self, request: ForwardedRequest, endpoint: KnownEndpoint
    ) -> bool:
        """Take a slot of an endpoint that must not be asked in vain."""
        slot = await self.runner.slots.acquire(
            endpoint,
            request_id=request.request_id,
            life_s=max(0.0, request.time_left_s(self.clock.monotonic_s())),
        )
        if slot is None:
            return False
        request.slots[endpoint.incarnation_id] = slot
        return True

    def _permit_patience_s(self, request: ForwardedRequest) -> float:
        """Return how long a request waits for an endpoint that limits its rate."""
        share = REPEATED_PERMIT_WAIT_SHARE
        if not request.run_count:
            share = PERMIT_WAIT_SHARE / (1 + request.priority)
        time_left_s = request.time_left_s(self.clock.monotonic_s())
        return min(
            share * request.route.latency_target_ms / 1000.0,
            PERMIT_WAIT_SHARE_OF_TIME_LEFT * max(0.0, time_left_s),
        )

    def ended_error(
        self,
        request: ForwardedRequest,
        reason: str,
        *,
        estimated_wait_s: float = DEFAULT_ESTIMATED_WAIT_S,
    ) -> RequestEndedError:
        """Return the error that ends a request; it states whether it may have run."""
        time_left_s = request.time_left_s(self.clock.monotonic_s())
        if request.run_count == 0 and self._is_unsuited(request):
            return RequestEndedError(unsuited_answer())
        if request.run_count == 0:
            error_answer = not_run_answer(
                reason,
                estimated_wait_s=estimated_wait_s,
                time_left_s=max(0.0, time_left_s),
            )
            if request.handed_over and self._others_may_serve(request):
                error_answer = replace(error_answer, unreachable=True)
            return RequestEndedError(error_answer)
        return RequestEndedError(
            timeout_answer() if time_left_s <= 0.0 else unknown_outcome_answer(reason)
        )

    def _is_unsuited(self, request: ForwardedRequest) -> bool:
        """Return whether endpoints refused only what the caller asks for."""
        # A model that this host chose may be in use at other endpoints.
        if not request.metadata.model or not request.unsuited_count:
            return False
        return request.unsuited_count == request.not_run_count

    async def may_retry(
        self, request: ForwardedRequest, endpoint: KnownEndpoint, error: RouterError
    ) -> bool:
        """Return whether to retry a request whose attempt at ``endpoint`` failed."""
        await self.crash_detector.record_if_down(request, endpoint, error)
        if request.time_left_s(self.clock.monotonic_s()) <= 0.0:
            return False
        if isinstance(error, NotSentError):
            await self.runner.pause_guard.wait_until_confirmed()
            return True
        if isinstance(error, ConnectError):
            request.connect_failure_count += 1
            if self._others_may_serve(request):
                return False
            return request.connect_failure_count < CONNECT_FAILURE_LIMIT_COUNT
        if not request.route.repeatable or not request.has_attempts_left:
            return False
        if request.retry_claimed:
            request.retry_claimed = False
            return True
        return self.spend_retry(request)

    def claim_retry(self, request: ForwardedRequest, endpoint: KnownEndpoint) -> bool:
        """Take a retry for an attempt whose endpoint is silent.

        A silent endpoint may be sound and slow. To end its answer without a retry would
        fail a request that may still be answered in time.
        """
        if not request.route.repeatable or not request.has_attempts_left:
            return False
        if not self.selector.has_alternative(request, endpoint):
            return False
        request.retry_claimed = self.retry_available(request) and (
            self.spend_retry(request)
        )
        return request.retry_claimed

    def _others_may_serve(self, request: ForwardedRequest) -> bool:
        """Return whether this host reaches no endpoint, but another one may."""
        view = self.runner.view
        unreachable = self.runner.reachability.is_unreachable(request.service)
        return unreachable and len(view.hosts) > 1

    def attempt_timeout_s(
        self,
        request: ForwardedRequest,
        endpoint: KnownEndpoint,
        limit_ms: float,
        *,
        max_time_share: float = 1.0,
    ) -> float:
        """Return how long to wait for an attempt before it is given up.

        It is the whole time left if no retry could follow.

        Parameters
        ----------
        endpoint : KnownEndpoint
            Endpoint of the attempt.
        limit_ms : float
            Wait after which a retry is the better choice.
        max_time_share : float, default=1.0
            Upper limit as a share of the time left, while a retry is possible.
        """
        time_left_s = request.time_left_s(self.clock.monotonic_s())
        run_count = request.prior_run_count + request.run_count
        is_last_attempt = run_count + 1 >= request.route.attempt_limit_count
        if is_last_attempt or not request.route.repeatable:
            return time_left_s
        if not self.selector.has_alternative(request, endpoint):
            return time_left_s
        return min(max_time_share * time_left_s, limit_ms / 1000.0)

    def may_resend(self, request: ForwardedRequest) -> bool:
        """Return whether to resend a request that an endpoint declared as not run."""
        if request.not_run_count > self.settings.not_run_resend_count:
            return False
        if self._is_unsuited(request) and (
            request.unsuited_count >= UNSUITED_LIMIT_COUNT
        ):
            return False
        if request.time_left_s(self.clock.monotonic_s()) <= 0.0:
            return False
        return self.spend_retry(request)

    def retry_available(self, request: ForwardedRequest) -> bool:
        """Return whether the budget of the request's service has a retry left."""
        return self.retry_budgets.get(request.service).available

    def spend_retry(self, request: ForwardedRequest) -> bool:
        """Take one retry from the service's budget; return False if it is used up."""
        if self.retry_budgets.get(request.service).try_spend():
            return True
        log.warning(
            "retry_budget_spent",
            request_id=request.request_id,
            service=request.service,
            attempts=len(request.tried_incarnation_ids),
        )
        return False
