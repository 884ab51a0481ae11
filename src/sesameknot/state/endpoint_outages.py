"""When endpoints were last known to be down, observed by any host."""

from collections.abc import Callable

from sesameknot.clock import Clock

# Observations of one outage that are closer than this are one observation.
MIN_INTERVAL_S = 0.5
# The age in a report does not include the time until it is read. Hosts read reports
# well within this time, so only one that is later than what is known by more tells of
# another observation. With less, hosts could extend an outage by reporting it to each
# other.
REPORT_DELAY_LIMIT_S = 2.0
# Outages are kept for this long beyond the time for which they matter, so that hosts
# that forget them at different moments do not learn them from each other again.
FORGET_MARGIN_S = 10.0


class EndpointOutages:
    """Last moment at which each endpoint was down, by incarnation.

    An endpoint that was down may have started again, which its entry shows only later.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.
    restart_shown_s : float
        Time after an outage within which the endpoint's entry shows a new start, or is
        removed.
    """

    __slots__ = (
        "_clock",
        "_down_s",
        "_longest_cold_s",
        "_on_first_outage",
        "_restart_shown_s",
    )

    def __init__(self, clock: Clock, restart_shown_s: float) -> None:
        self._clock = clock
        self._restart_shown_s = restart_shown_s
        self._longest_cold_s = 0.0
        self._on_first_outage: list[Callable[[str], None]] = []
        self._down_s: dict[str, float] = {}

    def subscribe(self, on_first_outage: Callable[[str], None]) -> None:
        """Call ``on_first_outage`` with each incarnation once its outage is known."""
        self._on_first_outage.append(on_first_outage)

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
        self._longest_cold_s = max(self._longest_cold_s, cold_s)
        down_s = self._down_s.get(incarnation_id)
        if down_s is None:
            return float("-inf")
        return down_s + self._restart_shown_s + cold_s

    @property
    def _life_s(self) -> float:
        """Time for which an outage matters."""
        return self._restart_shown_s + self._longest_cold_s

    def is_recent(self, incarnation_id: str) -> bool:
        """Return whether an outage was recorded a moment ago."""
        down_s = self._down_s.get(incarnation_id)
        now_s = self._clock.monotonic_s()
        return down_s is not None and now_s <= down_s + MIN_INTERVAL_S

    def observe(self, incarnation_id: str) -> bool:
        """Record that an endpoint is down now; return whether to report it."""
        if self.is_recent(incarnation_id):
            return False
        self._record(incarnation_id, self._clock.monotonic_s())
        return True

    def merge(self, incarnation_id: str, *, age_s: float) -> bool:
        """Record another host's observation; return whether it was unknown here."""
        if age_s > self._life_s:
            return False
        down_s = self._clock.monotonic_s() - age_s
        known_s = self._down_s.get(incarnation_id, float("-inf"))
        if down_s <= known_s + REPORT_DELAY_LIMIT_S:
            return False
        self._record(incarnation_id, down_s)
        return True

    def _record(self, incarnation_id: str, down_s: float) -> None:
        is_first = incarnation_id not in self._down_s
        self._down_s[incarnation_id] = down_s
        if is_first:
            for on_first_outage in self._on_first_outage:
                on_first_outage(incarnation_id)

    def ages_s(self) -> dict[str, float]:
        """Return the time since each outage that still matters."""
        now_s = self._clock.monotonic_s()
        return {
            incarnation_id: now_s - down_s
            for incarnation_id, down_s in self._down_s.items()
            if now_s - down_s <= self._life_s
        }

    def expire(self) -> None:
        """Forget outages that no longer matter."""
        oldest_s = self._clock.monotonic_s() - self._life_s - FORGET_MARGIN_S
        for incarnation_id, down_s in list(self._down_s.items()):
            if down_s < oldest_s:
                del self._down_s[incarnation_id]
