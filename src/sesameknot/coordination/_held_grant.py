"""State of one endpoint's grant at its holder."""

import math
from dataclasses import dataclass, field

from sesameknot.state.endpoint_table import EndpointState


@dataclass(slots=True)
class HeldGrant:
    """Grant for one endpoint, and the holder's use of it.

    Parameters
    ----------
    endpoint_id : str
        The endpoint.
    owner : tuple of (str, int)
        Host id and incarnation of the owner that sent the grant.
    seen_number : int
        Number of the newest grant from that owner.
    slot_count : int
        Requests that may be in flight.
    expires_s : float
        Monotonic time at which the grant expires.
    granted_state : EndpointState
        State of the endpoint when the owner decided on the grant.
    owner_unavailable : bool
        Whether the last grant request got no decision.
    reserved_slot_ids : set of int
        Slots that were acquired and whose requests are not sent yet.
    sent_slot_ids : set of int
        Slots whose requests were sent.
    linger_until_s : list of float
        For each request that ended here and may still run at the endpoint, the
        monotonic time until which it counts as in flight.
    denied_count : int
        Refused acquisitions since the last grant request.
    waiter_count : int
        Callers that wait for a slot.
    last_acquire_s : float
        Monotonic time of the last attempt to acquire a slot.
    grant_request_running : bool
        Whether a grant request is waiting for its reply.
    grant_requested_s : float
        Monotonic time of the last grant request.
    next_grant_request_s : float
        Monotonic time of the next grant request; infinite if none is scheduled.
    """

    endpoint_id: str
    owner: tuple[str, int] = ("", 0)
    seen_number: int = 0
    slot_count: int = 0
    expires_s: float = -math.inf
    granted_state: EndpointState = EndpointState.UNKNOWN
    owner_unavailable: bool = False
    reserved_slot_ids: set[int] = field(default_factory=set)
    sent_slot_ids: set[int] = field(default_factory=set)
    linger_until_s: list[float] = field(default_factory=list)
    denied_count: int = 0
    waiter_count: int = 0
    last_acquire_s: float = -math.inf
    grant_request_running: bool = False
    grant_requested_s: float = -math.inf
    next_grant_request_s: float = math.inf

    def in_flight_count(self, now_s: float) -> int:
        """Return how many requests the endpoint may be running for this holder."""
        self.linger_until_s = [end_s for end_s in self.linger_until_s if end_s > now_s]
        return len(self.sent_slot_ids) + len(self.linger_until_s)

    def busy(self) -> bool:
        """Return whether anything is in flight, acquired or waited for."""
        return bool(self.sent_slot_ids or self.reserved_slot_ids or self.waiter_count)

    def in_flight_limit(
        self, state: EndpointState, now_s: float, fallback_count: int
    ) -> int:
        """Return how many requests may be in flight now.

        Parameters
        ----------
        state : EndpointState
            Latest state of the endpoint at this host.
        now_s : float
            Monotonic time.
        fallback_count : int
            Limit at a warm endpoint without a grant while the owner is unavailable.

        Notes
        -----
        Slots that were granted for a warm endpoint are invalid while this host sees
        the endpoint as cold, even if the grant arrives after that.
        """
        if state in (EndpointState.LEAVING, EndpointState.DOWN):
            return 0
        if now_s < self.expires_s:
            cold = state == EndpointState.COLD
            invalid = cold and self.granted_state == EndpointState.WARM
            return 0 if invalid else self.slot_count
        if self.owner_unavailable and state == EndpointState.WARM:
            return fallback_count
        return 0

    def replace_grant(
        self,
        owner: tuple[str, int],
        number: int,
        *,
        slot_count: int,
        expires_s: float,
        state: EndpointState,
    ) -> bool:
        """Install a grant unless a newer one of its owner is held; return whether."""
        if owner == self.owner and number <= self.seen_number:
            return False
        self.owner = owner
        self.seen_number = number
        self.slot_count = slot_count
        self.expires_s = expires_s
        self.granted_state = state
        return True
