"""Forward requests whose answer is one body."""

import structlog

from sesameknot.clock import Clock
from sesameknot.errors import ConnectError, RouterError, TransportError
from sesameknot.forwarding.attempt import (
    SERVER_ERROR_STATUS,
    Attempt,
    AttemptRunner,
    NotSentError,
)
from sesameknot.forwarding.caller import CallerConnection
from sesameknot.forwarding.crash_detector import CrashDetector
from sesameknot.forwarding.refusal import (
    RequestEndedError,
    not_run,
    timed_out,
    unknown,
)
from sesameknot.forwarding.request import ForwardedRequest
from sesameknot.forwarding.target_picker import NoTarget, TargetPicker
from sesameknot.platform import caller_headers
from sesameknot.policy.retry_window import RetryWindow
from sesameknot.settings.front import AttemptSettings
from sesameknot.state.fleet_view import KnownEndpoint

# Connections that may fail before a request is given up.
CONNECT_TRY_LIMIT_COUNT = 4
BUSY_WAIT_S = 0.3

log = structlog.get_logger(__name__)


class AttemptLoop:
    """Rules that plain and streamed requests share: who may follow a failure.

    Parameters
    ----------
    picker : TargetPicker
        Chooses endpoints.
    runner : AttemptRunner
        Starts attempts.
    crashes : CrashDetector
        Recognises requests that take endpoints down.
    budgets : RetryWindows
        Bounds repeated requests.
    settings : AttemptSettings
        Limits.
    clock : Clock
        Source of monotonic time.
    """

    def __init__(
        self,
        *,
        picker: TargetPicker,
        runner: AttemptRunner,
        crashes: CrashDetector,
        budgets: "RetryWindows",
        settings: AttemptSettings,
        clock: Clock,
    ) -> None:
        self.picker = picker
        self.runner = runner
        self.crashes = crashes
        self.budgets = budgets
        self.settings = settings
        self.clock = clock

    def next_target(self, request: ForwardedRequest, *, model: str) -> KnownEndpoint:
        """Return the endpoint of the next attempt.

        Raises
        ------
        RequestEndedError
            If there is none; the answer is true to what may have run.
        """
        if self.crashes.refuses(request):
            raise self.ended(request, "request takes endpoints down")
        target = self.picker.pick(request, model=model)
        if isinstance(target, NoTarget):
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
        await self.crashes.inspect(request, known, error)
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

    def may_resend(self, request: ForwardedRequest) -> bool:
        """Return whether a request that an endpoint did not run may go to another."""
        if request.not_run_count > self.settings.not_run_resend_count:
            return False
        if request.time_left_s(self.clock.monotonic_s()) <= 0.0:
            return False
        return self.spend(request)

    def spend(self, request: ForwardedRequest) -> bool:
        """Take one repeated request from the service's budget."""
        if self.budgets.of(request.service).try_spend():
            return True
        log.warning(
            "retry_budget_spent",
            request_id=request.request_id,
            service=request.service,
            attempts=len(request.tried_ids),
        )
        return False


class RetryWindows:
    """Retry windows by service, made on first use.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.
    ratio, window_s, slack_count : float
        Options of each window.
    """

    __slots__ = ("_windows", "clock", "ratio", "slack_count", "window_s")

    def __init__(
        self, *, clock: Clock, ratio: float, window_s: float, slack_count: float
    ) -> None:
        self.clock = clock
        self.ratio = ratio
        self.window_s = window_s
        self.slack_count = slack_count
        self._windows: dict[str, RetryWindow] = {}

    def of(self, service: str) -> RetryWindow:
        """Return the window of ``service``."""
        window = self._windows.get(service)
        if window is None:
            window = self._windows[service] = RetryWindow(
                clock=self.clock,
                ratio=self.ratio,
                window_s=self.window_s,
                slack_count=self.slack_count,
            )
        return window


class PlainForwarder:
    """Serves requests with one body; the answer is read whole before it is sent.

    Parameters
    ----------
    loop : AttemptLoop
        Shared rules.
    """

    def __init__(self, loop: AttemptLoop) -> None:
        self._loop = loop

    async def serve(self, request: ForwardedRequest, caller: CallerConnection) -> None:
        """Answer ``request``.

        Raises
        ------
        RequestEndedError
            If no endpoint's answer can be given.
        """
        self._loop.budgets.of(request.service).note_first()
        while True:
            known = self._loop.next_target(request, model=request.facts.model)
            first_answer_s = self._first_answer_s(request)
            try:
                with self._loop.runner.open(
                    request,
                    known,
                    first_answer_s=first_answer_s,
                    progress_s=first_answer_s,
                ) as attempt:
                    await attempt.read_head()
                    body = await attempt.read_all()
                    if self._final(request, attempt):
                        attempt.succeeded()
                        await _answer(caller, attempt, body)
                        return
                    attempt.succeeded("repeated")
            except (TransportError, NotSentError) as error:
                if caller.head_sent:
                    raise
                if not await self._loop.may_follow(request, known, error):
                    raise self._loop.ended(request, error.message) from error

    def _first_answer_s(self, request: ForwardedRequest) -> float:
        left_s = request.time_left_s(self._loop.clock.monotonic_s())
        route = request.route
        last = request.run_count + 1 >= route.attempt_limit_count
        if last or not route.repeatable:
            return left_s
        factor = self._loop.settings.plain_answer_factor
        return min(left_s, factor * route.latency_target_ms / 1000.0)

    def _final(self, request: ForwardedRequest, attempt: Attempt) -> bool:
        """Return whether the answer goes to the caller."""
        if attempt.facts.not_run:
            if self._loop.may_resend(request):
                return False
            raise self._loop.ended(request, "endpoints are full")
        if attempt.status < SERVER_ERROR_STATUS or not request.route.repeatable:
            return True
        return not (request.attempts_left and self._loop.spend(request))


async def _answer(caller: CallerConnection, attempt: Attempt, body: bytes) -> None:
    headers = caller_headers(attempt.headers)
    headers["Content-Length"] = str(len(body))
    await caller.send_head(attempt.status, headers, data=body)
    caller.finish()
