"""Detection of requests that crash endpoints."""

import asyncio

import structlog
from tornado.iostream import StreamClosedError
from tornado.tcpclient import TCPClient

from sesameknot.errors import ConnectError, DeadlineError, RouterError, TransportError
from sesameknot.forwarding.request import ForwardedRequest
from sesameknot.policy.crash_guard import CrashGuard, request_fingerprint
from sesameknot.state.fleet_view import KnownEndpoint

# A running endpoint accepts a connection well within this time.
PROBE_TIMEOUT_S = 0.2

log = structlog.get_logger(__name__)


class CrashDetector:
    """Counts the endpoints that crashed while they ran a request.

    Parameters
    ----------
    crash_guard : CrashGuard
        Crash counts by request, shared between hosts.
    """

    def __init__(self, crash_guard: CrashGuard) -> None:
        self._crash_guard = crash_guard
        self._tcp_client = TCPClient()

    def refuses(self, request: ForwardedRequest) -> bool:
        """Return whether the request crashed too many endpoints."""
        return self._crash_guard.has_entries and self._crash_guard.refuses(
            _fingerprint(request)
        )

    async def record_if_down(
        self, request: ForwardedRequest, endpoint: KnownEndpoint, error: RouterError
    ) -> None:
        """Record a crash if the endpoint of a failed attempt accepts no connections."""
        if isinstance(error, ConnectError | DeadlineError):
            return
        if not isinstance(error, TransportError) or await self._accepts_connections(
            endpoint
        ):
            return
        fingerprint = _fingerprint(request)
        self._crash_guard.record(fingerprint, endpoint.endpoint_id)
        log.warning(
            "endpoint_down_after_request",
            request_id=request.request_id,
            endpoint=endpoint.endpoint_id,
            fingerprint=f"{fingerprint:016x}",
            crashes=self._crash_guard.count(fingerprint),
            reason=error.message,
        )

    async def _accepts_connections(self, endpoint: KnownEndpoint) -> bool:
        ip, _, port = endpoint.entry.address.rpartition(":")
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_S):
                stream = await self._tcp_client.connect(ip, int(port))
        except (OSError, StreamClosedError, TimeoutError) as error:
            log.info(
                "endpoint_unreachable",
                endpoint=endpoint.endpoint_id,
                reason=repr(error),
            )
            return False
        stream.close()
        return True

    def close(self) -> None:
        """Close the TCP client."""
        self._tcp_client.close()


def _fingerprint(request: ForwardedRequest) -> int:
    customer = request.customer.name if request.customer is not None else ""
    return request_fingerprint(customer, request.uri, request.body or b"")
