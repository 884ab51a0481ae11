"""State of one request while it is being forwarded."""

from dataclasses import dataclass, field

from tornado.httputil import HTTPHeaders

from sesameknot.platform import RequestMetadata
from sesameknot.protocol.configuration import Customer, Route
from sesameknot.state.known_endpoint import HeldSlot, KnownEndpoint


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
    body : bytes or None
        Body as received; None if there was none.
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
    """

    metadata: RequestMetadata
    method: str
    uri: str
    headers: HTTPHeaders
    body: bytes | None
    route: Route
    customer: Customer | None
    service: str
    arrived_s: float
    deadline_s: float
    session_position: float
    tried_incarnation_ids: set[str] = field(default_factory=set)
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
    def has_attempts_left(self) -> bool:
        """Whether the attempt limit of the route allows another attempt."""
        run_count = self.prior_run_count + self.run_count
        return run_count < self.route.attempt_limit_count

    def count_run(self) -> None:
        """Count a run before the request is sent, as its answer may be lost."""
        self.run_count += 1

    def time_left_s(self, now_s: float) -> float:
        """Return the time until the deadline."""
        return self.deadline_s - now_s
