"""Checks across the records of a team's subtree."""

from collections import Counter
from collections.abc import Iterable, Iterator

from sesameknot.errors import SettingsError
from sesameknot.settings.tree import ALL_VERSIONS, ModelSettings, TeamSettings


def check_team(settings: TeamSettings) -> list[SettingsError]:
    """Return every fault in the references of ``settings``."""
    return [
        *_duplicates(settings),
        *_models(settings),
        *_customers(settings),
        *_cascades(settings),
        *_endpoints(settings),
        *_rollouts(settings),
    ]


def _fault(path: str, given: object, expected: str) -> SettingsError:
    return SettingsError(f"got {given!r}, expected {expected}", step=path)


def _names(items: Iterable[str]) -> str:
    return "one of: " + (", ".join(sorted(items)) or "(none defined)")


def _duplicates(settings: TeamSettings) -> Iterator[SettingsError]:
    named = {
        "customers": [c.name for c in settings.customers],
        "customers.token_sha256": [c.token_sha256 for c in settings.customers],
        "models": [m.name for m in settings.models],
        "cascades": [c.name for c in settings.cascades],
        "services": [s.name for s in settings.services],
        "endpoints": [e.endpoint_id for e in settings.endpoints],
        "rollouts": [r.name for r in settings.rollouts],
    }
    for section, names in named.items():
        for name, count in Counter(names).items():
            if count > 1:
                yield _fault(f"$.{section}", name, "a value that is used once")


def _models(settings: TeamSettings) -> Iterator[SettingsError]:
    for index, model in enumerate(settings.models):
        versions = [version.name for version in model.versions]
        if model.stable_version not in versions:
            yield _fault(
                f"$.models[{index}].stable_version",
                model.stable_version,
                _names(versions),
            )


def _customers(settings: TeamSettings) -> Iterator[SettingsError]:
    models = {model.name: model for model in settings.models}
    cascades = {cascade.name: cascade for cascade in settings.cascades}
    services = {service.name for service in settings.services}
    for index, customer in enumerate(settings.customers):
        path = f"$.customers[{index}]"
        for position, allowance in enumerate(customer.allow):
            place = f"{path}.allow[{position}]"
            model = models.get(allowance.model)
            if model is None:
                yield _fault(f"{place}.model", allowance.model, _names(models))
                continue
            yield from _versions(model, allowance.versions, place)
        for service in customer.services:
            if service not in services:
                yield _fault(f"{path}.services", service, _names(services))
        if not customer.cascade:
            continue
        cascade = cascades.get(customer.cascade)
        if cascade is None:
            yield _fault(f"{path}.cascade", customer.cascade, _names(cascades))
            continue
        allowed = {allowance.model for allowance in customer.allow}
        for name in cascade.models:
            if name not in allowed:
                yield _fault(
                    f"{path}.cascade",
                    customer.cascade,
                    f"a cascade without model {name!r}, which {customer.name!r} "
                    "may not use",
                )


def _versions(
    model: ModelSettings, versions: list[str], place: str
) -> Iterator[SettingsError]:
    known = {version.name for version in model.versions} | {ALL_VERSIONS}
    for version in versions:
        if version not in known:
            yield _fault(f"{place}.versions", version, _names(known))


def _cascades(settings: TeamSettings) -> Iterator[SettingsError]:
    models = {model.name for model in settings.models}
    for index, cascade in enumerate(settings.cascades):
        for name in cascade.models:
            if name not in models:
                yield _fault(f"$.cascades[{index}].models", name, _names(models))


def _endpoints(settings: TeamSettings) -> Iterator[SettingsError]:
    models = {model.name for model in settings.models}
    services = {service.name for service in settings.services}
    for index, endpoint in enumerate(settings.endpoints):
        path = f"$.endpoints[{index}]"
        if bool(endpoint.service) == bool(endpoint.models):
            yield _fault(path, endpoint.endpoint_id, "either a service or models")
        if endpoint.service and endpoint.service not in services:
            yield _fault(f"{path}.service", endpoint.service, _names(services))
        for name in endpoint.models:
            if name not in models:
                yield _fault(f"{path}.models", name, _names(models))
        if endpoint.cold_slot_count > endpoint.capacity_count:
            yield _fault(
                f"{path}.cold_slot_count",
                endpoint.cold_slot_count,
                f"at most capacity_count, {endpoint.capacity_count}",
            )


def _rollouts(settings: TeamSettings) -> Iterator[SettingsError]:
    models = {model.name: model for model in settings.models}
    for index, rollout in enumerate(settings.rollouts):
        path = f"$.rollouts[{index}]"
        model = models.get(rollout.model)
        if model is None:
            yield _fault(f"{path}.model", rollout.model, _names(models))
            continue
        versions = [version.name for version in model.versions]
        if rollout.to_version not in versions:
            yield _fault(f"{path}.to_version", rollout.to_version, _names(versions))
        if rollout.to_version == model.stable_version:
            yield _fault(
                f"{path}.to_version", rollout.to_version, "not the stable version"
            )
        if rollout.step_shares != sorted(rollout.step_shares):
            yield _fault(f"{path}.step_shares", rollout.step_shares, "rising shares")
