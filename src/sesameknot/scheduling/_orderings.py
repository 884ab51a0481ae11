"""Orders in which waiting requests start; the last one is the first to be refused."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass

from sesameknot.registry import Registry
from sesameknot.scheduling._decision import Entry

# Benefit of an answer, by priority, relative to that of the next less urgent one.
BENEFIT_RATIO = 2.0


@dataclass(slots=True, frozen=True, kw_only=True)
class OrderingState:
    """What the queue knows beside its entries.

    Parameters
    ----------
    start_tags : mapping of Entry to float
        Start tags of weighted fair sharing; comparable within one priority.
    served_shares : mapping of int to float
        Recent share of requests that were not refused, by priority.
    mean_work_s : mapping of int to float
        Recent mean work of a request, by priority.
    """

    start_tags: Mapping[Entry, float]
    served_shares: Mapping[int, float]
    mean_work_s: Mapping[int, float]


SortKey = Callable[[Entry], tuple[float, ...]]
Ordering = Callable[[OrderingState], SortKey]

ORDERINGS: Registry[Ordering] = Registry("ordering")


@ORDERINGS.register("arrival")
def order_by_arrival(state: OrderingState) -> SortKey:
    """Return a key that puts the earliest request first."""
    return lambda entry: (entry.arrived_s,)


@ORDERINGS.register("deadline")
def order_by_deadline(state: OrderingState) -> SortKey:
    """Return a key that puts the request with the earliest latest start first."""
    return lambda entry: (entry.latest_start_s,)


@ORDERINGS.register("shortest_work")
def order_by_work(state: OrderingState) -> SortKey:
    """Return a key that puts the request with the least work first."""
    return lambda entry: (entry.work_s, entry.arrived_s)


@ORDERINGS.register("weighted_fair")
def order_by_fair_shares(state: OrderingState) -> SortKey:
    """Return a key that shares among customers and ignores priorities."""
    return lambda entry: (state.start_tags[entry], entry.arrived_s)


@ORDERINGS.register("benefit_per_work")
def order_by_benefit(state: OrderingState) -> SortKey:
    """Return a key that puts the request with the most benefit per work first."""
    return lambda entry: (
        entry.work_s * BENEFIT_RATIO**entry.priority,
        entry.arrived_s,
    )


@ORDERINGS.register("priority")
def order_by_priority(state: OrderingState) -> SortKey:
    """Return a key that puts urgent requests first, shared fairly among customers."""
    return lambda entry: (entry.priority, state.start_tags[entry], entry.arrived_s)


@ORDERINGS.register("least_cost")
def order_by_least_cost(state: OrderingState) -> SortKey:
    """Return a key that serves the most benefit, but no priority before its turn.

    Priorities are ordered by their mean benefit per work. One that was served better
    than a more urgent one comes last until that one has caught up. The work of a single
    request does not count, so that large ones do not starve.
    """
    ranks: dict[int, tuple[float, float]] = {}
    least_share = 1.0
    for priority in sorted(state.mean_work_s):
        share = state.served_shares.get(priority, 1.0)
        if share > least_share:
            ranks[priority] = (1.0, float(priority))
        else:
            cost = state.mean_work_s[priority] * BENEFIT_RATIO**priority
            ranks[priority] = (0.0, cost)
        least_share = min(least_share, share)
    return lambda entry: (
        *ranks[entry.priority],
        float(entry.priority),
        state.start_tags[entry],
        entry.arrived_s,
    )
