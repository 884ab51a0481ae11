"""Checks of the references between the records of a team's settings."""

from collections import Counter
from collections.abc import Iterable, Iterator

from sesameknot.errors import SettingsError
from sesameknot.settings.tree import ALL_VERSIONS, ModelSettings, TeamSettings


def check_team(settings: TeamSettings) -> list[SettingsError]:
    """Return an error for each duplicate, dangling reference or contradiction."""
    return [
        *_check_duplicates(settings),
        *_check_models(settings),
        *_check_customers(settings),
        *_check_cascades(settings),
        *_check_endpoints(settings),
        *_check_rollouts(settings),
    ]


def _settings_error(path: str, value: object, expected: str) -> SettingsError:
    return SettingsError(f"got {value!r}, expected {expected}", step=path)


def _one_of(names: Iterable[str]) -> str:
    return "one of: " + (", ".join(sorted(names)) or "(none defined)")


def _check_duplicates(settings: TeamSettings) -> Iterator[SettingsError]:
    names_by_section = {
        "customers": [c.name for c in settings.customers],
        "customers.token_sha256": [c.token_sha256 for c in settings.customers],
        "models": [m.name for m in settings.models],
        "cascades": [c.name for c in settings.cascades],
        "services": [s.name for s in settings.services],
        "endpoints": [e.endpoint_id for e in settings.endpoints],
        "rollouts": [r.name for r in settings.rollouts],
    }
    for section, names in names_by_section.items():
        for name, count in Counter(names).items():
            if count > 1:
                yield _settings_error(f"$.{section}", name, "a unique value")


def _check_models(settings: TeamSettings) -> Iterator[SettingsError]:
    for index, model in enumerate(settings.models):
        versions = [version.name for version in model.versions]
        if model.stable_version not in versions:
            yield _settings_error(
                f"$.models[{index}].stable_version",
                model.stable_version,
                _one_of(versions),
            )


def _check_customers(settings: TeamSettings) -> Iterator[SettingsError]:
    models = {model.name: model for model in settings.models}
    cascades = {cascade.name: cascade for cascade in settings.cascades}
    services = {service.name for service in settings.services}
    for index, customer in enumerate(settings.customers):
        path = f"$.customers[{index}]"
        for allowance_index, allowance in enumerate(customer.allow):
            allowance_path = f"{path}.allow[{allowance_index}]"
            model = models.get(allowance.model)
            if model is None:
                yield _settings_error(
                    f"{allowance_path}.model", allowance.model, _one_of(models)
                )
                continue
            yield from _check_allowed_versions(
                model, allowance.versions, allowance_path
            )
        for service in customer.services:
            if service not in services:
                yield _settings_error(f"{path}.services", service, _one_of(services))
        if not customer.cascade:
            continue
        cascade = cascades.get(customer.cascade)
        if cascade is None:
            yield _settings_error(
                f"{path}.cascade", customer.cascade, _one_of(cascades)
            )
            continue
        allowed = {allowance.model for allowance in customer.allow}
        for name in cascade.models:
            if name not in allowed:
                yield _settings_error(
                    f"{path}.cascade",
                    customer.cascade,
                    f"a cascade without model {name!r}, which is not allowed "
                    f"for {customer.name!r}",
                )


def _check_allowed_versions(
    model: ModelSettings, versions: list[str], path: str
) -> Iterator[SettingsError]:
    allowed = {version.name for version in model.versions} | {ALL_VERSIONS}
    for version in versions:
        if version not in allowed:
            yield _settings_error(f"{path}.versions", version, _one_of(allowed))


def _check_cascades(settings: TeamSettings) -> Iterator[SettingsError]:
    models = {model.name for model in settings.models}
    for index, cascade in enumerate(settings.cascades):
        for name in cascade.models:
            if name not in models:
                yield _settings_error(
                    f"$.cascades[{index}].models", name, _one_of(models)
                )


def _check_endpoints(settings: TeamSettings) -> Iterator[SettingsError]:
    models = {model.name for model in settings.models}
    services = {service.name for service in settings.services}
    for index, endpoint in enumerate(settings.endpoints):
        path = f"$.endpoints[{index}]"
        if bool(endpoint.service) == bool(endpoint.models):
            yield _settings_error(
                path, endpoint.endpoint_id, "exactly one of service and models"
            )
        if endpoint.service and endpoint.service not in services:
            yield _settings_error(
                f"{path}.service", endpoint.service, _one_of(services)
            )
        for name in endpoint.models:
            if name not in models:
                yield _settings_error(f"{path}.models", name, _one_of(models))
        if endpoint.cold_slot_count > endpoint.capacity_count:
            yield _settings_error(
                f"{path}.cold_slot_count",
                endpoint.cold_slot_count,
                f"at most capacity_count, {endpoint.capacity_count}",
            )


def _check_rollouts(settings: TeamSettings) -> Iterator[SettingsError]:
    models = {model.name: model for model in settings.models}
    for index, rollout in enumerate(settings.rollouts):
        path = f"$.rollouts[{index}]"
        model = models.get(rollout.model)
        if model is None:
            yield _settings_error(f"{path}.model", rollout.model, _one_of(models))
            continue
        versions = [version.name for version in model.versions]
        if rollout.to_version not in versions:
            yield _settings_error(
                f"{path}.to_version", rollout.to_version, _one_of(versions)
            )
        if rollout.to_version == model.stable_version:
            yield _settings_error(
                f"{path}.to_version",
                rollout.to_version,
                "a version other than the stable one",
            )
        if rollout.step_shares != sorted(rollout.step_shares):
            yield _settings_error(
                f"{path}.step_shares", rollout.step_shares, "shares in ascending order"
            )
