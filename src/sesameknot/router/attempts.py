"""Rules for attempts: what permits one, what a failure means, who may follow."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import structlog

from sesameknot.clock import Clock
from sesameknot.coordination.grant_holder import GrantError, SlotOutcome
from sesameknot.errors import (
    ConnectError,
    DeadlineError,
    RequestError,
    RouterError,
    TransportError,
)
from sesameknot.policy.crash_guard import CrashGuard
from sesameknot.policy.retry_budget import RetryBudget
from sesameknot.router.call import Call, crash_refusal
from sesameknot.router.endpoint_picker import EndpointPicker, Picked
from sesameknot.router.metrics import RouterMetrics
from sesameknot.settings.process import RequestSettings
from sesameknot.transport.endpoint_client import (
    CallLimits,
    EndpointClient,
    EndpointStatusError,
)

ATTEMPT_LIMIT_COUNT = 5
PROBE_TIMEOUT_S = 0.3

log = structlog.get_logger(__name__)


class NotSentError(RouterError):
    """The permission to send ended before the first byte was written."""


@dataclass(slots=True, frozen=True)
class Failure:
    """What a failed attempt means.

    Parameters
    ----------
    error : RouterError
        The error of the attempt.
    may_have_run : bool
        Whether the endpoint may have started the request.
    outcome : SlotOutcome
        What the endpoint's grant holder is told.
    """

    error: RouterError
    may_have_run: bool
    outcome: SlotOutcome


class AttemptRules:
    """Check attempts before they are sent and judge their failures.

    Parameters
    ----------
    picker : EndpointPicker
        Tells whether an endpoint may get new work.
    client : EndpointClient
        Probes an endpoint whose connection broke.
    budget : RetryBudget
        Bounds retries of attempts that were sent.
    crash_guard : CrashGuard
        Counts the endpoints that a request took down.
    announce : callable
        Tells peers at once what this host learnt about crashing requests.
    settings : RequestSettings
        Timeouts.
    clock : Clock
        Source of monotonic time.
    metrics : RouterMetrics
        Counts attempts.
    """

    def __init__(
        self,
        *,
        picker: EndpointPicker,
        client: EndpointClient,
        budget: RetryBudget,
        crash_guard: CrashGuard,
        announce: Callable[[], Awaitable[object]],
        settings: RequestSettings,
        clock: Clock,
        metrics: RouterMetrics,
    ) -> None:
        self._picker = picker
        self._client = client
        self._budget = budget
        self._crash_guard = crash_guard
        self._announce = announce
        self._settings = settings
        self._clock = clock
        self._metrics = metrics

    def first_attempt(self) -> None:
        """Count a request for the retry budget."""
        self._budget.deposit()

    def suspected(self, call: Call) -> bool:
        """Return whether the request took an endpoint down before."""
        return self._crash_guard.count(call.fingerprint) > 0

    def limits(self, call: Call) -> CallLimits:
        """Return the deadlines of an attempt made now."""
        remaining_s = max(0.001, call.remaining_s(self._clock))
        return CallLimits(
            connect_timeout_s=min(1.0, remaining_s),
            first_byte_timeout_s=min(self._settings.first_byte_timeout_s, remaining_s),
            progress_timeout_s=min(self._settings.progress_timeout_s, remaining_s),
            deadline_s=remaining_s,
        )

    def before_send(
        self, call: Call, picked: Picked, still_allowed: Callable[[], bool]
    ) -> Callable[[], None]:
        """Return the check to make when the connection is open.

        A request may have waited for a slot or a connection, so everything that
        permitted it is checked again at the moment of sending.
        """

        def check() -> None:
            endpoint_id = picked.endpoint.endpoint_id
            reason = ""
            if call.remaining_s(self._clock) <= 0.0:
                reason = "deadline passed"
            elif not self._picker.usable(endpoint_id):
                reason = "endpoint or failure domain is out of service"
            elif not still_allowed():
                reason = "version is no longer allowed"
            if reason:
                raise NotSentError(reason, step="before_send", peer=endpoint_id)
            picked.slot.check()
            call.sent = True

        return check

    async def judge(self, call: Call, picked: Picked, error: RouterError) -> Failure:
        """Return what a failed attempt means and count it."""
        failure = await self._classify(call, picked, error)
        self._metrics.attempts.inc({"result": str(failure.outcome)})
        log.warning(
            "attempt_failed",
            request_id=call.request_id,
            endpoint=picked.endpoint.endpoint_id,
            domain=picked.endpoint.domain,
            may_have_run=failure.may_have_run,
            outcome=str(failure.outcome),
            reason=str(error),
        )
        return failure

    async def _classify(
        self, call: Call, picked: Picked, error: RouterError
    ) -> Failure:
        if isinstance(error, ConnectError):
            return Failure(error, False, SlotOutcome.REFUSED)
        if isinstance(error, NotSentError | GrantError):
            return Failure(error, False, SlotOutcome.NOT_SENT)
        if isinstance(error, EndpointStatusError):
            return _judge_status(error)
        if isinstance(error, DeadlineError):
            return Failure(error, True, SlotOutcome.SILENT)
        if isinstance(error, TransportError) and await self._went_down(picked):
            self._crash_guard.record(call.fingerprint, picked.endpoint.endpoint_id)
            # The caller may resend through another host as soon as it has its answer.
            await self._announce()
        return Failure(error, True, SlotOutcome.BROKEN)

    async def _went_down(self, picked: Picked) -> bool:
        endpoint = picked.endpoint
        try:
            report = await self._client.fetch_load(
                endpoint.endpoint_id, endpoint.url, timeout_s=PROBE_TIMEOUT_S
            )
        except RouterError:
            return True
        return report.state == "cold"

    def may_retry(self, call: Call, failure: Failure) -> bool:
        """Return whether another attempt may follow a failure."""
        if call.remaining_s(self._clock) <= 0.0:
            return False
        if len(call.tried_endpoint_ids) >= ATTEMPT_LIMIT_COUNT:
            return False
        if self._crash_guard.refuses(call.fingerprint):
            return False
        return not failure.may_have_run or self._budget.try_spend()

    def exhausted(self, call: Call, failure: Failure) -> RequestError:
        """Return the error for the caller when no attempt follows."""
        if self._crash_guard.refuses(call.fingerprint):
            return crash_refusal(
                outcome=call.outcome_if_failed, step="attempt", peer=picked_name(call)
            )
        return RequestError(
            f"all attempts failed, the last one with: {failure.error.message}",
            status=502 if call.sent else 503,
            outcome=call.outcome_if_failed,
            error_type="endpoint-failed",
            step=failure.error.step or "attempt",
            peer=picked_name(call),
            retry_after_s=1.0,
        )


def _judge_status(error: EndpointStatusError) -> Failure:
    if error.refused:
        return Failure(error, False, SlotOutcome(error.answer.error_type))
    rejected = 400 <= error.answer.status < 500
    return Failure(error, not rejected, SlotOutcome.DONE)


def picked_name(call: Call) -> str:
    """Return the endpoint of the call's last attempt."""
    return call.tried_endpoint_ids[-1] if call.tried_endpoint_ids else ""
