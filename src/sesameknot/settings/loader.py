"""Load and validate settings from YAML files and platform objects."""

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
        If a value is invalid or a key unknown; the message has the path and the
        value.
    """
    try:
        return msgspec.convert(value, settings_type)
    except msgspec.ValidationError as error:
        raise SettingsError(_with_value(str(error), value), step=source) from error


def load_file(path: Path, settings_type: type[T]) -> T:
    """Return the settings record in the YAML file at ``path``."""
    return convert(
        _parse_yaml(_read_file(path), str(path)), settings_type, source=str(path)
    )


def team_from_value(value: Any, *, source: str) -> TeamSettings:
    """Return the validated settings of a team.

    Raises
    ------
    SettingsError
        If a value is invalid.
    ExceptionGroup
        If references are invalid; it has one ``SettingsError`` for each.
    """
    settings = convert(value, TeamSettings, source=source)
    errors = check_team(settings)
    for error in errors:
        error.step = f"{source} {error.step}"
    if errors:
        raise ExceptionGroup(f"{source}: {len(errors)} invalid settings", errors)
    return settings


def load_team(path: Path) -> TeamSettings:
    """Return the validated settings of a team in the YAML file at ``path``."""
    return team_from_value(_parse_yaml(_read_file(path), str(path)), source=str(path))


def load_tree(directory: Path) -> list[TeamSettings]:
    """Return the settings of all teams in ``directory``, one YAML file each.

    Raises
    ------
    ExceptionGroup
        If files are invalid; it has the errors of all files.
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
    """Return an error for each name or token that more than one team defines."""
    team_by_name: dict[tuple[str, str], str] = {}
    errors = []
    for team in teams:
        names = [("team", team.team)]
        names += [("customer", customer.name) for customer in team.customers]
        names += [("token", customer.token_sha256) for customer in team.customers]
        names += [("service", service.name) for service in team.services]
        names += [("endpoint", endpoint.endpoint_id) for endpoint in team.endpoints]
        for kind, name in names:
            first_team = team_by_name.setdefault((kind, name), team.team)
            if first_team != team.team or (kind == "team" and teams.count(team) > 1):
                errors.append(
                    SettingsError(
                        f"{kind} {name!r} is defined by {first_team!r} and "
                        f"{team.team!r}, expected one team",
                        step=team.team,
                    )
                )
    return errors


def _read_file(path: Path) -> str:
    try:
        data = path.read_bytes()
    except OSError as error:
        raise SettingsError(str(error), step=str(path)) from error
    if len(data) > FILE_LIMIT_BYTES:
        raise SettingsError(
            f"file of {len(data)} bytes, expected at most {FILE_LIMIT_BYTES}",
            step=str(path),
        )
    try:
        return data.decode()
    except UnicodeDecodeError as error:
        raise SettingsError(f"invalid UTF-8: {error}", step=str(path)) from error


def _parse_yaml(text: str, source: str) -> Any:
    try:
        return yaml.safe_load(text)
    except yaml.YAMLError as error:
        raise SettingsError(
            f"invalid YAML: {' '.join(str(error).split())}", step=source
        ) from (error)


def _with_value(message: str, value: Any) -> str:
    _, _, path = message.partition(" - at `")
    given = value
    for part in path.rstrip("`").lstrip("$").replace("[", ".[").split("."):
        if not part:
            continue
        try:
            given = given[int(part[1:-1])] if part.startswith("[") else given[part]
        except (KeyError, IndexError, TypeError, ValueError):
            return message
    return f"{message}, got {given!r:.120}" if path else message
