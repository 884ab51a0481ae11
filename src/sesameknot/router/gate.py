"""Decide whether a request may run at all: customer, crash history, admission."""

import secrets
from collections.abc import Callable

import structlog

from sesameknot.clock import Clock
from sesameknot.errors import RequestError
from sesameknot.policy.admission import (
    Admission,
    AdmissionReason,
    AdmissionRequest,
    Pressure,
)
from sesameknot.policy.crash_guard import CrashGuard, request_fingerprint
from sesameknot.router.call import (
    CRASHES_ENDPOINTS,
    NOT_RUN,
    PRIORITY_NORMAL,
    Call,
    CallHeaders,
    crash_refusal,
)
from sesameknot.router.catalogue import CatalogueCache, Customer
from sesameknot.router.endpoint_picker import WaitEstimate

REQUEST_ID_BYTES = 12

_STATUS = {
    AdmissionReason.RATE_LIMIT: 429,
    AdmissionReason.CONCURRENCY_LIMIT: 503,
    AdmissionReason.DEADLINE: 503,
    AdmissionReason.LOW_VALUE: 503,
}

log = structlog.get_logger(__name__)


class Gate:
    """Turn checked headers into a call, or refuse it.

    Parameters
    ----------
    catalogue : CatalogueCache
        Settings in force.
    admission : Admission
        Load shedding and rate limits.
    crash_guard : CrashGuard
        Requests that took endpoints down.
    clock : Clock
        Source of monotonic time.
    in_flight : callable
        Returns the number of admitted requests.
    limit_count : int
        Most requests in flight.
    """

    def __init__(
        self,
        *,
        catalogue: CatalogueCache,
        admission: Admission,
        crash_guard: CrashGuard,
        clock: Clock,
        in_flight: Callable[[], int],
        limit_count: int,
    ) -> None:
        self._catalogue = catalogue
        self._admission = admission
        self._crash_guard = crash_guard
        self._clock = clock
        self._in_flight = in_flight
        self._limit_count = limit_count

    def open(self, headers: CallHeaders, target: str, body: bytes) -> Call:
        """Return the call of a known customer whose request is not refused.

        Raises
        ------
        RequestError
            If the customer is unknown or the request took endpoints down.
        """
        customer = self._customer(headers.token)
        fingerprint = request_fingerprint(customer.settings.name, target, body)
        if self._crash_guard.refuses(fingerprint):
            log.warning(
                "route_refused",
                customer=customer.settings.name,
                reason=CRASHES_ENDPOINTS,
                fingerprint=fingerprint,
            )
            raise crash_refusal(outcome=NOT_RUN, step="crash_guard")
        return Call(
            request_id=secrets.token_hex(REQUEST_ID_BYTES),
            customer=customer,
            deadline_s=self._clock.monotonic_s() + headers.deadline_s,
            fingerprint=fingerprint,
            key=headers.key,
            session_id=headers.session_id,
            kind=headers.kind,
            priority=headers.priority,
        )

    def admit(self, call: Call, estimate: WaitEstimate) -> None:
        """Admit the call under the present load.

        Raises
        ------
        RequestError
            If the customer is over its rate limit or the work is shed.
        """
        settings = call.customer.settings
        result = self._admission.admit(
            AdmissionRequest(
                customer=settings.name,
                value=settings.value_weight * (1 + call.priority / PRIORITY_NORMAL),
                deadline_s=call.remaining_s(self._clock),
                rate_limit_per_s=settings.rate_limit_per_s,
            ),
            Pressure(
                in_flight_count=self._in_flight(),
                limit_count=self._limit_count,
                estimated_wait_s=estimate.wait_s,
                estimated_service_s=estimate.service_s,
            ),
        )
        if result.admitted:
            return
        log.info(
            "route_shed",
            request_id=call.request_id,
            customer=settings.name,
            reason=str(result.reason),
        )
        raise RequestError(
            f"refused under load: {result.reason}",
            status=_STATUS[result.reason],
            outcome=NOT_RUN,
            error_type=str(result.reason),
            step="admit",
            retry_after_s=result.retry_after_s or 1.0,
        )

    def _customer(self, token: str) -> Customer:
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
