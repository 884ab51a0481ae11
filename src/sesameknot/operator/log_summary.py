"""Records of a summary of requests: results, retries and where time was spent."""

from dataclasses import dataclass, field
from enum import StrEnum


class Result(StrEnum):
    """How a request ended."""

    IN_TIME = "in time"
    LATE = "late"
    # Answered, but the lines lack the latency target or the time to the first event.
    UNTIMED = "untimed"
    REFUSED = "refused"
    FAILED = "failed"
    LEFT = "left"
    UNFINISHED = "unfinished"


ANSWERED_RESULTS = (Result.IN_TIME, Result.LATE, Result.UNTIMED)


@dataclass(slots=True)
class Tally:
    """Counters of one group of requests."""

    accepted_count: int = 0
    retry_count: int = 0
    result_counts: dict[Result, int] = field(
        default_factory=lambda: dict.fromkeys(Result, 0)
    )

    @property
    def ended_count(self) -> int:
        """Number of requests, accepted or not."""
        return sum(self.result_counts.values())

    def share(self, *results: Result) -> float:
        """Return the share of requests with one of these results."""
        count = sum(self.result_counts[result] for result in results)
        return count / max(1, self.ended_count)

    def record(self, result: Result, *, accepted: bool, retry_count: int) -> None:
        """Count one request."""
        self.accepted_count += accepted
        self.retry_count += retry_count
        self.result_counts[result] += 1

    def add(self, other: "Tally") -> None:
        """Add the counters of another group."""
        self.accepted_count += other.accepted_count
        self.retry_count += other.retry_count
        for result, count in other.result_counts.items():
            self.result_counts[result] += count


@dataclass(slots=True)
class StepTime:
    """Time that lost requests of one route and result spent in one step.

    Parameters
    ----------
    last_count : int
        Requests that were last seen in the step.
    last_s, last_max_s : float
        Sum and maximum of the time that these spent in it until their end.
    total_s : float
        Time that all lost requests spent in it.
    """

    last_count: int = 0
    last_s: float = 0.0
    last_max_s: float = 0.0
    total_s: float = 0.0


@dataclass(slots=True)
class EndReason:
    """Number and total duration of the requests that ended for one reason."""

    count: int = 0
    duration_s: float = 0.0


@dataclass(slots=True)
class SizeClass:
    """Requests of a route whose prompts are of similar size."""

    min_tokens: int
    max_tokens: int
    tally: Tally = field(default_factory=Tally)


@dataclass(slots=True, frozen=True)
class SizeGroup:
    """Part of a route's requests by prompt size, such as the largest tenth."""

    route: str
    label: str
    min_tokens: int
    max_tokens: int
    tally: Tally


@dataclass(slots=True)
class LogSummary:
    """Records of all requests in a set of logs.

    Parameters
    ----------
    by_route, by_customer, by_domain, by_priority : dict of str to Tally
        Counters by group.
    sizes : dict
        Counters by route and size class.
    steps : dict
        Time of lost requests by route, result and step.
    reasons : dict
        Ends of requests that were not answered, by route, result, status and reason.
    line_count, unreadable_count, unidentified_count : int
        Lines read; lines without a JSON object; lines of requests without identity.
    dropped_line_count : int
        Lines that front processes report as not written.
    handed_over_count : int
        Requests that another host handed over; they count at that host.
    orphan_count : int
        Ends without a line of acceptance.
    missing_fields : dict of str to int
        Lines of acceptance or end that lack a field, by its name.
    """

    by_route: dict[str, Tally] = field(default_factory=dict)
    by_customer: dict[str, Tally] = field(default_factory=dict)
    by_domain: dict[str, Tally] = field(default_factory=dict)
    by_priority: dict[str, Tally] = field(default_factory=dict)
    sizes: dict[tuple[str, int], SizeClass] = field(default_factory=dict)
    steps: dict[tuple[str, Result, str], StepTime] = field(default_factory=dict)
    reasons: dict[tuple[str, Result, int, str], EndReason] = field(default_factory=dict)
    line_count: int = 0
    unreadable_count: int = 0
    unidentified_count: int = 0
    dropped_line_count: int = 0
    handed_over_count: int = 0
    orphan_count: int = 0
    missing_fields: dict[str, int] = field(default_factory=dict)

    @property
    def total(self) -> Tally:
        """Counters of all requests."""
        total = Tally()
        for tally in self.by_route.values():
            total.add(tally)
        return total

    def size_groups(self) -> list[SizeGroup]:
        """Return each route's fifths by size, its largest tenth and the fifth below.

        Requests of the same size are never divided, so that groups may differ in
        number of requests or be absent.
        """
        groups = []
        for route in sorted({route for route, _ in self.sizes}):
            classes = [self.sizes[key] for key in sorted(self.sizes) if key[0] == route]
            for label, low, high in _SIZE_RANGES:
                group = _size_group(route, label, classes, low, high)
                if group is not None:
                    groups.append(group)
        return groups


_SIZE_RANGES = (
    ("smallest fifth", 0.0, 0.2),
    ("second fifth", 0.2, 0.4),
    ("third fifth", 0.4, 0.6),
    ("fourth fifth", 0.6, 0.8),
    ("largest fifth", 0.8, 1.0),
    ("fifth below largest tenth", 0.7, 0.9),
    ("largest tenth", 0.9, 1.0),
)


def _size_group(
    route: str, label: str, classes: list[SizeClass], low: float, high: float
) -> SizeGroup | None:
    total_count = sum(size_class.tally.ended_count for size_class in classes)
    tally, chosen, passed_count = Tally(), [], 0
    for size_class in classes:
        count = size_class.tally.ended_count
        middle = (passed_count + count / 2) / max(1, total_count)
        passed_count += count
        if low <= middle < high:
            chosen.append(size_class)
            tally.add(size_class.tally)
    if not chosen:
        return None
    return SizeGroup(route, label, chosen[0].min_tokens, chosen[-1].max_tokens, tally)
