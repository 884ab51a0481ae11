"""Builds the request path of a router."""

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
    """Components of the request path that the router uses."""

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
    coordination: Coordination,
    stack: contextlib.AsyncExitStack,
    *,
    registry: Registry,
    in_flight: Callable[[], int],
) -> RequestPath:
    """Return the connected request path; ``stack`` closes its resources."""
    catalogue = CatalogueCache(
        coordination.base.object_store,
        host_id=settings.host_id,
        subset_count=settings.requests.endpoint_subset_count,
    )
    _subscribe_endpoint_table(coordination, catalogue)
    metrics = RouterMetrics(registry)
    traffic = TrafficCounters()
    session_pins = _build_session_pins(clock, coordination, catalogue)
    stack.push_async_callback(session_pins.close)
    version_picker = VersionPicker(
        catalogue=catalogue,
        new_policy=_cascade_policy_factory(clock, coordination),
        sessions=session_pins,
    )
    ratings = RatingClient(
        settings.rating_url,
        rating_share=settings.rating_share,
        rollout_share=rollout_share_reader(catalogue),
        generator=coordination.base.random_generator,
        on_rating=_rating_recorder(traffic, version_picker),
    )
    stack.callback(ratings.close)
    dependencies = _build_pipeline_dependencies(
        settings, clock, coordination, catalogue, traffic, metrics, in_flight
    )
    chat = ChatPipeline(
        dependencies,
        versions=version_picker,
        grants=coordination.grant_holder,
        ratings=ratings,
        metrics=metrics,
    )
    return RequestPath(
        catalogue=catalogue,
        traffic=traffic,
        ratings=ratings,
        crash_guard=coordination.base.crash_guard,
        metrics=metrics,
        picker=dependencies.picker,
        chat=chat,
        services=ServicePipeline(dependencies),
    )


def _build_pipeline_dependencies(
    settings: RouterSettings,
    clock: Clock,
    coordination: Coordination,
    catalogue: CatalogueCache,
    traffic: TrafficCounters,
    metrics: RouterMetrics,
    in_flight: Callable[[], int],
) -> PipelineDependencies:
    base = coordination.base
    admission_gate = AdmissionGate(
        catalogue=catalogue,
        admission=Admission(clock=clock, random_generator=base.random_generator),
        crash_guard=base.crash_guard,
        clock=clock,
        in_flight=in_flight,
        concurrent_limit_count=settings.requests.concurrent_limit_count,
    )
    picker = EndpointPicker(
        settings.host_id,
        catalogue=catalogue,
        table=base.endpoint_table,
        grants=coordination.grant_holder,
        new_choice=lambda load: ENDPOINT_CHOICES.get("adaptive")(
            random_generator=base.random_generator, load_model=load
        ),
        clock=clock,
    )
    attempt_rules = AttemptRules(
        picker=picker,
        client=base.endpoint_client,
        budget=RetryBudget(settings.requests.retry_ratio),
        crash_guard=base.crash_guard,
        announce_crashes=coordination.membership.announce,
        settings=settings.requests,
        clock=clock,
        metrics=metrics,
    )
    return PipelineDependencies(
        gate=admission_gate,
        idempotency_keys=IdempotencyKeys(coordination.claim_client),
        picker=picker,
        rules=attempt_rules,
        client=base.endpoint_client,
        billing=Billing(coordination.bill_writer, clock=clock),
        catalogue=catalogue,
        traffic=traffic,
        clock=clock,
    )


def _subscribe_endpoint_table(
    coordination: Coordination, catalogue: CatalogueCache
) -> None:
    def configure_endpoints(_: object) -> None:
        coordination.base.endpoint_table.configure(
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

    coordination.base.object_store.subscribe(SETTINGS_PREFIX, configure_endpoints)


def _build_session_pins(
    clock: Clock, coordination: Coordination, catalogue: CatalogueCache
) -> SessionPins:
    def is_withdrawn(pin: str) -> bool:
        team_and_model, _, version = pin.rpartition("/")
        team, _, model = team_and_model.partition(".")
        return catalogue.current.is_withdrawn(team, model, version)

    session_pins = SessionPins(
        coordination.claim_client, is_withdrawn=is_withdrawn, clock=clock
    )

    def release_pins(changed_objects: list) -> None:
        for stored in changed_objects:
            if not stored.deleted and stored.value.get("withdrawn"):
                withdrawal = stored.key.removeprefix(WITHDRAWALS_PREFIX)
                team_and_model, _, version = withdrawal.rpartition(".")
                session_pins.version_withdrawn(f"{team_and_model}/{version}")

    coordination.base.object_store.subscribe(WITHDRAWALS_PREFIX, release_pins)
    return session_pins


def _cascade_policy_factory(
    clock: Clock, coordination: Coordination
) -> Callable[[float], CascadePolicy]:
    def build_policy(quality_target: float) -> CascadePolicy:
        return CASCADE_POLICIES.get("adaptive")(
            quality_target=quality_target,
            clock=clock,
            random_generator=coordination.base.random_generator,
        )

    return build_policy


def rollout_share_reader(
    catalogue: CatalogueCache,
) -> Callable[[RatedAnswer], float]:
    """Return the function by which ``RatingClient`` gets the share of a version."""

    def rollout_share(answer: RatedAnswer) -> float:
        rollout = catalogue.current.rollouts.get((answer.team, answer.model))
        if rollout is None or rollout.to_version != answer.version:
            return 1.0
        # A planned or stopped roll-out has no share.
        return rollout.share or 1.0

    return rollout_share


def _rating_recorder(
    traffic: TrafficCounters, version_picker: VersionPicker
) -> Callable[[RatedAnswer, float], None]:
    def record_rating(answer: RatedAnswer, score: float) -> None:
        traffic.count_rating(answer.team, answer.model, answer.version, score)
        version_picker.observe(
            answer.team,
            answer.cascade,
            answer.kind,
            answer.model,
            score,
            answer.cost_microunits,
        )

    return record_rating
