"""State of one request while it is being forwarded."""

from dataclasses import dataclass, field

from tornado.httputil import HTTPHeaders

from sesameknot.platform import RequestMetadata
from sesameknot.policy.crash_guard import request_fingerprint
from sesameknot.protocol.configuration import Customer, Route
from sesameknot.state.known_endpoint import HeldSlot, KnownEndpoint
from sesameknot.transport.request_body import RequestBody


@dataclass(slots=True, frozen=True)
class AbandonedRun:
    """A run that this host ended, so that it did not see how the endpoint fared.

    Parameters
    ----------
    endpoint : KnownEndpoint
        Endpoint of the run.
    began_s : float or None
        Monotonic time at which the head of its answer arrived; None if none did.
    """

    endpoint: KnownEndpoint
    began_s: float | None


@dataclass(slots=True, kw_only=True)
class ForwardedRequest:
    """A request and the results of its attempts so far.

    Parameters
    ----------
    metadata : RequestMetadata
        Values parsed from the caller's headers.
    method, uri : str
        Forwarded unchanged.
    headers : HTTPHeaders
        Headers as received.
    body : RequestBody or None
        Body as received, until :meth:`release_body`; None if there was none.
    route : Route
        The matching route.
    customer : Customer or None
        Customer that the API key belongs to; None if no key is needed.
    service : str
        Service whose endpoints may run the request.
    arrived_s, deadline_s : float
        Monotonic times of arrival and of the deadline for the answer.
    session_position : float
        Hash of the session between 0 and 1, the same on all hosts; compared with the
        share of a roll-out.
    tried_incarnation_ids : set of str
        Incarnations of the endpoints of all attempts so far.
    cold_permit_ids : set of str
        Incarnations of cold endpoints to whose request rate this request was counted.
    run_count : int
        Attempts that an endpoint may have run.
    not_run_count : int
        Attempts that an endpoint declared as not run.
    unsuited_count : int
        Those of them by endpoints that do not run what the request asks for.
    connect_failure_count : int
        Attempts whose connection could not be opened.
    retry_claimed : bool
        Whether a retry was taken for an attempt that is given up.
    handed_over : bool
        Whether another host handed the request over, which is not done again.
    prior_run_count : int
        Attempts before that which an endpoint may have run.
    last_event_id : str
        ID of the last event that was sent to the caller; empty before the first.
    slots : dict of str to HeldSlot
        Slots of endpoints that the request holds, by incarnation.
    abandoned_runs : list of AbandonedRun
        Runs that this host ended before their end.
    doubted_run_count : int or None
        Number of runs at which it took this host's turn, as a request that may crash
        endpoints; None if it has not.
    sent_s : dict of str to float
        Monotonic time at which the request was last sent to each endpoint.
    urgency_rank : int or None
        Rank among the requests at an endpoint, 0 to 9; None for the priority alone.
    first_event_s : float or None
        Monotonic time at which the first event for the caller arrived; None before it
        and for answers that are no streams.
    """

    metadata: RequestMetadata
    method: str
    uri: str
    headers: HTTPHeaders
    body: RequestBody | None
    route: Route
    customer: Customer | None
    service: str
    arrived_s: float
    deadline_s: float
    session_position: float
    tried_incarnation_ids: set[str] = field(default_factory=set)
    cold_permit_ids: set[str] = field(default_factory=set)
    run_count: int = 0
    not_run_count: int = 0
    unsuited_count: int = 0
    connect_failure_count: int = 0
    retry_claimed: bool = False
    handed_over: bool = False
    prior_run_count: int = 0
    last_event_id: str = ""
    slots: dict[str, HeldSlot] = field(default_factory=dict)
    abandoned_runs: list[AbandonedRun] = field(default_factory=list)
    doubted_run_count: int | None = None
    sent_s: dict[str, float] = field(default_factory=dict)
    urgency_rank: int | None = None
    first_event_s: float | None = None
    _fingerprint: int | None = None

    @property
    def fingerprint(self) -> int:
        """Hash of customer, target and body, the same on all hosts."""
        if self._fingerprint is None:
            customer = self.customer.name if self.customer is not None else ""
            blocks = self.body.blocks if self.body is not None else []
            self._fingerprint = request_fingerprint(customer, self.uri, *blocks)
        return self._fingerprint

    def release_body(self) -> None:
        """Drop the body; the fingerprint remains for crashes that show later."""
        if self.body is not None:
            _ = self.fingerprint
            self.body.release()

    @property
    def request_id(self) -> str:
        """Request ID as sent by the caller, for logs."""
        return self.metadata.request_id

    @property
    def priority(self) -> int:
        """Priority; 0 is the most urgent. The customer's overrides the route's."""
        if self.customer is not None and self.customer.priority is not None:
            return self.customer.priority
        return self.route.priority

    @property
    def endpoint_priority(self) -> int:
        """Priority that endpoints are told."""
        return self.priority if self.urgency_rank is None else self.urgency_rank

    @property
    def has_attempts_left(self) -> bool:
        """Whether the attempt limit of the route allows another attempt."""
        run_count = self.prior_run_count + self.run_count
        return run_count < self.route.attempt_limit_count

    @property
    def first_event_ms(self) -> int | None:
        """Time from the arrival to the first event for the caller, if there was one."""
        if self.first_event_s is None:
            return None
        return round((self.first_event_s - self.arrived_s) * 1000)

    def count_run(self) -> None:
        """Count a run before the request is sent, as its answer may be lost."""
        self.run_count += 1

    def time_left_s(self, now_s: float) -> float:
        """Return the time until the deadline."""
        return self.deadline_s - now_s
