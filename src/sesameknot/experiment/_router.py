"""Fake of a router that drives the real decision modules."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

import numpy as np

from sesameknot.experiment._events import EventQueue
from sesameknot.experiment._job import Job, JobOutcome
from sesameknot.experiment._server import EngineFake
from sesameknot.experiment.deployments import Deployment
from sesameknot.policy.admission import Admission, AdmissionLoad, AdmissionRequest
from sesameknot.policy.endpoint_choice import (
    EndpointChoice,
    EndpointView,
    LoadModel,
)
from sesameknot.policy.retry_budget import RetryBudget

# Time after which a router takes a silent endpoint for dead, and for how long.
DETECTION_S = 1.0
AVOID_S = 5.0
CONCURRENT_LIMIT_COUNT = 512
NO_RATE_LIMIT_PER_S = 1e9


@dataclass(slots=True)
class LoadReport:
    """Load of an engine at one time."""

    running_count: int = 0
    queued_count: int = 0
    cold: bool = False
    sampled_s: float = 0.0


@dataclass(slots=True)
class EndpointState:
    """An engine, its past reports and what is published of its cache."""

    endpoint_id: str
    domain: str
    engine: EngineFake
    reports: deque[LoadReport] = field(default_factory=lambda: deque(maxlen=8))
    published_sessions: set[int] = field(default_factory=set)


class RouterFake:
    """Admits, places and retries requests by lagging knowledge.

    Parameters
    ----------
    index : int
        Number of the router.
    deployment : Deployment
        Request kinds.
    endpoints : list of EndpointState
        All endpoints.
    events : EventQueue
        Time and callbacks.
    choice : EndpointChoice
        Choice under test.
    load_model : LoadModel
        Estimate of waiting times for admission.
    random_generator : numpy.random.Generator
        Source of draws.
    sheds : bool
        Whether admission control is on.
    """

    __slots__ = (
        "_avoid_until_s",
        "_in_flight",
        "_known",
        "_sent",
        "admission",
        "budget",
        "choice",
        "deployment",
        "endpoints",
        "events",
        "index",
        "load_model",
        "out_domains",
        "sheds",
    )

    def __init__(
        self,
        index: int,
        *,
        deployment: Deployment,
        endpoints: list[EndpointState],
        events: EventQueue,
        choice: EndpointChoice,
        load_model: LoadModel,
        random_generator: np.random.Generator,
        sheds: bool,
    ) -> None:
        self.index = index
        self.deployment = deployment
        self.endpoints = endpoints
        self.events = events
        self.choice = choice
        self.load_model = load_model
        self.sheds = sheds
        self.admission = Admission(
            clock=events.clock, random_generator=random_generator
        )
        self.budget = RetryBudget()
        self.out_domains: set[str] = set()
        self._sent: list[dict[int, float]] = [{} for _ in endpoints]
        self._in_flight = [0] * len(endpoints)
        self._avoid_until_s = [0.0] * len(endpoints)
        self._known = [LoadReport() for _ in endpoints]

    def refresh(self, lag_count: int) -> None:
        """Take the reports that are ``lag_count`` samples old."""
        for position, endpoint in enumerate(self.endpoints):
            if len(endpoint.reports) > lag_count:
                self._known[position] = endpoint.reports[-1 - lag_count]

    def handle(self, job: Job) -> None:
        """Admit and place a new request."""
        self.budget.deposit()
        views = self._views(job)
        if self.sheds and not self._admitted(job, views):
            job.outcome = JobOutcome.SHED
            return
        self._place(job, views)

    def done(self, job: Job) -> None:
        """Take a complete response."""
        self._in_flight[job.endpoint_index] -= 1
        del self._sent[job.endpoint_index][job.index]
        self.load_model.observe(job.finished_s - job.first_token_s)
        on_time = job.finished_s <= job.arrived_s + job.deadline_s
        job.outcome = JobOutcome.ON_TIME if on_time else JobOutcome.LATE

    def failed(self, job: Job) -> None:
        """Notice a failed attempt after the detection time."""
        at_s = self.events.now_s + DETECTION_S
        self.events.schedule(at_s, self._retry, job)

    def _retry(self, job: Job) -> None:
        self._in_flight[job.endpoint_index] -= 1
        del self._sent[job.endpoint_index][job.index]
        self._avoid_until_s[job.endpoint_index] = self.events.now_s + AVOID_S
        left_s = job.arrived_s + job.deadline_s - self.events.now_s
        if left_s <= 0.0 or not self.budget.try_spend():
            job.outcome = JobOutcome.LOST
            return
        self._place(job, self._views(job))

    def _place(self, job: Job, views: list[EndpointView]) -> None:
        view = self.choice.choose(views, job.shape)
        if view is None:
            job.outcome = JobOutcome.SHED if not job.attempt_count else JobOutcome.LOST
            return
        position = int(view.endpoint_id)
        job.endpoint_index = position
        job.attempt_count += 1
        job.sent_s = self.events.now_s
        self._in_flight[position] += 1
        self._sent[position][job.index] = job.sent_s
        self.endpoints[position].engine.submit(job)

    def _admitted(self, job: Job, views: list[EndpointView]) -> bool:
        pressure = AdmissionLoad(
            sum(self._in_flight),
            CONCURRENT_LIMIT_COUNT,
            self.load_model.fleet_wait_s(views),
            self._service_s(job),
        )
        request = AdmissionRequest("", job.value, job.deadline_s, NO_RATE_LIMIT_PER_S)
        return self.admission.admit(request, pressure).admitted

    def _service_s(self, job: Job) -> float:
        # The router does not know the output size, so it takes the kind's mean.
        kind = self.deployment.kinds[job.kind_index]
        profile = self.endpoints[0].engine.profile
        gap_s = profile.gap_s + profile.gap_s_per_request * profile.capacity_count
        return kind.output_tokens * gap_s

    def _views(self, job: Job) -> list[EndpointView]:
        now_s = self.events.now_s
        views = []
        for position, endpoint in enumerate(self.endpoints):
            if endpoint.domain in self.out_domains:
                continue
            if now_s < self._avoid_until_s[position]:
                continue
            report = self._known[position]
            if report.cold and not self._has_cold_slot(position):
                continue
            views.append(self._view(position, endpoint, report, job))
        return views

    def _has_cold_slot(self, position: int) -> bool:
        # The endpoint's owner grants its cold slots to as many routers, one each.
        slots = self.endpoints[position].engine.profile.cold_slot_count
        turn = (self.index - position) % self.deployment.router_count
        return turn < slots and not self._in_flight[position]

    def _view(
        self, position: int, endpoint: EndpointState, report: LoadReport, job: Job
    ) -> EndpointView:
        profile = endpoint.engine.profile
        cached = job.session in endpoint.published_sessions
        tokens = int(job.shape.prompt_tokens * profile.prefix_share) if cached else 0
        return EndpointView(
            endpoint_id=str(position),
            capacity_count=(
                profile.cold_slot_count if report.cold else profile.capacity_count
            ),
            running_count=report.running_count,
            queued_count=report.queued_count,
            report_age_s=self.events.now_s - report.sampled_s,
            in_flight_count=self._in_flight[position],
            sent_since_report_count=sum(
                sent_s > report.sampled_s for sent_s in self._sent[position].values()
            ),
            cached_tokens=tokens,
            cold=report.cold,
        )


RouterFactory = Callable[[int], RouterFake]
