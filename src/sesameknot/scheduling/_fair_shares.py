"""Weighted fair sharing of slot time among the customers of one priority.

References
----------
.. [1] P. Goyal, H. M. Vin, H. Cheng, "Start-time fair queueing", IEEE/ACM Transactions
   on Networking 5(5), 1997.
"""

from collections.abc import Iterable

from sesameknot.scheduling._decay import DecayingSum
from sesameknot.scheduling._decision import Entry

# A customer's weight is its usual work. With this time constant, a burst of some
# seconds hardly raises it.
USUAL_WORK_DECAY_S = 300.0
# Least weight of a customer, as a share of the mean of all, so that one that is rarely
# seen is served as well.
MIN_WEIGHT_SHARE = 0.25
# Above this count, the half of the customers with the least usual work is forgotten.
CUSTOMER_LIMIT_COUNT = 1000


class FairShares:
    """Start tags of the customers of one priority.

    Notes
    -----
    Start-time fair queueing [1]_: a customer's next request starts at the virtual time
    at which its last one ended, or now if that is later. The request with the lowest
    start tag runs next. Only requests that run are charged, so that one which is
    refused costs its customer nothing.
    """

    __slots__ = ("_end_tags", "_usual_work", "_virtual_s")

    def __init__(self) -> None:
        self._virtual_s = 0.0
        self._end_tags: dict[str, float] = {}
        self._usual_work: dict[str, DecayingSum] = {}

    def record_arrival(self, entry: Entry, now_s: float) -> None:
        """Count an arrived request towards its customer's usual work."""
        if len(self._usual_work) >= CUSTOMER_LIMIT_COUNT:
            self._forget(now_s)
        usual = self._usual_work.setdefault(
            entry.customer, DecayingSum(USUAL_WORK_DECAY_S)
        )
        usual.add(entry.work_s, now_s)

    def _forget(self, now_s: float) -> None:
        by_work = sorted(
            self._usual_work, key=lambda name: self._usual_work[name].value(now_s)
        )
        for name in by_work[: len(by_work) // 2]:
            del self._usual_work[name]
            self._end_tags.pop(name, None)

    def start_tags(self, entries: Iterable[Entry], now_s: float) -> dict[Entry, float]:
        """Return the start tag of each entry, given in the order of arrival."""
        weights = self._weights(now_s)
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

    def record_start(self, entry: Entry, now_s: float) -> None:
        """Charge a request that runs to its customer."""
        weight = self._weights(now_s).get(entry.customer, 1.0)
        start_tag = max(self._virtual_s, self._end_tags.get(entry.customer, 0.0))
        self._virtual_s = start_tag
        self._end_tags[entry.customer] = start_tag + entry.work_s / weight

    def _weights(self, now_s: float) -> dict[str, float]:
        """Return the weight of each customer, 1 on average."""
        works = {name: usual.value(now_s) for name, usual in self._usual_work.items()}
        mean = sum(works.values()) / len(works) if works else 0.0
        if mean <= 0.0:
            return {}
        return {
            name: max(MIN_WEIGHT_SHARE, work / mean) for name, work in works.items()
        }
