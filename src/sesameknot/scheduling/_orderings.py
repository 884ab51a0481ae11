"""Orders in which waiting requests start, and in which they are refused."""

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
    surplus : mapping of Entry to bool
        Whether an entry exceeds its customer's part of the present work.
    start_tags : mapping of Entry to float
        Start tags of weighted fair sharing; comparable within one priority.
    served_shares : mapping of int to float
        Recent share of requests that were not refused, by priority.
    mean_work_s, arrival_counts : mapping of int to float
        Recent mean work of a request, and decaying count of requests, by priority.
    """

    surplus: Mapping[Entry, bool]
    start_tags: Mapping[Entry, float]
    served_shares: Mapping[int, float]
    mean_work_s: Mapping[int, float]
    arrival_counts: Mapping[int, float]


SortKey = Callable[[Entry], tuple[float, ...]]


@dataclass(slots=True, frozen=True)
class Order:
    """Keys by which entries are sorted.

    Parameters
    ----------
    start : callable
        Key of the next entry to start, which has the lowest one.
    refuse : callable
        Key of the next entry to refuse if not all can be served in time, which has the
        highest one.
    """

    start: SortKey
    refuse: SortKey


Ordering = Callable[[OrderingState], Order]

ORDERINGS: Registry[Ordering] = Registry("ordering")


@ORDERINGS.register("arrival")
def order_by_arrival(state: OrderingState) -> Order:
    """Put the earliest request first."""
    return _single_key(lambda entry: (entry.arrived_s,))


@ORDERINGS.register("deadline")
def order_by_deadline(state: OrderingState) -> Order:
    """Put the request with the earliest latest start first."""
    return _single_key(_latest_start)


@ORDERINGS.register("shortest_work")
def order_by_work(state: OrderingState) -> Order:
    """Put the request with the least work first."""
    return _single_key(lambda entry: (entry.work_s, entry.arrived_s))


@ORDERINGS.register("weighted_fair")
def order_by_fair_shares(state: OrderingState) -> Order:
    """Share among customers and ignore priorities."""
    return _single_key(lambda entry: (state.start_tags[entry], entry.arrived_s))


@ORDERINGS.register("benefit_per_work")
def order_by_benefit(state: OrderingState) -> Order:
    """Put the request with the most benefit per work first."""
    return _single_key(
        lambda entry: (entry.work_s * BENEFIT_RATIO**entry.priority, entry.arrived_s)
    )


@ORDERINGS.register("priority")
def order_by_priority(state: OrderingState) -> Order:
    """Put urgent requests first, shared fairly among customers.

    Requests beyond their customer's part come after all others.
    """
    return _single_key(
        lambda entry: (
            state.surplus[entry],
            entry.priority,
            state.start_tags[entry],
            entry.arrived_s,
        )
    )


@ORDERINGS.register("least_cost")
def order_by_least_cost(state: OrderingState) -> Order:
    """Keep the requests with the most benefit, and start the most pressing of them.

    As long as all can be served in time, it does not matter which benefit they have:
    an order by benefit would let those with the least wait until it is too late.

    The most benefit for the slot time that there is, with no priority served better
    than a more urgent one, comes from serving priorities one after the other by their
    benefit per work, where a priority that has more than a more urgent one shares its
    place with it, and both are served equally [1]_.

    The work of a single request does not count, so that large ones do not starve.
    Requests beyond their customer's part come after all others.

    References
    ----------
    .. [1] M. Ayer et al., "An empirical distribution function for sampling with
       incomplete information", Annals of Mathematical Statistics 26(4), 1955 (pool
       adjacent violators).
    """
    ranks: dict[int, tuple[float, ...]] = {}
    least_share = 1.0
    for place, priorities in enumerate(_places(state)):
        shares = [state.served_shares.get(priority, 1.0) for priority in priorities]
        for priority, share in zip(priorities, shares, strict=True):
            # A longer latency target gives a priority more time to find a slot.
            is_ahead = share > least_share
            ranks[priority] = (float(is_ahead), float(place), share, priority)
        least_share = min(least_share, *shares)
    return Order(
        start=_latest_start,
        refuse=lambda entry: (
            state.surplus[entry],
            *ranks[entry.priority],
            state.start_tags[entry],
            entry.arrived_s,
        ),
    )


def _single_key(key: SortKey) -> Order:
    """Return an order in which the last entry to start is the first to be refused."""
    return Order(start=key, refuse=key)


def _latest_start(entry: Entry) -> tuple[float, ...]:
    return (entry.latest_start_s,)


def _places(state: OrderingState) -> list[list[int]]:
    """Return the priorities of each place in the order of benefit per work."""
    # Priorities, benefit and work of each place.
    pools: list[tuple[list[int], float, float]] = []
    for priority in sorted(state.mean_work_s):
        count = state.arrival_counts.get(priority, 0.0)
        benefit = count * BENEFIT_RATIO**-priority
        pool = ([priority], benefit, count * state.mean_work_s[priority])
        while pools and pool[1] * pools[-1][2] > pools[-1][1] * pool[2]:
            previous = pools.pop()
            pool = (
                previous[0] + pool[0],
                previous[1] + pool[1],
                previous[2] + pool[2],
            )
        pools.append(pool)
    return [priorities for priorities, _, _ in pools]
