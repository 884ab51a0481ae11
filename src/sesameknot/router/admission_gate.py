"""Authorise requests, refuse those that crash endpoints and shed load."""

import secrets
from collections.abc import Callable

import structlog

from sesameknot.clock import Clock
from sesameknot.errors import RequestError
from sesameknot.policy.admission import (
    Admission,
    AdmissionLoad,
    AdmissionReason,
    AdmissionRequest,
)
from sesameknot.policy.crash_guard import CrashGuard, request_fingerprint
from sesameknot.router.call import (
    CRASHES_ENDPOINTS,
    NOT_RUN,
    PRIORITY_NORMAL,
    Call,
    CallHeaders,
    crash_guard_error,
)
from sesameknot.router.catalogue import CatalogueCache, Customer
from sesameknot.router.endpoint_picker import WaitEstimate

REQUEST_ID_BYTES = 12

_STATUS_BY_REASON = {
    AdmissionReason.RATE_LIMIT: 429,
    AdmissionReason.CONCURRENCY_LIMIT: 503,
    AdmissionReason.DEADLINE: 503,
    AdmissionReason.LOW_VALUE: 503,
}

log = structlog.get_logger(__name__)


class AdmissionGate:
    """Decide whether a request may run.

    Parameters
    ----------
    catalogue : CatalogueCache
        Settings in force.
    admission : Admission
        Sheds load and enforces rate limits.
    crash_guard : CrashGuard
        Counts the endpoints that each request crashed.
    clock : Clock
        Source of monotonic time.
    in_flight : callable
        Returns the number of requests in flight.
    concurrent_limit_count : int
        Maximum number of requests in flight.
    """

    def __init__(
        self,
        *,
        catalogue: CatalogueCache,
        admission: Admission,
        crash_guard: CrashGuard,
        clock: Clock,
        in_flight: Callable[[], int],
        concurrent_limit_count: int,
    ) -> None:
        self._catalogue = catalogue
        self._admission = admission
        self._crash_guard = crash_guard
        self._clock = clock
        self._in_flight = in_flight
        self._concurrent_limit_count = concurrent_limit_count

    def authorise(self, headers: CallHeaders, request_target: str, body: bytes) -> Call:
        """Authenticate the customer and return its call.

        Parameters
        ----------
        headers : CallHeaders
            Checked headers of the request.
        request_target : str
            Method and path, or path, that the request names.
        body : bytes
            Body of the request.

        Raises
        ------
        RequestError
            If the token is unknown, or the request crashed too many endpoints.
        """
        customer = self._authenticate(headers.token)
        fingerprint = request_fingerprint(customer.settings.name, request_target, body)
        if self._crash_guard.refuses(fingerprint):
            log.warning(
                "request_refused",
                customer=customer.settings.name,
                reason=CRASHES_ENDPOINTS,
                fingerprint=fingerprint,
            )
            raise crash_guard_error(outcome=NOT_RUN, step="crash_guard")
        return Call(
            request_id=secrets.token_hex(REQUEST_ID_BYTES),
            customer=customer,
            deadline_s=self._clock.monotonic_s() + headers.deadline_s,
            fingerprint=fingerprint,
            idempotency_key=headers.idempotency_key,
            session_id=headers.session_id,
            kind=headers.kind,
            priority=headers.priority,
        )

    def admit(self, call: Call, estimate: WaitEstimate) -> None:
        """Admit the call, or shed it under the current load.

        Parameters
        ----------
        call : Call
            Authorised call.
        estimate : WaitEstimate
            Expected wait for an endpoint and service time there.

        Raises
        ------
        RequestError
            If the customer exceeds its rate limit or the call is shed.
        """
        settings = call.customer.settings
        result = self._admission.admit(
            AdmissionRequest(
                customer=settings.name,
                value=settings.value_weight * (1 + call.priority / PRIORITY_NORMAL),
                deadline_s=call.remaining_s(self._clock),
                rate_limit_per_s=settings.rate_limit_per_s,
            ),
            AdmissionLoad(
                in_flight_count=self._in_flight(),
                limit_count=self._concurrent_limit_count,
                estimated_wait_s=estimate.wait_s,
                estimated_service_time_s=estimate.service_s,
            ),
        )
        if result.admitted:
            return
        log.info(
            "request_shed",
            request_id=call.request_id,
            customer=settings.name,
            reason=str(result.reason),
        )
        raise RequestError(
            f"refused under load: {result.reason}",
            status=_STATUS_BY_REASON[result.reason],
            outcome=NOT_RUN,
            error_type=str(result.reason),
            step="admit",
            retry_after_s=result.retry_after_s or 1.0,
        )

    def _authenticate(self, token: str) -> Customer:
        customer = self._catalogue.current.customer_by_token(token)
        if customer is None:
            raise RequestError(
                "bearer token belongs to no customer",
                status=401,
                outcome=NOT_RUN,
                error_type="unauthorised",
                step="authorise",
            )
        return customer
