"""An endpoint as one host knows it."""

from dataclasses import dataclass

from sesameknot.protocol.fleet_records import EndpointEntry, EndpointState
from sesameknot.state.endpoint_health import EndpointHealth


@dataclass(slots=True, eq=False)
class KnownEndpoint:
    """An endpoint and this host's state for it.

    Parameters
    ----------
    entry : EndpointEntry
        Last registration of the endpoint.
    health : EndpointHealth
        Results of this host's attempts.
    cold_until_s : float
        Monotonic time until which the endpoint is cold.
    gone_at_s : float or None
        Monotonic time from which the endpoint counts as gone; set when its entry was
        removed.
    deferred_until_s : float
        Monotonic time until which the endpoint gets requests only if no other endpoint
        can serve them.
    doubted_until_s : float
        Monotonic time until which the endpoint gets no request, because its entry comes
        from a copy of the store that is older than its leaving.
    leaving_since_s : float or None
        Monotonic time at which an answer first said that the endpoint leaves.
    misdirected_until_s : float
        Monotonic time until which another endpoint is taken to have the address.
    paused_until_s : float
        Monotonic time until which the endpoint wants no request from this host.
    overload_limit_known : bool
        Whether an answer of the endpoint has shown ``overload_limit_per_s``.
    overload_limit_per_s : float or None
        Refusals per second, to all hosts, beyond which the endpoint falls over; None if
        its last answer named none.
    full_until_s : float
        Monotonic time until which such an endpoint is known to have no room.
    in_flight_count : int
        Attempts of this host that run on the endpoint.
    pending_tokens : int
        Prompt tokens of those attempts that have not produced their first event.
    other_in_flight_count, other_pending_tokens : int
        The same counts of all other hosts, from their last reports.
    relative_event_time : float
        Time per event of its streams over the mean of the service's endpoints; 1 where
        the difference is small or not known.
    """

    entry: EndpointEntry
    health: EndpointHealth
    cold_until_s: float = 0.0
    gone_at_s: float | None = None
    deferred_until_s: float = 0.0
    doubted_until_s: float = 0.0
    leaving_since_s: float | None = None
    misdirected_until_s: float = 0.0
    paused_until_s: float = 0.0
    overload_limit_known: bool = False
    overload_limit_per_s: float | None = None
    full_until_s: float = 0.0
    in_flight_count: int = 0
    pending_tokens: int = 0
    other_in_flight_count: int = 0
    other_pending_tokens: int = 0
    relative_event_time: float = 1.0

    @property
    def endpoint_id(self) -> str:
        """Identifier of the endpoint."""
        return self.entry.endpoint_id

    @property
    def incarnation_id(self) -> str:
        """Identifier that changes when the endpoint starts again under its own."""
        started_ms = self.entry.started_ms
        return f"{self.endpoint_id}@{started_ms}" if started_ms else self.endpoint_id

    @property
    def load_share(self) -> float:
        """Requests in flight over the slots, at most 1; 0 if these are unknown."""
        if not self.entry.slot_count:
            return 0.0
        in_flight_count = self.in_flight_count + self.other_in_flight_count
        return min(1.0, in_flight_count / self.entry.slot_count)

    def contradicts_leaving(self, entry: EndpointEntry, *, now_s: float) -> bool:
        """Return whether an entry of a restored store may be older than the leaving."""
        if entry.state is not EndpointState.READY:
            return False
        if self.entry.state is not EndpointState.READY:
            return True
        if self.doubted_until_s > now_s:
            return self.entry.revision == entry.revision
        # An endpoint that has registered again has an entry of another revision.
        gone = self.gone_at_s is not None and self.gone_at_s <= now_s
        return gone and self.entry.revision == entry.revision


@dataclass(slots=True, frozen=True)
class HeldSlot:
    """Slot of an endpoint under which one request may be sent.

    Parameters
    ----------
    endpoint : KnownEndpoint
        The endpoint.
    owner : str, default=""
        Host that counts its slots; empty if none does.
    grant_id : int, default=0
        Grant of that host; 0 for none.
    """

    endpoint: KnownEndpoint
    owner: str = ""
    grant_id: int = 0
