"""Command that explains from collected logs why a request ended as it did."""

import json
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from sesameknot.operator._registry import command
from sesameknot.operator.context import OperatorContext
from sesameknot.operator.errors import UsageError
from sesameknot.operator.results import ExitCode, Report

FILE_LIMIT_COUNT = 500
# Fields that stand in front or need no repetition.
HIDDEN_FIELDS = frozenset({"event", "level", "timestamp", "request_id"})
NOT_RUN_STATUS = 503


@dataclass(slots=True, frozen=True)
class LogLine:
    """One log line; ``source`` names the host or file it comes from."""

    source: str
    fields: dict[str, Any]

    @property
    def event(self) -> str:
        """Name of the event."""
        return str(self.fields.get("event", ""))

    def text(self) -> str:
        """Return the line for an engineer."""
        parts = [
            f"{name}={value}"
            for name, value in self.fields.items()
            if name not in HIDDEN_FIELDS and value not in ("", None)
        ]
        when = self.fields.get("timestamp", "")
        return f"{when} {self.source} {self.event} {' '.join(parts)}"


def lines_of(request_id: str, texts: Iterable[tuple[str, str]]) -> list[LogLine]:
    """Return the lines of a request in order of time.

    Parameters
    ----------
    request_id : str
        Identity of the request.
    texts : iterable of (str, str)
        Source and text of log lines; what stands before the JSON names the source.
    """
    found = []
    for source, text in texts:
        start = text.find("{")
        if start < 0 or request_id not in text:
            continue
        try:
            fields = json.loads(text[start:])
        except ValueError:
            continue
        if isinstance(fields, dict) and fields.get("request_id") == request_id:
            prefix = text[:start].split()
            found.append(LogLine(prefix[-1] if prefix else source, fields))
    return sorted(found, key=lambda line: str(line.fields.get("timestamp", "")))


def conclusion(lines: list[LogLine]) -> str:
    """Return one sentence on how the request ended."""
    ends = [line for line in lines if line.event == "request_finished"]
    if not ends:
        return "No host logged its end: it still runs, or its host was killed."
    end = ends[-1].fields
    failures = [line.fields for line in lines if line.event == "attempt_failed"]
    tries = sum(line.event == "endpoint_picked" for line in lines)
    reason = end.get("reason") or "none"
    last = failures[-1] if failures else None
    cause = ""
    if last is not None:
        cause = (
            f" Last failed attempt: {last.get('endpoint')} at {last.get('step')}: "
            f"{last.get('reason')}."
        )
    sentences = {
        "answered": f"An endpoint answered with status {end.get('status')}.",
        "caller-left": "The caller closed the connection before the end.",
        "broken": f"The answer broke off: {reason}.",
        "fault": "A defect of ours ended it; see request_fault.",
        "ended": f"We ended it with {end.get('status')}: {reason}.",
    }
    text = sentences.get(str(end.get("outcome")), f"Outcome {end.get('outcome')}.")
    if end.get("outcome") == "ended" and end.get("status") == NOT_RUN_STATUS:
        text += " It has not run."
    return f"{text} Attempts: {tries}.{cause}"


@command(
    "explain",
    "REQUEST_ID LOG_FILE...",
    argument_counts=tuple(range(2, FILE_LIMIT_COUNT + 2)),
)
async def explain(context: OperatorContext, arguments: list[str]) -> Report:
    """Show the log lines of a request and what they say of its end."""
    request_id, *paths = arguments
    found = lines_of(request_id, _read(paths))
    if not found:
        return Report(
            lines=[f"error: no line of request {request_id} in {len(paths)} files"],
            exit_code=ExitCode.FAILED,
        )
    end = conclusion(found)
    return Report(
        lines=[*(line.text() for line in found), end],
        value={"lines": [line.fields for line in found], "conclusion": end},
    )


def _read(paths: list[str]) -> Iterator[tuple[str, str]]:
    for path in paths:
        try:
            with Path(path).open(encoding="utf-8", errors="replace") as file:
                for text in file:
                    yield path, text
        except OSError as error:
            raise UsageError(str(error), step=path) from error
