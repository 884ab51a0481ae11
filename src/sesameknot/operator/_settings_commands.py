"""Commands that check, compare and apply settings."""

from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec

from sesameknot.errors import ConflictError, PlatformError
from sesameknot.operator._changes import finish, write
from sesameknot.operator._configuration_command import (
    FILE_SUFFIX,
    check_front_configuration,
)
from sesameknot.operator._diff import differences
from sesameknot.operator._registry import command
from sesameknot.operator.context import OperatorContext
from sesameknot.operator.discovery import find_targets
from sesameknot.operator.errors import UsageError
from sesameknot.operator.results import Report
from sesameknot.protocol.objects import SETTINGS_PREFIX, StoredObject
from sesameknot.protocol.rollout_object import settings_key
from sesameknot.settings.loader import (
    convert,
    load_team,
    load_tree,
    team_overlaps,
)
from sesameknot.settings.tree import TeamSettings


@dataclass(slots=True, frozen=True, kw_only=True)
class TeamChange:
    """A team's settings in files and on the platform."""

    settings: TeamSettings
    present: StoredObject | None

    @property
    def key(self) -> str:
        """The object's key."""
        return settings_key(self.settings.team)

    @property
    def value(self) -> Any:
        """The new JSON value."""
        return msgspec.to_builtins(self.settings)

    @property
    def version(self) -> int:
        """The version that stands, 0 if there is none."""
        return self.present.version if self.present is not None else 0

    def lines(self) -> list[str]:
        """Return the differences, one line each."""
        old = self.present.value if self.present is not None else {}
        return differences(old, self.value)


@command("check", "DIR|FILE [--against=IP:PORT|FILE]", argument_counts=(1,))
async def check(context: OperatorContext, arguments: list[str]) -> Report:
    """Check settings files, or a front configuration in a JSON file."""
    path = Path(arguments[0])
    if path.suffix == FILE_SUFFIX:
        return await check_front_configuration(path, against=context.against)
    if context.against:
        raise UsageError(f"got {path}, expected a {FILE_SUFFIX} file", step="--against")
    teams = _load(path)
    names = [settings.team for settings in teams]
    return Report(lines=[f"{name}: valid" for name in names], value={"valid": names})


@command("diff", "DIR|FILE", argument_counts=(1,))
async def diff(context: OperatorContext, arguments: list[str]) -> Report:
    """Show what ``apply`` would change."""
    changes = await _changes(context, Path(arguments[0]))
    lines, value = [], {}
    for change in changes:
        found = change.lines()
        lines.append(f"{change.key} at version {change.version}: {len(found)} changes")
        lines.extend(f"  {line}" for line in found)
        value[change.settings.team] = {"version": change.version, "changes": found}
    return Report(lines=lines, value=value)


@command("apply", "DIR|FILE", argument_counts=(1,))
async def apply(context: OperatorContext, arguments: list[str]) -> Report:
    """Write each changed team's object and wait until it is in force.

    Raises
    ------
    ConflictError
        If another operator changed a team since it was read, or since the version
        given as its base.
    """
    changes = await _changes(context, Path(arguments[0]))
    for change in changes:
        _check_base(context, change)
    targets = await find_targets(
        context.platform, context.fleet.peer, context.fleet.addresses
    )
    results: list[tuple[StoredObject, bool]] = []
    errors: list[Exception] = []
    for change in changes:
        if change.present is not None and not change.lines():
            results.append((change.present, False))
            continue
        try:
            stored = await write(
                context, change.key, change.value, expected_version=change.version
            )
            results.append((stored, True))
        except ConflictError as error:
            errors.append(error)
        except PlatformError as error:
            # The other teams would wait for the same platform; they are left alone.
            errors.append(error)
            break
    report = await finish(context, targets, results)
    if errors:
        raise PartlyAppliedError(report, errors)
    return report


class PartlyAppliedError(ExceptionGroup):
    """Some teams were not written; ``report`` tells of those that were."""

    def __new__(cls, report: Report, errors: list[Exception]) -> "PartlyAppliedError":
        """Return the group with the report of what was written."""
        group = super().__new__(cls, f"{len(errors)} teams not written", errors)
        group.report = report
        return group

    def derive(self, errors: list[Exception]) -> "PartlyAppliedError":
        """Return a group of ``errors`` with the same report."""
        return PartlyAppliedError(self.report, errors)


def _load(path: Path) -> list[TeamSettings]:
    return load_tree(path) if path.is_dir() else [load_team(path)]


async def _changes(context: OperatorContext, path: Path) -> list[TeamChange]:
    teams = _load(path)
    batch = await context.platform.list(SETTINGS_PREFIX)
    present = {o.key: o for o in batch.objects if not o.deleted}
    changes = [
        TeamChange(settings=settings, present=present.get(settings_key(settings.team)))
        for settings in teams
    ]
    _check_overlaps(teams, present)
    return changes


def _check_overlaps(
    teams: list[TeamSettings], present: dict[str, StoredObject]
) -> None:
    changed = {settings_key(settings.team) for settings in teams}
    others = [
        convert(stored.value, TeamSettings, source=key)
        for key, stored in present.items()
        if key not in changed
    ]
    faults = team_overlaps([*teams, *others])
    if faults:
        raise ExceptionGroup("names that another team uses", faults)


def _check_base(context: OperatorContext, change: TeamChange) -> None:
    base = context.base_versions.get(change.settings.team)
    if base is None or base == change.version:
        return
    writer = change.present.write_id if change.present is not None else ""
    raise ConflictError(
        f"the files are based on version {base}, found version {change.version} "
        f"written by {writer!r}",
        version=change.version,
        step="apply",
        peer=change.key,
    )


def parse_base(items: list[str]) -> dict[str, int]:
    """Return base versions from ``TEAM=VERSION`` texts.

    Raises
    ------
    UsageError
        If an item has another form.
    """
    bases = {}
    for item in items:
        team, _, version = item.partition("=")
        if not team or not version.isdigit():
            raise UsageError(f"got {item!r}, expected TEAM=VERSION", step="--base")
        bases[team] = int(version)
    return bases
