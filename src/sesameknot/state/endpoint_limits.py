"""Request rates that endpoints take from all hosts together, as last named."""

from dataclasses import dataclass

from sesameknot.clock import Clock

# Time without any news of a limit after which it is forgotten. An endpoint that still
# has one names it again in its first answer.
LIMIT_LIFE_S = 60.0


@dataclass(slots=True, frozen=True)
class NamedLimit:
    """What the last answer of an endpoint said about its limit.

    Parameters
    ----------
    rate_per_s : float or None
        Requests per second from all hosts; None if the endpoint has no limit any more.
    observed_s : float
        Monotonic time of that answer.
    """

    rate_per_s: float | None
    observed_s: float


class EndpointLimits:
    """Limits by incarnation of an endpoint; the latest answer counts.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.
    """

    __slots__ = ("_clock", "_limits", "_next_permit_s")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._limits: dict[str, NamedLimit] = {}
        self._next_permit_s: dict[str, float] = {}

    @property
    def limited_count(self) -> int:
        """Number of endpoints that have a limit."""
        return sum(limit.rate_per_s is not None for limit in self._limits.values())

    def get(self, incarnation_id: str) -> NamedLimit | None:
        """Return what is known of an endpoint's limit; None if it never had one."""
        return self._limits.get(incarnation_id)

    def rate_per_s(self, incarnation_id: str) -> float | None:
        """Return the rate that the endpoint takes; None without a limit."""
        limit = self._limits.get(incarnation_id)
        return limit.rate_per_s if limit is not None else None

    def wait_s(self, incarnation_id: str) -> float | None:
        """Return the time until it is worth asking for a permit; None without a limit.

        It is 0 until a permit was denied.
        """
        if self.rate_per_s(incarnation_id) is None:
            return None
        next_s = self._next_permit_s.get(incarnation_id, 0.0)
        return max(0.0, next_s - self._clock.monotonic_s())

    def set_next_permit(self, incarnation_id: str, *, wait_s: float) -> None:
        """Record that no permit is to be had before ``wait_s`` have passed."""
        self._next_permit_s[incarnation_id] = self._clock.monotonic_s() + wait_s

    def observe_answer(
        self, incarnation_id: str, rate_per_s: float | None, *, sent_s: float
    ) -> bool:
        """Apply an answer to a request sent at ``sent_s``; return whether it is news.

        An answer without a limit ends one only if its request was sent after the limit
        was last named, since it may have waited on the way.
        """
        observed_s = self._clock.monotonic_s() if rate_per_s is not None else sent_s
        return self.merge(incarnation_id, NamedLimit(rate_per_s, observed_s))

    def merge(self, incarnation_id: str, limit: NamedLimit) -> bool:
        """Apply a limit that was observed here or elsewhere if it is newer.

        Returns
        -------
        bool
            Whether the rate changed.
        """
        known = self._limits.get(incarnation_id)
        if known is None:
            if limit.rate_per_s is None:
                return False
        elif limit.observed_s <= known.observed_s:
            return False
        self._limits[incarnation_id] = limit
        return known is None or known.rate_per_s != limit.rate_per_s

    def expire(self) -> None:
        """Forget limits without news for ``LIMIT_LIFE_S``."""
        oldest_s = self._clock.monotonic_s() - LIMIT_LIFE_S
        for incarnation_id, limit in list(self._limits.items()):
            if limit.observed_s < oldest_s:
                del self._limits[incarnation_id]
                self._next_permit_s.pop(incarnation_id, None)
