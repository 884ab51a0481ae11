"""Failure domain experiment: service while a domain leaves and returns."""

from dataclasses import dataclass

from sesameknot.experiment._job import Job, JobOutcome
from sesameknot.experiment.deployments import DEPLOYMENTS
from sesameknot.experiment.fleet import Fleet, FleetOptions
from sesameknot.experiment.settings import DomainChangeSettings

# Time after a sudden failure at which operators take the domain out.
OPERATOR_DELAY_S = 10.0


@dataclass(slots=True, frozen=True)
class DomainChangeOutcome:
    """Result of one choice at one load.

    Parameters
    ----------
    choice : str
        Endpoint choice.
    load : float
        Offered load as share of what all endpoints carry.
    shed_count, late_count, lost_count : int
        Requests of the whole run that were refused as "not run", late, or lost.
    late_send_count : int
        Requests sent to the domain after its state had spread.
    missing_share : float
        Offered work that the remaining endpoints cannot carry, while it is out.
    lost_work_share : float
        Work of the requests that arrived in that time and were not served on time.
    lost_shares : tuple of float
        The same per request kind, from the least to the most valuable, by count.
    """

    choice: str
    load: float
    shed_count: int
    late_count: int
    lost_count: int
    late_send_count: int
    missing_share: float
    lost_work_share: float
    lost_shares: tuple[float, ...]


def run_domain_change(settings: DomainChangeSettings) -> list[DomainChangeOutcome]:
    """Run every choice at every load; the first domain leaves and returns."""
    outcomes = []
    for load in settings.loads:
        for choice in settings.choices:
            options = FleetOptions(
                deployment=DEPLOYMENTS[settings.deployment],
                choice=choice,
                load=load,
                duration_s=settings.duration_s,
                random_state=settings.random_state,
            )
            outcomes.append(_run(_ChangingFleet(options, settings)))
    return outcomes


class _ChangingFleet(Fleet):
    """A fleet whose first failure domain leaves and returns."""

    __slots__ = ("domain", "late_send_count", "settings")

    def __init__(self, options: FleetOptions, settings: DomainChangeSettings) -> None:
        super().__init__(options)
        self.settings = settings
        self.domain = options.deployment.domains[0]
        self.late_send_count = 0
        out_at_s, stop_at_s = settings.out_at_s, settings.out_at_s + settings.grace_s
        if settings.sudden:
            stop_at_s = settings.out_at_s
            out_at_s = settings.out_at_s + OPERATOR_DELAY_S
        self.events.schedule(out_at_s, self._spread, True)
        self.events.schedule(stop_at_s, self._stop)
        self.events.schedule(settings.back_at_s, self._start)
        self.events.schedule(settings.back_at_s, self._spread, False)

    def _spread(self, out: bool) -> None:
        for router in self.routers:
            delay_s = float(self._generator.uniform(0.0, self.settings.spread_s))
            change = router.out_domains.add if out else router.out_domains.discard
            self.events.schedule(self.events.now_s + delay_s, change, self.domain)

    def _stop(self, _: None) -> None:
        for endpoint in self.endpoints:
            if endpoint.domain == self.domain:
                endpoint.engine.stop()

    def _start(self, _: None) -> None:
        for endpoint in self.endpoints:
            if endpoint.domain == self.domain:
                endpoint.engine.start(self.settings.cold_s)


def _run(fleet: _ChangingFleet) -> DomainChangeOutcome:
    settings, options = fleet.settings, fleet.options
    jobs = fleet.run()
    out = [
        job for job in jobs if settings.out_at_s <= job.arrived_s < settings.back_at_s
    ]
    remaining = sum(e.domain != fleet.domain for e in fleet.endpoints)
    carried = remaining / len(fleet.endpoints) / options.load
    lost = [job for job in out if job.outcome is not JobOutcome.ON_TIME]
    kinds = options.deployment.kinds
    order = sorted(range(len(kinds)), key=lambda i: kinds[i].value)
    return DomainChangeOutcome(
        choice=options.choice,
        load=options.load,
        shed_count=_count(jobs, JobOutcome.SHED),
        late_count=_count(jobs, JobOutcome.LATE),
        lost_count=_count(jobs, JobOutcome.LOST) + _count(jobs, JobOutcome.OPEN),
        late_send_count=_late_sends(fleet, out),
        missing_share=max(0.0, 1.0 - carried),
        lost_work_share=_work(lost) / _work(out),
        lost_shares=tuple(
            sum(job.kind_index == i for job in lost)
            / max(1, sum(job.kind_index == i for job in out))
            for i in order
        ),
    )


def _late_sends(fleet: _ChangingFleet, jobs: list[Job]) -> int:
    settings = fleet.settings
    limit_s = settings.out_at_s + settings.spread_s
    if settings.sudden:
        limit_s += OPERATOR_DELAY_S
    return sum(
        job.endpoint_index >= 0
        and fleet.endpoints[job.endpoint_index].domain == fleet.domain
        and limit_s < job.sent_s < settings.back_at_s
        for job in jobs
    )


def _count(jobs: list[Job], outcome: JobOutcome) -> int:
    return sum(job.outcome is outcome for job in jobs)


def _work(jobs: list[Job]) -> int:
    return sum(job.shape.output_tokens for job in jobs)
