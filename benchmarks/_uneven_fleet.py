"""Simulated hosts that place streamed requests at endpoints of uneven speed."""

import heapq
import itertools
import random
import statistics
import time
from dataclasses import dataclass, field

from sesameknot.clock import ManualClock
from sesameknot.policy.endpoint_pace import EndpointPace, sum_paces
from sesameknot.policy.prompt_placement import (
    PLACEMENTS,
    PlacementCandidate,
    PlacementCosts,
    PlacementRequest,
    PromptCacheTracker,
)
from sesameknot.settings.front import PlacementSettings

HOST_COUNT = 90
ENDPOINT_COUNT = 70
DOMAIN_COUNT = 3
SLOT_COUNT = 12
UNEVEN_TIMES = (0.6, 1.0, 1.6)
REPORT_INTERVAL_S = 0.4
PACE_ROUND_COUNT = 6
SLOWDOWN_FACTOR = 2.5
SLOWDOWN_S = 0.6
SLOWDOWN_INTERVAL_S = 20.0
# Time per event in a full batch of a mean endpoint, and in an empty one.
EVENT_GAP_S = 0.15
EMPTY_BATCH_SHARE = 0.6
GAP_NOISE = 0.15
PREFILL_S_PER_TOKEN = 15e-6
CACHE_LIFE_S = 10.0
FIRST_EVENT_TARGET_S = 3.0
DEADLINE_S = 15.0
WARM_UP_S = 30.0
END_S = 70.0
SEED = 7
# Routes as (share of requests, shared tokens, own tokens, events).
ROUTES = ((0.49, 5382, 6610, 42), (0.51, 198, 628, 32))
SHARED_PROMPT_COUNT = 24
HOT_PROMPT_COUNT = 6
HOT_EMPTY_BATCH_SHARE = 0.4


@dataclass(slots=True)
class _Run:
    """A request at an endpoint."""

    host: int
    endpoint: int
    request: PlacementRequest
    event_count: int
    arrived_s: float
    load_share: float = 0.0
    first_event_s: float = 0.0
    gap_s: float = 0.0

    @property
    def token_count(self) -> int:
        """Number of tokens in the prompt."""
        return sum(tokens for _, tokens in self.request.prompt)


@dataclass(slots=True)
class _Endpoint:
    event_time: float
    slowdowns_s: list[float]
    running_count: int = 0
    queue: list[_Run] = field(default_factory=list)
    cached_s: dict[str, float] = field(default_factory=dict)

    def ends_s(self, now_s: float, work_s: float) -> float:
        """Return when work that takes ``work_s`` without slowdowns ends."""
        for start_s in self.slowdowns_s:
            end_s = start_s + SLOWDOWN_S
            if end_s <= now_s or start_s >= now_s + work_s:
                continue
            done_s = max(0.0, start_s - now_s)
            slow_work_s = (end_s - max(now_s, start_s)) / SLOWDOWN_FACTOR
            if work_s - done_s <= slow_work_s:
                return max(now_s, start_s) + (work_s - done_s) * SLOWDOWN_FACTOR
            now_s, work_s = end_s, work_s - done_s - slow_work_s
        return now_s + work_s


@dataclass(slots=True)
class Outcome:
    """What one run gave.

    Parameters
    ----------
    first_event_s, last_event_s : list of float
        Times from the arrival of requests to their first and last events.
    choices : list of int
        Endpoints chosen, in the order of the requests.
    decision_us : float
        Mean processor time of a decision.
    """

    first_event_s: list[float] = field(default_factory=list)
    last_event_s: list[float] = field(default_factory=list)
    choices: list[int] = field(default_factory=list)
    decision_us: float = 0.0

    @property
    def late_share(self) -> float:
        """Share of requests that miss the target or the deadline."""
        times = zip(self.first_event_s, self.last_event_s, strict=True)
        late = [f > FIRST_EVENT_TARGET_S or e > DEADLINE_S for f, e in times]
        return statistics.fmean(late)


