"""Estimates of the current load and response time of an endpoint."""

import math
from collections.abc import Iterable
from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class EndpointView:
    """State of an endpoint as one router sees it.

    Parameters
    ----------
    endpoint_id : str
        Identifier of the endpoint.
    capacity_count : int
        Number of requests that it runs concurrently.
    running_count, queued_count : int
        Requests in its last report, including those of this router.
    report_age_s : float
        Age of that report, in seconds.
    in_flight_count : int
        Requests of this router that are in flight at the endpoint.
    sent_since_report_count : int or None, default=None
        In-flight requests that the report does not include; if None, their number is
        estimated from the age of the report.
    cached_tokens : int, default=0
        Prompt tokens of the current request that the endpoint has probably cached.
    cold : bool, default=False
        Whether the endpoint is in cold start.
    """

    endpoint_id: str
    capacity_count: int
    running_count: int = 0
    queued_count: int = 0
    report_age_s: float = 0.0
    in_flight_count: int = 0
    sent_since_report_count: int | None = None
    cached_tokens: int = 0
    cold: bool = False

    @property
    def reported_utilisation(self) -> float:
        """Reported running and queued requests, divided by the capacity."""
        return (self.running_count + self.queued_count) / max(1, self.capacity_count)


@dataclass(slots=True, frozen=True)
class RequestShape:
    """Size and priority of a request; zero where unknown."""

    prompt_tokens: int = 0
    output_tokens: int = 0
    priority: int = 0


class LoadModel:
    """Model of the response time of an endpoint under load.

    Parameters
    ----------
    service_time_s : float, default=4.0
        Service time of a request, in seconds, until responses have been observed.
    prefill_s_per_token : float, default=0.0001
        Time to process one prompt token that is not cached, in seconds.
    cache_hit_probability : float, default=0.8
        Probability that a reported prefix is still cached; cache events arrive late
        and have gaps.
    report_decay_s : float, default=1.0
        Time constant, in seconds, of the exponential decay of a report's weight. With
        2 s, routers kept acting on the same stale report: the p99 time to the first
        token was 1.94 s instead of 0.45 s in the experiment with 9 endpoints.
    cold_factor : float, default=4.0
        Factor by which an endpoint is slower in cold start.

    Notes
    -----
    The service time follows the observed responses, because long requests occupy
    slots for longer than the settings can predict.
    """

    __slots__ = (
        "cache_hit_probability",
        "cold_factor",
        "prefill_s_per_token",
        "report_decay_s",
        "service_time_s",
    )

    # Weight of one response in the moving average of the service time.
    OBSERVATION_WEIGHT = 0.02

    def __init__(
        self,
        *,
        service_time_s: float = 4.0,
        prefill_s_per_token: float = 0.0001,
        cache_hit_probability: float = 0.8,
        report_decay_s: float = 1.0,
        cold_factor: float = 4.0,
    ) -> None:
        self.service_time_s = service_time_s
        self.prefill_s_per_token = prefill_s_per_token
        self.cache_hit_probability = cache_hit_probability
        self.report_decay_s = report_decay_s
        self.cold_factor = cold_factor

    def observe(self, service_time_s: float) -> None:
        """Update the mean with the time from the first token to the response end."""
        self.service_time_s += self.OBSERVATION_WEIGHT * (
            service_time_s - self.service_time_s
        )

    def estimated_load(self, view: EndpointView) -> float:
        """Return the estimated number of requests at the endpoint.

        Notes
        -----
        Requests that this router sent after the report are added to the reported
        ones. If their number is not known, a share of the in-flight requests that
        grows with the age of the report is assumed.
        """
        unreported = self._unreported_count(view)
        reported = view.running_count + view.queued_count
        return max(reported + unreported, view.in_flight_count)

    def discounted_load(self, view: EndpointView) -> float:
        """Return the load to rank endpoints by, discounted by the age of the report.

        Notes
        -----
        In-flight requests of this router count in full. Reported requests of other
        routers count less as the report ages: other routers have acted on the same
        report in the meantime.
        """
        reported_own = view.in_flight_count - self._unreported_count(view)
        others = max(0.0, view.running_count + view.queued_count - reported_own)
        weight = math.exp(-max(0.0, view.report_age_s) / self.report_decay_s)
        return weight * others + view.in_flight_count

    def _unreported_count(self, view: EndpointView) -> float:
        if view.sent_since_report_count is not None:
            return view.sent_since_report_count
        unreported_share = min(1.0, max(0.0, view.report_age_s) / self.service_time_s)
        return view.in_flight_count * unreported_share

    def fleet_wait_s(self, views: Iterable[EndpointView]) -> float:
        """Return the expected wait of a request under evenly balanced load.

        Returns
        -------
        float
            Wait in seconds; infinite if the endpoints have no capacity.
        """
        load, capacity = 0.0, 0
        for view in views:
            load += self.estimated_load(view)
            capacity += view.capacity_count
        if not capacity:
            return math.inf
        return self.service_time_s * max(0.0, load - capacity) / capacity

    def response_time_s(self, view: EndpointView, request: RequestShape) -> float:
        """Return the estimated response time of the request, in seconds.

        Notes
        -----
        Below capacity, the time grows with the batch size. Above it, requests also
        wait for slots; a request of higher priority waits behind fewer others. Cached
        prompt tokens save prefill time, weighted by the cache hit probability.
        """
        load = self.discounted_load(view)
        capacity = max(1, view.capacity_count)
        batch_s = self.service_time_s * (0.5 + load / capacity)
        waiting = max(0.0, load + 1.0 - capacity) / (1.0 + max(0, request.priority))
        wait_s = self.service_time_s * waiting / capacity
        saved_tokens = (
            min(view.cached_tokens, request.prompt_tokens) * self.cache_hit_probability
        )
        prefill_s = (request.prompt_tokens - saved_tokens) * self.prefill_s_per_token
        slowdown = self.cold_factor if view.cold else 1.0
        return wait_s + slowdown * (batch_s + prefill_s)
