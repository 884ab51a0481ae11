"""Detection of requests and prompt parts that crash endpoints."""

import asyncio
import random
from collections.abc import Coroutine
from typing import Any

import structlog

from sesameknot.clock import Clock
from sesameknot.errors import ConnectError, DeadlineError, RouterError, TransportError
from sesameknot.forwarding.request import AbandonedRun, ForwardedRequest
from sesameknot.policy.crash_guard import CrashGuard
from sesameknot.policy.prompt_part_guard import PromptPartGuard, part_fingerprint
from sesameknot.state.fleet_view import FleetView
from sesameknot.state.known_endpoint import KnownEndpoint
from sesameknot.transport.endpoint_client import EndpointClient

# A running endpoint accepts a connection well within this time.
PROBE_TIMEOUT_S = 0.2
# A sound endpoint may neither answer nor accept connections for up to this time.
SOUND_SILENCE_S = 1.5
# Other endpoints that are asked for a connection before a crash is counted.
LINK_CHECK_COUNT = 4
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
    view : FleetView
        Other endpoints, by which this host checks its own link.
    client : EndpointClient
        Checks whether endpoints accept connections.
    clock : Clock
        Source of monotonic time.
    """

    def __init__(
        self,
        *,
        crash_guard: CrashGuard,
        part_guard: PromptPartGuard,
        view: FleetView,
        client: EndpointClient,
        clock: Clock,
    ) -> None:
        self._crash_guard = crash_guard
        self._part_guard = part_guard
        self._clock = clock
        self._view = view
        self._client = client
        self._checks: set[asyncio.Task[None]] = set()
        self._probes: dict[str, asyncio.Future[bool]] = {}

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
        if not await self._is_down(endpoint):
            return
        self._record(request, endpoint, reason=error.message)
        await self._record_abandoned(request, request.abandoned_runs)

    async def _record_silent(
        self, request: ForwardedRequest, endpoint: KnownEndpoint, reason: str
    ) -> None:
        if await self._stays_down(endpoint):
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
        await self._record_abandoned(request, runs)

    async def _record_abandoned(
        self, request: ForwardedRequest, runs: list[AbandonedRun]
    ) -> None:
        downs = await asyncio.gather(
            *(
                self._stays_down(run.endpoint)
                if run.began_s is None
                else self._is_down(run.endpoint)
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

    async def _stays_down(self, endpoint: KnownEndpoint) -> bool:
        """Return whether a silent endpoint is down for longer than a sound one may be.

        An endpoint that has crashed closes its connections; one that has not may be
        silent for other reasons.
        """
        if not await self._is_down(endpoint):
            return False
        await asyncio.sleep(SOUND_SILENCE_S)
        return await self._is_down(endpoint)

    async def _is_down(self, endpoint: KnownEndpoint) -> bool:
        """Return whether the endpoint accepts no connection, but others do.

        If no endpoint accepts one, the link of this host is to blame.
        """
        if await self._accepts_connections(endpoint):
            return False
        others = self._sample_others(endpoint)
        if not others:
            return True
        if any(await asyncio.gather(*map(self._accepts_connections, others))):
            return True
        log.info("crash_not_counted", endpoint=endpoint.endpoint_id, checks=len(others))
        return False

    def _sample_others(self, endpoint: KnownEndpoint) -> list[KnownEndpoint]:
        """Return other endpoints, of several services if there are some."""
        others = [
            other
            for other in self._view.endpoints.values()
            if other is not endpoint and self._view.may_send(other)
        ]
        random.shuffle(others)
        by_service = {other.entry.service: other for other in others}
        rest = [other for other in others if other not in by_service.values()]
        return [*by_service.values(), *rest][:LINK_CHECK_COUNT]

    async def _accepts_connections(self, endpoint: KnownEndpoint) -> bool:
        """Return whether the endpoint accepts a connection now.

        Requests that end together at one endpoint share a check.
        """
        incarnation_id = endpoint.incarnation_id
        probe = self._probes.get(incarnation_id)
        if probe is None:
            probe = asyncio.ensure_future(self._probe(endpoint))
            self._probes[incarnation_id] = probe
            probe.add_done_callback(lambda _: self._probes.pop(incarnation_id, None))
        return await asyncio.shield(probe)

    async def _probe(self, endpoint: KnownEndpoint) -> bool:
        try:
            await self._client.check_connection(
                endpoint.entry.address, timeout_s=PROBE_TIMEOUT_S
            )
        except ConnectError as error:
            log.info(
                "endpoint_unreachable",
                endpoint=endpoint.endpoint_id,
                reason=error.message,
            )
            return False
        return True

    def close(self) -> None:
        """Cancel pending checks."""
        for check in self._checks:
            check.cancel()
        for probe in list(self._probes.values()):
            probe.cancel()


def _fingerprint(request: ForwardedRequest) -> int:
    return request.fingerprint


def _shared_parts(request: ForwardedRequest) -> list[int]:
    return [part_fingerprint(part) for part in request.metadata.shared_part_ids]
