"""Record of a run: what was sent, answered and run."""

import time
from pathlib import Path


class Record:
    """Lines of ``record.txt`` with the time since the start of the run."""

    def __init__(self, path: Path) -> None:
        self._started_s = time.monotonic()
        self._file = path.open("w")

    def since_start_s(self, at_s: float) -> float:
        """Return a monotonic time as seconds since the start."""
        return at_s - self._started_s

    def note(self, text: str, at_s: float | None = None) -> None:
        """Write a line; ``at_s`` is the monotonic time of the event, by default now."""
        moment_s = self.since_start_s(time.monotonic() if at_s is None else at_s)
        self._file.write(f"{moment_s:8.3f} s  {text}\n")
        self._file.flush()

    def close(self) -> None:
        """Close the file."""
        self._file.close()
