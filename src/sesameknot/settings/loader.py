"""Read settings from YAML text, files and platform objects."""

from pathlib import Path
from typing import Any, TypeVar

import msgspec
import yaml

from sesameknot.errors import SettingsError
from sesameknot.settings._check import check_team
from sesameknot.settings.tree import TeamSettings

T = TypeVar("T")

FILE_LIMIT_BYTES = 1_000_000


def convert(value: Any, settings_type: type[T], *, source: str) -> T:
    """Return ``value`` as a record of class ``settings_type``.

    Raises
    ------
    SettingsError
        If a value is wrong or unknown; the message holds the path and the value.
    """
    try:
        return msgspec.convert(value, settings_type)
    except msgspec.ValidationError as error:
        raise SettingsError(_with_value(str(error), value), step=source) from error


def load_file(path: Path, settings_type: type[T]) -> T:
    """Return the settings record in the YAML file at ``path``."""
    return convert(_parse(_read(path), str(path)), settings_type, source=str(path))


def team_from_value(value: Any, *, source: str) -> TeamSettings:
    """Return a checked team subtree.

    Raises
    ------
    SettingsError
        If a value is wrong.
    ExceptionGroup
        If several references are wrong; one ``SettingsError`` each.
    """
    settings = convert(value, TeamSettings, source=source)
    faults = check_team(settings)
    for fault in faults:
        fault.step = f"{source} {fault.step}"
    if faults:
        raise ExceptionGroup(f"{source}: {len(faults)} invalid settings", faults)
    return settings


def load_team(path: Path) -> TeamSettings:
    """Return the checked team subtree in the YAML file at ``path``."""
    return team_from_value(_parse(_read(path), str(path)), source=str(path))


def load_tree(directory: Path) -> list[TeamSettings]:
    """Return all team subtrees below ``directory``, one YAML file each.

    Raises
    ------
    ExceptionGroup
        If files are wrong, with the errors of all of them.
    """
    teams: list[TeamSettings] = []
    errors: list[Exception] = []
    for path in sorted(directory.glob("*.yaml")):
        try:
            teams.append(load_team(path))
        except (SettingsError, ExceptionGroup) as error:
            errors.append(error)
    if not teams and not errors:
        errors.append(SettingsError("no *.yaml file found", step=str(directory)))
    errors.extend(team_overlaps(teams))
    if errors:
        raise ExceptionGroup(f"{directory}: invalid settings tree", errors)
    return teams


def team_overlaps(teams: list[TeamSettings]) -> list[SettingsError]:
    """Return a fault for each name that two teams define."""
    owners: dict[tuple[str, str], str] = {}
    faults = []
    for team in teams:
        names = [("team", team.team)]
        names += [("customer", customer.name) for customer in team.customers]
        names += [("token", customer.token_sha256) for customer in team.customers]
        names += [("service", service.name) for service in team.services]
        names += [("endpoint", endpoint.endpoint_id) for endpoint in team.endpoints]
        for kind, name in names:
            owner = owners.setdefault((kind, name), team.team)
            if owner != team.team or (kind == "team" and teams.count(team) > 1):
                faults.append(
                    SettingsError(
                        f"{kind} {name!r} is defined by {owner!r} and {team.team!r}, "
                        "expected one team",
                        step=team.team,
                    )
                )
    return faults


def _read(path: Path) -> str:
    try:
        data = path.read_bytes()
    except OSError as error:
        raise SettingsError(str(error), step=str(path)) from error
    if len(data) > FILE_LIMIT_BYTES:
        raise SettingsError(
            f"{len(data)} bytes, expected at most {FILE_LIMIT_BYTES}", step=str(path)
        )
    try:
        return data.decode()
    except UnicodeDecodeError as error:
        raise SettingsError(f"not UTF-8: {error}", step=str(path)) from error


def _parse(text: str, source: str) -> Any:
    try:
        return yaml.safe_load(text)
    except yaml.YAMLError as error:
        raise SettingsError(
            f"not YAML: {' '.join(str(error).split())}", step=source
        ) from (error)


def _with_value(message: str, value: Any) -> str:
    _, _, path = message.partition(" - at `")
    found = value
    for part in path.rstrip("`").lstrip("$").replace("[", ".[").split("."):
        if not part:
            continue
        try:
            found = found[int(part[1:-1])] if part.startswith("[") else found[part]
        except (KeyError, IndexError, TypeError, ValueError):
            return message
    return f"{message}, got {found!r:.120}" if path else message
