"""Find out when endpoints that were unreachable can be reached again."""

import asyncio
import random

import structlog

from sesameknot.errors import ConnectError
from sesameknot.state.endpoint_reachability import EndpointReachability
from sesameknot.state.fleet_view import FleetView
from sesameknot.state.known_endpoint import KnownEndpoint
from sesameknot.transport.endpoint_client import EndpointClient

CHECK_INTERVAL_S = 0.3
CONNECT_TIMEOUT_S = 0.25
# Endpoints of a service that are asked in each round; most may be down by themselves.
CHECK_COUNT = 6

log = structlog.get_logger(__name__)


class ReachabilityCheck:
    """Task that asks endpoints of unreachable services for connections.

    Parameters
    ----------
    reachability : EndpointReachability
        Tells which services to check, and receives what is found.
    view : FleetView
        Endpoints.
    client : EndpointClient
        Opens the connections.
    """

    __slots__ = ("_client", "_reachability", "_view")

    def __init__(
        self,
        *,
        reachability: EndpointReachability,
        view: FleetView,
        client: EndpointClient,
    ) -> None:
        self._reachability = reachability
        self._view = view
        self._client = client

    async def run(self) -> None:
        """Check until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S * random.uniform(0.8, 1.2))
            services = self._reachability.unreachable_services
            await asyncio.gather(*(self._check_service(name) for name in services))

    async def _check_service(self, service: str) -> None:
        endpoints = [
            endpoint
            for endpoint in self._view.endpoints.values()
            if endpoint.entry.service == service and self._view.may_send(endpoint)
        ]
        chosen = random.sample(endpoints, min(CHECK_COUNT, len(endpoints)))
        await asyncio.gather(*(self._check(endpoint) for endpoint in chosen))

    async def _check(self, endpoint: KnownEndpoint) -> None:
        try:
            await self._client.check_connection(
                endpoint.entry.address, timeout_s=CONNECT_TIMEOUT_S
            )
        except ConnectError:
            # The service stays unreachable, which was logged when it became so.
            return
        self._reachability.record_connected(
            endpoint.entry.service, endpoint_id=endpoint.endpoint_id
        )
