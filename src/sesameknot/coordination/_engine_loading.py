"""Load a roll-out's new version on the engines that its share needs."""

import asyncio
import math
from collections.abc import Sequence
from typing import Protocol

import structlog

from sesameknot.clock import Clock
from sesameknot.coordination._rollout_lease import Hold
from sesameknot.coordination.ownership import weight
from sesameknot.errors import RouterError
from sesameknot.protocol.messages import EndpointReport
from sesameknot.protocol.orders import EngineOrder, EngineState, OrderFencedError
from sesameknot.settings.tree import EndpointSettings

ENDPOINT_KIND = "rollout-endpoint"
# Engines lose versions when they restart, and an engine without fencing may still
# carry out an old order, so each one is read again after this time.
RECHECK_S = 5.0

log = structlog.get_logger(__name__)


class EngineClient(Protocol):
    """Orders to engines and what they hold."""

    async def load(self, endpoint_id: str, url: str) -> EndpointReport:
        """Return the load and the versions that an engine publishes."""

    async def order(
        self, url: str, order: EngineOrder, *, timeout_s: float
    ) -> EngineState:
        """Send an order and return what the engine holds afterwards."""


def needed_endpoints(
    rollout_key: str, endpoints: Sequence[EndpointSettings], share: float
) -> list[EndpointSettings]:
    """Return the endpoints that must serve the new version at ``share``."""
    count = min(len(endpoints), max(1, math.ceil(share * len(endpoints))))
    order = sorted(
        endpoints,
        key=lambda e: (
            -weight(ENDPOINT_KIND, rollout_key, e.endpoint_id),
            e.endpoint_id,
        ),
    )
    return order[:count]


class EngineLoading:
    """Background orders of one held roll-out.

    Parameters
    ----------
    hold : Hold
        The lease; no order is sent after it ran out.
    engine_client : EngineClient
        Client of the engines.
    clock : Clock
        Source of monotonic time.
    order_timeout_s : float, default=30.0
        Time for one order. A successor waits as long before it trusts what an
        engine without fencing says.
    """

    def __init__(
        self,
        hold: Hold,
        *,
        engine_client: EngineClient,
        clock: Clock,
        order_timeout_s: float = 30.0,
    ) -> None:
        self.order_timeout_s = order_timeout_s
        self._hold = hold
        self._engine_client = engine_client
        self._clock = clock
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._serving: dict[str, bool] = {}
        self._checked_s: dict[str, float] = {}
        self.refused_fence = 0

    def prepare(self, endpoints: Sequence[EndpointSettings]) -> bool:
        """Start what is missing and return whether the version can be served.

        An endpoint that does not answer is left out: one dead engine must not block
        the roll-out, and it is ordered when it answers again. One that answers but
        does not serve the version holds the step, because the others would have to
        carry its share.
        """
        for endpoint in endpoints:
            self._check(endpoint)
        known = [self._serving.get(e.endpoint_id) for e in endpoints]
        checked = all(e.endpoint_id in self._checked_s for e in endpoints)
        return checked and True in known and False not in known

    def retry(self) -> None:
        """Let the next :meth:`prepare` look at every endpoint again."""
        self._checked_s.clear()

    async def finish(self) -> None:
        """Wait for orders that were sent."""
        await asyncio.gather(*self._tasks.values(), return_exceptions=True)

    def cancel(self) -> None:
        """Drop orders that wait to be sent."""
        for task in self._tasks.values():
            task.cancel()

    def _check(self, endpoint: EndpointSettings) -> None:
        name = endpoint.endpoint_id
        running = self._tasks.get(name)
        if running is not None and not running.done():
            return
        checked_s = self._checked_s.get(name)
        if checked_s is not None and self._clock.monotonic_s() - checked_s < RECHECK_S:
            return
        if self._must_wait(endpoint):
            return
        self._tasks[name] = asyncio.create_task(self._load(endpoint))

    def _must_wait(self, endpoint: EndpointSettings) -> bool:
        # The previous holder's lease has run out, but an order that it sent just
        # before may still be carried out.
        if endpoint.fencing or not self._hold.taken_over:
            return False
        return self._clock.monotonic_s() < self._hold.taken_s + self.order_timeout_s

    async def _load(self, endpoint: EndpointSettings) -> None:
        name = endpoint.endpoint_id
        try:
            report = await self._engine_client.load(name, endpoint.url)
            if not self._serves(report.versions):
                # Reachable but not serving: this holds the step.
                self._serving[name] = False
                if self._hold.valid:
                    state = await self._order(endpoint)
                    self._serving[name] = self._serves(state.versions)
            else:
                self._serving[name] = True
        except RouterError as error:
            log.warning("engine_order_failed", endpoint=name, reason=str(error))
            if self._serving.get(name):
                del self._serving[name]
        self._checked_s[name] = self._clock.monotonic_s()

    def _serves(self, versions: Sequence[str]) -> bool:
        rollout = self._hold.rollout
        # An engine that lists no version serves whichever a request names.
        return not versions or f"{rollout.model}/{rollout.to_version}" in versions

    async def _order(self, endpoint: EndpointSettings) -> EngineState:
        rollout = self._hold.rollout
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
            # An engine keeps one fence for all roll-outs, so another roll-out's
            # higher fence may stand in the way of a holder in office.
            self.refused_fence = max(self.refused_fence, rollout.fence)
            raise
