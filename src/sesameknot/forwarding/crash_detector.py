"""Detection of requests and prompt parts that crash endpoints."""

import asyncio
from collections.abc import Coroutine
from typing import Any

import structlog

from sesameknot.clock import Clock
from sesameknot.errors import ConnectError, DeadlineError, RouterError, TransportError
from sesameknot.forwarding.endpoint_probes import EndpointProbes
from sesameknot.forwarding.request import AbandonedRun, ForwardedRequest
from sesameknot.policy.crash_guard import CrashGuard, request_fingerprint
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
        if self._crash_guard.has_entries and self._crash_guard.refuses(
            _fingerprint(request)
        ):
            return "request takes endpoints down"
        if self._part_guard.has_entries and self._part_guard.refuses(
            _shared_parts(request)
        ):
            return "part of the prompt takes endpoints down"
        return ""

    def record_answer(self, request: ForwardedRequest) -> None:
        """Record that the request's answer crashed no endpoint."""
        self._part_guard.record_answer(_shared_parts(request))

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
        if not await self._probes.is_down(endpoint):
            return
        self._record(request, endpoint, reason=error.message)
        # The retry waits for this check, so it does not wait for entries.
        await self._record_abandoned(
            request, request.abandoned_runs, await_entries=False
        )

    async def _record_silent(
        self, request: ForwardedRequest, endpoint: KnownEndpoint, reason: str
    ) -> None:
        if await self._probes.stays_down(endpoint, await_entry=True):
            self._record(request, endpoint, reason=reason)

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
                self._record(request, run.endpoint, reason="run was ended before")

    def _record(
        self, request: ForwardedRequest, endpoint: KnownEndpoint, *, reason: str
    ) -> None:
        fingerprint = _fingerprint(request)
        self._crash_guard.record(fingerprint, endpoint.incarnation_id)
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
    customer = request.customer.name if request.customer is not None else ""
    return request_fingerprint(customer, request.uri, request.body or b"")


def _shared_parts(request: ForwardedRequest) -> list[int]:
    return [part_fingerprint(part) for part in request.metadata.shared_part_ids]
