"""Sound requests refused, and endpoints crashed, by the guard of crashing requests.

Hosts, endpoints in failure domains, callers and the exchange between hosts are
simulated in steps of virtual time; the guards are the product's own. In each run,
failure domains lose their endpoints at one moment, and callers may send requests that
crash each endpoint that begins to run them. The bounds are those of the users: no sound
request stays refused, and at most three runs of a crashing one come later than
``CONTACT_S`` after its third crash.
"""

import random
import statistics
from dataclasses import dataclass, field, replace

from benchmarks._figures import Figure, report
from sesameknot.clock import ManualClock
from sesameknot.policy.crash_guard import CrashGuard

HOST_COUNT = 6
DOMAIN_COUNT = 4
ENDPOINTS_PER_DOMAIN = 3
STEP_S = 0.01
EXCHANGE_INTERVAL_S = 0.4
MESSAGE_ENTRY_COUNT = 64
WORK_S = 0.3
# As recorded: 48 to 97 ms from the start of a run to the crash.
CRASH_DELAYS_S = (0.05, 0.1)
DOWN_S = 4.5
PAUSE_S = 0.05
CONTACT_S = 3.0
ATTEMPT_LIMIT_COUNT = 3
LIMIT_COUNT = 3
DOMAINS_CRASH_S = 0.2
END_S = 30.0
# Time in which all hosts have had three turns with a request in doubt. One is not
# enough for requests that come less than once in a turn at each host.
SETTLED_S = DOMAINS_CRASH_S + DOWN_S + 3 * HOST_COUNT * CrashGuard.TURN_S + 1.0
KEY_COUNT = 50
TURNED_DEADLY_S = 8.0
FIRST_DEADLY_KEY = 1000
RUNS_PER_CASE = 5


@dataclass(slots=True)
class Case:
    """One load.

    Parameters
    ----------
    domain_count : int
        Failure domains that crash at one moment, before any request was answered.
    in_flight_count : int
        Callers of sound requests; each has one in flight.
    hot_share : float
        Share of their requests that are one and the same; the others are uniform.
    deadly_count, deadly_callers_count : int
        Requests that crash endpoints, and callers of each.
    deadly_from_s : float
        Time from which they do; before, they are sound.
    """

    domain_count: int = 0
    in_flight_count: int = 50
    hot_share: float = 0.0
    deadly_count: int = 0
    deadly_callers_count: int = 4
    deadly_from_s: float = 0.0


@dataclass(slots=True)
class _Caller:
    host: int
    deadly_key: int | None
    key: int = 0
    attempt_count: int = 0
    endpoint: int | None = None
    began_s: float = 0.0
    due_s: float = 0.0


@dataclass(slots=True)
class Outcome:
    """Counts of one run.

    Parameters
    ----------
    refused_count, sent_count : int
        Sound requests after ``SETTLED_S`` that were refused, and all of them.
    crash_times_s : dict of int to list of float
        Times of the crashes by each deadly request.
    """

    refused_count: int = 0
    sent_count: int = 0
    crash_times_s: dict[int, list[float]] = field(default_factory=dict)

    @property
    def late_count(self) -> int:
        """Most crashes by one request after its third one and ``CONTACT_S``."""
        return max(
            (
                sum(at_s > times_s[2] + CONTACT_S for at_s in times_s)
                for times_s in self.crash_times_s.values()
                if len(times_s) > 2
            ),
            default=0,
        )

    @property
    def crash_count(self) -> float:
        """Mean number of endpoints crashed by a request that crashes them."""
        return statistics.fmean(map(len, self.crash_times_s.values() or [()]))


