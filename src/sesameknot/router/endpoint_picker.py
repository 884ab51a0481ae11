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
# Service time assumed before the first answer; low enough that admission refuses no
# request for a short deadline.
INITIAL_SERVICE_TIME_S = 0.1
UNUSABLE_STATES = (EndpointState.LEAVING, EndpointState.DOWN)

ChoiceFactory = Callable[[LoadModel], EndpointChoice]

log = structlog.get_logger(__name__)


@dataclass(slots=True, frozen=True)
class EndpointQuery:
    """Endpoints that can serve a call, and what the choice among them depends on.

    Parameters
    ----------
    pool_name : str
        Team and model or service, as ``team/name``. Calls for one pool share a wait
        queue and a load model.
    endpoint_ids : callable
        Returns the endpoints of the pool now.
    qualified_version : str, default=""
        ``model/version`` that the endpoint must have loaded; empty for a plain service.
    shape : RequestShape, optional
        Size and priority of the request.
    prefix_hashes : list of int, optional
        Hashes of the prompt's prefixes.
    """

    pool_name: str
    endpoint_ids: Callable[[], Sequence[str]]
    qualified_version: str = ""
    shape: RequestShape = field(default_factory=RequestShape)
    prefix_hashes: list[int] = field(default_factory=list)


@dataclass(slots=True, frozen=True)
class WaitEstimate:
    """Expected wait for an endpoint and service time there, in seconds."""

    wait_s: float
    service_s: float


@dataclass(slots=True)
class PickedEndpoint:
    """An endpoint and the slot that permits sending one request to it."""

    endpoint: EndpointSettings
    slot: Slot


