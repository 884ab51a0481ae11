"""Which front hosts answer, as one host observes it."""

from collections.abc import Collection, Iterable
from dataclasses import dataclass

import structlog

from sesameknot.clock import Clock

# A host is lost once it has left so many calls unanswered, over at least this time. One
# that is only busy, or starts again, answers some of them.
LOST_CALL_COUNT = 3
LOST_AFTER_S = 2.0
# A host that sends nothing of itself for this time is called.
QUIET_LIMIT_S = 4.0
# Time between two calls that find out whether a silent host is lost.
SILENT_CHECK_INTERVAL_S = 0.5
# Time between two calls that find out whether a lost host has come back.
LOST_CHECK_INTERVAL_S = 3.0
# Bounds the calls that a host makes at once, however many hosts are lost.
CHECK_LIMIT_COUNT = 2

log = structlog.get_logger(__name__)


@dataclass(slots=True)
class _Observation:
    """What is known of one host; times are monotonic."""

    next_check_s: float
    silent_call_count: int = 0
    silent_since_s: float = 0.0
    lost: bool = False


class HostLiveness:
    """Record of the hosts that answer and of those that are lost.

    The store keeps the entry of a host that ended without removing it. Whoever chooses
    a host to do something goes by this record instead.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.
    """

    __slots__ = ("_clock", "_observations")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._observations: dict[str, _Observation] = {}

    def is_lost(self, host_id: str) -> bool:
        """Return whether a host has left calls unanswered for a while."""
        observation = self._observations.get(host_id)
        return observation is not None and observation.lost

    def is_silent(self, host_id: str) -> bool:
        """Return whether a host left the last call unanswered."""
        observation = self._observations.get(host_id)
        return observation is not None and observation.silent_call_count > 0

    def lost_s(self, host_id: str) -> float:
        """Return the time for which a host has been silent; 0 if it is not lost."""
        if not self.is_lost(host_id):
            return 0.0
        return self._clock.monotonic_s() - self._observations[host_id].silent_since_s

    @property
    def lost_ids(self) -> list[str]:
        """Hosts that are lost."""
        return [host_id for host_id, seen in self._observations.items() if seen.lost]

    def note_answer(self, host_id: str) -> None:
        """Record that a host answered or sent a message now."""
        now_s = self._clock.monotonic_s()
        if self.is_lost(host_id):
            log.info("host_returned", host=host_id, lost_s=round(self.lost_s(host_id)))
            # The others may have been silent for the same reason.
            for observation in self._observations.values():
                observation.next_check_s = min(observation.next_check_s, now_s)
        self._observations[host_id] = _Observation(now_s + QUIET_LIMIT_S)

    def note_silence(self, host_id: str) -> None:
        """Record that a host left a call unanswered."""
        now_s = self._clock.monotonic_s()
        observation = self._observations.setdefault(host_id, _Observation(now_s))
        if not observation.silent_call_count:
            observation.silent_since_s = now_s
        observation.silent_call_count += 1
        silent_s = now_s - observation.silent_since_s
        enough_calls = observation.silent_call_count >= LOST_CALL_COUNT
        if not observation.lost and enough_calls and silent_s >= LOST_AFTER_S:
            observation.lost = True
            log.info("host_lost", host=host_id, calls=observation.silent_call_count)
        observation.next_check_s = now_s + (
            LOST_CHECK_INTERVAL_S if observation.lost else SILENT_CHECK_INTERVAL_S
        )

    def due_checks(self, watched_ids: Iterable[str]) -> list[str]:
        """Return a few hosts to call now: lost ones, and quiet ones that are watched.

        Parameters
        ----------
        watched_ids : iterable of str
            Hosts that send messages to this one as long as they live.
        """
        now_s = self._clock.monotonic_s()
        candidates = {*watched_ids, *self.lost_ids}
        for host_id in candidates - self._observations.keys():
            self._observations[host_id] = _Observation(now_s + QUIET_LIMIT_S)
        due = [
            (seen.next_check_s, host_id)
            for host_id, seen in self._observations.items()
            if host_id in candidates and seen.next_check_s <= now_s
        ]
        due_ids = [host_id for _, host_id in sorted(due)[:CHECK_LIMIT_COUNT]]
        for host_id in due_ids:
            # The answer, or the lack of one, sets the time of the next call.
            self._observations[host_id].next_check_s = now_s + SILENT_CHECK_INTERVAL_S
        return due_ids

    def retain(self, host_ids: Collection[str]) -> None:
        """Drop what is known of all hosts but these."""
        for host_id in self._observations.keys() - set(host_ids):
            del self._observations[host_id]
