"""Load reports, states and requests in flight of endpoints, as one router sees them."""

import dataclasses
import itertools
import math
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from enum import StrEnum

from sesameknot.clock import Clock
from sesameknot.protocol.messages import EndpointReport


class EndpointState(StrEnum):
    """States of an endpoint, in order of precedence.

    Of two states with the same time the one listed later counts.
    """

    UNKNOWN = ""
    WARM = "warm"
    COLD = "cold"
    DOWN = "down"
    LEAVING = "leaving"


_STATE_PRECEDENCE = {state: rank for rank, state in enumerate(EndpointState)}

# A time to the first token of more than this multiple of the mean shows a cold start.
COLD_START_FACTOR = 4.0
# Smaller differences from the mean can be noise if an endpoint answers quickly.
COLD_START_MIN_EXCESS_S = 0.2
MEAN_MIN_COUNT = 5
MEAN_MIN_WEIGHT = 0.1


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
    """Load and state of one endpoint; the age is infinite without a report."""

    spec: EndpointSpec
    state: EndpointState
    running_count: int
    queued_count: int
    versions: tuple[str, ...]
    report_age_s: float
    in_flight_count: int
    sent_since_report_count: int
    mean_first_token_s: float


@dataclass(slots=True)
class _Entry:
    spec: EndpointSpec
    report: EndpointReport = field(default_factory=EndpointReport)
    report_as_of_s: float = -math.inf
    prefix_hashes: tuple[int, ...] = ()
    prefix_hash_set: frozenset[int] = frozenset()
    prefix_digest: int = 0
    state: EndpointState = EndpointState.UNKNOWN
    state_as_of_s: float = -math.inf
    in_flight: dict[int, float] = field(default_factory=dict)
    mean_first_token_s: float = 0.0
    first_token_count: int = 0


