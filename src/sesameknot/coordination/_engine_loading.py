"""Load the new version of a roll-out on the engines that must serve its share."""

import asyncio
import math
from collections.abc import Sequence
from typing import Protocol

import structlog

from sesameknot.clock import Clock
from sesameknot.coordination._rollout_lease import RolloutLease
from sesameknot.coordination.ownership import rendezvous_weight
from sesameknot.errors import RouterError
from sesameknot.protocol.messages import EndpointReport
from sesameknot.protocol.orders import EngineOrder, EngineState, OrderFencedError
from sesameknot.settings.tree import EndpointSettings

ENDPOINT_KIND = "rollout-endpoint"
# Interval between two checks of an engine. Engines lose versions when they restart, and
# an engine without fencing may still execute an old order.
RECHECK_S = 5.0

log = structlog.get_logger(__name__)


class EngineClient(Protocol):
    """Client that reads the state of engines and sends orders to them."""

    async def fetch_load(self, endpoint_id: str, url: str) -> EndpointReport:
        """Return the load and the loaded versions that an engine reports."""

    async def order(
        self, url: str, order: EngineOrder, *, timeout_s: float
    ) -> EngineState:
        """Send an order and return the engine's state afterwards."""


def needed_endpoints(
    rollout_key: str, endpoints: Sequence[EndpointSettings], share: float
) -> list[EndpointSettings]:
    """Return the endpoints that must serve the new version at ``share``.

    All controllers choose the same endpoints, and a larger share adds to those of a
    smaller one.
    """
    count = min(len(endpoints), max(1, math.ceil(share * len(endpoints))))
    ranking = sorted(
        endpoints,
        key=lambda e: (
            -rendezvous_weight(ENDPOINT_KIND, rollout_key, e.endpoint_id),
            e.endpoint_id,
        ),
    )
    return ranking[:count]


class EngineLoading:
    """Check engines and order loads in the background for one held roll-out.

    Parameters
    ----------
    lease : RolloutLease
        Lease on the roll-out; no order is sent after it has expired.
    engine_client : EngineClient
        Client of the engines.
    clock : Clock
        Source of monotonic time.
    order_timeout_s : float, default=30.0
        Timeout of one order. A successor waits as long before it relies on the state
        that an engine without fencing reports.

    Attributes
    ----------
    refused_fence : int
        Highest fence that an engine has refused; 0 if there is none.
    """

    def __init__(
        self,
        lease: RolloutLease,
        *,
        engine_client: EngineClient,
        clock: Clock,
        order_timeout_s: float = 30.0,
    ) -> None:
        self.order_timeout_s = order_timeout_s
        self._lease = lease
        self._engine_client = engine_client
        self._clock = clock
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._serving: dict[str, bool] = {}
        self._checked_s: dict[str, float] = {}
        self.refused_fence = 0

    def ensure_loaded(self, endpoints: Sequence[EndpointSettings]) -> bool:
        """Start the checks that are due and return whether the version can be served.

        Endpoints that do not answer are ignored: one dead engine must not block the
        roll-out, and it gets its order when it answers again. An endpoint that answers
        but does not serve the version blocks the step, because the other endpoints
        would have to serve its part of the share.
        """
        for endpoint in endpoints:
            self._start_check(endpoint)
        serving = [self._serving.get(e.endpoint_id) for e in endpoints]
        checked = all(e.endpoint_id in self._checked_s for e in endpoints)
        return checked and True in serving and False not in serving

    def recheck_all(self) -> None:
        """Let the next :meth:`ensure_loaded` check every endpoint again."""
        self._checked_s.clear()

    async def finish(self) -> None:
        """Wait for the running checks and orders."""
        await asyncio.gather(*self._tasks.values(), return_exceptions=True)

    def cancel(self) -> None:
        """Cancel the checks; an order that was sent may still be executed."""
        for task in self._tasks.values():
            task.cancel()

    def _start_check(self, endpoint: EndpointSettings) -> None:
        endpoint_id = endpoint.endpoint_id
        task = self._tasks.get(endpoint_id)
        if task is not None and not task.done():
            return
        checked_s = self._checked_s.get(endpoint_id)
        if checked_s is not None and self._clock.monotonic_s() - checked_s < RECHECK_S:
            return
        if self._must_wait(endpoint):
            return
        self._tasks[endpoint_id] = asyncio.create_task(self._check_and_load(endpoint))

    def _must_wait(self, endpoint: EndpointSettings) -> bool:
        # The previous holder's lease has expired, but an order that it sent just before
        # may still be executed.
        if endpoint.fencing or not self._lease.taken_over:
            return False
        return self._clock.monotonic_s() < self._lease.acquired_s + self.order_timeout_s

    async def _check_and_load(self, endpoint: EndpointSettings) -> None:
        endpoint_id = endpoint.endpoint_id
        try:
            report = await self._engine_client.fetch_load(endpoint_id, endpoint.url)
            if not self._serves(report.versions):
                # Reachable but not serving: this blocks the step.
                self._serving[endpoint_id] = False
                if self._lease.valid:
                    state = await self._send_order(endpoint)
                    self._serving[endpoint_id] = self._serves(state.versions)
            else:
                self._serving[endpoint_id] = True
        except RouterError as error:
            log.warning("engine_order_failed", endpoint=endpoint_id, reason=str(error))
            if self._serving.get(endpoint_id):
                del self._serving[endpoint_id]
        self._checked_s[endpoint_id] = self._clock.monotonic_s()

    def _serves(self, versions: Sequence[str]) -> bool:
        rollout = self._lease.rollout
        # An engine that lists no version serves any version that a request names.
        return not versions or f"{rollout.model}/{rollout.to_version}" in versions

    async def _send_order(self, endpoint: EndpointSettings) -> EngineState:
        rollout = self._lease.rollout
        log.info(
            "engine_order",
            endpoint=endpoint.endpoint_id,
            version=rollout.to_version,
            fence=rollout.fence,
        )
        try:
            order = EngineOrder(
                kind="load",
                model=rollout.model,
                version=rollout.to_version,
                fence=rollout.fence,
            )
            return await self._engine_client.order(
                endpoint.url, order, timeout_s=self.order_timeout_s
            )
        except OrderFencedError:
            # An engine keeps one fence for all roll-outs, so it may refuse the valid
            # holder because of another roll-out's higher fence.
            self.refused_fence = max(self.refused_fence, rollout.fence)
            raise
