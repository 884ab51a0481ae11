"""Rules for attempts: when one may be sent, what a failure means, when to retry."""

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
from sesameknot.router.call import Call, crash_guard_error
from sesameknot.router.endpoint_picker import EndpointPicker, PickedEndpoint
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
    """The attempt was no longer permitted when its first byte was due."""


@dataclass(slots=True, frozen=True)
class AttemptFailure:
    """A failed attempt and its consequences.

    Parameters
    ----------
    error : RouterError
        The error of the attempt.
    may_have_run : bool
        Whether the endpoint may have started the request.
    outcome : SlotOutcome
        Outcome that is reported when the slot is released.
    """

    error: RouterError
    may_have_run: bool
    outcome: SlotOutcome


class AttemptRules:
    """Check attempts before they are sent and classify their failures.

    Parameters
    ----------
    picker : EndpointPicker
        Tells whether an endpoint may receive new work.
    client : EndpointClient
        Probes endpoints whose connection broke.
    budget : RetryBudget
        Limits retries of requests that may have run.
    crash_guard : CrashGuard
        Counts the endpoints that each request crashed.
    announce_crashes : callable
        Sends the crash counts of this host to its peers at once.
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
        announce_crashes: Callable[[], Awaitable[object]],
        settings: RequestSettings,
        clock: Clock,
        metrics: RouterMetrics,
    ) -> None:
        self._picker = picker
        self._client = client
        self._budget = budget
        self._crash_guard = crash_guard
        self._announce_crashes = announce_crashes
        self._settings = settings
        self._clock = clock
        self._metrics = metrics

    def record_request(self) -> None:
        """Add a request to the retry budget."""
        self._budget.deposit()

    def is_crash_suspect(self, call: Call) -> bool:
        """Return whether the request is counted as having crashed an endpoint."""
        return self._crash_guard.count(call.fingerprint) > 0

    def limits(self, call: Call) -> CallLimits:
        """Return the timeouts of an attempt made now."""
        remaining_s = max(0.001, call.remaining_s(self._clock))
        return CallLimits(
            connect_timeout_s=min(1.0, remaining_s),
            first_byte_timeout_s=min(self._settings.first_byte_timeout_s, remaining_s),
            progress_timeout_s=min(self._settings.progress_timeout_s, remaining_s),
            deadline_s=remaining_s,
        )

    def before_send(
        self, call: Call, picked: PickedEndpoint, still_allowed: Callable[[], bool]
    ) -> Callable[[], None]:
        """Return the check to make once the connection is open.

        The request may have waited for a slot or a connection, so every condition is
        checked again at the moment of sending.
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
            call.may_have_run = True

        return check

    async def classify_failure(
        self, call: Call, picked: PickedEndpoint, error: RouterError
    ) -> AttemptFailure:
        """Classify the error of a failed attempt, count it and log it."""
        failure = await self._classify_error(call, picked, error)
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

    async def _classify_error(
        self, call: Call, picked: PickedEndpoint, error: RouterError
    ) -> AttemptFailure:
        if isinstance(error, ConnectError):
            return AttemptFailure(error, False, SlotOutcome.REFUSED)
        if isinstance(error, NotSentError | GrantError):
            return AttemptFailure(error, False, SlotOutcome.NOT_SENT)
        if isinstance(error, EndpointStatusError):
            return _classify_status(error)
        if isinstance(error, DeadlineError):
            return AttemptFailure(error, True, SlotOutcome.SILENT)
        if isinstance(error, TransportError) and await self._has_crashed(picked):
            self._crash_guard.record(call.fingerprint, picked.endpoint.endpoint_id)
            # Other hosts must know of the crash before the caller has its answer, which
            # may make it resend the request through one of them.
            await self._announce_crashes()
        return AttemptFailure(error, True, SlotOutcome.BROKEN)

    async def _has_crashed(self, picked: PickedEndpoint) -> bool:
        endpoint = picked.endpoint
        try:
            report = await self._client.fetch_load(
                endpoint.endpoint_id, endpoint.url, timeout_s=PROBE_TIMEOUT_S
            )
        except RouterError:
            return True
        # An endpoint in cold start has restarted.
        return report.state == "cold"

    def may_retry(self, call: Call, failure: AttemptFailure) -> bool:
        """Return whether a failed attempt may be followed by another one."""
        if call.remaining_s(self._clock) <= 0.0:
            return False
        if len(call.tried_incarnation_ids) >= ATTEMPT_LIMIT_COUNT:
            return False
        if self._crash_guard.refuses(call.fingerprint):
            return False
        return not failure.may_have_run or self._budget.try_spend()

    def final_error(self, call: Call, failure: AttemptFailure) -> RequestError:
        """Return the error for the caller if no further attempt is made."""
        if self._crash_guard.refuses(call.fingerprint):
            return crash_guard_error(
                outcome=call.outcome_if_failed,
                step="attempt",
                peer=last_endpoint_id(call),
            )
        return RequestError(
            f"all attempts failed, the last one with: {failure.error.message}",
            status=502 if call.may_have_run else 503,
            outcome=call.outcome_if_failed,
            error_type="endpoint-failed",
            step=failure.error.step or "attempt",
            peer=last_endpoint_id(call),
            retry_after_s=1.0,
        )


def _classify_status(error: EndpointStatusError) -> AttemptFailure:
    if error.refused:
        return AttemptFailure(error, False, SlotOutcome(error.answer.error_type))
    rejected = 400 <= error.answer.status < 500
    return AttemptFailure(error, not rejected, SlotOutcome.DONE)


def last_endpoint_id(call: Call) -> str:
    """Return the endpoint of the last attempt; empty if there was none."""
    return call.tried_incarnation_ids[-1] if call.tried_incarnation_ids else ""
