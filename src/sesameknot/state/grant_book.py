"""Accounting of the grants of one endpoint.

The book keeps an upper bound of the requests that each holder may have at the
endpoint, now or later, under the grants that the owner issued. A grant counts until
its holder reports a later number, which proves that the grant is replaced. A load poll
sampled after its expiry lowers its count to the requests that run. Expiry alone does
not end the count: requests that were sent under the grant may still run.
"""

import math
from dataclasses import dataclass, field

from sesameknot.clock import Clock

HolderKey = tuple[str, int]


@dataclass(slots=True)
class _Grant:
    number: int
    slot_count: int
    expires_s: float


@dataclass(slots=True)
class _Holder:
    address: str = ""
    in_flight_count: int = 0
    demand_count: int = 0
    reported_s: float = -math.inf
    seen_number: int = 0
    grants: list[_Grant] = field(default_factory=list)
    granted_since_s: float = math.inf
    denied_since_s: float = math.inf
    prefixes_sent_s: float = -math.inf

    def max_in_flight_count(self) -> int:
        """Return how many requests the holder may have at the endpoint."""
        max_slot_count = max((grant.slot_count for grant in self.grants), default=0)
        return max(self.in_flight_count, max_slot_count)


@dataclass(slots=True, frozen=True, kw_only=True)
class HolderReport:
    """Requests and demand that a holder reports with a grant request.

    Parameters
    ----------
    holder : tuple of (str, int)
        Host id and incarnation.
    address : str
        Peer address to which revocations are sent.
    in_flight_count : int
        Requests that the holder has at the endpoint.
    wanted_count : int
        Further requests that it would start.
    seen_number : int
        Number of the newest grant of this owner that it received.
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
        Lifetime of a grant, counted by the holder from when it sent the request.
    margin_s : float
        Time that a request may take from its grant check to the endpoint.

    Attributes
    ----------
    unreported_count : float
        Upper bound of the requests at the endpoint that no holder has reported.
    unreported_min_sampled_s : float
        Earliest sample time of a poll that lowers ``unreported_count``.
    """

    def __init__(self, *, clock: Clock, ttl_s: float, margin_s: float) -> None:
        self._clock = clock
        self.ttl_s = ttl_s
        self.margin_s = margin_s
        self._holders: dict[HolderKey, _Holder] = {}
        self.unreported_count = math.inf
        self.unreported_min_sampled_s = clock.monotonic_s()

    def reset_unreported(self, min_sampled_s: float) -> None:
        """Lift the bound of unreported requests.

        Parameters
        ----------
        min_sampled_s : float
            Earliest sample time of a poll that bounds them again.
        """
        self.unreported_count = math.inf
        self.unreported_min_sampled_s = min_sampled_s

    def record_report(self, report: HolderReport) -> None:
        """Record a holder's report; one older than the last seen number is ignored."""
        holder = self._holders.setdefault(report.holder, _Holder())
        if report.seen_number < holder.seen_number:
            return
        holder.seen_number = report.seen_number
        holder.grants = [g for g in holder.grants if g.number >= report.seen_number]
        holder.address = report.address
        holder.in_flight_count = report.in_flight_count
        holder.demand_count = report.in_flight_count + report.wanted_count
        holder.reported_s = self._clock.monotonic_s()

    def record_grant(self, key: HolderKey, number: int, slot_count: int) -> None:
        """Record a grant that is about to be sent."""
        now_s = self._clock.monotonic_s()
        holder = self._holders[key]
        expires_s = now_s + self.ttl_s + self.margin_s if slot_count else now_s
        # The new grant counts for as long as an earlier one does, so an earlier one
        # affects the bound only if it has more slots.
        holder.grants = [g for g in holder.grants if g.slot_count > slot_count]
        holder.grants.append(_Grant(number, slot_count, expires_s))
        if slot_count == 0:
            holder.granted_since_s = math.inf
            holder.denied_since_s = min(holder.denied_since_s, now_s)
        else:
            holder.denied_since_s = math.inf
            holder.granted_since_s = min(holder.granted_since_s, now_s)

    def record_poll(self, running_count: int, sampled_s: float) -> None:
        """Lower the bounds to the requests at the endpoint at ``sampled_s``."""
        if sampled_s >= self.unreported_min_sampled_s:
            self.unreported_count = min(self.unreported_count, running_count)
        for holder in self._holders.values():
            self._cap_by_poll(holder, running_count, sampled_s)
        self._remove_idle_holders()

    def _cap_by_poll(
        self, holder: _Holder, running_count: int, sampled_s: float
    ) -> None:
        expires_s = max((g.expires_s for g in holder.grants), default=-math.inf)
        for grant in holder.grants:
            if grant.expires_s <= sampled_s:
                grant.slot_count = min(grant.slot_count, running_count)
        if max(expires_s, holder.reported_s) <= sampled_s:
            holder.in_flight_count = min(holder.in_flight_count, running_count)

    def _remove_idle_holders(self) -> None:
        min_reported_s = self._clock.monotonic_s() - 5 * self.ttl_s
        self._holders = {
            key: holder
            for key, holder in self._holders.items()
            if holder.max_in_flight_count() > 0 or holder.reported_s > min_reported_s
        }

    def max_in_flight_count(self, key: HolderKey) -> int:
        """Return how many requests one holder may have at the endpoint."""
        holder = self._holders.get(key)
        return holder.max_in_flight_count() if holder else 0

    def max_in_flight_count_of_others(self, key: HolderKey) -> int:
        """Return how many requests all other holders may have at the endpoint."""
        return sum(
            h.max_in_flight_count()
            for other, h in self._holders.items()
            if other != key
        )

    def cold_slots(self, key: HolderKey, cold_slot_count: int) -> int:
        """Return how many slots to grant ``key`` while the endpoint may be cold.

        Notes
        -----
        Holders whose request was denied are served in the order of their first denial.
        A holder that has had slots for longer than a grant's lifetime gets none while
        others wait.
        """
        free_count = (
            cold_slot_count
            - self.max_in_flight_count_of_others(key)
            - self.unreported_count
        )
        if free_count <= 0:
            return 0
        holder = self._holders[key]
        waiting = self._waiting_others(key)
        if waiting and self._clock.monotonic_s() - holder.granted_since_s > self.ttl_s:
            return 0
        ahead_count = sum(w.denied_since_s < holder.denied_since_s for w in waiting)
        if holder.max_in_flight_count() == 0:
            free_count -= ahead_count
        fair_count = max(1, cold_slot_count // (1 + len(waiting)))
        return int(max(0, min(free_count, fair_count, holder.demand_count)))

    def warm_slots(self, key: HolderKey, capacity_count: int) -> int:
        """Return how many slots to grant ``key`` while the endpoint is warm.

        Notes
        -----
        A holder gets its fair share of the capacity, and more if others leave theirs
        unused. Unused capacity is granted as spare slots, so that the next requests
        start without a grant request. Each holder gets at least one slot. Because of
        this minimum the sum may exceed the capacity; the endpoint queues the excess.
        """
        active = self._active_holders()
        demand_count = self._holders[key].demand_count
        others_demand_count = sum(
            min(holder.demand_count, capacity_count)
            for other, holder in active.items()
            if other != key
        )
        free_count = capacity_count - others_demand_count
        fair_count = capacity_count // max(1, len(active))
        spare_count = min(max(1, demand_count // 2), max(0, free_count - demand_count))
        return max(1, min(demand_count, max(fair_count, free_count)) + spare_count)

    def _active_holders(self) -> dict[HolderKey, _Holder]:
        # Holders that start no requests while earlier ones run report only once in a
        # grant's lifetime.
        min_reported_s = self._clock.monotonic_s() - 2 * self.ttl_s
        return {
            key: holder
            for key, holder in self._holders.items()
            if holder.reported_s >= min_reported_s and holder.demand_count > 0
        }

    def _waiting_others(self, key: HolderKey) -> list[_Holder]:
        return [
            holder
            for other, holder in self._active_holders().items()
            if other != key
            and holder.denied_since_s < math.inf
            and holder.demand_count > holder.in_flight_count
        ]

    def holders_to_revoke(self) -> list[tuple[HolderKey, str]]:
        """Return keys and addresses of the holders that may have unexpired slots."""
        now_s = self._clock.monotonic_s()
        return [
            (key, holder.address)
            for key, holder in self._holders.items()
            if any(g.slot_count and g.expires_s > now_s for g in holder.grants)
        ]

    def prefixes_due(self, key: HolderKey, interval_s: float) -> bool:
        """Return whether to send prefix hashes now, and record the time if so."""
        now_s = self._clock.monotonic_s()
        holder = self._holders[key]
        if now_s - holder.prefixes_sent_s < interval_s:
            return False
        holder.prefixes_sent_s = now_s
        return True
