"""Share the request rate that an endpoint takes among all hosts.

An endpoint in need names the rate that it takes from all hosts together. One host, its
owner, schedules the requests to it; the others ask the owner before each request. The
owner follows from a hash of the endpoint and the list of hosts. If it does not answer,
the next host in that order takes its place. What the endpoint's answers say of its
limit reaches the owner with these questions, and the others with its replies.
"""

import asyncio
from collections.abc import Callable

import structlog

from sesameknot.clock import Clock
from sesameknot.coordination._background import BackgroundTasks
from sesameknot.coordination.host_calls import HostCalls
from sesameknot.errors import RouterError
from sesameknot.policy.permit_schedule import Permit, PermitSchedule
from sesameknot.policy.rendezvous import first_in_order
from sesameknot.protocol.messages import (
    EndpointPermitReply,
    EndpointPermitRequest,
)
from sesameknot.state.endpoint_limits import NamedLimit
from sesameknot.state.fleet_view import FleetView
from sesameknot.state.known_endpoint import KnownEndpoint

# Hosts that are asked in turn until one answers; many may be down at the same time.
OWNER_COUNT = 8
CALL_TIMEOUT_S = 0.3
# Time for which a host that did not answer is not asked again. During it, two hosts may
# schedule requests to one endpoint, so it is short.
SILENT_OWNER_S = 0.5
# Others may not know yet of a host that has just joined, and go on asking the owner
# before it. Until they do, it grants this part of the rate.
JOINING_RATE_SHARE = 0.5

log = structlog.get_logger(__name__)


