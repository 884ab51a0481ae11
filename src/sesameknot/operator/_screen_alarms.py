"""Rules that raise the screen's alarms, in a registry filled by a decorator."""

from collections.abc import Callable, Iterable, Iterator

from sesameknot.operator._screen_facts import ScreenFacts
from sesameknot.operator.screen_state import Alarm, ScreenState
from sesameknot.protocol.rollout_object import rollout_key
from sesameknot.registry import Registry

Rule = Callable[[ScreenFacts, ScreenState], Iterable[Alarm]]

RULES: Registry[Rule] = Registry("alarm rule")

# Names that one alarm lists; the host table shows the others.
NAME_LIMIT_COUNT = 6
# Requests in the window below which an error share says little.
ERROR_SAMPLE_COUNT = 20
ROLLOUT_LEVELS = {"stopped": "warning", "paused": "notice", "complete": "notice"}
LEVELS = ("critical", "warning", "notice")


def raise_alarms(facts: ScreenFacts, state: ScreenState) -> list[Alarm]:
    """Return the alarms of all rules, the most severe first."""
    alarms = [alarm for name in RULES for alarm in RULES.get(name)(facts, state)]
    return sorted(alarms, key=lambda a: (LEVELS.index(a.level), a.code, a.text))


@RULES.register("withdrawn-traffic")
def _withdrawn_traffic(facts: ScreenFacts, state: ScreenState) -> Iterator[Alarm]:
    for row in state.versions:
        name = f"{row.team}.{row.model}.{row.version}"
        if name in facts.long_withdrawn and row.requests_per_s > 0:
            yield Alarm(
                level="critical",
                code="withdrawn-traffic",
                text=f"{row.team} {row.model}/{row.version} is withdrawn and still "
                f"counts {row.requests_per_s:.1f} requests/s",
            )


@RULES.register("hosts")
def _hosts(facts: ScreenFacts, state: ScreenState) -> Iterator[Alarm]:
    levels = {
        "stale": "critical",
        "silent": "critical",
        "dead": "warning",
        "suspect": "warning",
        "platform-outage": "warning",
    }
    for condition, level in levels.items():
        names = [host.name for host in state.hosts if host.condition == condition]
        if names:
            yield Alarm(
                level=level,
                code=f"host-{condition}",
                text=f"{len(names)} of {len(state.hosts)} hosts: {_listed(names)}",
            )


@RULES.register("not-in-force")
def _not_in_force(facts: ScreenFacts, state: ScreenState) -> Iterator[Alarm]:
    for key, names in facts.lagging.items():
        yield Alarm(
            level="critical",
            code="not-in-force",
            text=f"{key} is old on {_listed(names)}",
        )


@RULES.register("errors")
def _errors(facts: ScreenFacts, state: ScreenState) -> Iterator[Alarm]:
    limit = facts.targets.error_share
    for row in state.versions:
        count = row.requests_per_s * facts.window_s
        if count >= ERROR_SAMPLE_COUNT and row.error_share > limit:
            yield Alarm(
                level="critical",
                code="errors",
                text=f"{row.team} {row.model}/{row.version} fails "
                f"{row.error_share:.0%} of its requests",
            )


@RULES.register("target-missed")
def _targets(facts: ScreenFacts, state: ScreenState) -> Iterator[Alarm]:
    for row in state.targets:
        if row.met is False:
            yield Alarm(
                level="warning",
                code="target-missed",
                text=f"{row.name} is {row.value}, {row.target} expected",
            )


@RULES.register("rollouts")
def _rollouts(facts: ScreenFacts, state: ScreenState) -> Iterator[Alarm]:
    for row in state.rollouts:
        name = f"{row.team} {row.name}"
        if rollout_key(row.team, row.name) in facts.unattended:
            yield Alarm(
                level="warning",
                code="rollout-unattended",
                text=f"{name}: no controller works on it",
            )
        level = ROLLOUT_LEVELS.get(row.state)
        if level is not None:
            yield Alarm(
                level=level, code=f"rollout-{row.state}", text=f"{name}: {row.reason}"
            )


@RULES.register("domain-out")
def _domains(facts: ScreenFacts, state: ScreenState) -> Iterator[Alarm]:
    for domain in state.domains:
        if domain.state == "out":
            yield Alarm(
                level="notice",
                code="domain-out",
                text=f"{domain.name} is out of service",
            )


@RULES.register("objects-old")
def _objects_old(facts: ScreenFacts, state: ScreenState) -> Iterator[Alarm]:
    if facts.objects_error:
        yield Alarm(
            level="critical",
            code="objects-old",
            text=f"roll-outs and domains may be old: {facts.objects_error}",
        )


def _listed(names: list[str]) -> str:
    text = ", ".join(names[:NAME_LIMIT_COUNT])
    more = len(names) - NAME_LIMIT_COUNT
    return f"{text} and {more} more" if more > 0 else text
