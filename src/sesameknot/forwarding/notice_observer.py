"""Application of what endpoints say of themselves in their answers."""

import structlog

from sesameknot.clock import Clock
from sesameknot.coordination.endpoint_permits import EndpointPermits
from sesameknot.platform import AnswerMetadata
from sesameknot.state.fleet_view import FleetView
from sesameknot.state.known_endpoint import KnownEndpoint

log = structlog.get_logger(__name__)


class NoticeObserver:
    """Keeps the notices of answers for later requests.

    Parameters
    ----------
    view : FleetView
        Receives the notices.
    permits : EndpointPermits
        Receives changed limits on the request rates of endpoints.
    clock : Clock
        Source of monotonic time.
    """

    __slots__ = ("_clock", "_permits", "_view")

    def __init__(
        self, *, view: FleetView, permits: EndpointPermits, clock: Clock
    ) -> None:
        self._clock = clock
        self._view = view
        self._permits = permits

    def observe(
        self,
        endpoint: KnownEndpoint,
        metadata: AnswerMetadata,
        *,
        request_id: str,
        sent_s: float,
    ) -> None:
        """Apply the notices of an answer to a request that was sent at ``sent_s``."""
        for notice in metadata.notices.malformed:
            log.warning(
                "endpoint_notice_malformed",
                request_id=request_id,
                endpoint=endpoint.endpoint_id,
                header=notice.header,
                value=notice.value,
            )
        if metadata.misdirected:
            # Another endpoint answered.
            return
        if metadata.notices.leaving and self._view.note_leaving(endpoint):
            log.info(
                "endpoint_leaving",
                request_id=request_id,
                endpoint=endpoint.endpoint_id,
                state=str(endpoint.entry.state),
            )
        if metadata.notices.pause_s:
            self._observe_pause(endpoint, metadata.notices.pause_s, request_id)
        self._observe_overload_limit(endpoint, metadata, request_id)
        self._observe_rate_limit(
            endpoint, metadata, request_id=request_id, sent_s=sent_s
        )

    def _observe_overload_limit(
        self, endpoint: KnownEndpoint, metadata: AnswerMetadata, request_id: str
    ) -> None:
        limit_per_s = metadata.notices.overload_limit_per_s
        if limit_per_s is None and metadata.notices.malformed:
            return
        if limit_per_s != endpoint.overload_limit_per_s:
            log.info(
                "endpoint_overload_limit_changed",
                request_id=request_id,
                endpoint=endpoint.endpoint_id,
                limit_per_s=limit_per_s,
            )
        self._view.note_overload_limit(endpoint, limit_per_s)

    def _observe_pause(
        self, endpoint: KnownEndpoint, pause_s: float, request_id: str
    ) -> None:
        """Leave the endpoint alone for the time that its refusal names."""
        until_s = self._clock.monotonic_s() + pause_s
        endpoint.paused_until_s = max(endpoint.paused_until_s, until_s)
        log.info(
            "endpoint_paused",
            request_id=request_id,
            endpoint=endpoint.endpoint_id,
            pause_s=pause_s,
        )

    def _observe_rate_limit(
        self,
        endpoint: KnownEndpoint,
        metadata: AnswerMetadata,
        *,
        request_id: str,
        sent_s: float,
    ) -> None:
        rate_per_s = metadata.notices.rate_limit_per_s
        if rate_per_s is None and not self._tells_of_no_limit(metadata):
            return
        limits = self._view.endpoint_limits
        incarnation_id = endpoint.incarnation_id
        before_per_s = limits.rate_per_s(incarnation_id)
        if limits.observe_answer(incarnation_id, rate_per_s, sent_s=sent_s):
            log.info(
                "endpoint_limit_changed",
                request_id=request_id,
                endpoint=endpoint.endpoint_id,
                rate_per_s=rate_per_s,
                before_per_s=before_per_s,
            )
            self._permits.report_change(endpoint)

    def _tells_of_no_limit(self, metadata: AnswerMetadata) -> bool:
        """Return whether an answer without a limit shows that there is none.

        A refusal need not tell of a limit, and a malformed one may be one.
        """
        return bool(metadata.receipt) and not metadata.notices.malformed
