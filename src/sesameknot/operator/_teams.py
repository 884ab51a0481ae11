"""Read teams' settings from the platform."""

from sesameknot.operator.context import OperatorContext
from sesameknot.operator.errors import RefusedError
from sesameknot.protocol.objects import SETTINGS_PREFIX
from sesameknot.protocol.rollout_object import settings_key
from sesameknot.settings.loader import convert
from sesameknot.settings.tree import ModelSettings, RolloutSettings, TeamSettings


async def read_teams(context: OperatorContext) -> list[TeamSettings]:
    """Return the settings of all teams."""
    batch = await context.platform.list(SETTINGS_PREFIX)
    return [
        convert(stored.value, TeamSettings, source=stored.key)
        for stored in batch.objects
        if not stored.deleted
    ]


async def read_team(context: OperatorContext, team: str) -> TeamSettings:
    """Return the settings of one team.

    Raises
    ------
    RefusedError
        If the team has no settings.
    """
    key = settings_key(team)
    stored = await context.platform.get(key)
    if stored is None:
        raise RefusedError(f"team {team!r} has no settings", step="read", peer=key)
    return convert(stored.value, TeamSettings, source=key)


def find_version(settings: TeamSettings, model: str, version: str) -> ModelSettings:
    """Return the model after checking that it has ``version``.

    Raises
    ------
    RefusedError
        If the team does not define them.
    """
    models = {entry.name: entry for entry in settings.models}
    if model not in models:
        raise _unknown("model", model, models)
    versions = [entry.name for entry in models[model].versions]
    if version not in versions:
        raise _unknown("version", version, versions)
    return models[model]


def find_rollout(settings: TeamSettings, name: str) -> RolloutSettings:
    """Return the planned roll-out called ``name``."""
    rollouts = {entry.name: entry for entry in settings.rollouts}
    if name not in rollouts:
        raise _unknown("roll-out", name, rollouts)
    return rollouts[name]


def _unknown(kind: str, given: str, expected: object) -> RefusedError:
    names = ", ".join(sorted(expected)) or "(none defined)"
    return RefusedError(f"unknown {kind} {given!r}, expected one of: {names}")
