"""Commands that withdraw versions and take failure domains out."""

from sesameknot.operator._changes import finish, set_value
from sesameknot.operator._registry import command
from sesameknot.operator._teams import find_version, read_team, read_teams
from sesameknot.operator.context import OperatorContext
from sesameknot.operator.discovery import find_targets, read_roster
from sesameknot.operator.errors import RefusedError, UsageError
from sesameknot.operator.results import Report
from sesameknot.protocol.rollout_object import domain_key, withdrawal_key


@command("withdraw", "TEAM MODEL VERSION", argument_counts=(3,))
async def withdraw(context: OperatorContext, arguments: list[str]) -> Report:
    """Withdraw a version, so that it receives no new work."""
    return await _set_withdrawn(context, arguments, withdrawn=True)


@command("restore", "TEAM MODEL VERSION", argument_counts=(3,))
async def restore(context: OperatorContext, arguments: list[str]) -> Report:
    """Let a withdrawn version receive work again."""
    return await _set_withdrawn(context, arguments, withdrawn=False)


@command("domain", "out|in NAME", argument_counts=(2,))
async def domain(context: OperatorContext, arguments: list[str]) -> Report:
    """Take a failure domain out of service or back in."""
    state, name = arguments
    if state not in ("in", "out"):
        raise UsageError(f"got {state!r}, expected out or in", step="domain")
    await _check_domain(context, name)
    return await _set(context, domain_key(name), {"state": state})


async def _set_withdrawn(
    context: OperatorContext, arguments: list[str], *, withdrawn: bool
) -> Report:
    team, model, version = arguments
    find_version(await read_team(context, team), model, version)
    key = withdrawal_key(team, model, version)
    return await _set(context, key, {"withdrawn": withdrawn})


async def _set(context: OperatorContext, key: str, value: dict) -> Report:
    # The roster is read first: an outage after the write must not stop the push.
    targets = await find_targets(
        context.platform, context.fleet.peer, context.fleet.addresses
    )
    return await finish(context, targets, [await set_value(context, key, value)])


async def _check_domain(context: OperatorContext, name: str) -> None:
    roster = await read_roster(context.platform)
    known = {member.domain for member in roster.members}
    for settings in await read_teams(context):
        known.update(endpoint.domain for endpoint in settings.endpoints)
    if name not in known:
        expected = ", ".join(sorted(known)) or "(none known)"
        raise RefusedError(
            f"unknown failure domain {name!r}, expected one of: {expected}",
            step="domain",
        )
