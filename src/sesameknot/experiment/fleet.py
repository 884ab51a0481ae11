"""A run of routers and engine fakes under one workload."""

from dataclasses import dataclass, field

import numpy as np

from sesameknot.experiment._events import EventQueue
from sesameknot.experiment._job import Job
from sesameknot.experiment._router import EndpointState, LoadReport, RouterFake
from sesameknot.experiment._server import EngineFake, EngineProfile
from sesameknot.experiment.deployments import Deployment, draw_workload
from sesameknot.policy.endpoint_choice import LoadModel, RequestShape
from sesameknot.policy.registry import ENDPOINT_CHOICES

# A report is sampled twice per second; each router takes one per second that is one to
# three samples old.
SAMPLE_S = 0.5
REFRESH_S = 1.0
LAG_COUNTS = (1, 4)
# Cache events come late, and one in five is missing.
CACHE_EVENT_DELAY_S = (0.5, 3.0)
CACHE_EVENT_SHARE = 0.8


@dataclass(slots=True, frozen=True)
class FleetOptions:
    """What a run varies.

    Parameters
    ----------
    deployment : Deployment
        Workload and sizes.
    choice : str
        Name of the endpoint choice.
    load : float
        Offered load as share of what all endpoints carry.
    duration_s : float
        Time for which requests arrive.
    random_state : int
        Seed.
    sheds : bool, default=True
        Whether admission control is on.
    profile : EngineProfile
        Engines.
    """

    deployment: Deployment
    choice: str
    load: float
    duration_s: float
    random_state: int
    sheds: bool = True
    profile: EngineProfile = field(default_factory=EngineProfile)

    @property
    def mean_prompt_tokens(self) -> float:
        """Mean prompt size of the workload."""
        return sum(kind.share * kind.prompt_tokens for kind in self.deployment.kinds)

    @property
    def mean_output_tokens(self) -> float:
        """Mean output size of the workload."""
        return sum(kind.share * kind.output_tokens for kind in self.deployment.kinds)

    @property
    def rate_per_s(self) -> float:
        """Offered requests per second."""
        one = self.profile.rate_per_s(self.mean_prompt_tokens, self.mean_output_tokens)
        return self.load * one * self.deployment.endpoint_count


class Fleet:
    """Routers and engines that share one event queue.

    Parameters
    ----------
    options : FleetOptions
        What this run varies.
    """

    __slots__ = ("_generator", "endpoints", "events", "jobs", "options", "routers")

    def __init__(self, options: FleetOptions) -> None:
        self.options = options
        self.events = EventQueue()
        self._generator = np.random.default_rng([options.random_state, 1])
        self.jobs = self._draw_jobs()
        self.endpoints = [
            self._endpoint(position)
            for position in range(options.deployment.endpoint_count)
        ]
        self.routers = [
            self._router(index) for index in range(options.deployment.router_count)
        ]

    def run(self) -> list[Job]:
        """Run all requests to their end and return them."""
        for job in self.jobs:
            router = self.routers[job.router_index]
            self.events.schedule(job.arrived_s, router.handle, job)
        self.events.schedule(0.0, self._sample)
        for router in self.routers:
            phase_s = float(self._generator.uniform(0.0, REFRESH_S))
            self.events.schedule(phase_s, self._refresh, router)
        self.events.run()
        return self.jobs

    def _draw_jobs(self) -> list[Job]:
        options = self.options
        work = draw_workload(
            options.deployment,
            rate_per_s=options.rate_per_s,
            count=int(options.rate_per_s * options.duration_s),
            random_generator=np.random.default_rng(options.random_state),
        )
        routers = self._generator.integers(
            options.deployment.router_count, size=len(work.at_s)
        )
        kinds = options.deployment.kinds
        priorities = options.deployment.priorities()
        return [
            Job(
                index=index,
                kind_index=int(work.kind_index[index]),
                value=kinds[work.kind_index[index]].value,
                session=int(work.session[index]),
                shape=RequestShape(
                    int(work.prompt_tokens[index]),
                    int(work.output_tokens[index]),
                    priorities[work.kind_index[index]],
                ),
                arrived_s=float(work.at_s[index]),
                deadline_s=kinds[work.kind_index[index]].deadline_s,
                router_index=int(routers[index]),
            )
            for index in range(len(work.at_s))
        ]

    def _endpoint(self, position: int) -> EndpointState:
        def cached(session: int, present: bool) -> None:
            if self._generator.random() < CACHE_EVENT_SHARE:
                at_s = self.events.now_s + self._generator.uniform(*CACHE_EVENT_DELAY_S)
                change = published.add if present else published.discard
                self.events.schedule(float(at_s), change, session)

        engine = EngineFake(
            self.events,
            self.options.profile,
            on_done=lambda job: self.routers[job.router_index].done(job),
            on_failed=lambda job: self.routers[job.router_index].failed(job),
            on_cached=cached,
        )
        domain = self.options.deployment.domain_of(position)
        state = EndpointState(str(position), domain, engine)
        published = state.published_sessions
        return state

    def _router(self, index: int) -> RouterFake:
        options = self.options
        profile = options.profile
        load_model = LoadModel(
            service_time_s=profile.service_s(
                options.mean_prompt_tokens, options.mean_output_tokens
            ),
            prefill_s_per_token=profile.prefill_s_per_token,
        )
        generator = np.random.default_rng([options.random_state, 2, index])
        choice = ENDPOINT_CHOICES.get(options.choice)(
            random_generator=generator, load_model=load_model
        )
        return RouterFake(
            index,
            deployment=options.deployment,
            endpoints=self.endpoints,
            events=self.events,
            choice=choice,
            load_model=load_model,
            random_generator=generator,
            sheds=options.sheds,
        )

    def _sample(self, _: None) -> None:
        now_s = self.events.now_s
        for endpoint in self.endpoints:
            engine = endpoint.engine
            endpoint.reports.append(
                LoadReport(
                    engine.running_count,
                    len(engine.waiting),
                    engine.cold or engine.stopped,
                    now_s,
                )
            )
        if now_s < self.options.duration_s:
            self.events.schedule(now_s + SAMPLE_S, self._sample)

    def _refresh(self, router: RouterFake) -> None:
        router.refresh(int(self._generator.integers(*LAG_COUNTS)))
        now_s = self.events.now_s
        if now_s < self.options.duration_s:
            self.events.schedule(now_s + REFRESH_S, self._refresh, router)
