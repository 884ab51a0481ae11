"""Checks whether endpoints accept connections."""

import asyncio
import math
import random
from collections.abc import Callable, Sequence
from enum import Enum, auto

import structlog

from sesameknot.clock import Clock
from sesameknot.coordination._background import BackgroundTasks
from sesameknot.errors import ConnectError, ConnectTimeoutError
from sesameknot.state.fleet_view import FleetView
from sesameknot.state.known_endpoint import KnownEndpoint
from sesameknot.transport.endpoint_client import EndpointClient

# A running endpoint accepts a connection well within this time.
PROBE_TIMEOUT_S = 0.2
# A sound endpoint may neither answer nor accept connections for up to this time.
SOUND_SILENCE_S = 1.5
# Other endpoints that are asked for a connection before an endpoint counts as down.
LINK_CHECK_COUNT = 4
# Endpoints often go down together, and no host may need some of them until they are
# back. After an outage, each endpoint of the service is checked by this many hosts.
CHECKS_PER_ENDPOINT_COUNT = 2
# Least time between two such checks of a service by one host.
SERVICE_CHECK_INTERVAL_S = 0.5

log = structlog.get_logger(__name__)


class ProbeResult(Enum):
    """What an endpoint does with a new connection.

    ``UNKNOWN`` if the link of this host may be to blame.
    """

    ACCEPTED = auto()
    REFUSED = auto()
    SILENT = auto()
    UNKNOWN = auto()


DOWN_RESULTS = frozenset({ProbeResult.REFUSED, ProbeResult.SILENT})


