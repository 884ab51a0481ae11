"""Recognise requests that take endpoints down."""

import asyncio

import structlog
from tornado.iostream import StreamClosedError
from tornado.tcpclient import TCPClient

from sesameknot.errors import ConnectError, DeadlineError, RouterError, TransportError
from sesameknot.forwarding.request import ForwardedRequest
from sesameknot.policy.crash_guard import CrashGuard, request_fingerprint
from sesameknot.state.fleet_view import KnownEndpoint

# An endpoint that lives accepts a connection well within this time.
PROBE_TIMEOUT_S = 0.2

log = structlog.get_logger(__name__)


class CrashDetector:
    """Counts endpoints that went down while they ran a request.

    Parameters
    ----------
    guard : CrashGuard
        Counts by request, shared between hosts.
    """

    def __init__(self, guard: CrashGuard) -> None:
        self._guard = guard
        self._tcp = TCPClient()

    def refuses(self, request: ForwardedRequest) -> bool:
        """Return whether the request took down too many endpoints."""
        return self._guard.has_entries and self._guard.refuses(_fingerprint(request))

    async def inspect(
        self, request: ForwardedRequest, known: KnownEndpoint, error: RouterError
    ) -> None:
        """Count a broken attempt if its endpoint is down now."""
        if isinstance(error, ConnectError | DeadlineError):
            return
        if not isinstance(error, TransportError) or await self._lives(known):
            return
        fingerprint = _fingerprint(request)
        self._guard.record(fingerprint, known.endpoint_id)
        log.warning(
            "endpoint_down_after_request",
            request_id=request.request_id,
            endpoint=known.endpoint_id,
            crashes=self._guard.count(fingerprint),
            reason=error.message,
        )

    async def _lives(self, known: KnownEndpoint) -> bool:
        ip, _, port = known.entry.address.rpartition(":")
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_S):
                stream = await self._tcp.connect(ip, int(port))
        except (OSError, StreamClosedError, TimeoutError) as error:
            log.info(
                "endpoint_unreachable", endpoint=known.endpoint_id, reason=repr(error)
            )
            return False
        stream.close()
        return True

    def close(self) -> None:
        """Close the TCP client."""
        self._tcp.close()


def _fingerprint(request: ForwardedRequest) -> int:
    customer = request.customer.name if request.customer is not None else ""
    return request_fingerprint(customer, request.uri, request.body or b"")
