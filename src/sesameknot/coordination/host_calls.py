"""Calls from one front host to another, by name."""

from typing import Any, TypeVar

import structlog

from sesameknot.clock import Clock
from sesameknot.errors import RouterError, TransportError
from sesameknot.state.fleet_view import FleetView
from sesameknot.transport.peer_client import PeerClient

# A call that takes this multiple of its limit was held up by a pause of this process,
# so its failure says nothing about the other host.
PAUSE_FACTOR = 2.0

Reply = TypeVar("Reply")

log = structlog.get_logger(__name__)


class HostCalls:
    """Calls listed hosts, and records which of them answer.

    Parameters
    ----------
    view : FleetView
        Listed hosts and which of them are lost.
    peers : PeerClient
        Client of the peer protocol.
    clock : Clock
        Source of time.
    """

    __slots__ = ("_clock", "_peers", "_view")

    def __init__(self, *, view: FleetView, peers: PeerClient, clock: Clock) -> None:
        self._view = view
        self._peers = peers
        self._clock = clock

    async def call(
        self, host_id: str, request: Any, *, expect: type[Reply], timeout_s: float
    ) -> Reply | None:
        """Return a host's reply; None if it gives none or is not listed.

        Parameters
        ----------
        host_id : str
            The host to call.
        request : object
            Message to send.
        expect : type
            Message class of the reply.
        timeout_s : float
            Limit for the connection and the reply together.
        """
        host = self._view.hosts.get(host_id)
        if host is None:
            return None
        started_s = self._clock.boot_s()
        try:
            reply = await self._peers.call(
                host.peer_address, request, expect=expect, timeout_s=timeout_s
            )
        except RouterError as error:
            log.info("peer_silent", peer=host_id, step=error.step, reason=error.message)
            was_paused = self._clock.boot_s() - started_s > PAUSE_FACTOR * timeout_s
            if not isinstance(error, TransportError):
                self._view.liveness.note_answer(host_id)
            elif not was_paused:
                self._view.liveness.note_silence(host_id)
            return None
        self._view.liveness.note_answer(host_id)
        return reply
