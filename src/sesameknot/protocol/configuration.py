"""Configuration that operators put in force: routes, services, customers, limits."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import StrEnum


class RequestKind(StrEnum):
    """What a route's requests allow."""

    IDEMPOTENT = "idempotent"
    AT_MOST_ONCE = "at-most-once"
    STREAM = "stream"


@dataclass(slots=True, frozen=True, kw_only=True)
class ServiceShare:
    """Part of a route's requests that goes to one service."""

    service: str
    weight: float


@dataclass(slots=True, frozen=True, kw_only=True)
class Route:
    """One route.

    Parameters
    ----------
    name, host, path_prefix : str
        Requests to ``host`` whose path begins with ``path_prefix`` belong here.
    kind : RequestKind
        Whether requests may be repeated.
    services : tuple of ServiceShare
        Where requests go.
    timeout_ms : int
        Longest time that a caller is kept waiting.
    latency_target_ms : int
        Time to the answer, for streams to the first event.
    event_gap_ms : int, default=0
        Longest pause between events for which a stream is on time; 0 if unset.
    attempt_limit_count : int
        Most endpoints that may run one request.
    priority : int
        Rank; 0 is the most urgent.
    resumable : bool
        Whether a stream may be continued at another endpoint.
    public : bool
        Whether requests need no key.
    prompt_affinity : bool
        Whether requests should go where their prompt is cached.
    models : tuple of str
        Models from the smallest to the largest; empty if the caller names one.
    """

    name: str
    host: str
    path_prefix: str
    kind: RequestKind
    services: tuple[ServiceShare, ...]
    timeout_ms: int
    latency_target_ms: int
    event_gap_ms: int = 0
    attempt_limit_count: int = 1
    priority: int = 5
    resumable: bool = False
    public: bool = False
    prompt_affinity: bool = False
    models: tuple[str, ...] = ()

    @property
    def repeatable(self) -> bool:
        """Whether a request that may have run may be sent again."""
        if self.kind is RequestKind.STREAM:
            return self.resumable
        return self.kind is RequestKind.IDEMPOTENT


@dataclass(slots=True, frozen=True, kw_only=True)
class ServiceConfiguration:
    """One service and the start-up limits of its endpoints.

    Parameters
    ----------
    name : str
        Name of the service.
    slot_count : int
        Requests that an endpoint runs at once; 0 if unknown.
    cold_s : float
        Time for which an endpoint is cold after its start.
    cold_rate_per_s : float
        Requests per second that a cold endpoint bears; 0 means no limit.
    model_costs : dict of str to float
        Cost of each model per 1,000 generated tokens.
    """

    name: str
    slot_count: int = 0
    cold_s: float = 0.0
    cold_rate_per_s: float = 0.0
    model_costs: dict[str, float] = field(default_factory=dict)


@dataclass(slots=True, frozen=True, kw_only=True)
class Customer:
    """A customer with its keys; ``priority`` replaces that of the route."""

    name: str
    keys: tuple[str, ...]
    priority: int | None = None


@dataclass(slots=True, frozen=True, kw_only=True)
class CallerLimits:
    """What callers may send, and how long they may stay idle."""

    header_bytes: int = 16384
    body_bytes: int = 4 * 1024 * 1024
    idle_timeout_s: float = 15.0


class Configuration:
    """One version of the configuration, indexed for requests.

    Parameters
    ----------
    version : int
        Number that rises with each configuration.
    routes : iterable of Route
        All routes.
    services : iterable of ServiceConfiguration
        All services.
    customers : iterable of Customer
        All customers; without any, no request needs a key.
    limits : CallerLimits
        Limits on callers.
    """

    __slots__ = (
        "_customer_by_key",
        "_routes_by_host",
        "customers",
        "limits",
        "services",
        "version",
    )

    def __init__(
        self,
        *,
        version: int,
        routes: Iterable[Route],
        services: Iterable[ServiceConfiguration] = (),
        customers: Iterable[Customer] = (),
        limits: CallerLimits | None = None,
    ) -> None:
        self.version = version
        self.services = {service.name: service for service in services}
        self.customers = tuple(customers)
        self.limits = limits or CallerLimits()
        self._customer_by_key = {
            key: customer for customer in self.customers for key in customer.keys
        }
        self._routes_by_host: dict[str, dict[str, Route]] = {}
        for route in routes:
            by_prefix = self._routes_by_host.setdefault(route.host.lower(), {})
            by_prefix[route.path_prefix] = route

    @property
    def routes(self) -> list[Route]:
        """All routes."""
        return [
            route
            for by_prefix in self._routes_by_host.values()
            for route in by_prefix.values()
        ]

    def route(self, host: str, path: str) -> Route | None:
        """Return the route of ``host`` with the longest prefix of ``path``."""
        by_prefix = self._routes_by_host.get(host.lower())
        if not by_prefix:
            return None
        end = path.rfind("/")
        # Every prefix ends with a slash, so only those places can match.
        while end >= 0:
            found = by_prefix.get(path[: end + 1])
            if found is not None:
                return found
            end = path.rfind("/", 0, end)
        return None

    def customer(self, key: str) -> Customer | None:
        """Return the customer that holds ``key``."""
        return self._customer_by_key.get(key)

    def service(self, name: str) -> ServiceConfiguration:
        """Return a service's settings, defaults if it is not configured."""
        return self.services.get(name) or ServiceConfiguration(name=name)
