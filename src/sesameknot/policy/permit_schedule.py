"""Schedule of the requests that endpoints with a limit on their rate may get."""

from dataclasses import dataclass

from sesameknot.clock import Clock

# Requests that were not sent may follow later: this time's worth of the rate, and one
# more, since endpoints with a low limit are not always asked for in time.
BURST_S = 0.5
# An endpoint that takes next to nothing gets a request now and then all the same, as
# only its answers show when its limit ends.
MIN_RATE_PER_S = 0.1
# A host that was denied a permit asks again after this time at the latest.
DENIED_WAIT_LIMIT_S = 2.0
DENIED_WAIT_MIN_S = 0.02
# Time after its last use for which the schedule of an endpoint is kept.
SCHEDULE_LIFE_S = 60.0


@dataclass(slots=True, frozen=True)
class Permit:
    """Answer to a request for a permit.

    Parameters
    ----------
    granted : bool
        Whether one request may be sent, after ``wait_s``.
    wait_s : float
        Time until the request may be sent, or until it is worth asking again.
    """

    granted: bool
    wait_s: float = 0.0


@dataclass(slots=True)
class _Schedule:
    """Next free time of an endpoint, and hosts that were told to ask again."""

    rate_per_s: float
    next_s: float
    denied_count: int = 0


class PermitSchedule:
    """Gives each request to a limited endpoint a time of its own.

    In any span of ``t`` seconds at most ``rate * (t + BURST_S) + 2`` requests are sent.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.
    """

    __slots__ = ("_clock", "_schedules")

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._schedules: dict[str, _Schedule] = {}

    def reserve(self, key: str, rate_per_s: float, *, max_wait_s: float) -> Permit:
        """Return a permit if the request's turn comes within ``max_wait_s``.

        Parameters
        ----------
        key : str
            Incarnation of the endpoint.
        rate_per_s : float
            Requests per second that the endpoint takes.
        max_wait_s : float
            Longest time that the request can wait.
        """
        now_s = self._clock.monotonic_s()
        rate_per_s = max(MIN_RATE_PER_S, rate_per_s)
        schedule = self._schedule(key, rate_per_s)
        interval_s = 1.0 / rate_per_s
        turn_s = max(schedule.next_s, now_s - BURST_S - interval_s)
        wait_s = max(0.0, turn_s - now_s)
        if wait_s > max_wait_s:
            return self._denied(schedule, wait_s)
        schedule.next_s = turn_s + interval_s
        schedule.denied_count = max(0, schedule.denied_count - 1)
        return Permit(granted=True, wait_s=wait_s)

    def _schedule(self, key: str, rate_per_s: float) -> _Schedule:
        schedule = self._schedules.get(key)
        now_s = self._clock.monotonic_s()
        if schedule is None:
            schedule = self._schedules[key] = _Schedule(rate_per_s, now_s)
        elif schedule.rate_per_s != rate_per_s:
            ahead_s = max(0.0, schedule.next_s - now_s)
            schedule.next_s = now_s + ahead_s * schedule.rate_per_s / rate_per_s
            schedule.rate_per_s = rate_per_s
        return schedule

    def _denied(self, schedule: _Schedule, wait_s: float) -> Permit:
        """Return when to ask again; hosts that were denied one are spread in time."""
        wait_s += schedule.denied_count / schedule.rate_per_s
        if wait_s > DENIED_WAIT_LIMIT_S:
            return Permit(granted=False, wait_s=DENIED_WAIT_LIMIT_S)
        schedule.denied_count += 1
        return Permit(granted=False, wait_s=max(DENIED_WAIT_MIN_S, wait_s))

    def expire(self) -> None:
        """Forget schedules that were not used for ``SCHEDULE_LIFE_S``."""
        oldest_s = self._clock.monotonic_s() - SCHEDULE_LIFE_S
        for key, schedule in list(self._schedules.items()):
            if schedule.next_s < oldest_s:
                del self._schedules[key]
