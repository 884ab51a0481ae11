"""Results of commands, as text lines and JSON, and their exit codes."""

import dataclasses
from dataclasses import dataclass, field
from enum import IntEnum
from typing import Any


class ExitCode(IntEnum):
    """Exit codes of the command line."""

    DONE = 0
    FAILED = 1
    USAGE = 2
    INVALID_SETTINGS = 3
    CONFLICT = 4
    PLATFORM_UNAVAILABLE = 5
    NOT_IN_FORCE = 6
    REFUSED = 7
    OUTCOME_UNKNOWN = 8
    WARNINGS = 9


@dataclass(slots=True, frozen=True, kw_only=True)
class WrittenObject:
    """An object that a command wrote, or found as wanted."""

    key: str
    version: int
    changed: bool = True


@dataclass(slots=True, frozen=True, kw_only=True)
class InForce:
    """How many of the live routers hold the written versions."""

    confirmed_count: int = 0
    host_count: int = 0
    missing: list[str] = field(default_factory=list)

    @property
    def complete(self) -> bool:
        """Whether no router is missing."""
        return not self.missing

    def lines(self) -> list[str]:
        """Return the text for operators."""
        text = f"in force on {self.confirmed_count} of {self.host_count} hosts"
        if self.missing:
            text += ", missing: " + ", ".join(self.missing)
        return [text]


@dataclass(slots=True, frozen=True, kw_only=True)
class Report:
    """Outcome of a command.

    Parameters
    ----------
    lines : list of str
        Text for operators.
    value : dict, default={}
        The same facts as a JSON object.
    exit_code : ExitCode, default=ExitCode.DONE
        Exit code of the process.
    """

    lines: list[str] = field(default_factory=list)
    value: dict[str, Any] = field(default_factory=dict)
    exit_code: ExitCode = ExitCode.DONE


def change_report(written: list[WrittenObject], in_force: InForce) -> Report:
    """Return the report of a command that wrote objects."""
    lines = [
        f"{item.key}: accepted at version {item.version}"
        if item.changed
        else f"{item.key}: unchanged at version {item.version}"
        for item in written
    ]
    return Report(
        lines=lines + in_force.lines(),
        value={
            "written": [dataclasses.asdict(item) for item in written],
            "in_force": dataclasses.asdict(in_force),
        },
        exit_code=ExitCode.DONE if in_force.complete else ExitCode.NOT_IN_FORCE,
    )


def table(header: list[str], rows: list[list[object]]) -> list[str]:
    """Return aligned text lines; numbers are aligned to the right."""
    cells = [header] + [[str(cell) for cell in row] for row in rows]
    widths = [max(len(row[i]) for row in cells) for i in range(len(header))]
    numeric = [
        bool(rows) and all(isinstance(row[i], int | float) for row in rows)
        for i in range(len(header))
    ]
    return [
        "  ".join(
            cell.rjust(width) if right else cell.ljust(width)
            for cell, width, right in zip(row, widths, numeric, strict=True)
        ).rstrip()
        for row in cells
    ]
