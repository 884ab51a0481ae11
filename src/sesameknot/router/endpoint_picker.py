"""Pick an endpoint with a free slot, or wait for one."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

import structlog

from sesameknot.clock import Clock
from sesameknot.coordination.grant_holder import GrantHolder, Slot
from sesameknot.coordination.ownership import rendezvous_weight
from sesameknot.errors import RequestError
from sesameknot.policy.endpoint_choice import (
    EndpointChoice,
    EndpointView,
    LoadModel,
    RequestShape,
)
from sesameknot.protocol.prefix import BLOCK_CHARS, CHARS_PER_TOKEN
from sesameknot.router.call import Call
from sesameknot.router.catalogue import CatalogueCache
from sesameknot.router.wait_queue import WaitQueue
from sesameknot.settings.tree import EndpointSettings
from sesameknot.state.endpoint_table import EndpointState, EndpointTable

RETRY_INTERVAL_S = 0.05
# Before any answer was seen, a guess that refuses no short deadline.
FIRST_SERVICE_S = 0.1
UNUSABLE_STATES = (EndpointState.LEAVING, EndpointState.DOWN)

ChoiceFactory = Callable[[LoadModel], EndpointChoice]

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


@dataclass(slots=True, frozen=True)
class WaitEstimate:
    """Time until a request would start at an endpoint, and time it then takes."""

    wait_s: float
    service_s: float


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
    catalogue : CatalogueCache
        Settings in force.
    table : EndpointTable
        Load and state of endpoints.
    grants : GrantHolder
        Slots.
    new_choice : callable
        Makes the policy of one model or service from its load model.
    clock : Clock
        Source of monotonic time.
    """

    def __init__(
        self,
        host_id: str,
        *,
        catalogue: CatalogueCache,
        table: EndpointTable,
        grants: GrantHolder,
        new_choice: ChoiceFactory,
        clock: Clock,
    ) -> None:
        self.host_id = host_id
        self._catalogue = catalogue
        self._table = table
        self._grants = grants
        self._new_choice = new_choice
        self._clock = clock
        self._queues: dict[str, WaitQueue] = {}
        self._loads: dict[str, LoadModel] = {}
        self._choices: dict[str, EndpointChoice] = {}

    def estimate(self, target: Target) -> WaitEstimate:
        """Return how long a request would wait now, and then take."""
        load = self._load(target.name)
        views = self._known(target)
        wait_s = load.fleet_wait_s(views) if views else 0.0
        queue = self._queues.get(target.name)
        if queue:
            slot_count = max(1.0, self._share(views))
            wait_s += load.service_s * len(queue) / slot_count
        return WaitEstimate(wait_s, load.service_s)

    def _share(self, views: Sequence[EndpointView]) -> float:
        """Return the slots that this router can count on.

        Those in flight alone would be too few: a burst arrives before its grants, and
        work was shed at 30 requests that three endpoints had room for.
        """
        in_flight_count = sum(view.in_flight_count for view in views)
        capacity_count = sum(view.capacity_count for view in views)
        host_count = max(1, len(self._grants.roster().members))
        return max(in_flight_count, capacity_count / host_count)

    def observe(self, name: str, service_s: float) -> None:
        """Take the time that an answer took at its endpoint."""
        self._load(name).observe(service_s)

    def _load(self, name: str) -> LoadModel:
        load = self._loads.get(name)
        if load is None:
            load = self._loads[name] = LoadModel(service_s=FIRST_SERVICE_S)
        return load

    def _choice(self, name: str) -> EndpointChoice:
        choice = self._choices.get(name)
        if choice is None:
            choice = self._choices[name] = self._new_choice(self._load(name))
        return choice

    def usable(self, endpoint_id: str) -> bool:
        """Return whether an endpoint may get new work now."""
        endpoint = self._catalogue.current.endpoints.get(endpoint_id)
        if endpoint is None or self._catalogue.current.is_domain_evacuated(
            endpoint.domain
        ):
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
                picked = None
                if turn.is_first:
                    picked = await self._try(call, target, suspected=suspected)
                if picked is not None:
                    return picked
                self._check_deadline(call, target)
                if not turn.is_first:
                    await turn.wait(self._pause_s(call))

    def _pause_s(self, call: Call) -> float:
        return max(0.001, min(call.remaining_s(self._clock), RETRY_INTERVAL_S))

    def _check_deadline(self, call: Call, target: Target) -> None:
        if call.remaining_s(self._clock) > 0.0:
            return
        log.info("route_no_capacity", request_id=call.request_id, name=target.name)
        raise RequestError(
            f"no endpoint for {target.name!r} had a free slot before the deadline",
            status=503,
            outcome=call.outcome_if_failed,
            error_type="no-capacity",
            step="pick",
            retry_after_s=1.0,
        )

    async def _try(
        self, call: Call, target: Target, *, suspected: bool
    ) -> Picked | None:
        views = self._views(call, target)
        slot = self._acquire(views, target, suspected=suspected)
        if slot is None:
            slot = await self._grants.acquire_any(
                [view.endpoint_id for view in views], timeout_s=self._pause_s(call)
            )
        if slot is None:
            return None
        return Picked(self._catalogue.current.endpoints[slot.endpoint_id], slot)

    def _acquire(
        self, views: list[EndpointView], target: Target, *, suspected: bool
    ) -> Slot | None:
        while views:
            if suspected:
                view = max(views, key=self._suspect_weight)
            else:
                view = self._choice(target.name).choose(views, target.shape)
            if view is None:
                return None
            slot = self._grants.acquire(view.endpoint_id)
            if slot is not None:
                return slot
            views = [other for other in views if other is not view]
        return None

    def _suspect_weight(self, view: EndpointView) -> int:
        return rendezvous_weight("suspect", self.host_id, view.endpoint_id)

    def _views(self, call: Call, target: Target) -> list[EndpointView]:
        views = self._known(target)
        fresh = [v for v in views if v.endpoint_id not in call.tried_endpoint_ids]
        return fresh or views

    def _known(self, target: Target) -> list[EndpointView]:
        return [
            view
            for endpoint_id in target.endpoint_ids()
            if self.usable(endpoint_id)
            and (view := self._view(endpoint_id, target)) is not None
        ]

    def _view(self, endpoint_id: str, target: Target) -> EndpointView | None:
        """Return what is known of an endpoint, or None if it lacks the version."""
        known = self._table.summary(endpoint_id)
        if known is None:
            return None
        if target.version and known.versions and target.version not in known.versions:
            return None
        blocks = self._table.cached_block_count(endpoint_id, target.prefix_hashes)
        return EndpointView(
            endpoint_id=endpoint_id,
            capacity_count=known.spec.capacity_count,
            running_count=known.running_count,
            queued_count=known.queued_count,
            report_age_s=known.report_age_s,
            in_flight_count=known.in_flight_count,
            sent_since_report_count=known.sent_since_report_count,
            cached_tokens=blocks * BLOCK_CHARS // CHARS_PER_TOKEN,
            cold=known.state == EndpointState.COLD,
        )

    def slot_freed(self, name: str) -> None:
        """Wake the first request that waits for a model or service."""
        queue = self._queues.get(name)
        if queue is not None:
            queue.wake_first()
