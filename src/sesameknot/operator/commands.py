"""The commands of ``sesameknotctl`` and how errors become reports."""

from collections.abc import Iterator

import sesameknot.operator._bill_commands
import sesameknot.operator._explain_command
import sesameknot.operator._fleet_commands
import sesameknot.operator._object_commands
import sesameknot.operator._rollout_commands
import sesameknot.operator._settings_commands
import sesameknot.operator._store_command  # noqa: F401 - fill the registry
from sesameknot.errors import (
    ConflictError,
    PlatformError,
    RouterError,
    SettingsError,
)
from sesameknot.operator._registry import COMMANDS, Command
from sesameknot.operator._settings_commands import PartlyAppliedError, parse_base
from sesameknot.operator.context import OperatorContext
from sesameknot.operator.errors import (
    OutcomeUnknownError,
    RefusedError,
    UsageError,
)
from sesameknot.operator.results import ExitCode, Report

__all__ = ["find_command", "parse_base", "run_command", "usage_lines"]

# The first matching class decides; subclasses come before their bases.
_EXIT_CODES: tuple[tuple[type[Exception], ExitCode], ...] = (
    (UsageError, ExitCode.USAGE),
    (RefusedError, ExitCode.REFUSED),
    (SettingsError, ExitCode.INVALID_SETTINGS),
    (ConflictError, ExitCode.CONFLICT),
    (OutcomeUnknownError, ExitCode.OUTCOME_UNKNOWN),
    (PlatformError, ExitCode.PLATFORM_UNAVAILABLE),
)


async def run_command(context: OperatorContext, words: list[str]) -> Report:
    """Run the command in ``words`` and return its report, also on errors."""
    try:
        found, arguments = find_command(words)
        return await found.function(context, arguments)
    except PartlyAppliedError as error:
        return _with_errors(error.report, error)
    except (RouterError, ExceptionGroup) as error:
        return _with_errors(Report(), error)


def find_command(words: list[str]) -> tuple[Command, list[str]]:
    """Return the command that ``words`` begin with and its arguments.

    Raises
    ------
    UsageError
        If there is no such command or the number of arguments is wrong.
    """
    for length in (2, 1):
        name = " ".join(words[:length])
        if len(words) >= length and name in set(COMMANDS):
            break
    else:
        raise UsageError(
            f"got {' '.join(words) or 'no command'!r}, expected one of: "
            + ", ".join(COMMANDS),
            step="usage",
        )
    found, arguments = COMMANDS.get(name), words[length:]
    if len(arguments) not in found.argument_counts:
        raise UsageError(
            f"got {len(arguments)} arguments, expected: {found.usage}", step="usage"
        )
    return found, arguments


def usage_lines() -> list[str]:
    """Return one usage line per command."""
    return [COMMANDS.get(name).usage for name in COMMANDS]


def _with_errors(report: Report, error: Exception) -> Report:
    leaves = list(_leaves(error))
    return Report(
        lines=[*report.lines, *(f"error: {leaf}" for leaf in leaves)],
        value={**report.value, "errors": [_error_value(e) for e in leaves]},
        exit_code=_exit_code(leaves),
    )


def _leaves(error: Exception) -> Iterator[Exception]:
    if isinstance(error, ExceptionGroup):
        for inner in error.exceptions:
            yield from _leaves(inner)
    else:
        yield error


def _error_value(error: Exception) -> dict[str, str]:
    return {
        "message": getattr(error, "message", str(error)),
        "step": getattr(error, "step", ""),
        "peer": getattr(error, "peer", ""),
        "type": type(error).__name__,
    }


def _exit_code(errors: list[Exception]) -> ExitCode:
    for kind, code in _EXIT_CODES:
        if any(isinstance(error, kind) for error in errors):
            return code
    return ExitCode.FAILED
