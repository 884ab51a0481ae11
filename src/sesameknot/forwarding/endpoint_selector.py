"""Selection of the endpoint for an attempt."""

from dataclasses import dataclass

import structlog

from sesameknot.clock import Clock
from sesameknot.forwarding.request import ForwardedRequest
from sesameknot.policy.cold_start_limiter import ColdStartLimiter
from sesameknot.policy.model_partition import ModelPartition
from sesameknot.policy.prompt_placement import (
    Placement,
    PlacementCandidate,
    PlacementRequest,
)
from sesameknot.state.fleet_view import FleetView
from sesameknot.state.known_endpoint import KnownEndpoint
from sesameknot.state.store_availability import LAPSE_GRACE_S
from sesameknot.state.version_filter import VersionFilter

# Lower limit of the estimated wait for endpoints whose return cannot be predicted.
NO_ENDPOINT_WAIT_S = 1.0
# Estimated time until a full endpoint has room again.
FULL_ENDPOINT_WAIT_S = 0.3
# Lower limit of the estimated wait for endpoints that limit their request rate.
MIN_PERMIT_WAIT_S = 0.1
# Lower limit of the estimated wait for cold endpoints.
MIN_COLD_WAIT_S = 0.05

log = structlog.get_logger(__name__)


@dataclass(slots=True, frozen=True)
class NoEndpoint:
    """Why no endpoint can be picked, and the estimated time until one can."""

    reason: str
    estimated_wait_s: float


