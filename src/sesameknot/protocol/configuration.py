"""Configuration that operators set: routes, services, customers and limits."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import StrEnum


class RequestKind(StrEnum):
    """Whether requests of a route may be retried, or are answered by a stream."""

    IDEMPOTENT = "idempotent"
    AT_MOST_ONCE = "at-most-once"
    STREAM = "stream"


@dataclass(slots=True, frozen=True, kw_only=True)
class ServiceShare:
    """A service of a route; requests are split in proportion to ``weight``."""

    service: str
    weight: float


@dataclass(slots=True, frozen=True, kw_only=True)
class Route:
    """Requests with a common host and path prefix, and how they are served.

    Parameters
    ----------
    name, host, path_prefix : str
        Name of the route, and the host and the path prefix of its requests.
    kind : RequestKind
        Whether requests may be retried.
    services : tuple of ServiceShare
        Services that run the requests.
    timeout_ms : int
        Limit on the time that a caller waits.
    latency_target_ms : int
        Target for the time to the answer; for streams, to the first event.
    event_gap_ms : int, default=0
        Target for the longest gap between events of a stream; 0 if there is none.
    attempt_limit_count : int
        Limit on the endpoints that may run one request.
    priority : int
        Priority of requests; 0 is the most urgent.
    resumable : bool
        Whether an interrupted stream may be resumed at another endpoint.
    public : bool
        Whether requests need no API key.
    prompt_affinity : bool
        Whether to prefer endpoints that have the prompt in their cache.
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
        """Whether a request may be retried after an attempt that may have run."""
        if self.kind is RequestKind.STREAM:
            return self.resumable
        return self.kind is RequestKind.IDEMPOTENT


@dataclass(slots=True, frozen=True, kw_only=True)
class ServiceConfiguration:
    """A service, with the limits and model costs of its endpoints.

    Parameters
    ----------
    name : str
        Name of the service.
    slot_count : int
        Concurrent requests per endpoint; 0 if unknown.
    cold_s : float
        Time after its start during which an endpoint is cold.
    cold_rate_per_s : float
        Limit on requests per second to a cold endpoint; 0 for no limit.
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
    """A customer with its API keys; ``priority`` overrides the route's priority."""

    name: str
    keys: tuple[str, ...]
    priority: int | None = None


@dataclass(slots=True, frozen=True, kw_only=True)
class CallerLimits:
    """Limits on the size of requests and on the idle time of connections."""

    header_bytes: int = 16384
    body_bytes: int = 4 * 1024 * 1024
    idle_timeout_s: float = 15.0


class Configuration:
    """One version of the configuration, indexed for lookups by requests.

    Parameters
    ----------
    version : int
        Version number; it rises with each configuration.
    routes : iterable of Route
        All routes.
    services : iterable of ServiceConfiguration
        All services.
    customers : iterable of Customer
        All customers; if there are none, requests need no API key.
    limits : CallerLimits
        Limits on requests and connections.
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
            routes_by_prefix = self._routes_by_host.setdefault(route.host.lower(), {})
            routes_by_prefix[route.path_prefix] = route

    @property
    def routes(self) -> list[Route]:
        """All routes."""
        return [
            route
            for routes_by_prefix in self._routes_by_host.values()
            for route in routes_by_prefix.values()
        ]

    def route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching path prefix, or None."""
        routes_by_prefix = self._routes_by_host.get(host.lower())
        if not routes_by_prefix:
            return None
        end = path.rfind("/")
        # Path prefixes end with a slash, so only those parts of the path can match.
        while end >= 0:
            route = routes_by_prefix.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None

    def customer(self, key: str) -> Customer | None:
        """Return the customer with the API key ``key``, or None."""
        return self._customer_by_key.get(key)

    def service(self, name: str) -> ServiceConfiguration:
        """Return a service's configuration, or defaults if it is not configured."""
        return self.services.get(name) or ServiceConfiguration(name=name)
