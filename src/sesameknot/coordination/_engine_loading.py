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
from sesameknot.settings.tree import EndpointSettings
from sesameknot.transport.order_client import EngineState, StaleFenceError

ENDPOINT_KIND = "rollout-endpoint"
# Engines lose versions when they restart, and an engine without fencing may still
# carry out an old order, so each one is read again after this time.
RECHECK_S = 5.0

log = structlog.get_logger(__name__)


class EngineOrders(Protocol):
    """Orders to engines."""

    timeout_s: float

    async def state(self, url: str) -> EngineState:
        """Return an engine's state."""

    async def load(self, url: str, *, model: str, version: str, fence: int) -> None:
        """Order an engine to load a version."""


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
    orders : EngineOrders
        Client of the engines.
    clock : Clock
        Source of monotonic time.
    """

    def __init__(self, hold: Hold, *, orders: EngineOrders, clock: Clock) -> None:
        self._hold = hold
        self._orders = orders
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

    async def finish(self) -> None:
        """Wait for orders that were sent."""
        await asyncio.gather(*self._tasks.values())

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
        return self._clock.monotonic_s() < self._hold.taken_s + self._orders.timeout_s

    async def _load(self, endpoint: EndpointSettings) -> None:
        name = endpoint.endpoint_id
        try:
            state = await self._orders.state(endpoint.url)
            if not self._serves(state):
                # Reachable but not serving: this holds the step.
                self._serving[name] = False
                if self._hold.valid:
                    await self._order(endpoint, state)
                    state = await self._orders.state(endpoint.url)
            self._serving[name] = self._serves(state)
        except RouterError as error:
            log.warning("engine_order_failed", endpoint=name, reason=str(error))
            if self._serving.get(name):
                del self._serving[name]
        self._checked_s[name] = self._clock.monotonic_s()

    def _serves(self, state: EngineState) -> bool:
        rollout = self._hold.rollout
        return state.serves(rollout.model, rollout.to_version)

    async def _order(self, endpoint: EndpointSettings, state: EngineState) -> None:
        rollout = self._hold.rollout
        log.info(
            "engine_order",
            endpoint=endpoint.endpoint_id,
            version=rollout.to_version,
            fence=rollout.fence,
        )
        try:
            await self._orders.load(
                endpoint.url,
                model=rollout.model,
                version=rollout.to_version,
                fence=rollout.fence,
            )
        except StaleFenceError:
            # An engine keeps one fence for all roll-outs, so another roll-out's
            # higher fence may stand in the way of a holder in office.
            self.refused_fence = max(self.refused_fence, state.fence, rollout.fence)
            raise
