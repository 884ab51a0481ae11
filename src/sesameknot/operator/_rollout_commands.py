"""Commands that start, pause, resume and stop roll-outs."""

import dataclasses
from collections.abc import Callable
from typing import Any

from sesameknot.operator._changes import finish, set_value, update
from sesameknot.operator._registry import command
from sesameknot.operator._teams import find_rollout, find_version, read_team
from sesameknot.operator.context import OperatorContext
from sesameknot.operator.discovery import find_targets
from sesameknot.operator.errors import RefusedError
from sesameknot.operator.results import Report, table
from sesameknot.protocol.objects import ROLLOUTS_PREFIX, StoredObject
from sesameknot.protocol.rollout_object import (
    ACTIVE_STATES,
    RolloutObject,
    is_withdrawn,
    rollout_from_value,
    rollout_key,
    withdrawal_key,
)
from sesameknot.settings.tree import RolloutSettings, TeamSettings


@command("rollout start", "TEAM NAME", argument_counts=(2,))
async def start(context: OperatorContext, arguments: list[str]) -> Report:
    """Plan a roll-out; a controller begins its first step."""
    team, name = arguments
    settings = await read_team(context, team)
    plan = find_rollout(settings, name)
    await _check_not_withdrawn(context, team, plan)
    await _check_only_one(context, settings, plan)

    def change(present: StoredObject | None) -> Any:
        return _planned(context, settings, plan, present).to_value()

    return await _update(context, rollout_key(team, name), change)


@command("rollout pause", "TEAM NAME", argument_counts=(2,))
async def pause(context: OperatorContext, arguments: list[str]) -> Report:
    """Hold a roll-out at its present step."""
    return await _set_state(context, arguments, ("planned", "running"), "paused")


@command("rollout resume", "TEAM NAME", argument_counts=(2,))
async def resume(context: OperatorContext, arguments: list[str]) -> Report:
    """Continue a paused roll-out at its present step."""
    return await _set_state(context, arguments, ("paused",), "running")


@command("rollout stop", "TEAM NAME", argument_counts=(2,))
async def stop(context: OperatorContext, arguments: list[str]) -> Report:
    """Withdraw a roll-out's new version and mark the roll-out stopped.

    The withdrawal comes first: if this command dies in between, the controller
    finds the version withdrawn and marks the roll-out.
    """
    key = rollout_key(*arguments)
    present = _present(await context.platform.get(key), key)
    _check_state(present, (*ACTIVE_STATES, "complete", "stopped"))
    targets = await find_targets(
        context.platform, context.fleet.peer, context.fleet.addresses
    )
    withdrawal = await set_value(
        context,
        withdrawal_key(present.team, present.model, present.to_version),
        {"withdrawn": True},
    )

    def change(stored: StoredObject | None) -> Any:
        return _with_state(context, _present(stored, key), "stopped").to_value()

    return await finish(
        context, targets, [withdrawal, (await update(context, key, change), True)]
    )


@command("rollout status", "[TEAM NAME]", argument_counts=(0, 2))
async def status(context: OperatorContext, arguments: list[str]) -> Report:
    """List roll-outs with their step, state and holder."""
    rollouts = await read_rollouts(context)
    if arguments:
        rollouts = [r for r in rollouts if [r.team, r.name] == arguments]
        if not rollouts:
            raise RefusedError("no such roll-out", step="rollout status")
    return Report(
        lines=rollout_lines(rollouts),
        value={"rollouts": [r.to_value() for r in rollouts]},
    )


async def read_rollouts(context: OperatorContext) -> list[RolloutObject]:
    """Return all roll-outs."""
    batch = await context.platform.list(ROLLOUTS_PREFIX)
    return [
        rollout_from_value(stored.value, key=stored.key)
        for stored in sorted(batch.objects, key=lambda o: o.key)
        if not stored.deleted
    ]


