"""One request in the discrete-event fakes."""

from dataclasses import dataclass
from enum import StrEnum

from sesameknot.policy.endpoint_choice import RequestShape


class JobOutcome(StrEnum):
    """What became of a request."""

    OPEN = "open"
    ON_TIME = "on-time"
    LATE = "late"
    SHED = "shed"
    LOST = "lost"


@dataclass(slots=True)
class Job:
    """A request and its times."""

    index: int
    kind_index: int
    value: float
    session: int
    shape: RequestShape
    arrived_s: float
    deadline_s: float
    router_index: int
    attempt_count: int = 0
    endpoint_index: int = -1
    sent_s: float = 0.0
    first_token_s: float = 0.0
    finished_s: float = 0.0
    outcome: JobOutcome = JobOutcome.OPEN

    @property
    def first_token_wait_s(self) -> float:
        """Time from arrival to the first token."""
        return self.first_token_s - self.arrived_s

    @property
    def token_gap_s(self) -> float:
        """Mean time between tokens."""
        return (self.finished_s - self.first_token_s) / self.shape.output_tokens
