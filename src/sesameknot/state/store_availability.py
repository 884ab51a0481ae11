"""When the store was unavailable, as far as one host can tell."""

from dataclasses import dataclass

from sesameknot.clock import Clock

# Endpoints whose entries expired during a store outage register again within this time.
LAPSE_GRACE_S = 2.0
# Entries may have expired in an outage that ended not longer ago than this.
RECENT_OUTAGE_S = 3.0
# An entry lives for three heartbeats, the last of which may be one interval older than
# the outage. A shorter outage lets no entry expire.
EXPIRING_OUTAGE_SHARE = 2.0 / 3.0


@dataclass(slots=True)
class StoreAvailability:
    """Outages of the store, by this host's own calls.

    The failure of another host's calls tells nothing: the store may reject that host
    alone. Its answers tell that the store was available.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.
    entry_life_s : float
        Time after which the store removes the entry of a silent endpoint.

    Attributes
    ----------
    answered_s : float
        Monotonic time of the last answer to this host or to its relays.
    unavailable_since_s : float or None
        Monotonic time since which the store does not answer; None if it does.
    expired_until_s : float
        Monotonic time until which a removed entry may have expired in the last outage.
    returned_s : float
        Monotonic time at which the last outage ended that was long enough for that.
    """

    clock: Clock
    entry_life_s: float
    answered_s: float = float("-inf")
    unavailable_since_s: float | None = None
    expired_until_s: float = float("-inf")
    returned_s: float = float("-inf")

    @property
    def shortest_expiring_outage_s(self) -> float:
        """Duration of the shortest outage in which an entry may expire."""
        return EXPIRING_OUTAGE_SHARE * self.entry_life_s

    def note_failure(self, *, timed_out: bool) -> None:
        """Record a failed call of this host.

        Parameters
        ----------
        timed_out : bool
            Whether the call got no answer in time. The store may then have been
            unavailable ever since its last answer.
        """
        if self.unavailable_since_s is not None:
            return
        now_s = self.clock.monotonic_s()
        known = timed_out and self.answered_s != float("-inf")
        self.unavailable_since_s = self.answered_s if known else now_s

    def note_answer(self, *, age_s: float = 0.0) -> None:
        """Record that the store answered this host or a relay ``age_s`` ago."""
        answered_s = self.clock.monotonic_s() - age_s
        if self.unavailable_since_s is not None:
            if answered_s <= self.unavailable_since_s:
                return
            if self._may_expire_entries(answered_s):
                self.expired_until_s = answered_s + RECENT_OUTAGE_S
                self.returned_s = answered_s
            self.unavailable_since_s = None
        self.answered_s = max(self.answered_s, answered_s)

    @property
    def entries_may_have_expired(self) -> bool:
        """Whether an entry that is removed now may have expired in an outage."""
        now_s = self.clock.monotonic_s()
        return now_s < self.expired_until_s or self._may_expire_entries(now_s)

    def lapse_end_s(self, now_s: float, *, leave_s: float) -> float:
        """Return until when an endpoint is usable whose entry was removed at ``now_s``.

        The entry may have lapsed in an outage. If that was one of this host's
        connection only, the endpoint may have left instead. Its entry was removed after
        the store's return, so the time within which a leaving endpoint must get no more
        requests counts from there.

        Parameters
        ----------
        leave_s : float
            Time within which hosts must stop sending requests to a leaving endpoint.
        """
        end_s = now_s + LAPSE_GRACE_S
        if self.unavailable_since_s is not None:
            return end_s
        limit_s = max(RECENT_OUTAGE_S, leave_s)
        return min(end_s, max(now_s, self.returned_s + limit_s))

    def _may_expire_entries(self, until_s: float) -> bool:
        if self.unavailable_since_s is None:
            return False
        duration_s = until_s - self.unavailable_since_s
        return duration_s >= self.shortest_expiring_outage_s
