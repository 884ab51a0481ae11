"""Metrics of the request path, the configuration and the platform."""

from aioprometheus import REGISTRY, Counter, Gauge, Histogram
from aioprometheus.collectors import Registry

LATENCY_BUCKETS_S = [0.01, 0.05, 0.1, 0.2, 0.4, 0.7, 1.0, 2.0, 5.0, 10.0, 30.0]
TOKEN_GAP_BUCKETS_S = [0.005, 0.01, 0.02, 0.03, 0.047, 0.07, 0.1, 0.2, 0.5, 1.0]


class RouterMetrics:
    """All metrics of one router process.

    Parameters
    ----------
    registry : aioprometheus.collectors.Registry, default=REGISTRY
        Registry in which the metrics are registered.
    """

    def __init__(self, registry: Registry = REGISTRY) -> None:
        self.registry = registry
        self.requests = Counter(
            "sesameknot_requests_total", "Requests by outcome", registry=registry
        )
        self.attempts = Counter(
            "sesameknot_attempts_total", "Attempts by result", registry=registry
        )
        self.handovers = Counter(
            "sesameknot_handovers_total",
            "Requests offered to other hosts.",
            registry=registry,
        )
        self.model_choices = Counter(
            "sesameknot_model_choices_total",
            "Answers replaced by a larger model's or kept, by reason.",
            registry=registry,
        )
        self.request_duration_s = Histogram(
            "sesameknot_request_seconds",
            "Time to the whole answer",
            buckets=LATENCY_BUCKETS_S,
            registry=registry,
        )
        self.first_token_s = Histogram(
            "sesameknot_first_token_seconds",
            "Time to the first token",
            buckets=LATENCY_BUCKETS_S,
            registry=registry,
        )
        self.token_gap_s = Histogram(
            "sesameknot_token_gap_seconds",
            "Time between tokens",
            buckets=TOKEN_GAP_BUCKETS_S,
            registry=registry,
        )
        self.config_age_s = Gauge(
            "sesameknot_config_age_seconds",
            "Upper bound of the configuration's age",
            registry=registry,
        )
        self.in_flight = Gauge(
            "sesameknot_requests_in_flight", "Requests in flight", registry=registry
        )
        self.body_bytes = Gauge(
            "sesameknot_body_bytes",
            "Memory reserved for bodies of requests",
            registry=registry,
        )
        self.body_limit_bytes = Gauge(
            "sesameknot_body_limit_bytes",
            "Limit on the memory for bodies of requests",
            registry=registry,
        )
        self.refused_bodies = Counter(
            "sesameknot_refused_bodies_total",
            "Requests refused as the memory could not hold their bodies",
            registry=registry,
        )
        self.limited_endpoints = Gauge(
            "sesameknot_limited_endpoints",
            "Endpoints that named a limit on their request rate",
            registry=registry,
        )
        self.uneven_endpoints = Gauge(
            "sesameknot_uneven_endpoints",
            "Endpoints whose time per event differs from the mean of their service",
            registry=registry,
        )
        self.scheduling_queue = Gauge(
            "sesameknot_scheduling_queue",
            "Requests that wait for a slot, by service",
            registry=registry,
        )
        self.scheduling_slots = Gauge(
            "sesameknot_scheduling_slots",
            "Slots in use by this host, and its limit while endpoints are crowded",
            registry=registry,
        )
        self.scheduling_taken_share = Gauge(
            "sesameknot_scheduling_taken_share",
            "Share of a service's slots that all hosts use, as far as known",
            registry=registry,
        )
        self.scheduling_wait_s = Histogram(
            "sesameknot_scheduling_wait_seconds",
            "Wait of requests that did not start at once",
            buckets=LATENCY_BUCKETS_S,
            registry=registry,
        )
        self.scheduling_refusals = Counter(
            "sesameknot_scheduling_refusals_total",
            "Requests refused for lack of room",
            registry=registry,
        )
        self.platform_calls = Gauge(
            "sesameknot_platform_calls", "Calls to the platform", registry=registry
        )

    def observe_request(self, kind: str, status: int, duration_s: float) -> None:
        """Count an answered request and record its duration."""
        self.requests.inc({"kind": kind, "status": str(status)})
        self.request_duration_s.observe({"kind": kind}, duration_s)
