"""Bounded queue of requests that wait for a slot."""

from sesameknot.scheduling._decay import DecayingMean, DecayingSum
from sesameknot.scheduling._decision import Action, Decision, Entry, RefusalReason
from sesameknot.scheduling._fair_shares import CustomerUsage, FairShares
from sesameknot.scheduling._orderings import Order, Ordering, OrderingState
from sesameknot.scheduling._room import HostRoom

# Time constant of the rate at which requests start. Bursts last a few seconds.
DRAIN_DECAY_S = 2.0
# Time constant of the mean run time.
RUN_TIME_DECAY_S = 10.0
# Time constant of the served share and the mean work by priority. A host sees a few
# requests of each priority a second; shorter ones made the shares noisy.
PRIORITY_DECAY_S = 20.0
# A priority without requests for this long gets no reserve.
RESERVE_LIFE_S = 5.0
# Share of the time that an entry may wait within which its estimated start must lie.
# Below 1, since work is only estimated and later requests may come first; a low share
# refuses requests that could have been served. benchmarks/scheduling.py compares them.
STARTABLE_SHARE = 0.7
# The same while no request arrives: slots that end together free none for a while.
WAITING_STARTABLE_SHARE = 1.5
# Limits of the estimated drain time. The upper one also stands for an unknown rate; the
# time left of the caller limits Retry-After further.
MIN_RETRY_AFTER_S = 0.1
MAX_RETRY_AFTER_S = 5.0


class _PriorityState:
    """Recent requests of one priority."""

    __slots__ = ("last_arrival_s", "refused", "served", "shares", "work")

    def __init__(self) -> None:
        self.shares = FairShares()
        self.served = DecayingSum(PRIORITY_DECAY_S)
        self.refused = DecayingSum(PRIORITY_DECAY_S)
        self.work = DecayingMean(PRIORITY_DECAY_S)
        self.last_arrival_s = 0.0

    def served_share(self, now_s: float) -> float:
        """Return the share of requests that were served; 1 without any."""
        served = self.served.value(now_s)
        total = served + self.refused.value(now_s)
        return served / total if total else 1.0


