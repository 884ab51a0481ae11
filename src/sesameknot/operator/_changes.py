"""Conditional changes of objects and their spread."""

from collections.abc import Callable, Sequence
from typing import Any

from sesameknot.errors import ConflictError, PlatformError
from sesameknot.operator.context import OperatorContext
from sesameknot.operator.errors import OutcomeUnknownError, RefusedError
from sesameknot.operator.fleet import Targets
from sesameknot.operator.results import Report, WrittenObject, change_report
from sesameknot.protocol.objects import StoredObject

# A controller renews its lease while an operator changes the roll-out; each
# conflict means that it wrote in between.
RETRY_LIMIT_COUNT = 20


async def write(
    context: OperatorContext, key: str, value: Any, *, expected_version: int
) -> StoredObject:
    """Write one object and find out whether the write took effect.

    Raises
    ------
    ConflictError
        If another write stands.
    OutcomeUnknownError
        If neither the write nor the read-back was answered.
    """
    try:
        return await context.platform.put_with_read_back(
            key,
            value,
            expected_version=expected_version,
            write_id=context.write_id,
        )
    except ConflictError:
        raise
    except PlatformError as error:
        raise OutcomeUnknownError(
            f"{error.message}; the write may or may not have taken effect",
            step="write",
            peer=key,
        ) from error


async def set_value(
    context: OperatorContext, key: str, value: Any
) -> tuple[StoredObject, bool]:
    """Make ``value`` the object's value and return whether that was a change.

    Raises
    ------
    ConflictError
        If another operator wrote after this command read.
    """
    present = await context.platform.get(key)
    if present is not None and present.value == value:
        return present, False
    version = present.version if present is not None else 0
    return await write(context, key, value, expected_version=version), True


async def update(
    context: OperatorContext,
    key: str,
    change: Callable[[StoredObject | None], Any],
) -> StoredObject:
    """Write ``change(present)``, again after each conflict.

    Parameters
    ----------
    context : OperatorContext
        Connections.
    key : str
        Key of the object.
    change : callable
        Returns the new value; raises `RefusedError` if the present object does
        not allow the change.
    """
    for _ in range(RETRY_LIMIT_COUNT):
        present = await context.platform.get(key)
        value = change(present)
        version = present.version if present is not None else 0
        try:
            return await write(context, key, value, expected_version=version)
        except ConflictError:
            continue
    raise RefusedError(
        f"other writers changed it {RETRY_LIMIT_COUNT} times", step="update", peer=key
    )


async def finish(
    context: OperatorContext,
    targets: Targets,
    results: Sequence[tuple[StoredObject, bool]],
) -> Report:
    """Spread the objects and report how many routers hold them."""
    objects = [stored for stored, _ in results]
    in_force = await context.fleet.wait_in_force(
        targets, objects, wait_s=context.wait_s
    )
    written = [
        WrittenObject(key=stored.key, version=stored.version, changed=changed)
        for stored, changed in results
    ]
    return change_report(written, in_force)
