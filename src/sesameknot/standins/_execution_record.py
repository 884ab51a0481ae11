"""What an endpoint stand-in executed."""

import dataclasses
from dataclasses import dataclass, field
from typing import Any

from sesameknot.clock import Clock


@dataclass(slots=True, kw_only=True)
class Execution:
    """One executed request; times are on the stand-in's monotonic clock."""

    request_id: str
    key: str
    customer: str
    method: str
    path: str
    model: str = ""
    version: str = ""
    state: str = ""
    offset: int = 0
    start_s: float = 0.0
    end_s: float = 0.0
    outcome: str = "running"
    sent_whole: bool = False


@dataclass(slots=True)
class ExecutionRecord:
    """All executions and counts of one stand-in.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.
    """

    clock: Clock
    executions: list[Execution] = field(default_factory=list)
    arrived_count: int = 0
    refused_count: int = 0
    fall_count: int = 0
    largest_cold_count: int = 0
    connection_count: int = 0

    def begin(self, execution: Execution) -> Execution:
        """Add an execution that starts now."""
        execution.start_s = self.clock.monotonic_s()
        self.executions.append(execution)
        return execution

    def end(self, execution: Execution, outcome: str, *, sent_whole: bool) -> None:
        """Set the end of an execution; the first call counts."""
        if execution.outcome != "running":
            return
        execution.end_s = self.clock.monotonic_s()
        execution.outcome = outcome
        execution.sent_whole = sent_whole

    def to_value(self) -> dict[str, Any]:
        """Return the JSON value of the record."""
        return {
            "executions": [dataclasses.asdict(entry) for entry in self.executions],
            "arrived_count": self.arrived_count,
            "refused_count": self.refused_count,
            "fall_count": self.fall_count,
            "largest_cold_count": self.largest_cold_count,
            "connection_count": self.connection_count,
            "now_s": self.clock.monotonic_s(),
        }
