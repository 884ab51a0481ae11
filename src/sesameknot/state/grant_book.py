"""Accounting of the grants of one endpoint.

The book bounds how many requests each holder may have at the endpoint, now or later,
under the grants that the owner issued. A grant counts until the holder proves that it
is replaced (by reporting under a later number) or a load poll that was taken after its
expiry shows that fewer requests run. An expired grant alone does not end its count:
requests that were sent under it may still run.
"""

import math
from dataclasses import dataclass, field

from sesameknot.clock import Clock

HolderKey = tuple[str, int]


@dataclass(slots=True)
class _Issued:
    number: int
    slot_count: int
    expires_s: float


@dataclass(slots=True)
class _Holder:
    address: str = ""
    in_flight_count: int = 0
    target_count: int = 0
    reported_s: float = -math.inf
    seen_number: int = 0
    issued: list[_Issued] = field(default_factory=list)
    held_since_s: float = math.inf
    denied_since_s: float = math.inf
    prefixes_sent_s: float = -math.inf

    def bound(self) -> int:
        """Return how many requests the holder may have at the endpoint."""
        largest = max((grant.slot_count for grant in self.issued), default=0)
        return max(self.in_flight_count, largest)


@dataclass(slots=True, frozen=True, kw_only=True)
class Report:
    """What a holder tells with a grant request.

    Parameters
    ----------
    holder : tuple of (str, int)
        Host id and incarnation.
    address : str
        Where the holder takes revocations.
    in_flight_count : int
        Requests that it has at the endpoint.
    wanted_count : int
        Further requests that it would start.
    seen_number : int
        Newest grant of this owner that it has.
    """

    holder: HolderKey
    address: str
    in_flight_count: int
    wanted_count: int
    seen_number: int


