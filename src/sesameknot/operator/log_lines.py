"""Log lines of front processes as collectors store them."""

from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec

from sesameknot.operator.errors import UsageError

# Fields that stand in front or need no repetition.
HIDDEN_FIELDS = frozenset({"event", "level", "timestamp", "request_id"})
# Longest line that is read; front processes write lines of a few hundred bytes.
LINE_LIMIT_BYTES = 64 * 1024

_decode = msgspec.json.Decoder().decode


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


def parse_line(source: str, text: str) -> LogLine | None:
    """Return a log line; None if it holds no JSON object.

    Parameters
    ----------
    source : str
        Source of the line, unless what stands before the JSON names one.
    text : str
        The line.
    """
    start = text.find("{")
    if start < 0:
        return None
    try:
        fields = _decode(text[start:])
    except (msgspec.DecodeError, UnicodeEncodeError, RecursionError):
        return None
    if not isinstance(fields, dict):
        return None
    # Times and numbers may stand beside the name.
    names = [word for word in text[:start].split() if word[0].isalpha()]
    return LogLine(names[-1].rstrip(":|") if names else source, fields)


def read_texts(paths: list[str]) -> Iterator[tuple[str, str]]:
    """Yield path and text of all lines, one at a time; long lines are cut.

    Raises
    ------
    UsageError
        If a file cannot be read.
    """
    for path in paths:
        try:
            with Path(path).open("rb") as file:
                complete = True
                while data := file.readline(LINE_LIMIT_BYTES):
                    if complete:
                        yield path, data.decode("utf-8", "replace")
                    complete = data.endswith(b"\n")
        except OSError as error:
            raise UsageError(str(error), step=path) from error


def source_of(path: str) -> str:
    """Return the source that a file's name stands for, the same for rotated files.

    ``logs/front-a.log.1`` stands for ``front-a``.
    """
    name = Path(path).name
    return name.partition(".log")[0] or name
