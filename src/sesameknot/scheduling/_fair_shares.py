"""Weighted fair sharing of slot time among customers.

References
----------
.. [1] P. Goyal, H. M. Vin, H. Cheng, "Start-time fair queueing", IEEE/ACM Transactions
   on Networking 5(5), 1997.
"""

from collections.abc import Iterable, Mapping

from sesameknot.scheduling._decay import DecayingMean, DecayingSum
from sesameknot.scheduling._decision import Entry

# A customer's usual work has this time constant, so that a burst of some seconds hardly
# raises it.
USUAL_DECAY_S = 300.0
# Time constant of the work that arrives at present.
PRESENT_DECAY_S = 4.0
# Least weight of a customer, as a share of the mean of all, so that one that is rarely
# seen is served as well.
MIN_WEIGHT_SHARE = 0.25
# A customer may send this multiple of what goes with the present work of the others,
# beyond an initial allowance: a time's worth of it, and at least some requests, since a
# host sees most customers less than once a second.
SURPLUS_FACTOR = 2.0
ALLOWANCE_S = 3.0
ALLOWANCE_REQUEST_COUNT = 3.0
# Part of the surplus that counts as usual, so that lasting growth is accepted in time.
USUAL_PART_OF_SURPLUS = 0.25
# Above this count, the half of the customers with the least usual work is forgotten.
CUSTOMER_LIMIT_COUNT = 1000


class _Customer:
    """Usual work of one customer, and the work that it may send now."""

    __slots__ = ("allowance_s", "present", "updated_s", "usual")

    def __init__(self, now_s: float) -> None:
        self.present = DecayingSum(PRESENT_DECAY_S)
        self.usual = DecayingSum(USUAL_DECAY_S)
        self.allowance_s = 0.0
        self.updated_s = now_s


class CustomerUsage:
    """Usual and present work of the customers of a service."""

    __slots__ = ("_customers", "_present", "_work")

    def __init__(self) -> None:
        self._customers: dict[str, _Customer] = {}
        self._present = DecayingSum(PRESENT_DECAY_S)
        self._work = DecayingMean(PRESENT_DECAY_S)

    def record_arrival(self, entry: Entry, now_s: float) -> bool:
        """Count an arrived request; return whether it exceeds its customer's part.

        Parts follow from the present work of all others: a rise of all customers
        together makes no request of theirs surplus.
        """
        self._present.add(entry.work_s, now_s)
        self._work.add(entry.work_s, now_s)
        weights = self.weights(now_s)
        customer = self._customers.get(entry.customer)
        is_new = customer is None
        if customer is None:
            if len(self._customers) >= CUSTOMER_LIMIT_COUNT:
                self._forget(now_s)
            customer = self._customers[entry.customer] = _Customer(now_s)
        customer.present.add(entry.work_s, now_s)
        rate = self._usual_rate(entry.customer, weights, now_s)
        limit_s = max(
            rate * ALLOWANCE_S, ALLOWANCE_REQUEST_COUNT * self._work.value(now_s)
        )
        refill_s = SURPLUS_FACTOR * rate * (now_s - customer.updated_s)
        customer.allowance_s += limit_s if is_new else refill_s
        customer.allowance_s = min(limit_s, customer.allowance_s)
        customer.updated_s = now_s
        # The part of an only customer is all there is.
        is_surplus = customer.allowance_s <= 0.0 and len(self._customers) > 1
        if is_surplus:
            customer.usual.add(USUAL_PART_OF_SURPLUS * entry.work_s, now_s)
        else:
            customer.allowance_s -= entry.work_s
            customer.usual.add(entry.work_s, now_s)
        return is_surplus

    def _usual_rate(
        self, name: str, weights: Mapping[str, float], now_s: float
    ) -> float:
        """Return the work per second that goes with the others' present work."""
        weight = weights.get(name, 1.0)
        others_weight = sum(weights.values()) - weights.get(name, 0.0)
        if others_weight <= 0.0:
            return 0.0
        present_s = self._present.value(now_s)
        others_s = max(0.0, present_s - self._customers[name].present.value(now_s))
        return weight / others_weight * others_s / PRESENT_DECAY_S

    def weights(self, now_s: float) -> dict[str, float]:
        """Return the weight of each customer, about 1 on average."""
        works_s = {
            name: customer.usual.value(now_s)
            for name, customer in self._customers.items()
        }
        mean_s = sum(works_s.values()) / len(works_s) if works_s else 0.0
        if mean_s <= 0.0:
            return {}
        return {
            name: max(MIN_WEIGHT_SHARE, work_s / mean_s)
            for name, work_s in works_s.items()
        }

    def _forget(self, now_s: float) -> None:
        by_work = sorted(
            self._customers, key=lambda name: self._customers[name].usual.value(now_s)
        )
        for name in by_work[: len(by_work) // 2]:
            del self._customers[name]


class FairShares:
    """Start tags of the customers of one priority.

    Notes
    -----
    Start-time fair queueing [1]_: a customer's next request starts at the virtual time
    at which its last one ended, or now if that is later. The request with the lowest
    start tag runs next. Only requests that run are charged, so that one which is
    refused costs its customer nothing.
    """

    __slots__ = ("_end_tags", "_virtual_s")

    def __init__(self) -> None:
        self._virtual_s = 0.0
        self._end_tags: dict[str, float] = {}

    def start_tags(
        self, entries: Iterable[Entry], weights: Mapping[str, float]
    ) -> dict[Entry, float]:
        """Return the start tag of each entry, given in the order of arrival."""
        next_tags: dict[str, float] = {}
        tags = {}
        for entry in entries:
            customer = entry.customer
            tag = next_tags.get(customer)
            if tag is None:
                tag = max(self._virtual_s, self._end_tags.get(customer, 0.0))
            tags[entry] = tag
            next_tags[customer] = tag + entry.work_s / weights.get(customer, 1.0)
        return tags

    def record_start(self, entry: Entry, weight: float) -> None:
        """Charge a request that runs to its customer."""
        start_tag = max(self._virtual_s, self._end_tags.get(entry.customer, 0.0))
        self._virtual_s = start_tag
        if len(self._end_tags) >= CUSTOMER_LIMIT_COUNT:
            self._end_tags = {
                name: tag for name, tag in self._end_tags.items() if tag > start_tag
            }
        self._end_tags[entry.customer] = start_tag + entry.work_s / weight
