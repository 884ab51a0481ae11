"""Build the request path."""

import contextlib
from collections.abc import Callable
from dataclasses import dataclass

from aioprometheus.collectors import Registry

from sesameknot._wiring_coordination import Coordination
from sesameknot.clock import Clock
from sesameknot.coordination.sessions import SessionPins
from sesameknot.policy.admission import Admission
from sesameknot.policy.cascade import CascadePolicy
from sesameknot.policy.crash_guard import CrashGuard
from sesameknot.policy.registry import CASCADE_POLICIES, ENDPOINT_CHOICES
from sesameknot.policy.retry_budget import RetryBudget
from sesameknot.protocol.objects import SETTINGS_PREFIX, WITHDRAWALS_PREFIX
from sesameknot.router.admission_gate import AdmissionGate
from sesameknot.router.attempts import AttemptRules
from sesameknot.router.bills import Billing
from sesameknot.router.catalogue import CatalogueCache
from sesameknot.router.chat_pipeline import ChatPipeline
from sesameknot.router.endpoint_picker import EndpointPicker
from sesameknot.router.idempotency import IdempotencyKeys
from sesameknot.router.metrics import RouterMetrics
from sesameknot.router.pipeline_dependencies import PipelineDependencies
from sesameknot.router.ratings import RatedAnswer, RatingClient
from sesameknot.router.service_pipeline import ServicePipeline
from sesameknot.router.traffic import TrafficCounters
from sesameknot.router.version_picker import VersionPicker
from sesameknot.settings.process import RouterSettings
from sesameknot.state.endpoint_table import EndpointSpec


@dataclass(slots=True)
class RequestPath:
    """Parts of the request path that others use."""

    catalogue: CatalogueCache
    traffic: TrafficCounters
    ratings: RatingClient
    crash_guard: CrashGuard
    metrics: RouterMetrics
    picker: EndpointPicker
    chat: ChatPipeline
    services: ServicePipeline


def build_request_path(
    settings: RouterSettings,
    clock: Clock,
    parts: Coordination,
    stack: contextlib.AsyncExitStack,
    *,
    registry: Registry,
    in_flight: Callable[[], int],
) -> RequestPath:
    """Return the connected request path; ``stack`` closes what it holds open."""
    catalogue = CatalogueCache(
        parts.base.store,
        host_id=settings.host_id,
        subset_count=settings.requests.endpoint_subset_count,
    )
    _follow_endpoints(parts, catalogue)
    metrics = RouterMetrics(registry)
    traffic = TrafficCounters()
    sessions = _sessions(clock, parts, catalogue)
    stack.push_async_callback(sessions.close)
    versions = VersionPicker(
        catalogue=catalogue, new_policy=_policy_factory(clock, parts), sessions=sessions
    )
    ratings = RatingClient(
        settings.rating_url,
        rating_share=settings.rating_share,
        rollout_share=rollout_share_reader(catalogue),
        generator=parts.base.generator,
        on_rating=_rating_taker(traffic, versions),
    )
    stack.callback(ratings.close)
    shared = _pipeline_parts(
        settings, clock, parts, catalogue, traffic, metrics, in_flight
    )
    chat = ChatPipeline(
        shared,
        versions=versions,
        grants=parts.grant_holder,
        ratings=ratings,
        metrics=metrics,
    )
    return RequestPath(
        catalogue=catalogue,
        traffic=traffic,
        ratings=ratings,
        crash_guard=parts.base.crash_guard,
        metrics=metrics,
        picker=shared.picker,
        chat=chat,
        services=ServicePipeline(shared),
    )


