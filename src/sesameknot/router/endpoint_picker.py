"""Pick an endpoint with a free slot, or wait for one."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

import structlog

from sesameknot.clock import Clock
from sesameknot.coordination.grant_holder import GrantHolder, Slot
from sesameknot.coordination.ownership import weight
from sesameknot.errors import RequestError
from sesameknot.policy.endpoint_choice import (
    EndpointChoice,
    EndpointView,
    RequestShape,
)
from sesameknot.router.call import Call
from sesameknot.router.catalogue import CatalogueKeeper
from sesameknot.router.wait_queue import Turn, WaitQueue
from sesameknot.settings.tree import EndpointSettings
from sesameknot.state.endpoint_table import EndpointState, EndpointTable

RETRY_INTERVAL_S = 0.05
UNUSABLE_STATES = (EndpointState.LEAVING, EndpointState.DOWN)

log = structlog.get_logger(__name__)


@dataclass(slots=True, frozen=True)
class Target:
    """What a call needs an endpoint for.

    Parameters
    ----------
    name : str
        Model or service; calls for one name wait in one queue.
    endpoint_ids : callable
        Returns the endpoints that serve it now.
    version : str, default=""
        ``model/version`` that must be loaded; empty for a plain service.
    shape : RequestShape
        Size and priority of the request.
    prefix_hashes : list of int
        Hashes of the prompt's prefixes.
    """

    name: str
    endpoint_ids: Callable[[], Sequence[str]]
    version: str = ""
    shape: RequestShape = field(default_factory=RequestShape)
    prefix_hashes: list[int] = field(default_factory=list)


@dataclass(slots=True)
class Picked:
    """An endpoint and the slot that permits sending to it."""

    endpoint: EndpointSettings
    slot: Slot


class EndpointPicker:
    """Choose endpoints in available failure domains under a grant.

    Parameters
    ----------
    host_id : str
        This host; suspected requests of different hosts prefer different endpoints.
    catalogue : CatalogueKeeper
        Settings in force.
    table : EndpointTable
        Load and state of endpoints.
    grants : GrantHolder
        Slots.
    choice : EndpointChoice
        Policy.
    clock : Clock
        Source of monotonic time.
    """

    def __init__(
        self,
        host_id: str,
        *,
        catalogue: CatalogueKeeper,
        table: EndpointTable,
        grants: GrantHolder,
        choice: EndpointChoice,
        clock: Clock,
    ) -> None:
        self.host_id = host_id
        self._catalogue = catalogue
        self._table = table
        self._grants = grants
        self._choice = choice
        self._clock = clock
        self._queues: dict[str, WaitQueue] = {}

    def waiting_count(self, name: str) -> int:
        """Return how many requests wait for a model or service."""
        queue = self._queues.get(name)
        return len(queue) if queue is not None else 0

    def usable(self, endpoint_id: str) -> bool:
        """Return whether an endpoint may get new work now."""
        endpoint = self._catalogue.current.endpoints.get(endpoint_id)
        if endpoint is None or self._catalogue.current.is_domain_out(endpoint.domain):
            return False
        return self._table.state(endpoint_id) not in UNUSABLE_STATES

    async def pick(self, call: Call, target: Target, *, suspected: bool) -> Picked:
        """Return an endpoint with a slot, waiting until the call's deadline.

        Parameters
        ----------
        call : Call
            Its tried endpoints are avoided while others are usable.
        target : Target
            What the endpoint is needed for.
        suspected : bool
            Whether the request may have taken an endpoint down. Such requests avoid
            the endpoints that other hosts prefer for theirs.

        Raises
        ------
        RequestError
            If no endpoint is usable, or none has a slot before the deadline.
        """
        queue = self._queues.setdefault(target.name, WaitQueue())
        with queue.enter(call.priority) as turn:
            while True:
                if turn.is_first:
                    picked = await self._try(call, target, suspected=suspected)
                    if picked is not None:
                        return picked
                await self._wait(call, target, turn)

    async def _wait(self, call: Call, target: Target, turn: Turn) -> None:
        remaining_s = call.remaining_s(self._clock)
        if remaining_s <= 0.0:
            log.info("route_no_capacity", request_id=call.request_id, name=target.name)
            raise RequestError(
                f"no endpoint for {target.name!r} had a free slot before the deadline",
                status=503,
                outcome=call.outcome_if_failed,
                error_type="no-capacity",
                step="pick",
                retry_after_s=1.0,
            )
        await turn.wait(min(remaining_s, RETRY_INTERVAL_S))

    async def _try(
        self, call: Call, target: Target, *, suspected: bool
    ) -> Picked | None:
        views = self._views(call, target)
        if suspected:
            return await self._first_free(
                sorted(
                    views,
                    key=lambda v: -weight("suspect", self.host_id, v.endpoint_id),
                )
            )
        while views:
            view = self._choice.choose(views, target.shape)
            if view is None:
                return None
            picked = await self._first_free([view])
            if picked is not None:
                return picked
            views = [other for other in views if other is not view]
        return None

    async def _first_free(self, views: Sequence[EndpointView]) -> Picked | None:
        for view in views:
            slot = await self._grants.acquire(view.endpoint_id)
            if slot is not None:
                endpoint = self._catalogue.current.endpoints[view.endpoint_id]
                return Picked(endpoint, slot)
        return None

    def _views(self, call: Call, target: Target) -> list[EndpointView]:
        usable = [
            endpoint_id
            for endpoint_id in target.endpoint_ids()
            if self.usable(endpoint_id)
            and self._table.may_serve(endpoint_id, target.version)
        ]
        if not usable:
            return []
        fresh = [e for e in usable if e not in call.tried_endpoint_ids]
        endpoints = self._catalogue.current.endpoints
        return [
            self._table.view(
                endpoint_id,
                capacity_count=endpoints[endpoint_id].capacity_count,
                prefix_hashes=target.prefix_hashes,
            )
            for endpoint_id in fresh or usable
        ]

    def slot_freed(self, name: str) -> None:
        """Wake the first request that waits for a model or service."""
        queue = self._queues.get(name)
        if queue is not None:
            queue.wake_first()
