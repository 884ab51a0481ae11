"""When endpoints were last known to be down, whichever host found it out."""

from sesameknot.clock import Clock

# Hosts find out about one outage at different moments, and their messages take time.
# Only what is later by more than this is news, so that hosts do not go on telling each
# other of an outage that is over.
MIN_NEWS_S = 0.5
# Time after which an outage is forgotten; longer than a cold start takes.
OUTAGE_LIFE_S = 60.0


class EndpointOutages:
    """Last moment at which each endpoint was down, by incarnation.

    An endpoint that was down may have started again, which its entry tells only later.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.
    restart_shown_s : float
        Time after an outage within which the endpoint's entry shows a new start, or is
        removed.
    """

    __slots__ = ("_clock", "_down_s", "_restart_shown_s")

    def __init__(self, clock: Clock, restart_shown_s: float) -> None:
        self._clock = clock
        self._restart_shown_s = restart_shown_s
        self._down_s: dict[str, float] = {}

    def cold_until_s(self, incarnation_id: str, cold_s: float) -> float:
        """Return until when an endpoint may be cold because of a restart.

        Parameters
        ----------
        cold_s : float
            Time for which an endpoint is cold after its start.

        Returns
        -------
        float
            Monotonic time; minus infinity if the endpoint was not down.
        """
        down_s = self._down_s.get(incarnation_id)
        if down_s is None:
            return float("-inf")
        return down_s + self._restart_shown_s + cold_s

    def is_recent(self, incarnation_id: str) -> bool:
        """Return whether another outage now would be no news."""
        down_s = self._down_s.get(incarnation_id)
        return down_s is not None and self._clock.monotonic_s() <= down_s + MIN_NEWS_S

    def note(self, incarnation_id: str, *, age_s: float = 0.0) -> bool:
        """Record that an endpoint was down ``age_s`` ago; return whether it is news."""
        down_s = self._clock.monotonic_s() - age_s
        known_s = self._down_s.get(incarnation_id)
        if known_s is not None and down_s <= known_s + MIN_NEWS_S:
            return False
        self._down_s[incarnation_id] = down_s
        return True

    def ages_s(self) -> dict[str, float]:
        """Return the time since each outage."""
        now_s = self._clock.monotonic_s()
        return {
            incarnation_id: now_s - down_s
            for incarnation_id, down_s in self._down_s.items()
        }

    def expire(self) -> None:
        """Forget outages that are longer ago than ``OUTAGE_LIFE_S``."""
        oldest_s = self._clock.monotonic_s() - OUTAGE_LIFE_S
        for incarnation_id, down_s in list(self._down_s.items()):
            if down_s < oldest_s:
                del self._down_s[incarnation_id]