def _pipeline_parts(
    settings: RouterSettings,
    clock: Clock,
    parts: Coordination,
    catalogue: CatalogueCache,
    traffic: TrafficCounters,
    metrics: RouterMetrics,
    in_flight: Callable[[], int],
) -> PipelineDependencies:
    base = parts.base
    gate = AdmissionGate(
        catalogue=catalogue,
        admission=Admission(clock=clock, random_generator=base.generator),
        crash_guard=base.crash_guard,
        clock=clock,
        in_flight=in_flight,
        concurrent_limit_count=settings.requests.concurrent_limit_count,
    )
    picker = EndpointPicker(
        settings.host_id,
        catalogue=catalogue,
        table=base.endpoint_table,
        grants=parts.grant_holder,
        new_choice=lambda load: ENDPOINT_CHOICES.get("adaptive")(
            random_generator=base.generator, load_model=load
        ),
        clock=clock,
    )
    rules = AttemptRules(
        picker=picker,
        client=base.endpoint_client,
        budget=RetryBudget(settings.requests.retry_ratio),
        crash_guard=base.crash_guard,
        announce_crashes=parts.membership.announce,
        settings=settings.requests,
        clock=clock,
        metrics=metrics,
    )
    return PipelineDependencies(
        gate=gate,
        idempotency_keys=IdempotencyKeys(parts.claims),
        picker=picker,
        rules=rules,
        client=base.endpoint_client,
        billing=Billing(parts.bill_writer, clock=clock),
        catalogue=catalogue,
        traffic=traffic,
        clock=clock,
    )


def _follow_endpoints(parts: Coordination, catalogue: CatalogueCache) -> None:
    def configure(_: object) -> None:
        parts.base.endpoint_table.configure(
            EndpointSpec(
                endpoint_id=endpoint.endpoint_id,
                url=endpoint.url,
                domain=endpoint.domain,
                service=endpoint.service,
                models=tuple(endpoint.models),
                capacity_count=endpoint.capacity_count,
                cold_slot_count=endpoint.cold_slot_count,
            )
            for endpoint in catalogue.current.endpoints.values()
        )

    parts.base.store.subscribe(SETTINGS_PREFIX, configure)


def _sessions(
    clock: Clock, parts: Coordination, catalogue: CatalogueCache
) -> SessionPins:
    def is_withdrawn(pin: str) -> bool:
        name, _, version = pin.rpartition("/")
        team, _, model = name.partition(".")
        return catalogue.current.is_withdrawn(team, model, version)

    sessions = SessionPins(parts.claims, is_withdrawn=is_withdrawn, clock=clock)

    def release(changed: list) -> None:
        for stored in changed:
            if not stored.deleted and stored.value.get("withdrawn"):
                name = stored.key.removeprefix(WITHDRAWALS_PREFIX)
                team_and_model, _, version = name.rpartition(".")
                sessions.version_withdrawn(f"{team_and_model}/{version}")

    parts.base.store.subscribe(WITHDRAWALS_PREFIX, release)
    return sessions


def _policy_factory(
    clock: Clock, parts: Coordination
) -> Callable[[float], CascadePolicy]:
    def make(quality_target: float) -> CascadePolicy:
        return CASCADE_POLICIES.get("adaptive")(
            quality_target=quality_target,
            clock=clock,
            random_generator=parts.base.generator,
        )

    return make


def rollout_share_reader(
    catalogue: CatalogueCache,
) -> Callable[[RatedAnswer], float]:
    """Return the function that ``RatingClient`` asks for the share of a version."""

    def rollout_share(answer: RatedAnswer) -> float:
        rollout = catalogue.current.rollouts.get((answer.team, answer.model))
        if rollout is None or rollout.to_version != answer.version:
            return 1.0
        # A roll-out that is planned or stopped has no share.
        return rollout.share or 1.0

    return rollout_share


def _rating_taker(
    traffic: TrafficCounters, versions: VersionPicker
) -> Callable[[RatedAnswer, float], None]:
    def take(answer: RatedAnswer, score: float) -> None:
        traffic.count_rating(answer.team, answer.model, answer.version, score)
        versions.observe(
            answer.team,
            answer.cascade,
            answer.kind,
            answer.model,
            score,
            answer.cost_microunits,
        )

    return take