class World:
    """Hosts and endpoints of one run.

    Parameters
    ----------
    event_times : tuple of float
        Time per event of the endpoints over the mean, in turn.
    utilisation : float
        Demand over what the endpoints can serve.
    learn : bool
        Whether hosts learn the pace of endpoints.
    by_load : bool, default=True
        Whether hosts know the load under which they observed a stream.
    hot : bool, default=False
        Whether there are few shared prompts, whose endpoints are fuller than others,
        and the load matters more.
    """

    def __init__(
        self,
        event_times: tuple[float, ...],
        utilisation: float,
        *,
        learn: bool,
        by_load: bool = True,
        hot: bool = False,
    ) -> None:
        self._learn = learn
        self._by_load = by_load
        self._prompt_count = HOT_PROMPT_COUNT if hot else SHARED_PROMPT_COUNT
        self._empty_share = HOT_EMPTY_BATCH_SHARE if hot else EMPTY_BATCH_SHARE
        self._clock = ManualClock(0.0)
        # Requests are the same in all runs, whatever the placement draws.
        self._random = random.Random(SEED)
        self._endpoints = [
            _Endpoint(
                # All speeds occur in each failure domain.
                event_times[number // DOMAIN_COUNT % len(event_times)],
                self._slowdowns() if number % 10 < 3 else [],
            )
            for number in range(ENDPOINT_COUNT)
        ]
        event_count = sum(share * events for share, _, _, events in ROUTES)
        speed = statistics.fmean(1.0 / e.event_time for e in self._endpoints)
        slots = SLOT_COUNT * ENDPOINT_COUNT
        self.rate_per_s = utilisation * slots * speed / (event_count * EVENT_GAP_S)
        self._paces = [EndpointPace(clock=self._clock) for _ in range(HOST_COUNT)]
        self._placements = [self._placement(host) for host in range(HOST_COUNT)]
        shape = [[0] * ENDPOINT_COUNT for _ in range(HOST_COUNT)]
        # Requests in flight and pending tokens, by host and endpoint: now and reported.
        self._in_flight = [list(row) for row in shape]
        self._tokens = [list(row) for row in shape]
        self._reported_in_flight = [list(row) for row in shape]
        self._reported_tokens = [list(row) for row in shape]
        self._total_in_flight = [0] * ENDPOINT_COUNT
        self._total_tokens = [0] * ENDPOINT_COUNT
        self.relative_times = [1.0] * ENDPOINT_COUNT
        self._events: list[tuple[float, int, str, _Run | None]] = []
        self._numbers = itertools.count()
        self.outcome = Outcome()

    def _slowdowns(self) -> list[float]:
        starts_s, now_s = [], 0.0
        while now_s < 2 * END_S:
            now_s += SLOWDOWN_S + self._random.expovariate(1.0 / SLOWDOWN_INTERVAL_S)
            starts_s.append(now_s)
        return starts_s

    def _placement(self, host: int):
        settings = PlacementSettings()
        costs = PlacementCosts(
            prefill_ms_per_token=settings.prefill_ms_per_token,
            request_load_ms=settings.request_load_ms,
            other_domain_ms=settings.other_domain_ms,
            failure_penalty_ms=settings.failure_penalty_ms,
            waiting_ms=settings.waiting_ms,
            other_model_ms=settings.other_model_ms,
        )
        cache = PromptCacheTracker(
            clock=self._clock,
            cache_life_s=settings.cache_life_s,
            incarnation_id=lambda endpoint_id: endpoint_id,
        )
        return PLACEMENTS.get(settings.strategy)(
            costs=costs, cache=cache, random_generator=random.Random(host)
        )

    def run(self) -> Outcome:
        """Play the day and return its outcome."""
        self._push(0.0, "arrive")
        self._push(REPORT_INTERVAL_S, "report")
        round_count = 0
        while self._events:
            at_s, _, kind, run = heapq.heappop(self._events)
            self._clock.advance(at_s - self._clock.monotonic_s())
            if kind == "arrive" and at_s < END_S:
                self._arrive(at_s)
                self._push(at_s + self._random.expovariate(self.rate_per_s), "arrive")
            elif kind == "report" and at_s < END_S:
                self._report()
                if self._learn and round_count % PACE_ROUND_COUNT == 0:
                    self._share_paces()
                round_count += 1
                self._push(at_s + REPORT_INTERVAL_S, "report")
            elif kind == "first_event":
                self._tokens[run.host][run.endpoint] -= run.token_count
            elif kind == "end":
                self._end(run, at_s)
        self.outcome.decision_us /= max(1, len(self.outcome.choices))
        return self.outcome

    def _push(self, at_s: float, kind: str, run: _Run | None = None) -> None:
        heapq.heappush(self._events, (at_s, next(self._numbers), kind, run))

    def _arrive(self, now_s: float) -> None:
        route = 0 if self._random.random() < ROUTES[0][0] else 1
        _, shared_tokens, own_tokens, event_count = ROUTES[route]
        shared = f"{route}/{self._random.randrange(self._prompt_count)}"
        own = f"own {self._random.random()}"
        request = PlacementRequest(
            model="m", prompt=((shared, shared_tokens), (own, own_tokens))
        )
        host = self._random.randrange(HOST_COUNT)
        began_s = time.thread_time()
        placement = self._placements[host]
        chosen = placement.choose(self._candidates(host), request)
        self.outcome.decision_us += (time.thread_time() - began_s) * 1e6
        placement.cache.record_prompt(chosen.endpoint_id, request)
        endpoint = int(chosen.endpoint_id)
        self.outcome.choices.append(endpoint)
        run = _Run(host, endpoint, request, event_count, now_s)
        self._in_flight[host][endpoint] += 1
        self._tokens[host][endpoint] += run.token_count
        self._endpoints[endpoint].queue.append(run)
        self._start(self._endpoints[endpoint], now_s)

    def _known_in_flight(self, host: int, endpoint: int) -> int:
        reported = self._reported_in_flight[host][endpoint]
        others = self._total_in_flight[endpoint] - reported
        return others + self._in_flight[host][endpoint]

    def _candidates(self, host: int) -> list[PlacementCandidate]:
        tokens, reported_tokens = self._tokens[host], self._reported_tokens[host]
        return [
            PlacementCandidate(
                endpoint_id=str(endpoint),
                same_domain=endpoint % DOMAIN_COUNT == host % DOMAIN_COUNT,
                in_flight_count=self._known_in_flight(host, endpoint),
                pending_tokens=self._total_tokens[endpoint]
                - reported_tokens[endpoint]
                + tokens[endpoint],
                slot_count=SLOT_COUNT,
                relative_event_time=self.relative_times[endpoint],
            )
            for endpoint in range(ENDPOINT_COUNT)
        ]

    def _start(self, endpoint: _Endpoint, now_s: float) -> None:
        while endpoint.queue and endpoint.running_count < SLOT_COUNT:
            run = endpoint.queue.pop(0)
            endpoint.running_count += 1
            batch = endpoint.running_count / SLOT_COUNT
            batch_factor = self._empty_share + (1.0 - self._empty_share) * batch
            noise = self._noise(run)
            run.gap_s = EVENT_GAP_S * endpoint.event_time * batch_factor * noise
            (shared, shared_tokens), (_, own_tokens) = run.request.prompt
            cached = now_s - endpoint.cached_s.get(shared, -1e9) < CACHE_LIFE_S
            endpoint.cached_s[shared] = now_s
            tokens = own_tokens + (0 if cached else shared_tokens)
            prefill_s = tokens * PREFILL_S_PER_TOKEN * endpoint.event_time
            run.first_event_s = endpoint.ends_s(now_s, prefill_s + run.gap_s)
            run.load_share = self._load_share(run)
            self._push(run.first_event_s, "first_event", run)
            work_s = run.gap_s * (run.event_count - 1)
            self._push(endpoint.ends_s(run.first_event_s, work_s), "end", run)

    def _noise(self, run: _Run) -> float:
        """Return a factor that does not depend on the placement."""
        generator = random.Random(run.request.prompt[-1][0])
        return generator.lognormvariate(0.0, GAP_NOISE)

    def _load_share(self, run: _Run) -> float:
        if not self._by_load:
            return 0.0
        return min(1.0, self._known_in_flight(run.host, run.endpoint) / SLOT_COUNT)

    def _end(self, run: _Run, now_s: float) -> None:
        endpoint = self._endpoints[run.endpoint]
        if self._learn:
            self._paces[run.host].observe(
                "service",
                "m",
                str(run.endpoint),
                gap_s=(now_s - run.first_event_s) / (run.event_count - 1),
                load_share=(run.load_share + self._load_share(run)) / 2.0,
            )
        self._in_flight[run.host][run.endpoint] -= 1
        endpoint.running_count -= 1
        self._start(endpoint, now_s)
        if run.arrived_s >= WARM_UP_S:
            self.outcome.first_event_s.append(run.first_event_s - run.arrived_s)
            self.outcome.last_event_s.append(now_s - run.arrived_s)

    def _report(self) -> None:
        self._reported_in_flight = [list(row) for row in self._in_flight]
        self._reported_tokens = [list(row) for row in self._tokens]
        self._total_in_flight = [sum(c) for c in zip(*self._in_flight, strict=True)]
        self._total_tokens = [sum(c) for c in zip(*self._tokens, strict=True)]

    def _share_paces(self) -> None:
        totals = sum_paces((pace.own(), 1.0) for pace in self._paces)
        names = [str(number) for number in range(ENDPOINT_COUNT)]
        for pace in self._paces:
            uneven = pace.set_totals(totals, {"service": names})
        self.relative_times = [uneven.get(name, 1.0) for name in names]
