"""Share of one host in the free slots of a service's endpoints."""

import math
from dataclasses import dataclass

# Guards comparisons of counts against rounding errors of accumulated shares.
ROUNDING = 1e-9
# However many priorities there are, the last one keeps most of a host's slots.
MAX_RESERVE_SHARE = 0.3


@dataclass(slots=True, frozen=True, kw_only=True)
class RoomLimits:
    """Shares of the slots that the scheduling depends on.

    Parameters
    ----------
    crowded_share : float
        Share of taken slots up to which every request starts at once.
    endpoint_queue_share : float
        Requests beyond the slots that endpoints may hold, as a share of the slots.
    reserve_share : float
        Share of a host's slots that each priority leaves to the more urgent ones.
    """

    crowded_share: float = 0.9
    endpoint_queue_share: float = 0.2
    reserve_share: float = 0.12


@dataclass(slots=True, frozen=True, kw_only=True)
class RoomLoads:
    """Slots of a service and the requests that other hosts have on them.

    Parameters
    ----------
    slot_count : int
        Slots of the usable endpoints.
    other_in_flight_count : int
        Requests of all other hosts, by their last reports.
    report_s : float
        Monotonic time at which those reports were last taken in.
    peers_heard : bool
        Whether any other host reported lately.
    """

    slot_count: int
    other_in_flight_count: int
    report_s: float
    peers_heard: bool


class HostRoom:
    """Number of requests that this host may have on a service's endpoints.

    Parameters
    ----------
    limits : RoomLimits
        Shares of the slots.

    Attributes
    ----------
    in_use_count : int
        Requests of this host that run.
    limit : float
        Requests that it may run while endpoints are crowded.

    Notes
    -----
    Reports are up to half a second old, and all hosts see the same free slots. Each
    takes an equal part of them with each report, and may use again what its own
    requests give back. A part below 1 is added up over reports. Above the limit, all
    hosts shrink in the same proportion, but none below an equal part of all slots.
    """

    __slots__ = (
        "_host_count",
        "_limits",
        "_loads",
        "_renewed_s",
        "in_use_count",
        "limit",
    )

    def __init__(self, limits: RoomLimits) -> None:
        self._limits = limits
        self._loads = RoomLoads(
            slot_count=0,
            other_in_flight_count=0,
            report_s=-math.inf,
            peers_heard=False,
        )
        self._host_count = 1
        self._renewed_s = -math.inf
        self.in_use_count = 0
        self.limit = 0.0

    def update(self, loads: RoomLoads, host_count: int, now_s: float) -> None:
        """Take in the current slots; a new report renews this host's share."""
        previous = self._loads
        self._loads = loads
        self._host_count = max(1, host_count)
        if (
            loads.report_s != previous.report_s
            or loads.peers_heard != previous.peers_heard
            or not previous.slot_count
        ):
            self._renew(now_s)
        elif loads.slot_count != previous.slot_count:
            # A second renewal by the same report would hand out its free slots twice.
            self.limit *= loads.slot_count / previous.slot_count

    @property
    def _isolated(self) -> bool:
        return not self._loads.peers_heard and self._host_count > 1

    @property
    def taken_share(self) -> float:
        """Share of the slots that are taken, as far as known."""
        return self._taken_share(self.in_use_count)

    def _taken_share(self, in_use_count: int) -> float:
        slot_count = float(self._loads.slot_count)
        taken_count = in_use_count + self._loads.other_in_flight_count
        if self._isolated:
            slot_count /= self._host_count
            taken_count = in_use_count
        return taken_count / slot_count if slot_count else math.inf

    def _renew(self, now_s: float) -> None:
        """Set the limit from the loads of a new report."""
        total_limit = self._loads.slot_count * (1 + self._limits.endpoint_queue_share)
        equal_share = total_limit / self._host_count
        elapsed_s = min(1.0, now_s - self._renewed_s)
        self._renewed_s = now_s
        in_use = float(self.in_use_count)
        unused = min(1.0, max(0.0, self.limit - in_use))
        if self._isolated:
            self.limit = max(1.0, equal_share)
            return
        total = in_use + self._loads.other_in_flight_count
        share = (total_limit - total) / self._host_count
        if share >= 1.0:
            limit = in_use + share
        elif share > 0.0:
            limit = in_use + min(1.0, unused + share)
        else:
            limit = in_use * total_limit / total
            if equal_share < 1.0 and not in_use:
                # With fewer slots than hosts, each host gets its turn.
                self.limit = min(1.0, unused + equal_share * elapsed_s)
                return
        # Parts that add up over reports of the same free slots must not exceed them.
        free_limit = total_limit - self._loads.other_in_flight_count
        self.limit = max(equal_share, min(limit, free_limit))

    @property
    def crowded(self) -> bool:
        """Whether another request would exceed the share at which requests wait."""
        return self._taken_share(self.in_use_count + 1) > self._limits.crowded_share

    def has_room(self, reserve_rank: int) -> bool:
        """Return whether a request may start now.

        Parameters
        ----------
        reserve_rank : int
            Number of more urgent priorities for which a reserve is kept.
        """
        if not self.crowded:
            return True
        # A small host leaves no reserve, since its only slot would never be used.
        reserve_share = min(
            MAX_RESERVE_SHARE, self._limits.reserve_share * reserve_rank
        )
        reserve_count = int(reserve_share * self.limit)
        return self.in_use_count + 1 + reserve_count <= self.limit + ROUNDING

    def take(self, reserve_rank: int) -> bool:
        """Count a request that starts; return False if it may not."""
        if not self.has_room(reserve_rank):
            return False
        self.occupy()
        return True

    def occupy(self) -> None:
        """Count a request that starts in any case."""
        self.in_use_count += 1

    def give_back(self) -> None:
        """Count the end of a request."""
        self.in_use_count -= 1
