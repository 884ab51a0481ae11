"""Share the slots of endpoints that fall over if they have to refuse many requests.

One host, the owner of an endpoint, counts the requests that run there; the others ask
it for a slot before each request. The owner follows from a hash of the endpoint and the
list of hosts. If it does not answer, the next host in that order takes its place.
"""

import structlog

from sesameknot.clock import Clock
from sesameknot.coordination._background import BackgroundTasks
from sesameknot.coordination.host_calls import HostCalls
from sesameknot.policy.rendezvous import first_in_order
from sesameknot.policy.slot_ledger import SlotGrant, SlotLedger
from sesameknot.protocol.messages import EndpointSlotReply, EndpointSlotRequest
from sesameknot.state.fleet_view import FleetView
from sesameknot.state.known_endpoint import HeldSlot, KnownEndpoint

# Hosts that are asked in turn until one answers.
OWNER_COUNT = 4
CALL_TIMEOUT_S = 0.3
# Time for which a host that did not answer is not asked again.
SILENT_OWNER_S = 0.5

log = structlog.get_logger(__name__)


class EndpointSlots:
    """Asks for slots, and grants those of the endpoints that this host owns.

    Parameters
    ----------
    view : FleetView
        Hosts and endpoints.
    calls : HostCalls
        Calls other hosts.
    host_id : str
        Name of this host.
    clock : Clock
        Source of monotonic time.
    """

    def __init__(
        self, *, view: FleetView, calls: HostCalls, host_id: str, clock: Clock
    ) -> None:
        self._view = view
        self._calls = calls
        self._host_id = host_id
        self._clock = clock
        self._ledger = SlotLedger(clock=clock)
        self._silent_until_s: dict[str, float] = {}
        self._background = BackgroundTasks()

    async def acquire(
        self, endpoint: KnownEndpoint, *, request_id: str, life_s: float
    ) -> HeldSlot | None:
        """Return the slot under which a request may be sent; None if none is free.

        Parameters
        ----------
        life_s : float
            Longest time for which the request may run.
        """
        limit_per_s = self._view.overload_limit_per_s(endpoint)
        if limit_per_s is None or not endpoint.entry.slot_count:
            return HeldSlot(endpoint)
        request = EndpointSlotRequest(
            incarnation_id=endpoint.incarnation_id,
            slot_count=endpoint.entry.slot_count,
            overload_limit_per_s=limit_per_s,
            life_ms=life_s * 1000.0,
        )
        for owner in self._owners(endpoint):
            grant = await self._ask(owner, request)
            if grant is None:
                continue
            if grant.grant_id:
                return HeldSlot(endpoint, owner=owner, grant_id=grant.grant_id)
            endpoint.full_until_s = self._clock.monotonic_s() + grant.wait_s
            log.info(
                "endpoint_slot_denied",
                request_id=request_id,
                endpoint=endpoint.endpoint_id,
                owner=owner,
                wait_ms=round(grant.wait_s * 1000),
            )
            return None
        return self._own_share(endpoint)

    def _own_share(self, endpoint: KnownEndpoint) -> HeldSlot | None:
        """Return a slot of this host's equal part, as it reaches no owner."""
        share_count = endpoint.entry.slot_count // max(1, len(self._view.hosts))
        if endpoint.in_flight_count < max(1, share_count):
            return HeldSlot(endpoint)
        return None

    def release(self, slot: HeldSlot, *, refused: bool) -> None:
        """Give a slot back; ``refused`` says that the endpoint had no room."""
        if slot.grant_id:
            self._background.spawn(self._release(slot, refused=refused))

    async def _release(self, slot: HeldSlot, *, refused: bool) -> None:
        endpoint = slot.endpoint
        request = EndpointSlotRequest(
            incarnation_id=endpoint.incarnation_id,
            overload_limit_per_s=self._view.overload_limit_per_s(endpoint) or 0.0,
            released_id=slot.grant_id,
            refused=refused,
        )
        await self._ask(slot.owner, request)

    def _owners(self, endpoint: KnownEndpoint) -> list[str]:
        hosts = tuple(self._view.hosts) or (self._host_id,)
        return first_in_order(f"slots {endpoint.incarnation_id}", hosts, OWNER_COUNT)

    async def _ask(self, owner: str, request: EndpointSlotRequest) -> SlotGrant | None:
        """Return the owner's answer; None if it does not answer."""
        if owner == self._host_id:
            return self._answer(request)
        now_s = self._clock.monotonic_s()
        if now_s < self._silent_until_s.get(owner, 0.0):
            return None
        reply = await self._calls.call(
            owner, request, expect=EndpointSlotReply, timeout_s=CALL_TIMEOUT_S
        )
        if reply is None:
            self._silent_until_s[owner] = self._clock.monotonic_s() + SILENT_OWNER_S
            return None
        return SlotGrant(reply.grant_id, reply.wait_ms / 1000.0)

    async def answer(self, request: EndpointSlotRequest) -> EndpointSlotReply:
        """Answer another host, as the owner of the endpoint."""
        grant = self._answer(request)
        return EndpointSlotReply(grant_id=grant.grant_id, wait_ms=grant.wait_s * 1000.0)

    def _answer(self, request: EndpointSlotRequest) -> SlotGrant:
        key = request.incarnation_id
        if request.released_id:
            self._ledger.release(
                key,
                request.released_id,
                refused=request.refused,
                overload_limit_per_s=request.overload_limit_per_s,
            )
            return SlotGrant()
        endpoint = self._view.endpoints.get(key.partition("@")[0])
        running_count = 0
        if endpoint is not None:
            running_count = endpoint.in_flight_count + endpoint.other_in_flight_count
        return self._ledger.grant(
            key,
            slot_count=request.slot_count,
            running_count=running_count,
            life_s=request.life_ms / 1000.0,
        )

    def expire(self) -> None:
        """Forget what was not used for a while."""
        self._ledger.expire()
        for host in set(self._silent_until_s) - set(self._view.hosts):
            del self._silent_until_s[host]

    def close(self) -> None:
        """Cancel releases under way."""
        self._background.cancel()
