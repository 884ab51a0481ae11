"""Rows of the screen from the facts of a poll."""

from collections import Counter

from sesameknot.operator._screen_facts import ScreenFacts
from sesameknot.operator.fleet import RouterAnswer
from sesameknot.operator.screen_state import (
    DomainRow,
    HostRow,
    RolloutRow,
    TargetRow,
    VersionRow,
)
from sesameknot.protocol.rollout_object import ACTIVE_STATES
from sesameknot.settings.tree import ModelSettings

FRESH = "fresh"
GONE_STATES = ("dead",)


def version_rows(facts: ScreenFacts) -> list[VersionRow]:
    """Return one row per version with requests, the busiest first."""
    per_model: Counter[tuple[str, str]] = Counter()
    for stats in facts.growth:
        per_model[stats.team, stats.model] += stats.request_count
    roles = _roles(facts)
    callers = {(s.team, s.model, s.version): s.caller_count for s in facts.totals}
    rows = []
    for stats in facts.growth:
        key = (stats.team, stats.model, stats.version)
        model_count = per_model[stats.team, stats.model]
        rows.append(
            VersionRow(
                team=stats.team,
                model=stats.model,
                version=stats.version,
                role=roles.get(key, "other"),
                request_share=_ratio(stats.request_count, model_count) or 0.0,
                requests_per_s=_ratio(stats.request_count, facts.window_s) or 0.0,
                error_share=_ratio(stats.error_count, stats.request_count) or 0.0,
                caller_count=callers.get(key, 0),
                rating=_ratio(stats.rating_sum, stats.rating_count),
                first_token_ms=_ratio(
                    stats.first_token_ms_sum, stats.first_token_count
                ),
                cost_per_request_microunits=_ratio(
                    stats.cost_microunits, stats.request_count
                ),
            )
        )
    return sorted(rows, key=lambda r: (r.team, r.model, -r.requests_per_s, r.version))


def rollout_rows(facts: ScreenFacts, versions: list[VersionRow]) -> list[RolloutRow]:
    """Return one row per roll-out, active ones first."""
    plans = {
        (team.team, plan.name): plan for team in facts.teams() for plan in team.rollouts
    }
    traffic = {(row.team, row.model, row.version): row for row in versions}
    rows = []
    for rollout in facts.rollouts():
        plan = plans.get((rollout.team, rollout.name))
        if plan is None and rollout.state not in ACTIVE_STATES:
            # Operators removed the entry of a roll-out that is over.
            continue
        row = traffic.get((rollout.team, rollout.model, rollout.to_version))
        rows.append(
            RolloutRow(
                team=rollout.team,
                name=rollout.name,
                model=rollout.model,
                from_version=rollout.from_version,
                to_version=rollout.to_version,
                state=rollout.state,
                step=rollout.step,
                step_shares=list(plan.step_shares) if plan else [],
                share=rollout.share,
                request_share=row.request_share if row else 0.0,
                caller_count=row.caller_count if row else 0,
                holder=rollout.holder,
                reason=rollout.reason,
            )
        )
    order = ("running", "paused", "planned", "stopped", "complete")
    return sorted(rows, key=lambda r: (order.index(r.state), r.team, r.name))


def host_rows(facts: ScreenFacts) -> list[HostRow]:
    """Return one row per known host, those with a problem first."""
    answered: set[str] = set()
    rows = []
    for answer in facts.answers:
        row = _host_row(facts, answer)
        answered.add(row.name)
        rows.append(row)
    for name, member in facts.members.items():
        if name not in answered:
            condition = "dead" if member.state in GONE_STATES else member.state
            rows.append(
                HostRow(
                    name=name,
                    domain=member.domain,
                    condition=FRESH if condition == "alive" else condition,
                    config_age_ms=None,
                )
            )
    return sorted(rows, key=lambda r: (r.condition == FRESH, r.domain, r.name))


def domain_rows(facts: ScreenFacts, hosts: list[HostRow]) -> list[DomainRow]:
    """Return one row per failure domain."""
    states = facts.domain_states()
    endpoints = Counter(
        endpoint.domain for team in facts.teams() for endpoint in team.endpoints
    )
    counts = Counter(host.domain for host in hosts)
    fresh = Counter(host.domain for host in hosts if host.condition == FRESH)
    names = {*states, *endpoints, *counts} - {""}
    return [
        DomainRow(
            name=name,
            state=states.get(name, "in"),
            host_count=counts[name],
            fresh_count=fresh[name],
            endpoint_count=endpoints[name],
        )
        for name in sorted(names)
    ]


def target_rows(facts: ScreenFacts) -> list[TargetRow]:
    """Return latency and cost against their targets."""
    tokens = sum(stats.first_token_count for stats in facts.growth)
    mean_ms = _ratio(sum(s.first_token_ms_sum for s in facts.growth), tokens)
    limit_ms = facts.targets.first_token_ms
    rows = [
        TargetRow(
            name="mean first token",
            value=f"{mean_ms:.0f} ms" if mean_ms is not None else "no data",
            target=f"at most {limit_ms:.0f} ms",
            met=mean_ms <= limit_ms if mean_ms is not None else None,
        )
    ]
    for team in facts.teams():
        if len(team.models) > 1:
            saving = _saving(facts, team.team, team.models)
            least = facts.targets.saving_share
            rows.append(
                TargetRow(
                    name=f"{team.team}: saved against the costliest model",
                    value=f"{saving:.0%}" if saving is not None else "no data",
                    target=f"at least {least:.0%}",
                    met=saving >= least if saving is not None else None,
                )
            )
    return rows


def _saving(facts: ScreenFacts, team: str, models: list[ModelSettings]) -> float | None:
    """Return the share of cost saved, by the models' prices per output token."""
    prices = {model.name: model.output_microunits_per_token for model in models}
    highest = max(prices.values())
    spent = costly = 0.0
    for stats in facts.growth:
        price = prices.get(stats.model, 0) if stats.team == team else 0
        if price:
            spent += stats.cost_microunits
            costly += stats.cost_microunits * highest / price
    return 1.0 - spent / costly if costly else None


def _roles(facts: ScreenFacts) -> dict[tuple[str, str, str], str]:
    roles = {}
    for team in facts.teams():
        for model in team.models:
            roles[team.team, model.name, model.stable_version] = "stable"
    for rollout in facts.rollouts():
        if rollout.state in ("running", "paused", "complete"):
            key = (rollout.team, rollout.model, rollout.to_version)
            roles.setdefault(key, "new")
    for name in facts.withdrawn():
        team, _, rest = name.partition(".")
        model, _, version = rest.partition(".")
        roles[team, model, version] = "withdrawn"
    return roles


def _host_row(facts: ScreenFacts, answer: RouterAnswer) -> HostRow:
    if answer.status is None:
        name = next(
            (m.host_id for m in facts.members.values() if _is_at(m, answer)),
            answer.address,
        )
        member = facts.members.get(name)
        dead = member is not None and member.state in GONE_STATES
        return HostRow(
            name=name,
            domain=member.domain if member else "",
            condition="dead" if dead else "silent",
            config_age_ms=None,
        )
    status = answer.status
    member = facts.members.get(status.host_id)
    return HostRow(
        name=status.host_id,
        domain=member.domain if member else "",
        condition="leaving" if status.draining else status.verdict,
        # A router that has never read its configuration tells a negative age.
        config_age_ms=status.config_age_ms if status.config_age_ms >= 0 else None,
    )


def _is_at(member: object, answer: RouterAnswer) -> bool:
    return member.http_address == answer.address


def _ratio(value: float, count: float) -> float | None:
    return value / count if count else None