def rollout_lines(rollouts: list[RolloutObject]) -> list[str]:
    """Return a table of roll-outs."""
    return table(
        [
            "TEAM",
            "NAME",
            "MODEL",
            "FROM",
            "TO",
            "STEP",
            "SHARE",
            "STATE",
            "HOLDER",
            "FENCE",
            "REASON",
        ],
        [
            [
                r.team,
                r.name,
                r.model,
                r.from_version,
                r.to_version,
                r.step,
                r.share,
                r.state,
                r.holder or "-",
                r.fence,
                r.reason or "-",
            ]
            for r in rollouts
        ],
    )


async def _check_not_withdrawn(
    context: OperatorContext, team: str, plan: RolloutSettings
) -> None:
    key = withdrawal_key(team, plan.model, plan.to_version)
    stored = await context.platform.get(key)
    if stored is not None and is_withdrawn(stored.value):
        raise RefusedError(
            f"version {plan.to_version!r} is withdrawn, restore it first",
            step="rollout start",
            peer=key,
        )


async def _check_only_one(
    context: OperatorContext, settings: TeamSettings, plan: RolloutSettings
) -> None:
    """Refuse a second roll-out of a model: routers apply only the newest one."""
    stable = {model.name: model.stable_version for model in settings.models}
    for other in await read_rollouts(context):
        if (other.team, other.model) != (settings.team, plan.model):
            continue
        if other.name == plan.name:
            continue
        if other.state in ACTIVE_STATES:
            raise RefusedError(f"model {plan.model!r} has a roll-out", peer=other.key)
        if other.state == "complete" and stable[plan.model] != other.to_version:
            raise RefusedError(
                f"make {other.to_version!r} the stable version of {plan.model!r} first",
                peer=other.key,
            )


def _planned(
    context: OperatorContext,
    settings: TeamSettings,
    plan: RolloutSettings,
    present: StoredObject | None,
) -> RolloutObject:
    fence = 0
    if present is not None:
        before = rollout_from_value(present.value, key=present.key)
        if before.state in ACTIVE_STATES:
            raise RefusedError(f"is {before.state} already", peer=present.key)
        # Engines keep the highest fence that they saw.
        fence = before.fence
    model = find_version(settings, plan.model, plan.to_version)
    return RolloutObject(
        team=settings.team,
        name=plan.name,
        model=plan.model,
        from_version=model.stable_version,
        to_version=plan.to_version,
        fence=fence,
        reason=f"started by {context.operator}",
        updated_wall_ms=context.clock.wall_ms(),
    )


async def _set_state(
    context: OperatorContext,
    arguments: list[str],
    expected: tuple[str, ...],
    state: str,
) -> Report:
    key = rollout_key(*arguments)

    def change(stored: StoredObject | None) -> Any:
        present = _present(stored, key)
        _check_state(present, expected)
        return _with_state(context, present, state).to_value()

    return await _update(context, key, change)


async def _update(
    context: OperatorContext, key: str, change: Callable[[StoredObject | None], Any]
) -> Report:
    targets = await find_targets(
        context.platform, context.fleet.peer, context.fleet.addresses
    )
    stored = await update(context, key, change)
    return await finish(context, targets, [(stored, True)])


def _present(stored: StoredObject | None, key: str) -> RolloutObject:
    if stored is None:
        raise RefusedError("no such roll-out", peer=key)
    return rollout_from_value(stored.value, key=key)


def _check_state(present: RolloutObject, expected: tuple[str, ...]) -> None:
    if present.state not in expected:
        raise RefusedError(
            f"is {present.state}, expected {' or '.join(expected)}", peer=present.key
        )


def _with_state(
    context: OperatorContext, present: RolloutObject, state: str
) -> RolloutObject:
    return dataclasses.replace(
        present,
        state=state,
        share=0.0 if state == "stopped" else present.share,
        reason=f"{state} by {context.operator}",
        updated_wall_ms=context.clock.wall_ms(),
    )