class EndpointPermits:
    """Asks for permits, and grants those of the endpoints that this host owns.

    Parameters
    ----------
    view : FleetView
        Hosts and the limits of endpoints.
    calls : HostCalls
        Calls other hosts.
    host_id : str
        Name of this host.
    joined_s : callable
        Returns the monotonic time at which this host appeared in the list of hosts.
    settle_s : float
        Time in which all hosts learn that a host has joined.
    leaving : callable
        Returns whether this host is shutting down.
    clock : Clock
        Source of monotonic time.
    """

    def __init__(
        self,
        *,
        view: FleetView,
        calls: HostCalls,
        host_id: str,
        joined_s: Callable[[], float],
        settle_s: float,
        leaving: Callable[[], bool],
        clock: Clock,
    ) -> None:
        self._view = view
        self._calls = calls
        self._host_id = host_id
        self._joined_s = joined_s
        self._settle_s = settle_s
        self._leaving = leaving
        self._clock = clock
        self._schedule = PermitSchedule(clock=clock)
        self._silent_until_s: dict[str, float] = {}
        self._background = BackgroundTasks()

    async def acquire(
        self, endpoint: KnownEndpoint, *, request_id: str, max_wait_s: float
    ) -> bool:
        """Wait until a request may be sent to ``endpoint``.

        Returns
        -------
        bool
            False if that takes longer than ``max_wait_s``; nothing is waited for then.
        """
        incarnation_id = endpoint.incarnation_id
        limits = self._view.endpoint_limits
        rate_per_s = limits.rate_per_s(incarnation_id)
        if rate_per_s is None:
            return True
        permit = await self._ask_owners(incarnation_id, max_wait_s)
        log.info(
            "endpoint_permit",
            request_id=request_id,
            endpoint=endpoint.endpoint_id,
            granted=permit.granted,
            wait_ms=round(permit.wait_s * 1000),
            max_wait_ms=round(max_wait_s * 1000),
            limit_per_s=rate_per_s,
        )
        if not permit.granted:
            limits.set_next_permit(incarnation_id, wait_s=permit.wait_s)
        elif permit.wait_s:
            await asyncio.sleep(permit.wait_s)
        return permit.granted

    async def _ask_owners(self, incarnation_id: str, max_wait_s: float) -> Permit:
        for owner in self._owners(incarnation_id):
            if owner == self._host_id:
                return self._reserve(incarnation_id, max_wait_s=max_wait_s)
            if self._is_silent(owner):
                continue
            message = self._message(incarnation_id)
            message.wanted = True
            message.max_wait_ms = max_wait_s * 1000.0
            reply = await self._call(owner, message)
            if reply is None:
                continue
            self._merge(incarnation_id, reply, peer=owner)
            if self._view.endpoint_limits.rate_per_s(incarnation_id) is None:
                return Permit(granted=True)
            return Permit(reply.granted, reply.wait_ms / 1000.0)
        # A host that reaches no owner uses its equal part of the rate.
        share = 1.0 / max(1, len(self._view.hosts))
        return self._reserve(incarnation_id, max_wait_s=max_wait_s, share=share)

    def _is_silent(self, owner: str) -> bool:
        """Return whether not to ask a host now that did not answer.

        One request finds out whether it answers again; others don't wait for it.
        """
        silent_until_s = self._silent_until_s.get(owner)
        if silent_until_s is None:
            return False
        now_s = self._clock.monotonic_s()
        if now_s < silent_until_s:
            return True
        self._silent_until_s[owner] = now_s + SILENT_OWNER_S
        return False

    def _owners(self, incarnation_id: str) -> list[str]:
        hosts = tuple(self._view.hosts) or (self._host_id,)
        return first_in_order(f"limit {incarnation_id}", hosts, OWNER_COUNT)

    def _reserve(
        self, incarnation_id: str, *, max_wait_s: float, share: float = 1.0
    ) -> Permit:
        rate_per_s = self._view.endpoint_limits.rate_per_s(incarnation_id)
        if rate_per_s is None:
            return Permit(granted=True)
        if self._clock.monotonic_s() < self._joined_s() + self._settle_s:
            share = min(share, JOINING_RATE_SHARE)
        return self._schedule.reserve(
            incarnation_id, share * rate_per_s, max_wait_s=max_wait_s
        )

    async def _call(
        self, owner: str, message: EndpointPermitRequest
    ) -> EndpointPermitReply | None:
        reply = await self._calls.call(
            owner, message, expect=EndpointPermitReply, timeout_s=CALL_TIMEOUT_S
        )
        if reply is None:
            self._silent_until_s[owner] = self._clock.monotonic_s() + SILENT_OWNER_S
            return None
        self._silent_until_s.pop(owner, None)
        return reply

    def report_change(self, endpoint: KnownEndpoint) -> None:
        """Tell the owner that the endpoint's limit has changed or ended."""
        self._background.spawn(self._report(endpoint.incarnation_id))

    async def _report(self, incarnation_id: str) -> None:
        """Send what this host knows of the limit to the first owner that answers."""
        for owner in self._owners(incarnation_id):
            if owner == self._host_id:
                return
            reply = await self._call(owner, self._message(incarnation_id))
            if reply is not None:
                self._merge(incarnation_id, reply, peer=owner)
                return

    async def answer(self, request: EndpointPermitRequest) -> EndpointPermitReply:
        """Answer another host, as the owner of the endpoint.

        Raises
        ------
        RouterError
            If this host is shutting down; another one takes its place.
        """
        if self._leaving():
            raise RouterError("host is leaving", step="permit", peer=self._host_id)
        incarnation_id = request.incarnation_id
        self._merge(incarnation_id, request, peer="")
        permit = Permit(granted=False)
        if request.wanted:
            max_wait_s = request.max_wait_ms / 1000.0
            permit = self._reserve(incarnation_id, max_wait_s=max_wait_s)
        message = self._message(incarnation_id)
        return EndpointPermitReply(
            limited=message.limited,
            rate_per_s=message.rate_per_s,
            age_ms=message.age_ms,
            granted=permit.granted,
            wait_ms=permit.wait_s * 1000.0,
        )

    def _message(self, incarnation_id: str) -> EndpointPermitRequest:
        message = EndpointPermitRequest(incarnation_id=incarnation_id)
        limit = self._view.endpoint_limits.get(incarnation_id)
        if limit is None:
            message.age_ms = float("inf")
            return message
        if limit.rate_per_s is not None:
            message.limited = True
            message.rate_per_s = limit.rate_per_s
        message.age_ms = (self._clock.monotonic_s() - limit.observed_s) * 1000.0
        return message

    def _merge(
        self,
        incarnation_id: str,
        message: EndpointPermitRequest | EndpointPermitReply,
        *,
        peer: str,
    ) -> None:
        rate_per_s = message.rate_per_s if message.limited else None
        observed_s = self._clock.monotonic_s() - message.age_ms / 1000.0
        limits = self._view.endpoint_limits
        if limits.merge(incarnation_id, NamedLimit(rate_per_s, observed_s)):
            log.info(
                "endpoint_limit_changed",
                endpoint=incarnation_id,
                rate_per_s=rate_per_s,
                peer=peer,
            )

    def expire(self) -> None:
        """Forget what was not used for a while."""
        self._schedule.expire()
        for host in set(self._silent_until_s) - set(self._view.hosts):
            del self._silent_until_s[host]

    def close(self) -> None:
        """Cancel reports under way."""
        self._background.cancel()
