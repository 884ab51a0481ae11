"""What one router knows about endpoints."""

import dataclasses
import itertools
import math
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from enum import StrEnum

from sesameknot.clock import Clock
from sesameknot.protocol.messages import EndpointReport


class EndpointState(StrEnum):
    """States of an endpoint; of two sightings at one time the later listed counts."""

    UNKNOWN = ""
    WARM = "warm"
    COLD = "cold"
    DOWN = "down"
    LEAVING = "leaving"


_BADNESS = {state: rank for rank, state in enumerate(EndpointState)}

# A first token this many times later than usual means a cold start ...
COLD_FACTOR = 4.0
# ... unless the difference could be noise of a quick endpoint.
COLD_MIN_EXCESS_S = 0.2
USUAL_MIN_COUNT = 5
USUAL_WEIGHT = 0.1


@dataclass(slots=True, frozen=True, kw_only=True)
class EndpointSpec:
    """An endpoint from the settings.

    Parameters
    ----------
    endpoint_id : str
        Unique name.
    url : str
        Base URL.
    domain : str
        Failure domain.
    service : str, default=""
        Plain service that it serves; empty for a model engine.
    models : tuple of str, default=()
        Models that it serves.
    capacity_count : int, default=16
        Concurrent requests when warm.
    cold_slot_count : int, default=2
        Concurrent requests in cold start.
    """

    endpoint_id: str
    url: str
    domain: str = ""
    service: str = ""
    models: tuple[str, ...] = ()
    capacity_count: int = 16
    cold_slot_count: int = 2


@dataclass(slots=True, frozen=True, kw_only=True)
class EndpointSummary:
    """Present knowledge about one endpoint; ages are infinite before any report."""

    spec: EndpointSpec
    state: EndpointState
    running_count: int
    queued_count: int
    versions: tuple[str, ...]
    report_age_s: float
    in_flight_count: int
    sent_since_report_count: int
    first_token_s: float


@dataclass(slots=True)
class _Entry:
    spec: EndpointSpec
    report: EndpointReport = field(default_factory=EndpointReport)
    report_s: float = -math.inf
    prefix_hashes: tuple[int, ...] = ()
    prefix_blocks: frozenset[int] = frozenset()
    prefix_digest: int = 0
    state: EndpointState = EndpointState.UNKNOWN
    state_s: float = -math.inf
    in_flight: dict[int, float] = field(default_factory=dict)
    first_token_s: float = 0.0
    first_token_count: int = 0


