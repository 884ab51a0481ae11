"""Indexes over the settings and roll-outs that the request path looks up."""

import hashlib
from dataclasses import dataclass, field
from typing import Any

import structlog

from sesameknot.coordination.ownership import rendezvous_weight
from sesameknot.errors import RouterError
from sesameknot.protocol.objects import (
    DOMAINS_PREFIX,
    ROLLOUTS_PREFIX,
    SETTINGS_PREFIX,
    WITHDRAWALS_PREFIX,
    StoredObject,
)
from sesameknot.protocol.rollout_object import RolloutObject, rollout_from_value
from sesameknot.settings.loader import team_from_value
from sesameknot.settings.tree import (
    ALL_VERSIONS,
    CascadeSettings,
    CustomerSettings,
    EndpointSettings,
    ModelSettings,
    ServiceSettings,
    TeamSettings,
)
from sesameknot.state.object_store import ObjectStore

EVACUATED_STATE = "out"

log = structlog.get_logger(__name__)


@dataclass(slots=True, frozen=True)
class Customer:
    """A customer and the team whose settings define it."""

    team: str
    settings: CustomerSettings


@dataclass(slots=True, frozen=True)
class Service:
    """A plain service and the team whose settings define it."""

    team: str
    settings: ServiceSettings


@dataclass(slots=True)
class Catalogue:
    """Indexes over the last valid version of each object.

    Attributes
    ----------
    customers : dict of str to Customer
        By the SHA-256 digest of the bearer token.
    models, cascades, rollouts : dict
        By team and name; ``rollouts`` by team and model.
    services : dict of str to Service
        By name, over all teams.
    endpoints : dict of str to EndpointSettings
        By ``endpoint_id``.
    endpoint_ids_by_model : dict of tuple to list of str
        By team and model, limited to this host's subset.
    endpoint_ids_by_service : dict of str to list of str
        By service, limited to this host's subset.
    withdrawn_versions : set of str
        ``team.model.version`` of each withdrawn version.
    evacuated_domains : set of str
        Failure domains that operators have evacuated.
    """

    customers: dict[str, Customer] = field(default_factory=dict)
    models: dict[tuple[str, str], ModelSettings] = field(default_factory=dict)
    cascades: dict[tuple[str, str], CascadeSettings] = field(default_factory=dict)
    services: dict[str, Service] = field(default_factory=dict)
    endpoints: dict[str, EndpointSettings] = field(default_factory=dict)
    endpoint_ids_by_model: dict[tuple[str, str], list[str]] = field(
        default_factory=dict
    )
    endpoint_ids_by_service: dict[str, list[str]] = field(default_factory=dict)
    withdrawn_versions: set[str] = field(default_factory=set)
    evacuated_domains: set[str] = field(default_factory=set)
    rollouts: dict[tuple[str, str], RolloutObject] = field(default_factory=dict)

    def customer_by_token(self, token: str) -> Customer | None:
        """Return the customer that a bearer token belongs to, or None."""
        return self.customers.get(hashlib.sha256(token.encode()).hexdigest())

    def is_withdrawn(self, team: str, model: str, version: str) -> bool:
        """Return whether a version is withdrawn."""
        return f"{team}.{model}.{version}" in self.withdrawn_versions

    def usable_versions(self, customer: Customer, model: str) -> list[str]:
        """Return the versions of ``model`` that are allowed and not withdrawn."""
        settings = self.models.get((customer.team, model))
        if settings is None:
            return []
        permitted: set[str] = set()
        for allowance in customer.settings.allow:
            if allowance.model == model:
                permitted.update(allowance.versions)
        return [
            version.name
            for version in settings.versions
            if (ALL_VERSIONS in permitted or version.name in permitted)
            and not self.is_withdrawn(customer.team, model, version.name)
        ]

    def is_domain_evacuated(self, domain: str) -> bool:
        """Return whether operators have evacuated a failure domain."""
        return domain in self.evacuated_domains