class EndpointTable:
    """Load reports, states and requests in flight of all endpoints.

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
    report therefore does not replace a state that was inferred at a later time.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._entries: dict[str, _Entry] = {}
        self._in_flight_ids = itertools.count(1)
        self.generation = 0

    def configure(self, specs: Iterable[EndpointSpec]) -> None:
        """Replace the set of endpoints; one with the same id and URL keeps its data."""
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

    def record_report(
        self, report: EndpointReport, *, as_of_s: float | None = None
    ) -> bool:
        """Record a load report; return whether it is newer than the latest one.

        Parameters
        ----------
        report : EndpointReport
            The report.
        as_of_s : float or None, default=None
            Monotonic time that the report describes. If None, it is computed from the
            age in the report.
        """
        entry = self._entries.get(report.endpoint_id)
        if entry is None:
            return False
        if as_of_s is None:
            as_of_s = self._clock.monotonic_s() - report.age_ms / 1000
        self._update_state(entry, parse_state(report.state), as_of_s)
        if as_of_s <= entry.report_as_of_s:
            return False
        entry.report = report
        entry.report_as_of_s = as_of_s
        if report.prefix_hashes or not report.prefix_digest:
            entry.prefix_hashes = tuple(report.prefix_hashes)
            entry.prefix_hash_set = frozenset(report.prefix_hashes)
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
        """Record the load from the headers of an answer."""
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
        self.record_report(report, as_of_s=self._clock.monotonic_s() - age_s)

    def set_inferred_state(self, endpoint_id: str, state: EndpointState) -> bool:
        """Set a state inferred from a request or poll; return whether it changed."""
        entry = self._entries.get(endpoint_id)
        if entry is None:
            return False
        before = entry.state
        self._update_state(entry, state, self._clock.monotonic_s())
        return entry.state != before

    def _update_state(
        self, entry: _Entry, state: EndpointState, as_of_s: float
    ) -> None:
        if state == EndpointState.UNKNOWN or as_of_s < entry.state_as_of_s:
            return
        if (
            as_of_s == entry.state_as_of_s
            and _STATE_PRECEDENCE[state] < _STATE_PRECEDENCE[entry.state]
        ):
            return
        entry.state = state
        entry.state_as_of_s = as_of_s

    def state(self, endpoint_id: str) -> EndpointState:
        """Return the latest state that was reported or inferred."""
        entry = self._entries.get(endpoint_id)
        return entry.state if entry else EndpointState.UNKNOWN

    def state_age_s(self, endpoint_id: str) -> float:
        """Return the time since the state was last reported or inferred."""
        entry = self._entries.get(endpoint_id)
        return self._clock.monotonic_s() - entry.state_as_of_s if entry else math.inf

    def add_in_flight(self, endpoint_id: str) -> int:
        """Count a request as in flight; return the id for :meth:`remove_in_flight`."""
        in_flight_id = next(self._in_flight_ids)
        entry = self._entries.get(endpoint_id)
        if entry is not None:
            entry.in_flight[in_flight_id] = self._clock.monotonic_s()
        return in_flight_id

    def remove_in_flight(self, endpoint_id: str, in_flight_id: int) -> None:
        """Count a request as no longer in flight."""
        entry = self._entries.get(endpoint_id)
        if entry is not None:
            entry.in_flight.pop(in_flight_id, None)

    def record_first_token(self, endpoint_id: str, duration_s: float) -> bool:
        """Record a time to the first token; return whether it shows a cold start.

        Notes
        -----
        Only times at a warm endpoint without a reported queue count; others would
        distort the mean.
        """
        entry = self._entries.get(endpoint_id)
        if entry is None or entry.state != EndpointState.WARM:
            return False
        if entry.report.queued_count > 0:
            return False
        if entry.first_token_count >= MEAN_MIN_COUNT:
            excess_s = duration_s - entry.mean_first_token_s
            if excess_s > max(
                COLD_START_MIN_EXCESS_S,
                (COLD_START_FACTOR - 1) * entry.mean_first_token_s,
            ):
                return True
        entry.first_token_count += 1
        weight = max(MEAN_MIN_WEIGHT, 1 / entry.first_token_count)
        entry.mean_first_token_s += weight * (duration_s - entry.mean_first_token_s)
        return False

    def prefix_digest(self, endpoint_id: str) -> int:
        """Return the digest of the prefix hashes that an endpoint reported."""
        entry = self._entries.get(endpoint_id)
        return entry.prefix_digest if entry else 0

    def cached_block_count(self, endpoint_id: str, hashes: Sequence[int]) -> int:
        """Return how many leading blocks of a prompt the endpoint reports as cached."""
        entry = self._entries.get(endpoint_id)
        if entry is None:
            return 0
        cached = itertools.takewhile(entry.prefix_hash_set.__contains__, hashes)
        return sum(1 for _ in cached)

    def latest_report(self, endpoint_id: str) -> EndpointReport:
        """Return a copy of the latest report, with the present state and age."""
        entry = self._entries.get(endpoint_id)
        if entry is None:
            return EndpointReport(endpoint_id=endpoint_id)
        age_s = self._clock.monotonic_s() - max(
            entry.report_as_of_s, entry.state_as_of_s
        )
        return dataclasses.replace(
            entry.report,
            endpoint_id=endpoint_id,
            state=entry.state.value,
            prefix_hashes=list(entry.prefix_hashes),
            prefix_digest=entry.prefix_digest,
            age_ms=int(min(max(age_s, 0.0), 3600.0) * 1000),
        )

    def summary(self, endpoint_id: str) -> EndpointSummary | None:
        """Return load and state of an endpoint, or None if it is unknown."""
        entry = self._entries.get(endpoint_id)
        if entry is None:
            return None
        sent_count = sum(s > entry.report_as_of_s for s in entry.in_flight.values())
        return EndpointSummary(
            spec=entry.spec,
            state=entry.state,
            running_count=entry.report.running_count,
            queued_count=entry.report.queued_count,
            versions=tuple(entry.report.versions),
            report_age_s=self._clock.monotonic_s() - entry.report_as_of_s,
            in_flight_count=len(entry.in_flight),
            sent_since_report_count=sent_count,
            mean_first_token_s=entry.mean_first_token_s,
        )


def parse_state(name: str) -> EndpointState:
    """Return the state called ``name``, or UNKNOWN."""
    try:
        return EndpointState(name)
    except ValueError:
        return EndpointState.UNKNOWN
