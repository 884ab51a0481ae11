"""Tables and plots of experiments."""

import csv
import dataclasses
import io
from collections.abc import Sequence
from pathlib import Path
from typing import Any

from sesameknot.errors import SettingsError

Outcome = Any


def table_rows(outcomes: Sequence[Outcome]) -> list[list[str]]:
    """Return a header and one row per outcome, a dataclass each.

    Parameters
    ----------
    outcomes : sequence of dataclass
        Outcomes of one class, at least one.
    """
    names = [field.name for field in dataclasses.fields(outcomes[0])]
    rows = [names]
    for outcome in outcomes:
        rows.append([_cell(getattr(outcome, name)) for name in names])
    return rows


def text_table(rows: Sequence[Sequence[str]]) -> str:
    """Return the rows as columns that are aligned to the right."""
    widths = [max(len(row[i]) for row in rows) for i in range(len(rows[0]))]
    lines = (
        "  ".join(cell.rjust(width) for cell, width in zip(row, widths, strict=True))
        for row in rows
    )
    return "\n".join(lines) + "\n"


def csv_table(rows: Sequence[Sequence[str]]) -> str:
    """Return the rows as comma-separated values."""
    buffer = io.StringIO()
    csv.writer(buffer, lineterminator="\n").writerows(rows)
    return buffer.getvalue()


def write_report(
    outcomes: Sequence[Outcome],
    directory: Path,
    name: str,
    *,
    label: str,
    values: Sequence[str],
) -> str:
    """Write the table as text and CSV and a bar chart; return the text.

    Parameters
    ----------
    outcomes : sequence of dataclass
        Outcomes of one class.
    directory : pathlib.Path
        Directory for the files; made if absent.
    name : str
        Name of the files without suffix.
    label : str
        Field that names an outcome.
    values : sequence of str
        Fields to plot, one panel each.

    Raises
    ------
    SettingsError
        If the files cannot be written.
    """
    rows = table_rows(outcomes)
    text = text_table(rows)
    try:
        directory.mkdir(parents=True, exist_ok=True)
        (directory / f"{name}.txt").write_text(text)
        (directory / f"{name}.csv").write_text(csv_table(rows))
        _plot(outcomes, directory / f"{name}.png", label=label, values=values)
    except OSError as error:
        raise SettingsError(str(error), step="report", peer=str(directory)) from error
    return text


def _plot(
    outcomes: Sequence[Outcome], path: Path, *, label: str, values: Sequence[str]
) -> None:
    # matplotlib is an optional dependency that only plots need.
    from matplotlib.figure import Figure

    names = [_bar_name(outcome, label) for outcome in outcomes]
    figure = Figure(figsize=(4.0 * len(values), 4.0), layout="constrained")
    axes = figure.subplots(1, len(values), squeeze=False)[0]
    for axis, value in zip(axes, values, strict=True):
        axis.bar(names, [getattr(outcome, value) for outcome in outcomes])
        axis.set_title(value)
        axis.tick_params(axis="x", rotation=75)
    figure.savefig(path)


def _bar_name(outcome: Outcome, label: str) -> str:
    load = getattr(outcome, "load", None)
    name = str(getattr(outcome, label))
    return name if load is None else f"{name} {load:g}"


def _cell(value: object) -> str:
    if isinstance(value, float):
        return f"{value:.4g}"
    if isinstance(value, tuple):
        return " ".join(_cell(part) for part in value)
    return str(value)