class CatalogueCache:
    """Cache the catalogue and rebuild it after a change in the object store.

    Parameters
    ----------
    store : ObjectStore
        Source of objects; the cache subscribes to its changes.
    host_id : str, default=""
        This host; selects its subset of the endpoints, so that hosts differ.
    subset_count : int, default=24
        Maximum number of endpoints of one model or service that this host uses. In a
        large fleet it bounds the number of grants that a host renews.
    """

    def __init__(
        self, store: ObjectStore, *, host_id: str = "", subset_count: int = 24
    ) -> None:
        self.host_id = host_id
        self.subset_count = subset_count
        self._store = store
        self._teams: dict[str, TeamSettings] = {}
        self._current = Catalogue()
        self._stale = True
        for prefix in (
            SETTINGS_PREFIX,
            DOMAINS_PREFIX,
            WITHDRAWALS_PREFIX,
            ROLLOUTS_PREFIX,
        ):
            store.subscribe(prefix, self._on_change)

    @property
    def current(self) -> Catalogue:
        """The catalogue of the objects that the store has now."""
        if self._stale:
            self._current = self._build()
            self._stale = False
        return self._current

    def _limit_to_subset(self, endpoint_ids: dict[Any, list[str]]) -> None:
        """Reduce each list over ``subset_count`` to the subset of this host."""
        for group, ids in endpoint_ids.items():
            if len(ids) > self.subset_count:
                ids = sorted(
                    ids, key=lambda i: -rendezvous_weight("subset", i, self.host_id)
                )
                endpoint_ids[group] = ids[: self.subset_count]

    def _on_change(self, changed: list[StoredObject]) -> None:
        self._stale = True
        for stored in changed:
            if stored.key.startswith(SETTINGS_PREFIX):
                self._load_team(stored)

    def _load_team(self, stored: StoredObject) -> None:
        team = stored.key.removeprefix(SETTINGS_PREFIX)
        if stored.deleted:
            self._teams.pop(team, None)
            return
        try:
            self._teams[team] = team_from_value(stored.value, source=stored.key)
        except (RouterError, ExceptionGroup) as error:
            log.error(
                "settings_rejected",
                key=stored.key,
                version=stored.version,
                reason=str(error),
                in_force="previous" if team in self._teams else "none",
            )

    def _build(self) -> Catalogue:
        catalogue = Catalogue()
        for name in sorted(self._teams):
            _add_team(catalogue, self._teams[name])
        self._limit_to_subset(catalogue.endpoint_ids_by_model)
        self._limit_to_subset(catalogue.endpoint_ids_by_service)
        for stored in self._store.list(WITHDRAWALS_PREFIX):
            if _field_equals(stored, "withdrawn", True):
                catalogue.withdrawn_versions.add(
                    stored.key.removeprefix(WITHDRAWALS_PREFIX)
                )
        for stored in self._store.list(DOMAINS_PREFIX):
            if _field_equals(stored, "state", EVACUATED_STATE):
                catalogue.evacuated_domains.add(stored.key.removeprefix(DOMAINS_PREFIX))
        for stored in self._store.list(ROLLOUTS_PREFIX):
            _add_rollout(catalogue, stored)
        return catalogue


def _field_equals(stored: StoredObject, name: str, expected: object) -> bool:
    if stored.deleted or not isinstance(stored.value, dict):
        return False
    return stored.value.get(name) == expected


def _add_team(catalogue: Catalogue, team: TeamSettings) -> None:
    for customer in team.customers:
        catalogue.customers[customer.token_sha256] = Customer(team.team, customer)
    for model in team.models:
        catalogue.models[team.team, model.name] = model
    for cascade in team.cascades:
        catalogue.cascades[team.team, cascade.name] = cascade
    for service in team.services:
        catalogue.services[service.name] = Service(team.team, service)
    for endpoint in team.endpoints:
        catalogue.endpoints[endpoint.endpoint_id] = endpoint
        if endpoint.service:
            catalogue.endpoint_ids_by_service.setdefault(endpoint.service, []).append(
                endpoint.endpoint_id
            )
        for model_name in endpoint.models:
            catalogue.endpoint_ids_by_model.setdefault(
                (team.team, model_name), []
            ).append(endpoint.endpoint_id)


def _add_rollout(catalogue: Catalogue, stored: StoredObject) -> None:
    if stored.deleted:
        return
    try:
        rollout = rollout_from_value(stored.value, key=stored.key)
    except RouterError as error:
        log.error("rollout_rejected", key=stored.key, reason=str(error))
        return
    indexed = catalogue.rollouts.get((rollout.team, rollout.model))
    if indexed is None or indexed.updated_wall_ms <= rollout.updated_wall_ms:
        catalogue.rollouts[rollout.team, rollout.model] = rollout
