"""Grant and requests in flight of one endpoint at one holder."""

import math
from dataclasses import dataclass, field

from sesameknot.state.endpoint_table import EndpointState


@dataclass(slots=True)
class HeldGrant:
    """What a holder may start at an endpoint, and what it has started.

    Parameters
    ----------
    endpoint_id : str
        The endpoint.
    owner : tuple of (str, int)
        Host id and incarnation of the owner that sent the grant.
    seen_number : int
        Newest grant from that owner.
    slot_count : int
        Requests that may be in flight.
    expires_s : float
        Monotonic time at which the grant ends.
    granted_state : EndpointState
        State of the endpoint for which the owner counted the slots.
    ownerless : bool
        Whether the last request to the owner brought no decision.
    reserved : set of int
        Slots that were acquired and are not sent yet.
    sent : set of int
        Slots whose requests were sent.
    lingering_s : list of float
        Times until which requests count that may still run after their end here.
    """

    endpoint_id: str
    owner: tuple[str, int] = ("", 0)
    seen_number: int = 0
    slot_count: int = 0
    expires_s: float = -math.inf
    granted_state: EndpointState = EndpointState.UNKNOWN
    ownerless: bool = False
    reserved: set[int] = field(default_factory=set)
    sent: set[int] = field(default_factory=set)
    lingering_s: list[float] = field(default_factory=list)
    denied_count: int = 0
    waiter_count: int = 0
    used_s: float = -math.inf
    asking: bool = False
    asked_s: float = -math.inf
    next_ask_s: float = math.inf

    def in_flight_count(self, now_s: float) -> int:
        """Return the requests that the endpoint may be running for this holder."""
        self.lingering_s = [end_s for end_s in self.lingering_s if end_s > now_s]
        return len(self.sent) + len(self.lingering_s)

    def busy(self) -> bool:
        """Return whether anything is in flight, acquired or waited for."""
        return bool(self.sent or self.reserved or self.waiter_count)

    def limit(self, state: EndpointState, now_s: float, warm_share: int) -> int:
        """Return how many requests may be in flight now.

        Notes
        -----
        Slots that were counted for a warm endpoint are void once this host sees it
        cold, also if they arrive afterwards.
        """
        if state in (EndpointState.LEAVING, EndpointState.DOWN):
            return 0
        if now_s < self.expires_s:
            cold = state == EndpointState.COLD
            outdated = cold and self.granted_state == EndpointState.WARM
            return 0 if outdated else self.slot_count
        if self.ownerless and state == EndpointState.WARM:
            return warm_share
        return 0

    def replace(
        self,
        owner: tuple[str, int],
        number: int,
        *,
        slot_count: int,
        expires_s: float,
        state: EndpointState,
    ) -> bool:
        """Take a grant unless a newer one of its owner is held."""
        if owner == self.owner and number <= self.seen_number:
            return False
        self.owner = owner
        self.seen_number = number
        self.slot_count = slot_count
        self.expires_s = expires_s
        self.granted_state = state
        return True
