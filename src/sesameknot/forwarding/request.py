"""One caller's request on its way through the front process."""

from dataclasses import dataclass, field

from tornado.httputil import HTTPHeaders

from sesameknot.platform import RequestMetadata
from sesameknot.protocol.configuration import Customer, Route


@dataclass(slots=True, kw_only=True)
class ForwardedRequest:
    """A request and what happened to it so far.

    Parameters
    ----------
    facts : RequestMetadata
        What the caller's headers say.
    method, uri : str
        Passed on unchanged.
    headers : HTTPHeaders
        Headers as received.
    body : bytes or None
        Body as received; None if there was none.
    route : Route
        Route that matched.
    customer : Customer or None
        Holder of the key; None on routes that need none.
    service : str
        Service that the request goes to.
    arrived_s, deadline_s : float
        Monotonic times of arrival and of the final answer at the latest.
    session_position : float
        Fixed position of the session between 0 and 1, the same on all hosts.
    tried_ids : set of str
        Endpoints that were tried.
    run_count : int
        Attempts that may have run.
    """

    facts: RequestMetadata
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
    tried_ids: set[str] = field(default_factory=set)
    run_count: int = 0
    not_run_count: int = 0
    connect_failure_count: int = 0

    @property
    def request_id(self) -> str:
        """Identity of the request in logs."""
        return self.facts.request_id

    @property
    def priority(self) -> int:
        """Rank; that of the customer goes before that of the route."""
        if self.customer is not None and self.customer.priority is not None:
            return self.customer.priority
        return self.route.priority

    @property
    def attempts_left(self) -> bool:
        """Whether the route allows one more endpoint to run the request."""
        return self.run_count < self.route.attempt_limit_count

    def time_left_s(self, now_s: float) -> float:
        """Return the time until the deadline."""
        return self.deadline_s - now_s
