"""Timers of suspected and dead hosts."""

from sesameknot.clock import Clock


class SuspicionTimers:
    """Suspicion timeouts of suspects and retention times of dead hosts.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.
    heartbeat_s : float
        Interval at which :meth:`tick` is called.
    suspicion_s : float
        Time within which a suspect has to refute the suspicion.
    retention_s : float
        Time for which the record of a dead host is kept.
    """

    __slots__ = (
        "_clock",
        "_dead_since_s",
        "_deadlines_s",
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
        self._deadlines_s: dict[str, float] = {}
        self._dead_since_s: dict[str, float] = {}
        self._last_tick_s = clock.monotonic_s()

    def start_suspicion(self, host_id: str) -> None:
        """Start the suspicion timeout of ``host_id`` unless it is already running."""
        deadline_s = self._clock.monotonic_s() + self.suspicion_s
        self._deadlines_s.setdefault(host_id, deadline_s)

    def clear(self, host_id: str) -> None:
        """Stop the timers of ``host_id``."""
        self._deadlines_s.pop(host_id, None)
        self._dead_since_s.pop(host_id, None)

    def start_retention(self, host_id: str) -> None:
        """Start the retention time of ``host_id``, which is dead."""
        self._deadlines_s.pop(host_id, None)
        self._dead_since_s[host_id] = self._clock.monotonic_s()

    def tick(self) -> None:
        """Extend all deadlines if this process was paused since the last call.

        A paused process receives no refutations, so the duration of the pause is not
        counted towards the suspicion timeout.
        """
        now_s = self._clock.monotonic_s()
        pause_s = now_s - self._last_tick_s - self.heartbeat_s
        self._last_tick_s = now_s
        if pause_s > self.heartbeat_s:
            for host_id in self._deadlines_s:
                self._deadlines_s[host_id] += pause_s

    def expired_suspects(self) -> list[str]:
        """Return the suspects whose suspicion timeout has expired."""
        now_s = self._clock.monotonic_s()
        return [host for host, at_s in self._deadlines_s.items() if at_s <= now_s]

    def pop_expired_dead(self) -> list[str]:
        """Remove and return the dead hosts whose retention time has expired."""
        cutoff_s = self._clock.monotonic_s() - self.retention_s
        expired = [
            host for host, at_s in self._dead_since_s.items() if at_s <= cutoff_s
        ]
        for host_id in expired:
            del self._dead_since_s[host_id]
        return expired