class EndpointPicker:
    """Choose endpoints in available failure domains and acquire slots there.

    Parameters
    ----------
    host_id : str
        This host. Requests that may crash endpoints prefer different endpoints on
        different hosts.
    catalogue : CatalogueCache
        Settings in force.
    table : EndpointTable
        Load and state of the endpoints.
    grants : GrantHolder
        Grants slots at endpoints.
    new_choice : callable
        Creates the choice policy of an endpoint pool from its load model.
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
        self._load_models: dict[str, LoadModel] = {}
        self._choice_policies: dict[str, EndpointChoice] = {}

    def estimate(self, query: EndpointQuery) -> WaitEstimate:
        """Return the expected wait and service time of a request that arrives now."""
        load_model = self._load_model(query.pool_name)
        views = self._usable_views(query)
        wait_s = load_model.fleet_wait_s(views) if views else 0.0
        queue = self._queues.get(query.pool_name)
        if queue:
            slot_count = max(1.0, self._expected_slot_count(views))
            wait_s += load_model.service_time_s * len(queue) / slot_count
        return WaitEstimate(wait_s, load_model.service_time_s)

    def _expected_slot_count(self, views: Sequence[EndpointView]) -> float:
        """Return the number of slots that this router can expect to get.

        The requests in flight alone are too low a bound, because a burst arrives before
        its grants: of 30 requests, some were shed that three endpoints had capacity
        for.
        """
        in_flight_count = sum(view.in_flight_count for view in views)
        capacity_count = sum(view.capacity_count for view in views)
        host_count = max(1, len(self._grants.roster().members))
        return max(in_flight_count, capacity_count / host_count)

    def observe(self, pool_name: str, service_s: float) -> None:
        """Record the service time of an answer."""
        self._load_model(pool_name).observe(service_s)

    def _load_model(self, pool_name: str) -> LoadModel:
        load_model = self._load_models.get(pool_name)
        if load_model is None:
            load_model = self._load_models[pool_name] = LoadModel(
                service_time_s=INITIAL_SERVICE_TIME_S
            )
        return load_model

    def _choice_policy(self, pool_name: str) -> EndpointChoice:
        policy = self._choice_policies.get(pool_name)
        if policy is None:
            policy = self._choice_policies[pool_name] = self._new_choice(
                self._load_model(pool_name)
            )
        return policy

    def usable(self, endpoint_id: str) -> bool:
        """Return whether an endpoint may receive new work now."""
        endpoint = self._catalogue.current.endpoints.get(endpoint_id)
        if endpoint is None or self._catalogue.current.is_domain_evacuated(
            endpoint.domain
        ):
            return False
        return self._table.state(endpoint_id) not in UNUSABLE_STATES

    async def pick(
        self, call: Call, query: EndpointQuery, *, crash_suspect: bool
    ) -> PickedEndpoint:
        """Return an endpoint with a slot, waiting until the call's deadline.

        Parameters
        ----------
        call : Call
            Call to serve. Endpoints that it has tried are avoided while others are
            usable.
        query : EndpointQuery
            Endpoints to choose from.
        crash_suspect : bool
            Whether the request may have crashed an endpoint. Such a request prefers
            endpoints by a hash of host and endpoint, so that hosts differ.

        Raises
        ------
        RequestError
            If no endpoint is usable, or none has a slot before the deadline.
        """
        queue = self._queues.setdefault(query.pool_name, WaitQueue())
        with queue.enter(call.priority) as entry:
            while True:
                picked = None
                if entry.is_first:
                    picked = await self._try_pick(
                        call, query, crash_suspect=crash_suspect
                    )
                if picked is not None:
                    return picked
                self._check_deadline(call, query)
                if not entry.is_first:
                    await entry.wait(self._retry_wait_s(call))

    def _retry_wait_s(self, call: Call) -> float:
        return max(0.001, min(call.remaining_s(self._clock), RETRY_INTERVAL_S))

    def _check_deadline(self, call: Call, query: EndpointQuery) -> None:
        if call.remaining_s(self._clock) > 0.0:
            return
        log.info(
            "request_no_capacity", request_id=call.request_id, name=query.pool_name
        )
        raise RequestError(
            f"no endpoint for {query.pool_name!r} had a free slot before the deadline",
            status=503,
            outcome=call.outcome_if_failed,
            error_type="no-capacity",
            step="pick",
            retry_after_s=1.0,
        )

    async def _try_pick(
        self, call: Call, query: EndpointQuery, *, crash_suspect: bool
    ) -> PickedEndpoint | None:
        views = self._preferred_views(call, query)
        slot = self._acquire_chosen(views, query, crash_suspect=crash_suspect)
        if slot is None:
            slot = await self._grants.acquire_any(
                [view.endpoint_id for view in views], timeout_s=self._retry_wait_s(call)
            )
        if slot is None:
            return None
        return PickedEndpoint(self._catalogue.current.endpoints[slot.endpoint_id], slot)

    def _acquire_chosen(
        self, views: list[EndpointView], query: EndpointQuery, *, crash_suspect: bool
    ) -> Slot | None:
        while views:
            if crash_suspect:
                view = max(views, key=self._crash_suspect_weight)
            else:
                view = self._choice_policy(query.pool_name).choose(views, query.shape)
            if view is None:
                return None
            slot = self._grants.acquire(view.endpoint_id)
            if slot is not None:
                return slot
            views = [other for other in views if other is not view]
        return None

    def _crash_suspect_weight(self, view: EndpointView) -> int:
        return rendezvous_weight("suspect", self.host_id, view.endpoint_id)

    def _preferred_views(self, call: Call, query: EndpointQuery) -> list[EndpointView]:
        views = self._usable_views(query)
        untried = [v for v in views if v.endpoint_id not in call.tried_incarnation_ids]
        return untried or views

    def _usable_views(self, query: EndpointQuery) -> list[EndpointView]:
        return [
            view
            for endpoint_id in query.endpoint_ids()
            if self.usable(endpoint_id)
            and (view := self._view(endpoint_id, query)) is not None
        ]

    def _view(self, endpoint_id: str, query: EndpointQuery) -> EndpointView | None:
        """Return the view of an endpoint, or None if it lacks the version."""
        summary = self._table.summary(endpoint_id)
        if summary is None:
            return None
        if (
            query.qualified_version
            and summary.versions
            and query.qualified_version not in summary.versions
        ):
            return None
        cached_block_count = self._table.cached_block_count(
            endpoint_id, query.prefix_hashes
        )
        return EndpointView(
            endpoint_id=endpoint_id,
            capacity_count=summary.spec.capacity_count,
            running_count=summary.running_count,
            queued_count=summary.queued_count,
            report_age_s=summary.report_age_s,
            in_flight_count=summary.in_flight_count,
            sent_since_report_count=summary.sent_since_report_count,
            cached_tokens=cached_block_count * BLOCK_CHARS // CHARS_PER_TOKEN,
            cold=summary.state == EndpointState.COLD,
        )

    def slot_freed(self, pool_name: str) -> None:
        """Wake the first request that waits for a slot in the pool."""
        queue = self._queues.get(pool_name)
        if queue is not None:
            queue.wake_first()