class AdmissionQueue:
    """Decides which requests of one service run, wait or are refused on this host.

    Parameters
    ----------
    ordering : callable
        Order of the entries, one of ``ORDERINGS``.
    limit_count : int
        Entries that may wait.
    """

    __slots__ = (
        "_entries",
        "_limit_count",
        "_ordering",
        "_priorities",
        "_run_s",
        "_starts",
        "_usage",
    )

    def __init__(self, *, ordering: Ordering, limit_count: int) -> None:
        self._ordering = ordering
        self._limit_count = limit_count
        # In the order of arrival, with whether they exceed their customer's part.
        self._entries: dict[Entry, bool] = {}
        self._usage = CustomerUsage()
        self._priorities: dict[int, _PriorityState] = {}
        self._starts = DecayingSum(DRAIN_DECAY_S)
        self._run_s = DecayingMean(RUN_TIME_DECAY_S)

    def __len__(self) -> int:
        return len(self._entries)

    def offer(self, entry: Entry, room: HostRoom, now_s: float) -> Decision:
        """Decide on a new request, which is queued if it has to wait.

        The caller has started all that may start before, by :meth:`next_ready`.
        """
        state = self._priorities.setdefault(entry.priority, _PriorityState())
        state.last_arrival_s = now_s
        state.work.add(entry.work_s, now_s)
        is_surplus = self._usage.record_arrival(entry, now_s)
        if not room.crowded:
            room.occupy()
            self._record_start(entry, now_s)
            return Decision(action=Action.RUN)
        self._entries[entry] = is_surplus
        order = self._order(now_s)
        first = min(self._entries, key=order.start)
        rank = self._reserve_rank(entry.priority, now_s)
        if first is entry and room.take(rank):
            del self._entries[entry]
            self._record_start(entry, now_s)
            return Decision(action=Action.RUN)
        refused = self._unservable(order, room, now_s, STARTABLE_SHARE)
        reason = RefusalReason.LATE
        if len(self._entries) - len(refused) > self._limit_count:
            waiting = [e for e in reversed(self._entries) if e not in refused]
            refused.append(max(waiting, key=order.refuse))
            reason = RefusalReason.QUEUE_FULL
        for other in refused:
            self._refuse(other, now_s)
        displaced = tuple(other for other in refused if other is not entry)
        if entry in self._entries:
            return Decision(action=Action.WAIT, displaced=displaced)
        return Decision(
            action=Action.REFUSE,
            reason=reason,
            retry_after_s=self.retry_after_s(room, now_s),
            displaced=displaced,
        )

    def next_ready(
        self, room: HostRoom, now_s: float, *, unlimited: bool = False
    ) -> Entry | None:
        """Remove and return the next entry that may start; None if none may.

        Parameters
        ----------
        unlimited : bool, default=False
            Whether it may start without room, as requests are not scheduled any more.
        """
        if not self._entries:
            return None
        entry = min(self._entries, key=self._order(now_s).start)
        rank = self._reserve_rank(entry.priority, now_s)
        if not unlimited and not room.has_room(rank):
            return None
        room.occupy()
        del self._entries[entry]
        self._record_start(entry, now_s)
        return entry

    def expired(self, room: HostRoom, now_s: float) -> list[Entry]:
        """Remove and return the entries that can no longer meet their target."""
        if not self._entries:
            return []
        late = self._unservable(
            self._order(now_s), room, now_s, WAITING_STARTABLE_SHARE
        )
        for entry in late:
            self._refuse(entry, now_s)
        return late

    def remove(self, entry: Entry) -> None:
        """Remove an entry whose caller left; one that is not queued is ignored."""
        self._entries.pop(entry, None)

    def record_run(self, run_s: float, now_s: float) -> None:
        """Record how long a request occupied a slot."""
        self._run_s.add(run_s, now_s)

    def mean_run_s(self, now_s: float, *, min_count: float = 0.0) -> float | None:
        """Return the mean run time; None with fewer recent runs than ``min_count``."""
        count = self._run_s.count(now_s)
        return self._run_s.value(now_s) if count > 0.0 and count >= min_count else None

    def retry_after_s(self, room: HostRoom, now_s: float) -> float:
        """Return the estimated time in which the present queue drains."""
        rate_per_s = self._drain_per_s(room, now_s)
        if not rate_per_s:
            return MAX_RETRY_AFTER_S
        wait_s = (1 + len(self._entries)) / rate_per_s
        return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s))

    def served_share(self, priority: int, now_s: float) -> float:
        """Return the recent share of a priority's requests that were not refused."""
        state = self._priorities.get(priority)
        return state.served_share(now_s) if state is not None else 1.0

    def _unservable(
        self, order: Order, room: HostRoom, now_s: float, startable_share: float
    ) -> list[Entry]:
        """Return the entries to refuse so that the others can start in time.

        Where an entry would start too late, the one to refuse is that with the highest
        key among it and those before it.

        Parameters
        ----------
        order : Order
            Keys for the next start and the next refusal.
        room : HostRoom
            Slots that the entries share.
        startable_share : float
            Share of the time left within which the estimated start must lie.
        """
        refused = []
        kept: list[Entry] = []
        work_s = 0.0
        slot_count = max(1.0, room.limit, room.in_use_count)
        for entry in sorted(self._entries, key=order.start):
            time_left_s = entry.latest_start_s - now_s
            if time_left_s < 0.0:
                refused.append(entry)
                continue
            kept.append(entry)
            work_s += entry.work_s
            wait_s = (work_s - entry.work_s) / slot_count
            if wait_s > startable_share * time_left_s:
                last = max(reversed(kept), key=order.refuse)
                kept.remove(last)
                refused.append(last)
                work_s -= last.work_s
        return refused

    def _order(self, now_s: float) -> Order:
        tags = {}
        weights = self._usage.weights(now_s)
        for priority, state in self._priorities.items():
            entries = [entry for entry in self._entries if entry.priority == priority]
            if entries:
                tags.update(state.shares.start_tags(entries, weights))
        states = self._priorities.items()
        return self._ordering(
            OrderingState(
                surplus=self._entries,
                start_tags=tags,
                served_shares={p: state.served_share(now_s) for p, state in states},
                mean_work_s={p: state.work.value(now_s) for p, state in states},
                arrival_counts={p: state.work.count(now_s) for p, state in states},
            )
        )

    def _reserve_rank(self, priority: int, now_s: float) -> int:
        """Return the number of more urgent priorities that get a reserve.

        It is kept for requests that may come. If more urgent ones wait already, the
        ordering decides, which the reserve would override.
        """
        if any(entry.priority < priority for entry in self._entries):
            return 0
        return sum(
            other < priority and now_s - state.last_arrival_s < RESERVE_LIFE_S
            for other, state in self._priorities.items()
        )

    def _drain_per_s(self, room: HostRoom, now_s: float) -> float:
        """Return the rate at which requests start.

        A host that was idle until now has started few, so the rate at which those that
        run will end counts as well.
        """
        starts_per_s = self._starts.value(now_s) / DRAIN_DECAY_S
        run_s = self.mean_run_s(now_s)
        ends_per_s = room.in_use_count / run_s if run_s else 0.0
        return max(starts_per_s, ends_per_s)

    def _record_start(self, entry: Entry, now_s: float) -> None:
        state = self._priorities[entry.priority]
        state.served.add(1.0, now_s)
        weight = self._usage.weights(now_s).get(entry.customer, 1.0)
        state.shares.record_start(entry, weight)
        self._starts.add(1.0, now_s)

    def _refuse(self, entry: Entry, now_s: float) -> None:
        del self._entries[entry]
        self._priorities[entry.priority].refused.add(1.0, now_s)
