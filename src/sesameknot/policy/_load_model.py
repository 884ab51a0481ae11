"""Estimate of an endpoint's present load and response time."""

import math
from collections.abc import Iterable
from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class EndpointView:
    """What a router knows about an endpoint.

    Parameters
    ----------
    endpoint_id : str
        Name of the endpoint.
    capacity_count : int
        Requests it runs at once.
    running_count, queued_count : int
        Load by its last report, requests of this router included.
    report_age_s : float
        Age of that report.
    in_flight_count : int
        Requests that this router has at the endpoint now.
    sent_since_report_count : int or None, default=None
        Those of them that are not in the report; estimated from the age if None.
    cached_tokens : int, default=0
        Prompt tokens of this request that the endpoint is believed to have cached.
    cold : bool, default=False
        Whether it is in cold start.
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
    def reported_share(self) -> float:
        """Reported requests per unit of capacity."""
        return (self.running_count + self.queued_count) / max(1, self.capacity_count)


@dataclass(slots=True, frozen=True)
class RequestShape:
    """Size and priority of a request; zero where unknown."""

    prompt_tokens: int = 0
    output_tokens: int = 0
    priority: int = 0


class LoadModel:
    """How load turns into response time.

    Parameters
    ----------
    service_time_s : float, default=4.0
        Time of a request from its start to its end, before any was observed.
    prefill_s_per_token : float, default=0.0001
        Time to process a prompt token that is not cached.
    cache_trust : float, default=0.8
        Probability that a reported prefix is still cached; cache events are late and
        have gaps.
    report_life_s : float, default=1.0
        Age at which a report has lost about two thirds of its weight. With 2 s, routers
        still acted on the same old report: p99 to the first token 1.94 s instead of
        0.45 s in the experiment with 9 endpoints.
    cold_factor : float, default=4.0
        Slowness of an endpoint in cold start.

    Notes
    -----
    Responses that the router sees correct the service time, because a workload of
    long requests occupies slots for longer than the settings can know.
    """

    __slots__ = (
        "cache_trust",
        "cold_factor",
        "prefill_s_per_token",
        "report_life_s",
        "service_time_s",
    )

    # Weight of one response in the mean service time.
    OBSERVATION_WEIGHT = 0.02

    def __init__(
        self,
        *,
        service_time_s: float = 4.0,
        prefill_s_per_token: float = 0.0001,
        cache_trust: float = 0.8,
        report_life_s: float = 1.0,
        cold_factor: float = 4.0,
    ) -> None:
        self.service_time_s = service_time_s
        self.prefill_s_per_token = prefill_s_per_token
        self.cache_trust = cache_trust
        self.report_life_s = report_life_s
        self.cold_factor = cold_factor

    def observe(self, service_time_s: float) -> None:
        """Take the time from the first token to the end of a response."""
        self.service_time_s += self.OBSERVATION_WEIGHT * (
            service_time_s - self.service_time_s
        )

    def load(self, view: EndpointView) -> float:
        """Return the estimated number of requests at the endpoint.

        Notes
        -----
        Requests that this router sent after the report are added to it. If they are
        not known, the older the report, the more of those in flight are taken as new.
        """
        new = self._new_count(view)
        reported = view.running_count + view.queued_count
        return max(reported + new, view.in_flight_count)

    def rank_load(self, view: EndpointView) -> float:
        """Return a load that compares endpoints of the same age of report.

        Notes
        -----
        What this router has in flight counts in full. What others had there when the
        report was made counts less with its age: other routers saw the same report
        and have acted on it since.
        """
        old = view.in_flight_count - self._new_count(view)
        others = max(0.0, view.running_count + view.queued_count - old)
        trust = math.exp(-max(0.0, view.report_age_s) / self.report_life_s)
        return trust * others + view.in_flight_count

    def _new_count(self, view: EndpointView) -> float:
        if view.sent_since_report_count is not None:
            return view.sent_since_report_count
        share = min(1.0, max(0.0, view.report_age_s) / self.service_time_s)
        return view.in_flight_count * share

    def fleet_wait_s(self, views: Iterable[EndpointView]) -> float:
        """Return the time that a request waits if work spreads evenly over endpoints.

        Returns
        -------
        float
            Infinite without endpoints.
        """
        load, capacity = 0.0, 0
        for view in views:
            load += self.load(view)
            capacity += view.capacity_count
        if not capacity:
            return math.inf
        return self.service_time_s * max(0.0, load - capacity) / capacity

    def response_s(self, view: EndpointView, request: RequestShape) -> float:
        """Return the estimated time that the request takes at the endpoint.

        Notes
        -----
        Below capacity, the time grows with the batch. Above it, requests wait for
        slots, a request of higher priority behind fewer of them. Cached prompt tokens
        shorten the time in proportion to the trust in them.
        """
        load = self.rank_load(view)
        capacity = max(1, view.capacity_count)
        batch_s = self.service_time_s * (0.5 + load / capacity)
        waiting = max(0.0, load + 1.0 - capacity) / (1.0 + max(0, request.priority))
        wait_s = self.service_time_s * waiting / capacity
        saved = min(view.cached_tokens, request.prompt_tokens) * self.cache_trust
        prefill_s = (request.prompt_tokens - saved) * self.prefill_s_per_token
        slowness = self.cold_factor if view.cold else 1.0
        return wait_s + slowness * (batch_s + prefill_s)
