"""Estimate of an endpoint's present load and response time."""

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
    """

    endpoint_id: str
    capacity_count: int
    running_count: int = 0
    queued_count: int = 0
    report_age_s: float = 0.0
    in_flight_count: int = 0
    sent_since_report_count: int | None = None
    cached_tokens: int = 0

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


@dataclass(slots=True, frozen=True)
class LoadModel:
    """How load turns into response time.

    Parameters
    ----------
    service_s : float, default=4.0
        Usual time of a request at a half loaded endpoint.
    prefill_s_per_token : float, default=0.0002
        Time to process a prompt token that is not cached.
    cache_trust : float, default=0.8
        Probability that a reported prefix is still cached; cache events are late and
        have gaps.
    """

    service_s: float = 4.0
    prefill_s_per_token: float = 0.0002
    cache_trust: float = 0.8

    def load(self, view: EndpointView) -> float:
        """Return the estimated number of requests at the endpoint.

        Notes
        -----
        Requests that this router sent after the report are added to it. If they are
        not known, the older the report, the more of those in flight are taken as new.
        """
        new = view.sent_since_report_count
        if new is None:
            share = min(1.0, max(0.0, view.report_age_s) / self.service_s)
            new = view.in_flight_count * share
        reported = view.running_count + view.queued_count
        return max(reported + new, view.in_flight_count)

    def response_s(self, view: EndpointView, request: RequestShape) -> float:
        """Return the estimated time that the request takes at the endpoint.

        Notes
        -----
        Below capacity, the time grows with the batch. Above it, requests wait for
        slots, a request of higher priority behind fewer of them. Cached prompt tokens
        shorten the time in proportion to the trust in them.
        """
        load = self.load(view)
        capacity = max(1, view.capacity_count)
        batch_s = self.service_s * (0.5 + min(load, capacity) / capacity)
        waiting = max(0.0, load + 1.0 - capacity) / (1.0 + max(0, request.priority))
        wait_s = self.service_s * waiting / capacity
        saved = min(view.cached_tokens, request.prompt_tokens) * self.cache_trust
        prefill_s = (request.prompt_tokens - saved) * self.prefill_s_per_token
        return batch_s + wait_s + prefill_s