class EndpointSelector:
    """Picks among the endpoints that a request may be sent to now.

    Parameters
    ----------
    view : FleetView
        Configuration, endpoints and hosts.
    placement : Placement
        Strategy that chooses among the candidates.
    model_partition : ModelPartition
        Assigns endpoints to models.
    cold_start_limiter : ColdStartLimiter
        Request rate limits of cold endpoints.
    domain : str
        Failure domain of this host.
    clock : Clock
        Source of monotonic time.
    """

    def __init__(
        self,
        *,
        view: FleetView,
        placement: Placement,
        model_partition: ModelPartition,
        cold_start_limiter: ColdStartLimiter,
        domain: str,
        clock: Clock,
    ) -> None:
        self._view = view
        self._placement = placement
        self._model_partition = model_partition
        self._cold_start_limiter = cold_start_limiter
        self._domain = domain
        self._clock = clock

    def allowed_versions(self, request: ForwardedRequest) -> VersionFilter:
        """Return the versions that may run the request now."""
        return self._view.allowed_versions(request.service, request.session_position)

    def pick(
        self, request: ForwardedRequest, *, model: str, max_wait_s: float = 0.0
    ) -> KnownEndpoint | NoEndpoint:
        """Return the endpoint for the next attempt of ``request``.

        Parameters
        ----------
        max_wait_s : float, default=0.0
            Longest wait for an endpoint that limits its request rate; below 0, only
            endpoints without a limit are used.
        """
        usable = self._usable(request)
        untried = _untried(request, usable)
        if not untried:
            reason = "all endpoints were tried" if usable else "no endpoint is usable"
            return NoEndpoint(reason, self._reregistration_wait_s())
        wanting = self._not_paused(untried)
        if not wanting:
            wait_s = self._pause_left_s(untried)
            return NoEndpoint("all endpoints asked for a pause", wait_s)
        wanting = self._with_room(wanting)
        if not wanting:
            return NoEndpoint("all endpoints are full", FULL_ENDPOINT_WAIT_S)
        admitted = self._within_cold_limits(wanting)
        if not admitted:
            return NoEndpoint("all endpoints are cold", self._cold_wait_s(wanting))
        admitted = self._within_rate_limits(admitted, max_wait_s)
        if not admitted:
            reason = "all endpoints are at their limits"
            return NoEndpoint(reason, self._permit_wait_s(wanting))
        # An ejected endpoint failed recently, but is better than none.
        healthy = [
            endpoint for endpoint in admitted if not endpoint.health.ejected
        ] or admitted
        chosen = self._choose(healthy, request, model)
        log.info(
            "endpoint_picked",
            request_id=request.request_id,
            endpoint=chosen.endpoint_id,
            domain=chosen.entry.domain,
            version=chosen.entry.version,
            model=model,
            candidates=len(healthy),
            ejected=len(admitted) - len(healthy),
            in_flight=chosen.in_flight_count,
            others_in_flight=chosen.other_in_flight_count,
            failure_share=round(chosen.health.failure_share, 3),
            relative_event_time=round(chosen.relative_event_time, 2),
            started_ms=chosen.entry.started_ms,
            cold_s=round(self._view.cold_left_s(chosen), 3),
            limit_per_s=self._view.endpoint_limits.rate_per_s(chosen.incarnation_id),
            attempt=len(request.tried_incarnation_ids) + 1,
        )
        return chosen

    def has_alternative(
        self, request: ForwardedRequest, endpoint: KnownEndpoint
    ) -> bool:
        """Return whether another endpoint that was not tried could be asked next."""
        usable = self._view.usable(request.service, self.allowed_versions(request))
        return any(
            other is not endpoint and not self._limit_wait_s(other)
            for other in self._with_room(self._not_paused(_untried(request, usable)))
        )

    def has_unlimited(self, request: ForwardedRequest) -> bool:
        """Return whether an untried endpoint without a limit on its rate is usable."""
        if not self._view.endpoint_limits.limited_count:
            return True
        untried = self._with_room(
            self._not_paused(_untried(request, self._usable(request)))
        )
        return any(
            self._limit_wait_s(endpoint) is None
            for endpoint in self._within_cold_limits(untried)
        )

    def _not_paused(self, candidates: list[KnownEndpoint]) -> list[KnownEndpoint]:
        """Return the endpoints that did not ask this host for a pause."""
        now_s = self._clock.monotonic_s()
        return [e for e in candidates if e.paused_until_s <= now_s]

    def _with_room(self, candidates: list[KnownEndpoint]) -> list[KnownEndpoint]:
        """Return the endpoints but those that are known to have no room."""
        now_s = self._clock.monotonic_s()
        return [e for e in candidates if e.full_until_s <= now_s]

    def _pause_left_s(self, candidates: list[KnownEndpoint]) -> float:
        now_s = self._clock.monotonic_s()
        return min(endpoint.paused_until_s for endpoint in candidates) - now_s

    def _usable(self, request: ForwardedRequest) -> list[KnownEndpoint]:
        versions = self.allowed_versions(request)
        return versions.narrow(self._view.usable(request.service, versions))

    def _limit_wait_s(self, endpoint: KnownEndpoint) -> float | None:
        """Return the wait for a permit as far as known; None without a limit."""
        return self._view.endpoint_limits.wait_s(endpoint.incarnation_id)

    def _within_rate_limits(
        self, candidates: list[KnownEndpoint], max_wait_s: float
    ) -> list[KnownEndpoint]:
        admitted = []
        for endpoint in candidates:
            wait_s = self._limit_wait_s(endpoint)
            if wait_s is None or wait_s <= max_wait_s:
                admitted.append(endpoint)
        return admitted

    def _permit_wait_s(self, candidates: list[KnownEndpoint]) -> float:
        """Return the estimated time until an endpoint takes another request."""
        waits_s = [self._limit_wait_s(endpoint) or 0.0 for endpoint in candidates]
        return max(MIN_PERMIT_WAIT_S, min(waits_s))

    def is_usable(self, request: ForwardedRequest, endpoint: KnownEndpoint) -> bool:
        """Return whether the request may be sent to the endpoint now."""
        usable = self._view.usable(request.service, self.allowed_versions(request))
        return endpoint in self._not_paused(usable)

    def _reregistration_wait_s(self) -> float:
        """Return the estimated time until endpoints have registered again."""
        now_s = self._clock.monotonic_s()
        elapsed_s = now_s - max(
            self._view.endpoints_listed_s, self._view.store_failed_s
        )
        return max(NO_ENDPOINT_WAIT_S, LAPSE_GRACE_S - elapsed_s)

    def _cold_rate_per_s(self, endpoint: KnownEndpoint) -> float:
        configuration = self._view.configuration
        if configuration is None:
            return 0.0
        return configuration.service(endpoint.entry.service).cold_rate_per_s

    def _within_cold_limits(
        self, candidates: list[KnownEndpoint]
    ) -> list[KnownEndpoint]:
        admitted = []
        for endpoint in candidates:
            rate_per_s = self._cold_rate_per_s(endpoint)
            limited = bool(rate_per_s) and self._view.cold_left_s(endpoint) > 0.0
            hosts = self._view.hosts
            if not limited or self._cold_start_limiter.may_use(
                endpoint.endpoint_id, rate_per_s, hosts
            ):
                admitted.append(endpoint)
        return admitted

    def take_cold_permit(
        self, request: ForwardedRequest, endpoint: KnownEndpoint
    ) -> bool:
        """Count a request to a cold endpoint, once; return False if it takes none."""
        if endpoint.incarnation_id in request.cold_permit_ids:
            return True
        rate_per_s = self._cold_rate_per_s(endpoint)
        if not rate_per_s or not self._view.cold_left_s(endpoint):
            return True
        permitted = self._cold_start_limiter.take(
            endpoint.endpoint_id, rate_per_s, self._view.hosts
        )
        if permitted:
            request.cold_permit_ids.add(endpoint.incarnation_id)
        return permitted

    def _cold_wait_s(self, candidates: list[KnownEndpoint]) -> float:
        """Return the estimated time until a cold endpoint takes a request."""
        hosts = self._view.hosts
        waits_s = []
        for endpoint in candidates:
            permit_wait_s = self._cold_start_limiter.wait_s(
                endpoint.endpoint_id, self._cold_rate_per_s(endpoint), hosts
            )
            waits_s.append(min(self._view.cold_left_s(endpoint), permit_wait_s))
        return max(MIN_COLD_WAIT_S, min(waits_s))

    def _choose(
        self, candidates: list[KnownEndpoint], request: ForwardedRequest, model: str
    ) -> KnownEndpoint:
        preferred = self._preferred_for_model(candidates, request, model)
        placement_candidates = [
            self._placement_candidate(endpoint, preferred) for endpoint in candidates
        ]
        chosen = self._placement.choose(
            placement_candidates, placement_request(request, model)
        )
        return self._view.endpoints[chosen.endpoint_id]

    def _preferred_for_model(
        self, candidates: list[KnownEndpoint], request: ForwardedRequest, model: str
    ) -> set[str]:
        """Record a run of ``model`` and return the candidates that should run it."""
        endpoint_ids = [endpoint.endpoint_id for endpoint in candidates]
        models = request.route.models
        if model not in models or self._view.configuration is None:
            return set(endpoint_ids)
        costs = self._view.configuration.service(request.service).model_costs
        metadata = request.metadata
        token_count = metadata.prompt_token_count + metadata.output_token_limit_count
        # The cost per token is the only measure of a model's load in the configuration.
        self._model_partition.record_run(
            model, costs.get(model, 1.0) * max(1, token_count)
        )
        return self._model_partition.preferred_endpoint_ids(model, models, endpoint_ids)

    def _placement_candidate(
        self, endpoint: KnownEndpoint, preferred: set[str]
    ) -> PlacementCandidate:
        return PlacementCandidate(
            endpoint_id=endpoint.endpoint_id,
            same_domain=endpoint.entry.domain == self._domain,
            in_flight_count=endpoint.in_flight_count + endpoint.other_in_flight_count,
            pending_tokens=endpoint.pending_tokens + endpoint.other_pending_tokens,
            failure_share=endpoint.health.failure_share,
            slot_count=endpoint.entry.slot_count,
            preferred_for_model=endpoint.endpoint_id in preferred,
            relative_event_time=endpoint.relative_event_time,
        )


def _untried(
    request: ForwardedRequest, endpoints: list[KnownEndpoint]
) -> list[KnownEndpoint]:
    return [
        endpoint
        for endpoint in endpoints
        if endpoint.incarnation_id not in request.tried_incarnation_ids
    ]


def placement_request(request: ForwardedRequest, model: str) -> PlacementRequest:
    """Return the model and prompt parts that the placement strategy needs."""
    return PlacementRequest(
        model=model,
        prompt=tuple(
            (part.part_id, part.token_count) for part in request.metadata.prompt
        ),
    )
