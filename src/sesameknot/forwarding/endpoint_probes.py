"""Checks whether endpoints accept connections."""

import asyncio
import random
from collections.abc import Callable

import structlog

from sesameknot.coordination._background import BackgroundTasks
from sesameknot.errors import ConnectError
from sesameknot.state.fleet_view import FleetView
from sesameknot.state.known_endpoint import KnownEndpoint
from sesameknot.transport.endpoint_client import EndpointClient

# A running endpoint accepts a connection well within this time.
PROBE_TIMEOUT_S = 0.2
# A sound endpoint may neither answer nor accept connections for up to this time.
SOUND_SILENCE_S = 1.5
# Other endpoints that are asked for a connection before an endpoint counts as down.
LINK_CHECK_COUNT = 4

log = structlog.get_logger(__name__)


class EndpointProbes:
    """Finds out which endpoints are down, and records it in the view.

    Parameters
    ----------
    view : FleetView
        Other endpoints, by which this host checks its own link; receives outages.
    client : EndpointClient
        Opens connections to endpoints.
    on_outage : callable
        Called when an outage is news that other hosts need.
    """

    def __init__(
        self,
        *,
        view: FleetView,
        client: EndpointClient,
        on_outage: Callable[[], None],
    ) -> None:
        self._view = view
        self._client = client
        self._on_outage = on_outage
        self._probes: dict[str, asyncio.Future[bool]] = {}
        self._checks = BackgroundTasks()

    def check_later(self, endpoint: KnownEndpoint) -> None:
        """Check an endpoint that accepted no connection, unless that is known."""
        if self._view.outages.is_recent(endpoint.incarnation_id):
            return
        self._checks.spawn(self.is_down(endpoint))

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
            return True
        if await_entry:
            await asyncio.sleep(self._view.endpoint_leave_s)
        known = self._view.endpoints.get(endpoint.endpoint_id)
        return known is not None and known.incarnation_id != endpoint.incarnation_id

    async def is_down(self, endpoint: KnownEndpoint) -> bool:
        """Return whether the endpoint accepts no connection, but others do.

        If no endpoint accepts one, the link of this host is to blame.
        """
        if await self._accepts_connections(endpoint):
            return False
        others = self._sample_others(endpoint)
        accepted = await asyncio.gather(*map(self._accepts_connections, others))
        if others and not any(accepted):
            log.info(
                "outage_not_counted", endpoint=endpoint.endpoint_id, checks=len(others)
            )
            return False
        self._record_outage(endpoint)
        return True

    def _record_outage(self, endpoint: KnownEndpoint) -> None:
        if not self._view.outages.note(endpoint.incarnation_id):
            return
        log.info(
            "endpoint_outage",
            endpoint=endpoint.endpoint_id,
            started_ms=endpoint.entry.started_ms,
            cold_s=round(self._view.cold_left_s(endpoint), 3),
        )
        self._on_outage()

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
        self._checks.cancel()
        for probe in list(self._probes.values()):
            probe.cancel()