class GrantBook:
    """Grants of one endpoint by one owner.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.
    ttl_s : float
        Lifetime of a grant, counted by the holder from when it asked.
    margin_s : float
        Time that a request may take from its last check to the endpoint.
    """

    def __init__(self, *, clock: Clock, ttl_s: float, margin_s: float) -> None:
        self._clock = clock
        self.ttl_s = ttl_s
        self.margin_s = margin_s
        self._holders: dict[HolderKey, _Holder] = {}
        self.unknown_count = math.inf
        self.unknown_since_s = clock.monotonic_s()

    def forget_unknown_after(self, since_s: float) -> None:
        """Count unreported requests as unbounded until a poll taken at ``since_s``."""
        self.unknown_count = math.inf
        self.unknown_since_s = since_s

    def hear(self, report: Report) -> None:
        """Take a holder's report; one that overtook a later one changes nothing."""
        holder = self._holders.setdefault(report.holder, _Holder())
        if report.seen_number < holder.seen_number:
            return
        holder.seen_number = report.seen_number
        holder.issued = [g for g in holder.issued if g.number >= report.seen_number]
        holder.address = report.address
        holder.in_flight_count = report.in_flight_count
        holder.target_count = report.in_flight_count + report.wanted_count
        holder.reported_s = self._clock.monotonic_s()

    def issue(self, key: HolderKey, number: int, slot_count: int) -> None:
        """Note a grant that is about to be sent."""
        now_s = self._clock.monotonic_s()
        holder = self._holders[key]
        expires_s = now_s + self.ttl_s + self.margin_s if slot_count else now_s
        # A report under an earlier number also leaves this grant open, so that of
        # the earlier ones only those with more slots matter.
        holder.issued = [g for g in holder.issued if g.slot_count > slot_count]
        holder.issued.append(_Issued(number, slot_count, expires_s))
        if slot_count == 0:
            holder.held_since_s = math.inf
            holder.denied_since_s = min(holder.denied_since_s, now_s)
        else:
            holder.denied_since_s = math.inf
            holder.held_since_s = min(holder.held_since_s, now_s)

    def polled(self, running_count: int, sampled_s: float) -> None:
        """Take the number of requests at the endpoint at time ``sampled_s``."""
        if sampled_s >= self.unknown_since_s:
            self.unknown_count = min(self.unknown_count, running_count)
        for holder in self._holders.values():
            self._bound_silent(holder, running_count, sampled_s)
        self._drop_gone()

    def _bound_silent(
        self, holder: _Holder, running_count: int, sampled_s: float
    ) -> None:
        expires_s = max((g.expires_s for g in holder.issued), default=-math.inf)
        for grant in holder.issued:
            if grant.expires_s <= sampled_s:
                grant.slot_count = min(grant.slot_count, running_count)
        if max(expires_s, holder.reported_s) <= sampled_s:
            holder.in_flight_count = min(holder.in_flight_count, running_count)

    def _drop_gone(self) -> None:
        limit_s = self._clock.monotonic_s() - 5 * self.ttl_s
        self._holders = {
            key: holder
            for key, holder in self._holders.items()
            if holder.bound() > 0 or holder.reported_s > limit_s
        }

    def bound(self, key: HolderKey) -> int:
        """Return how many requests one holder may have at the endpoint."""
        holder = self._holders.get(key)
        return holder.bound() if holder else 0

    def bound_of_others(self, key: HolderKey) -> int:
        """Return how many requests all other holders may have at the endpoint."""
        return sum(h.bound() for other, h in self._holders.items() if other != key)

    def cold_slots(self, key: HolderKey, cold_slot_count: int) -> int:
        """Return the slots that ``key`` may have while the endpoint is cold.

        Notes
        -----
        Holders that were turned away come first, in the order of their first denial.
        A holder that has had slots for longer than a grant's lifetime goes to the end
        while others wait.
        """
        room = cold_slot_count - self.bound_of_others(key) - self.unknown_count
        if room <= 0:
            return 0
        holder = self._holders[key]
        waiting = self._waiting(key)
        if waiting and self._clock.monotonic_s() - holder.held_since_s > self.ttl_s:
            return 0
        ahead = sum(w.denied_since_s < holder.denied_since_s for w in waiting)
        if holder.bound() == 0:
            room -= ahead
        fair = max(1, cold_slot_count // (1 + len(waiting)))
        return int(max(0, min(room, fair, holder.target_count)))

    def warm_slots(self, key: HolderKey, capacity_count: int) -> int:
        """Return a fair share of the capacity, and more if others leave it unused.

        Notes
        -----
        What nobody needs is given as spare slots, so that the next requests start
        without asking first. A holder gets at least one slot; the sum may exceed the
        capacity by these and queues at the endpoint.
        """
        active = self._active()
        needed = self._holders[key].target_count
        others = sum(
            min(holder.target_count, capacity_count)
            for other, holder in active.items()
            if other != key
        )
        left = capacity_count - others
        fair = capacity_count // max(1, len(active))
        spare = min(max(1, needed // 2), max(0, left - needed))
        return max(1, min(needed, max(fair, left)) + spare)

    def _active(self) -> dict[HolderKey, _Holder]:
        # Holders whose requests merely run report once in a grant's lifetime.
        since_s = self._clock.monotonic_s() - 2 * self.ttl_s
        return {
            key: holder
            for key, holder in self._holders.items()
            if holder.reported_s >= since_s and holder.target_count > 0
        }

    def _waiting(self, key: HolderKey) -> list[_Holder]:
        return [
            holder
            for other, holder in self._active().items()
            if other != key
            and holder.denied_since_s < math.inf
            and holder.target_count > holder.in_flight_count
        ]

    def holders_to_revoke(self) -> list[tuple[HolderKey, str]]:
        """Return the holders, with addresses, that may have unexpired slots."""
        now_s = self._clock.monotonic_s()
        return [
            (key, holder.address)
            for key, holder in self._holders.items()
            if any(g.slot_count and g.expires_s > now_s for g in holder.issued)
        ]

    def prefixes_due(self, key: HolderKey, interval_s: float) -> bool:
        """Return whether to send prefix hashes now, and note that they were sent."""
        now_s = self._clock.monotonic_s()
        holder = self._holders[key]
        if now_s - holder.prefixes_sent_s < interval_s:
            return False
        holder.prefixes_sent_s = now_s
        return True
