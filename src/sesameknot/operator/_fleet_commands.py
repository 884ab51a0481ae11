"""Commands that show the platform's objects and the routers."""

import dataclasses

from sesameknot.errors import PlatformError
from sesameknot.operator._registry import command
from sesameknot.operator._rollout_commands import read_rollouts, rollout_lines
from sesameknot.operator.context import OperatorContext
from sesameknot.operator.discovery import find_targets, read_members, read_roster
from sesameknot.operator.fleet import RouterAnswer
from sesameknot.operator.results import ExitCode, Report, table
from sesameknot.protocol.messages import MemberInfo
from sesameknot.protocol.objects import (
    DOMAINS_PREFIX,
    SETTINGS_PREFIX,
    WITHDRAWALS_PREFIX,
    StoredObject,
)
from sesameknot.protocol.rollout_object import is_withdrawn


@command("status", "")
async def status(context: OperatorContext, arguments: list[str]) -> Report:
    """Show settings, domains, withdrawals, roll-outs and routers.

    While the platform is down, the routers that the operator listed are shown.
    """
    try:
        report = await _platform_status(context)
        targets = await find_targets(
            context.platform, context.fleet.peer, context.fleet.addresses
        )
        addresses = targets.addresses
    except PlatformError as error:
        report = Report(
            lines=[f"error: {error}"],
            value={"errors": [str(error)]},
            exit_code=ExitCode.PLATFORM_UNAVAILABLE,
        )
        addresses = context.fleet.addresses
    answers = await context.fleet.statuses(addresses)
    return dataclasses.replace(
        report,
        lines=report.lines + _router_lines(answers),
        value={**report.value, "routers": [_router_value(a) for a in answers]},
    )


async def _platform_status(context: OperatorContext) -> Report:
    teams = await _read(context, SETTINGS_PREFIX)
    domains = await _read(context, DOMAINS_PREFIX)
    withdrawn = [
        stored
        for stored in await _read(context, WITHDRAWALS_PREFIX)
        if is_withdrawn(stored.value)
    ]
    rollouts = await read_rollouts(context)
    lines = [f"team {_name(o)}: version {o.version}, {o.write_id}" for o in teams]
    lines += [f"domain {_name(o)}: {o.value['state']}" for o in domains]
    lines += [f"withdrawn: {_name(o)}" for o in withdrawn]
    lines += rollout_lines(rollouts) if rollouts else []
    return Report(
        lines=lines,
        value={
            "teams": {_name(o): o.version for o in teams},
            "domains": {_name(o): o.value["state"] for o in domains},
            "withdrawn": [_name(o) for o in withdrawn],
            "rollouts": [rollout.to_value() for rollout in rollouts],
        },
    )


@command("members", "")
async def members(context: OperatorContext, arguments: list[str]) -> Report:
    """Show the roster and what the routers know of its members."""
    roster = await read_roster(context.platform)
    known = await read_members(context.fleet.peer, roster) if context.fleet.peer else {}
    in_roster = {m.host_id: m for m in roster.members}
    rows, value = [], []
    for host_id in sorted({*in_roster, *known}):
        info = known.get(host_id) or _from_roster(in_roster[host_id])
        rows.append(
            [
                host_id,
                info.region,
                info.domain,
                info.address,
                info.http_address or "-",
                info.state,
                "yes" if host_id in in_roster else "no",
            ]
        )
        value.append({**dataclasses.asdict(info), "in_roster": host_id in in_roster})
    header = ["HOST", "REGION", "DOMAIN", "PEER", "HTTP", "STATE", "IN ROSTER"]
    return Report(
        lines=[f"roster version {roster.version}", *table(header, rows)],
        value={"roster_version": roster.version, "members": value},
    )


async def _read(context: OperatorContext, prefix: str) -> list[StoredObject]:
    batch = await context.platform.list(prefix)
    present = [stored for stored in batch.objects if not stored.deleted]
    return sorted(present, key=lambda stored: stored.key)


def _name(stored: StoredObject) -> str:
    return stored.key.partition("/")[2]


def _router_lines(answers: list[RouterAnswer]) -> list[str]:
    rows = [
        [
            answer.address,
            answer.status.host_id,
            round(answer.status.config_age_ms),
            answer.status.verdict,
            "yes" if answer.status.draining else "no",
        ]
        for answer in answers
        if answer.status is not None
    ]
    lost = [f"{a.address}: no status, {a.error}" for a in answers if a.status is None]
    header = ["ROUTER", "HOST", "CONFIG AGE MS", "VERDICT", "DRAINING"]
    return (table(header, rows) if rows else []) + lost


def _router_value(answer: RouterAnswer) -> dict:
    if answer.status is None:
        return {"address": answer.address, "error": answer.error}
    return {"address": answer.address, **dataclasses.asdict(answer.status)}


def _from_roster(member: object) -> MemberInfo:
    return MemberInfo(
        host_id=member.host_id,
        address=member.address,
        region=member.region,
        domain=member.domain,
        incarnation=member.incarnation,
        state="unknown",
    )
