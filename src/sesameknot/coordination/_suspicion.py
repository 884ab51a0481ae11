"""Timers of hosts that are suspected or dead."""

from sesameknot.clock import Clock


class SuspicionTimers:
    """Tell which suspects are to be declared dead and which dead to be forgotten.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.
    heartbeat_s : float
        Interval at which :meth:`tick` is called.
    suspicion_s : float
        Time that a suspect has to refute.
    retention_s : float
        Time that a dead host is remembered.
    """

    __slots__ = (
        "_clock",
        "_dead_since",
        "_deadlines",
        "_last_tick_s",
        "heartbeat_s",
        "retention_s",
        "suspicion_s",
    )

    def __init__(
        self,
        clock: Clock,
        *,
        heartbeat_s: float,
        suspicion_s: float,
        retention_s: float,
    ) -> None:
        self._clock = clock
        self.heartbeat_s = heartbeat_s
        self.suspicion_s = suspicion_s
        self.retention_s = retention_s
        self._deadlines: dict[str, float] = {}
        self._dead_since: dict[str, float] = {}
        self._last_tick_s = clock.monotonic_s()

    def start(self, host_id: str) -> None:
        """Give ``host_id`` time to refute, unless its time runs already."""
        deadline_s = self._clock.monotonic_s() + self.suspicion_s
        self._deadlines.setdefault(host_id, deadline_s)

    def clear(self, host_id: str) -> None:
        """Stop the timers of ``host_id``."""
        self._deadlines.pop(host_id, None)
        self._dead_since.pop(host_id, None)

    def dead(self, host_id: str) -> None:
        """Start the retention time of the dead ``host_id``."""
        self._deadlines.pop(host_id, None)
        self._dead_since[host_id] = self._clock.monotonic_s()

    def tick(self) -> None:
        """Extend all deadlines if this process was paused since the last call.

        Suspects could not refute towards a paused process, so the time of the pause
        does not count against them.
        """
        now_s = self._clock.monotonic_s()
        late_s = now_s - self._last_tick_s - self.heartbeat_s
        self._last_tick_s = now_s
        if late_s > self.heartbeat_s:
            for host_id in self._deadlines:
                self._deadlines[host_id] += late_s

    def overdue(self) -> list[str]:
        """Return the hosts that did not refute in time."""
        now_s = self._clock.monotonic_s()
        return [host for host, at_s in self._deadlines.items() if at_s <= now_s]

    def take_forgettable(self) -> list[str]:
        """Return the hosts whose retention time has ended, and drop them."""
        limit_s = self._clock.monotonic_s() - self.retention_s
        ended = [host for host, at_s in self._dead_since.items() if at_s <= limit_s]
        for host_id in ended:
            del self._dead_since[host_id]
        return ended