class EndpointProbes:
    """Checks endpoints, and records in the view which ones are down.

    Parameters
    ----------
    view : FleetView
        Other endpoints, by which this host checks its own link; receives outages.
    client : EndpointClient
        Opens connections to endpoints.
    host_id : str
        Name of this host.
    on_outage : callable
        Called when other hosts need to know of an outage.
    clock : Clock
        Source of monotonic time.
    """

    def __init__(
        self,
        *,
        view: FleetView,
        client: EndpointClient,
        host_id: str,
        on_outage: Callable[[], None],
        clock: Clock,
    ) -> None:
        self._view = view
        self._client = client
        self._host_id = host_id
        self._on_outage = on_outage
        self._clock = clock
        self._service_checked_s: dict[str, float] = {}
        self._probes: dict[str, asyncio.Future[ProbeResult]] = {}
        self._checked_ids: set[str] = set()
        self._checks = BackgroundTasks()
        view.outages.subscribe(self._check_same_service)

    def _check_same_service(self, incarnation_id: str) -> None:
        """Check this host's part of the service's endpoints after an outage of one."""
        service = next(
            (
                endpoint.entry.service
                for endpoint in self._view.endpoints.values()
                if endpoint.incarnation_id == incarnation_id
            ),
            None,
        )
        now_s = self._clock.monotonic_s()
        last_s = self._service_checked_s.get(service or "", float("-inf"))
        if service is None or now_s < last_s + SERVICE_CHECK_INTERVAL_S:
            return
        self._service_checked_s[service] = now_s
        for endpoint in self._part_of(service):
            self.check_later(endpoint)

    def _part_of(self, service: str) -> list[KnownEndpoint]:
        """Return the endpoints that this host checks; all hosts together check all."""
        endpoints = sorted(
            (
                endpoint
                for endpoint in self._view.endpoints.values()
                if endpoint.entry.service == service and self._view.may_send(endpoint)
            ),
            key=lambda endpoint: endpoint.endpoint_id,
        )
        hosts = sorted({*self._view.live_hosts, self._host_id})
        if not endpoints:
            return []
        count = math.ceil(CHECKS_PER_ENDPOINT_COUNT * len(endpoints) / len(hosts))
        first = hosts.index(self._host_id) * len(endpoints) // len(hosts)
        chosen = {(first + offset) % len(endpoints) for offset in range(count)}
        return [endpoints[index] for index in sorted(chosen)]

    def check_later(self, endpoint: KnownEndpoint) -> None:
        """Check in the background an endpoint that accepted no connection."""
        incarnation_id = endpoint.incarnation_id
        is_known = self._view.outages.is_recent(incarnation_id)
        if not is_known and incarnation_id not in self._checked_ids:
            self._checked_ids.add(incarnation_id)
            self._checks.spawn(self._check(endpoint))

    async def _check(self, endpoint: KnownEndpoint) -> None:
        try:
            await self.stays_down(endpoint, await_entry=False)
        finally:
            self._checked_ids.discard(endpoint.incarnation_id)

    async def stays_down(self, endpoint: KnownEndpoint, *, await_entry: bool) -> bool:
        """Return whether a silent endpoint is down for longer than a sound one may be.

        An endpoint that has crashed closes its connections; one that has not may be
        silent for other reasons. One that has started again meanwhile accepts
        connections like a sound one; only its entry tells them apart.

        Parameters
        ----------
        await_entry : bool
            Whether to wait until the entry of a new process would have arrived.
        """
        if not await self.is_down(endpoint):
            return False
        await asyncio.sleep(SOUND_SILENCE_S)
        if await self.is_down(endpoint):
            self._record_outage(endpoint)
            return True
        if await_entry:
            await asyncio.sleep(self._view.endpoint_leave_s)
        known = self._view.endpoints.get(endpoint.endpoint_id)
        return known is not None and known.incarnation_id != endpoint.incarnation_id

    async def accepts_connections(self, endpoint: KnownEndpoint) -> bool:
        """Return whether the endpoint accepts a connection now."""
        return await self._probe(endpoint) is ProbeResult.ACCEPTED

    async def is_down(self, endpoint: KnownEndpoint) -> bool:
        """Return whether the endpoint accepts no connection, but others do.

        An endpoint that refuses connections has ended, so its outage is recorded at
        once; a silent one may be sound.
        """
        result = await self._probe_twice(endpoint)
        if result is ProbeResult.REFUSED:
            self._record_outage(endpoint)
        return result in DOWN_RESULTS

    async def _probe_twice(self, endpoint: KnownEndpoint) -> ProbeResult:
        """Probe an endpoint, then others, then it again.

        If no other endpoint accepts a connection, the link of this host is to blame,
        and it may have come back after the first probe.
        """
        result = await self._probe(endpoint)
        if result is ProbeResult.ACCEPTED:
            return result
        others = self._sample_others(endpoint)
        if not others:
            return result
        if not await self._any_accepts(others):
            log.info(
                "outage_not_counted", endpoint=endpoint.endpoint_id, checks=len(others)
            )
            return ProbeResult.UNKNOWN
        return await self._probe(endpoint)

    async def _any_accepts(self, endpoints: Sequence[KnownEndpoint]) -> bool:
        for probe in asyncio.as_completed(map(self._probe, endpoints)):
            if await probe is ProbeResult.ACCEPTED:
                return True
        return False

    def _record_outage(self, endpoint: KnownEndpoint) -> None:
        if not self._view.outages.observe(endpoint.incarnation_id):
            return
        log.info(
            "endpoint_outage",
            endpoint=endpoint.endpoint_id,
            started_ms=endpoint.entry.started_ms,
            cold_s=round(self._view.cold_left_s(endpoint), 3),
        )
        self._on_outage()

    def _sample_others(self, endpoint: KnownEndpoint) -> list[KnownEndpoint]:
        """Return other endpoints, of several services if there are some.

        Those that were down lately come last: several may have crashed together.
        """
        others = [
            other
            for other in self._view.endpoints.values()
            if other is not endpoint and self._view.may_send(other)
        ]
        random.shuffle(others)
        outage_ages_s = self._view.outages.ages_s()
        others.sort(key=lambda other: other.incarnation_id in outage_ages_s)
        first_of_service = {other.entry.service: other for other in reversed(others)}
        rest = [other for other in others if other not in first_of_service.values()]
        return [*first_of_service.values(), *rest][:LINK_CHECK_COUNT]

    async def _probe(self, endpoint: KnownEndpoint) -> ProbeResult:
        """Open a connection to an endpoint; probes of one endpoint at a time share it.

        Requests that end together at one endpoint need one probe only.
        """
        incarnation_id = endpoint.incarnation_id
        probe = self._probes.get(incarnation_id)
        if probe is None:
            probe = asyncio.ensure_future(self._connect(endpoint))
            self._probes[incarnation_id] = probe
            probe.add_done_callback(lambda _: self._probes.pop(incarnation_id, None))
        return await asyncio.shield(probe)

    async def _connect(self, endpoint: KnownEndpoint) -> ProbeResult:
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
            is_silent = isinstance(error, ConnectTimeoutError)
            return ProbeResult.SILENT if is_silent else ProbeResult.REFUSED
        return ProbeResult.ACCEPTED

    def close(self) -> None:
        """Cancel pending checks."""
        self._checks.cancel()
        for probe in list(self._probes.values()):
            probe.cancel()
