"""What the scheduler knows of a request, and what it decides."""

from dataclasses import dataclass
from enum import StrEnum


class Action(StrEnum):
    """What happens to a request that is offered."""

    RUN = "run"
    WAIT = "wait"
    REFUSE = "refuse"


class RefusalReason(StrEnum):
    """Why a request is refused."""

    LATE = "late"
    QUEUE_FULL = "queue-full"
    DISPLACED = "displaced"


@dataclass(slots=True, frozen=True, eq=False, kw_only=True)
class Entry:
    """A request that may have to wait.

    Parameters
    ----------
    priority : int
        Priority; 0 is the most urgent.
    customer : str
        Name of the customer; empty if there is none.
    work_s : float
        Estimated time for which the request occupies a slot.
    arrived_s : float
        Monotonic time of its arrival.
    latest_start_s : float
        Monotonic time after which it would miss its latency target.
    """

    priority: int
    customer: str
    work_s: float
    arrived_s: float
    latest_start_s: float


@dataclass(slots=True, frozen=True, kw_only=True)
class Decision:
    """Decision on a request.

    Parameters
    ----------
    action : Action
        What happens to it.
    reason : RefusalReason or None, default=None
        Why it is refused.
    retry_after_s : float, default=0.0
        Estimated time until the queue has room for it.
    displaced : tuple of Entry
        Waiting entries that are refused, as not all can be served in time.
    """

    action: Action
    reason: RefusalReason | None = None
    retry_after_s: float = 0.0
    displaced: tuple[Entry, ...] = ()