class World:
    """Hosts and endpoints of one run.

    Parameters
    ----------
    case : Case
        The load.
    by_count : bool
        Whether requests are refused by the number of their crashes alone, as before
        the sequential test.
    random_state : int
        Seed.
    """

    def __init__(self, case: Case, *, by_count: bool, random_state: int) -> None:
        self._case = case
        self._by_count = by_count
        self._random = random.Random(random_state)
        self._clock = ManualClock(0.0)
        self._guards = [
            CrashGuard(
                clock=self._clock,
                limit_count=LIMIT_COUNT,
                place=lambda key, host=host: ((host - key) % HOST_COUNT, HOST_COUNT),
            )
            for host in range(HOST_COUNT)
        ]
        self._up_at_s = [0.0] * (DOMAIN_COUNT * ENDPOINTS_PER_DOMAIN)
        self._starts = [0] * len(self._up_at_s)
        self.outcome = Outcome()
        self._callers = [
            _Caller(host=number % HOST_COUNT, deadly_key=None)
            for number in range(case.in_flight_count)
        ]
        for deadly in range(case.deadly_count):
            key = FIRST_DEADLY_KEY + deadly
            self.outcome.crash_times_s[key] = []
            for _ in range(case.deadly_callers_count):
                host = self._random.randrange(HOST_COUNT)
                due_s = 2.0 + self._random.random()
                self._callers.append(_Caller(host, key, due_s=due_s))

    def run(self) -> Outcome:
        """Play the case and return its counts."""
        next_exchange_s = 0.0
        domains_up = True
        while (now_s := self._clock.monotonic_s()) < END_S:
            if domains_up and now_s >= DOMAINS_CRASH_S:
                domains_up = False
                self._crash(*range(self._case.domain_count * ENDPOINTS_PER_DOMAIN))
            for caller in self._callers:
                if now_s >= caller.due_s:
                    self._act(caller, now_s)
            if now_s >= next_exchange_s:
                next_exchange_s = now_s + EXCHANGE_INTERVAL_S
                self._exchange()
            self._clock.advance(STEP_S)
        return self.outcome

    def _act(self, caller: _Caller, now_s: float) -> None:
        """End the run of a caller if there is one, or begin one."""
        endpoint, caller.endpoint = caller.endpoint, None
        if endpoint is None:
            if caller.deadly_key is not None:
                caller.key = caller.deadly_key
            elif self._random.random() < self._case.hot_share:
                caller.key = 0
            else:
                caller.key = 1 + self._random.randrange(KEY_COUNT)
            caller.attempt_count = 0
            self._send(caller, now_s)
        elif self._is_deadly(caller):
            self.outcome.crash_times_s[caller.key].append(now_s)
            caller.endpoint = endpoint
            self._crash(endpoint)
        else:
            if not self._by_count:
                guard = self._guards[caller.host]
                guard.record_answer(caller.key, began_s=caller.began_s)
            caller.due_s = now_s + STEP_S

    def _is_deadly(self, caller: _Caller) -> bool:
        is_deadly_now = caller.began_s >= self._case.deadly_from_s
        return caller.deadly_key is not None and is_deadly_now

    def _send(self, caller: _Caller, now_s: float) -> None:
        guard = self._guards[caller.host]
        up = [e for e, up_at_s in enumerate(self._up_at_s) if up_at_s <= now_s]
        caller.due_s = now_s + PAUSE_S
        if not up or caller.attempt_count >= ATTEMPT_LIMIT_COUNT:
            return
        if self._by_count:
            admitted = not guard.in_doubt(caller.key)
        else:
            admitted = guard.admits(caller.key)
        if caller.deadly_key is None and now_s > SETTLED_S:
            self.outcome.sent_count += 1
            self.outcome.refused_count += not admitted
        if not admitted:
            return
        caller.attempt_count += 1
        caller.endpoint = self._random.choice(up)
        caller.began_s = now_s
        delay_s = WORK_S
        if self._is_deadly(caller):
            delay_s = self._random.uniform(*CRASH_DELAYS_S)
        caller.due_s = now_s + delay_s

    def _crash(self, *endpoints: int) -> None:
        """Crash endpoints at one moment; callers with runs there try another one."""
        now_s = self._clock.monotonic_s()
        cut = [caller for caller in self._callers if caller.endpoint in endpoints]
        for endpoint in endpoints:
            self._starts[endpoint] += 1
            self._up_at_s[endpoint] = now_s + DOWN_S
        for caller in cut:
            name = f"e{caller.endpoint}.{self._starts[caller.endpoint]}"
            caller.endpoint = None
            self._guards[caller.host].record(
                caller.key, name, began_s=caller.began_s, ended_s=now_s
            )
        for caller in cut:
            self._send(caller, now_s)

    def _exchange(self) -> None:
        messages = [g.entries_to_share()[:MESSAGE_ENTRY_COUNT] for g in self._guards]
        for guard in self._guards:
            for message in messages:
                guard.merge(message)


def play(case: Case, *, by_count: bool = False) -> list[Outcome]:
    """Return the outcomes of a case with ``RUNS_PER_CASE`` seeds."""
    return [
        World(case, by_count=by_count, random_state=seed).run()
        for seed in range(RUNS_PER_CASE)
    ]


def cases() -> dict[str, Case]:
    """Return the cases by name."""
    found = {}
    for domain_count in (1, 2, 3, 4):
        for in_flight_count in (1, 20, 200):
            for hot_share in (0.0, 0.5, 1.0):
                name = f"domains{domain_count}_flight{in_flight_count}_hot{hot_share}"
                found[name] = Case(domain_count, in_flight_count, hot_share)
    for domain_count, deadly_count, callers_count in (
        (0, 1, 1),
        (0, 1, 4),
        (0, 1, 16),
        (0, 1, 100),
        (0, 3, 4),
        (1, 1, 4),
        (4, 1, 16),
    ):
        name = f"domains{domain_count}_deadly{deadly_count}_callers{callers_count}"
        case = Case(domain_count, 50, 0.5, deadly_count, callers_count)
        found[name] = case
        found[f"{name}_turned"] = replace(case, deadly_from_s=TURNED_DEADLY_S)
    return found


def main() -> bool:
    """Print the figures and return whether all are within their bounds."""
    figures = []
    for name, case in cases().items():
        before = play(case, by_count=True)
        after = play(case)
        figures += _figures(f"{name}_by_count", before, gated=False)
        figures += _figures(name, after, gated=True)
    return report(figures)


def _figures(name: str, outcomes: list[Outcome], *, gated: bool) -> list[Figure]:
    refused = sum(outcome.refused_count for outcome in outcomes)
    deadly = bool(outcomes[0].crash_times_s)
    sent = max(1, sum(outcome.sent_count for outcome in outcomes))
    found = [
        Figure(
            f"{name}_refused",
            refused / sent,
            "-",
            # Beside a request that crashes endpoints, a sound one may be at all of its
            # crashes, and nothing tells the two apart.
            at_most=0.0 if gated and not deadly else None,
        )
    ]
    if deadly:
        crashed = statistics.fmean(outcome.crash_count for outcome in outcomes)
        late = max(outcome.late_count for outcome in outcomes)
        found += [
            Figure(f"{name}_crashed", crashed, "endpoints"),
            Figure(f"{name}_late", late, "runs", at_most=3.0 if gated else None),
        ]
    return found