class EndpointTable:
    """Reports, requests in flight and inferred states of all endpoints.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.

    Attributes
    ----------
    generation : int
        Number of calls of :meth:`configure`.

    Notes
    -----
    The state with the latest time counts, whether it was reported or inferred. A
    report that is older than an inference therefore does not undo it.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._entries: dict[str, _Entry] = {}
        self._tokens = itertools.count(1)
        self.generation = 0

    def configure(self, specs: Iterable[EndpointSpec]) -> None:
        """Replace the set of endpoints; knowledge about kept ones stays."""
        entries: dict[str, _Entry] = {}
        for spec in specs:
            entry = self._entries.get(spec.endpoint_id)
            if entry is None or entry.spec.url != spec.url:
                entry = _Entry(spec)
            entry.spec = spec
            entries[spec.endpoint_id] = entry
        self._entries = entries
        self.generation += 1

    def ids(self) -> list[str]:
        """Return the ids of all endpoints."""
        return list(self._entries)

    def spec(self, endpoint_id: str) -> EndpointSpec | None:
        """Return the settings of an endpoint, or None if it is unknown."""
        entry = self._entries.get(endpoint_id)
        return entry.spec if entry else None

    def report(self, report: EndpointReport, *, as_of_s: float | None = None) -> bool:
        """Take a load report; return whether it is newer than the one held.

        Parameters
        ----------
        report : EndpointReport
            The report.
        as_of_s : float or None, default=None
            Monotonic time that the report describes; derived from its age if None.
        """
        entry = self._entries.get(report.endpoint_id)
        if entry is None:
            return False
        if as_of_s is None:
            as_of_s = self._clock.monotonic_s() - report.age_ms / 1000
        self._sight(entry, parse_state(report.state), as_of_s)
        if as_of_s <= entry.report_s:
            return False
        entry.report = report
        entry.report_s = as_of_s
        if report.prefix_hashes or not report.prefix_digest:
            entry.prefix_hashes = tuple(report.prefix_hashes)
            entry.prefix_blocks = frozenset(report.prefix_hashes)
            entry.prefix_digest = report.prefix_digest
        return True

    def observe(
        self,
        endpoint_id: str,
        state: str,
        *,
        running_count: int,
        queued_count: int,
        age_s: float = 0.0,
    ) -> None:
        """Take the load in the headers of an answer."""
        entry = self._entries.get(endpoint_id)
        if entry is None:
            return
        report = dataclasses.replace(
            entry.report,
            endpoint_id=endpoint_id,
            state=state,
            running_count=running_count,
            queued_count=queued_count,
            prefix_hashes=[],
            prefix_digest=entry.prefix_digest,
        )
        self.report(report, as_of_s=self._clock.monotonic_s() - age_s)

    def infer(self, endpoint_id: str, state: EndpointState) -> bool:
        """Set the state as of now; return whether it changed."""
        entry = self._entries.get(endpoint_id)
        if entry is None:
            return False
        before = entry.state
        self._sight(entry, state, self._clock.monotonic_s())
        return entry.state != before

    def _sight(self, entry: _Entry, state: EndpointState, as_of_s: float) -> None:
        if state == EndpointState.UNKNOWN or as_of_s < entry.state_s:
            return
        if as_of_s == entry.state_s and _BADNESS[state] < _BADNESS[entry.state]:
            return
        entry.state = state
        entry.state_s = as_of_s

    def state(self, endpoint_id: str) -> EndpointState:
        """Return the state that the latest report or inference gave."""
        entry = self._entries.get(endpoint_id)
        return entry.state if entry else EndpointState.UNKNOWN

    def state_age_s(self, endpoint_id: str) -> float:
        """Return the age of the evidence for the state."""
        entry = self._entries.get(endpoint_id)
        return self._clock.monotonic_s() - entry.state_s if entry else math.inf

    def started(self, endpoint_id: str) -> int:
        """Count a request as in flight and return the token that ends it."""
        token = next(self._tokens)
        entry = self._entries.get(endpoint_id)
        if entry is not None:
            entry.in_flight[token] = self._clock.monotonic_s()
        return token

    def finished(self, endpoint_id: str, token: int) -> None:
        """End a request that was in flight."""
        entry = self._entries.get(endpoint_id)
        if entry is not None:
            entry.in_flight.pop(token, None)

    def record_first_token(self, endpoint_id: str, duration_s: float) -> bool:
        """Take a time to the first token; return whether it shows a cold start.

        Notes
        -----
        Times of a cold endpoint, and times beside a reported queue, say nothing
        about what is usual and are ignored.
        """
        entry = self._entries.get(endpoint_id)
        if entry is None or entry.state != EndpointState.WARM:
            return False
        if entry.report.queued_count > 0:
            return False
        if entry.first_token_count >= USUAL_MIN_COUNT:
            excess_s = duration_s - entry.first_token_s
            if excess_s > max(
                COLD_MIN_EXCESS_S, (COLD_FACTOR - 1) * entry.first_token_s
            ):
                return True
        entry.first_token_count += 1
        weight = max(USUAL_WEIGHT, 1 / entry.first_token_count)
        entry.first_token_s += weight * (duration_s - entry.first_token_s)
        return False

    def prefix_digest(self, endpoint_id: str) -> int:
        """Return the digest of the prefix hashes held for an endpoint."""
        entry = self._entries.get(endpoint_id)
        return entry.prefix_digest if entry else 0

    def cached_block_count(self, endpoint_id: str, hashes: Sequence[int]) -> int:
        """Return how many leading blocks of a prompt the endpoint reported."""
        entry = self._entries.get(endpoint_id)
        if entry is None:
            return 0
        held = itertools.takewhile(entry.prefix_blocks.__contains__, hashes)
        return sum(1 for _ in held)

    def held_report(self, endpoint_id: str) -> EndpointReport:
        """Return a copy of the newest report, with the present state and age."""
        entry = self._entries.get(endpoint_id)
        if entry is None:
            return EndpointReport(endpoint_id=endpoint_id)
        age_s = self._clock.monotonic_s() - max(entry.report_s, entry.state_s)
        return dataclasses.replace(
            entry.report,
            endpoint_id=endpoint_id,
            state=entry.state.value,
            prefix_hashes=list(entry.prefix_hashes),
            prefix_digest=entry.prefix_digest,
            age_ms=int(min(max(age_s, 0.0), 3600.0) * 1000),
        )

    def summary(self, endpoint_id: str) -> EndpointSummary | None:
        """Return present knowledge about an endpoint, or None if it is unknown."""
        entry = self._entries.get(endpoint_id)
        if entry is None:
            return None
        sent_since = sum(s > entry.report_s for s in entry.in_flight.values())
        return EndpointSummary(
            spec=entry.spec,
            state=entry.state,
            running_count=entry.report.running_count,
            queued_count=entry.report.queued_count,
            versions=tuple(entry.report.versions),
            report_age_s=self._clock.monotonic_s() - entry.report_s,
            in_flight_count=len(entry.in_flight),
            sent_since_report_count=sent_since,
            first_token_s=entry.first_token_s,
        )


def parse_state(name: str) -> EndpointState:
    """Return the state called ``name``, or UNKNOWN."""
    try:
        return EndpointState(name)
    except ValueError:
        return EndpointState.UNKNOWN
