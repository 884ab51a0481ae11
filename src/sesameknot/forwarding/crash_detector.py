"""Detection of requests and prompt parts that crash endpoints."""

import asyncio
from collections.abc import Coroutine
from typing import Any

import structlog

from sesameknot.clock import Clock
from sesameknot.errors import ConnectError, DeadlineError, RouterError, TransportError
from sesameknot.forwarding.endpoint_probes import EndpointProbes
from sesameknot.forwarding.request import AbandonedRun, ForwardedRequest
from sesameknot.policy.crash_guard import CrashGuard
from sesameknot.policy.prompt_part_guard import PromptPartGuard, part_fingerprint
from sesameknot.state.known_endpoint import KnownEndpoint

# A request that crashes endpoints does so this soon after its run has begun.
CRASH_DELAY_LIMIT_S = 0.5

log = structlog.get_logger(__name__)


class CrashDetector:
    """Counts the endpoints that crashed while they ran a request.

    Parameters
    ----------
    crash_guard : CrashGuard
        Crash counts by request, shared between hosts.
    part_guard : PromptPartGuard
        Crash counts by prompt part, shared between hosts.
    probes : EndpointProbes
        Checks whether endpoints accept connections.
    clock : Clock
        Source of monotonic time.
    """

    def __init__(
        self,
        *,
        crash_guard: CrashGuard,
        part_guard: PromptPartGuard,
        probes: EndpointProbes,
        clock: Clock,
    ) -> None:
        self._crash_guard = crash_guard
        self._part_guard = part_guard
        self._clock = clock
        self._probes = probes
        self._checks: set[asyncio.Task[None]] = set()

    def refusal_reason(self, request: ForwardedRequest) -> str:
        """Return why the request must not run; empty if it may."""
        if self._crash_guard.has_entries and not self._admits(request):
            return "request takes endpoints down"
        if self._part_guard.has_entries and self._part_guard.refuses(
            _shared_parts(request)
        ):
            return "part of the prompt takes endpoints down"
        return ""

    def _admits(self, request: ForwardedRequest) -> bool:
        fingerprint = _fingerprint(request)
        if not self._crash_guard.in_doubt(fingerprint):
            return True
        if self._crash_guard.admits(fingerprint):
            request.doubted_run_count = request.run_count
            log.info(
                "request_in_doubt_sent",
                request_id=request.request_id,
                fingerprint=f"{fingerprint:016x}",
                crashes=self._crash_guard.count(fingerprint),
            )
            return True
        # The turn is for one run, which an endpoint that is down has not begun.
        return request.doubted_run_count == request.run_count

    def record_answer(self, request: ForwardedRequest) -> None:
        """Record that the request's answer crashed no endpoint."""
        fingerprint = _fingerprint(request)
        if self._crash_guard.in_doubt(fingerprint):
            log.info(
                "request_known_as_sound",
                request_id=request.request_id,
                fingerprint=f"{fingerprint:016x}",
                crashes=self._crash_guard.count(fingerprint),
            )
        began_s = max(request.sent_s.values(), default=None)
        self._crash_guard.record_answer(fingerprint, began_s=began_s)
        self._part_guard.record_answer(_shared_parts(request))

    def check_answer(self, request: ForwardedRequest, endpoint: KnownEndpoint) -> None:
        """Record a whole answer later if its endpoint still accepts connections then.

        An endpoint that crashes may end its connection like one that has finished.
        Without anything that counts as an answer, no suspicion could be judged.
        """
        if self._crash_guard.has_entries or self._part_guard.has_entries:
            self._spawn(self._record_answer_if_up(request, endpoint))

    async def _record_answer_if_up(
        self, request: ForwardedRequest, endpoint: KnownEndpoint
    ) -> None:
        await asyncio.sleep(CRASH_DELAY_LIMIT_S)
        if await self._probes.accepts_connections(endpoint):
            self.record_answer(request)

    async def record_if_down(
        self, request: ForwardedRequest, endpoint: KnownEndpoint, error: RouterError
    ) -> None:
        """Record a crash if the endpoint of a failed attempt accepts no connections.

        The endpoints of the request's abandoned runs are then checked as well: they may
        have crashed after the run was ended.
        """
        if isinstance(error, ConnectError) or not isinstance(error, TransportError):
            return
        if isinstance(error, DeadlineError):
            # The retry need not wait: a silent endpoint takes long to check.
            self._spawn(self._record_silent(request, endpoint, error.message))
            return
        ended_s = self._clock.monotonic_s()
        if not await self._probes.is_down(endpoint):
            return
        self._record(request, endpoint, reason=error.message, ended_s=ended_s)
        # The retry waits for this check, so it does not wait for entries.
        await self._record_abandoned(
            request, request.abandoned_runs, await_entries=False
        )

    async def _record_silent(
        self, request: ForwardedRequest, endpoint: KnownEndpoint, reason: str
    ) -> None:
        ended_s = self._clock.monotonic_s()
        if await self._probes.stays_down(endpoint, await_entry=True):
            self._record(request, endpoint, reason=reason, ended_s=ended_s)

    def check_abandoned_runs(self, request: ForwardedRequest) -> None:
        """Check later whether runs of a request without an answer crashed endpoints.

        A run that had begun to answer a while before its end was going well.
        """
        now_s = self._clock.monotonic_s()
        suspect_runs = [
            run
            for run in request.abandoned_runs
            if run.began_s is None or now_s - run.began_s < CRASH_DELAY_LIMIT_S
        ]
        if suspect_runs:
            self._spawn(self._check_after_delay(request, suspect_runs))

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        check = asyncio.create_task(coroutine)
        self._checks.add(check)
        check.add_done_callback(self._checks.discard)

    async def _check_after_delay(
        self, request: ForwardedRequest, runs: list[AbandonedRun]
    ) -> None:
        await asyncio.sleep(CRASH_DELAY_LIMIT_S)
        await self._record_abandoned(request, runs, await_entries=True)

    async def _record_abandoned(
        self,
        request: ForwardedRequest,
        runs: list[AbandonedRun],
        *,
        await_entries: bool,
    ) -> None:
        ended_s = self._clock.monotonic_s()
        downs = await asyncio.gather(
            *(
                self._probes.stays_down(run.endpoint, await_entry=await_entries)
                if run.began_s is None
                else self._probes.is_down(run.endpoint)
                for run in runs
            )
        )
        for run, down in zip(runs, downs, strict=True):
            if down:
                reason = "run was ended before"
                self._record(request, run.endpoint, reason=reason, ended_s=ended_s)

    def _record(
        self,
        request: ForwardedRequest,
        endpoint: KnownEndpoint,
        *,
        reason: str,
        ended_s: float,
    ) -> None:
        fingerprint = _fingerprint(request)
        self._crash_guard.record(
            fingerprint,
            endpoint.incarnation_id,
            began_s=request.sent_s.get(endpoint.incarnation_id),
            ended_s=ended_s,
        )
        parts = _shared_parts(request)
        self._part_guard.record_crash(parts, endpoint.incarnation_id)
        log.warning(
            "endpoint_down_after_request",
            request_id=request.request_id,
            endpoint=endpoint.endpoint_id,
            fingerprint=f"{fingerprint:016x}",
            prompt_parts=[part.part_id for part in request.metadata.prompt],
            crashes=self._crash_guard.count(fingerprint),
            part_crashes=[self._part_guard.count(part) for part in parts],
            reason=reason,
        )

    def close(self) -> None:
        """Cancel pending checks."""
        for check in self._checks:
            check.cancel()


def _fingerprint(request: ForwardedRequest) -> int:
    return request.fingerprint


def _shared_parts(request: ForwardedRequest) -> list[int]:
    return [part_fingerprint(part) for part in request.metadata.shared_part_ids]
