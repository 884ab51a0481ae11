"""Order, fairness and refusals of the admission queue, without a network."""

from testtools import TestCase
from testtools.matchers import Contains, Equals, GreaterThan, HasLength, LessThan

from sesameknot.scheduling import (
    ORDERINGS,
    Action,
    AdmissionQueue,
    Entry,
    HostRoom,
    RefusalReason,
    RequestSize,
    RoomLimits,
    RoomLoads,
    WorkEstimator,
)


def full_room(slot_count=10, taken_count=None):
    """Return the room of a single host whose slots are taken."""
    room = HostRoom(RoomLimits(endpoint_queue_share=0.0, reserve_share=0.0))
    loads = RoomLoads(
        slot_count=slot_count, other_in_flight_count=0, report_s=0.0, peers_heard=True
    )
    room.update(loads, 1, 0.0)
    for _ in range(slot_count if taken_count is None else taken_count):
        room.occupy()
    return room


def entry(now_s=0.0, *, priority=0, customer="a", work_s=1.0, wait_s=2.0):
    """Return an entry that arrives at ``now_s`` and may wait for ``wait_s``."""
    return Entry(
        priority=priority,
        customer=customer,
        work_s=work_s,
        arrived_s=now_s,
        latest_start_s=now_s + wait_s,
    )


class AdmissionQueueTest(TestCase):
    def make_queue(self, ordering="least_cost", limit_count=64):
        return AdmissionQueue(ordering=ORDERINGS.get(ordering), limit_count=limit_count)

    def start_all(self, queue, room, now_s=0.0, count=100):
        """Return the entries in the order in which they start, one slot at a time."""
        started = []
        while len(started) < count:
            room.give_back()
            ready = queue.next_ready(room, now_s)
            if ready is None:
                return started
            started.append(ready)
        return started

    def test_nothing_waits_while_slots_are_free(self):
        """Guards against a scheduler that costs time without overload."""
        queue, room = self.make_queue(), full_room(taken_count=0)
        for _ in range(9):
            decision = queue.offer(entry(wait_s=-1.0), room, 0.0)
            self.assertThat(decision.action, Equals(Action.RUN))

    def test_orderings(self):
        """Guards against an order that is not the named one."""
        entries = {
            "late": entry(0.0, priority=2, work_s=3.0, wait_s=9.0),
            "soon": entry(0.1, priority=1, work_s=2.0, wait_s=1.0),
            "short": entry(0.2, priority=2, work_s=0.1, wait_s=4.0, customer="b"),
            "urgent": entry(0.3, priority=0, work_s=2.5, wait_s=5.0),
        }
        expected = {
            "arrival": "late soon short urgent",
            "deadline": "soon short urgent late",
            "shortest_work": "short soon urgent late",
            "priority": "urgent soon late short",
            "least_cost": "soon short urgent late",
        }
        for name, order in expected.items():
            queue, room = self.make_queue(name), full_room()
            for offered in entries.values():
                queue.offer(offered, room, 0.3)
            started = self.start_all(queue, room, 0.3)
            names = [key for e in started for key, v in entries.items() if v is e]
            self.assertThat(" ".join(names), Equals(order), name)

    def test_late_entries_are_refused_and_a_full_queue_sheds_the_last(self):
        """Guards against refusals that are held back, and a queue without bound."""
        queue, room = self.make_queue("priority", limit_count=2), full_room()
        late = queue.offer(entry(0.0, wait_s=-0.1), room, 0.0)
        self.assertThat(late.reason, Equals(RefusalReason.LATE))
        first, second = entry(priority=1), entry(priority=2)
        queue.offer(first, room, 0.0)
        queue.offer(second, room, 0.0)
        least_urgent = queue.offer(entry(priority=3), room, 0.0)
        self.assertThat(least_urgent.reason, Equals(RefusalReason.QUEUE_FULL))
        self.assertThat(least_urgent.retry_after_s, GreaterThan(0.0))
        urgent = queue.offer(entry(), room, 0.0)
        self.assertThat(urgent.displaced, Equals((second,)))
        self.assertThat(queue.expired(room, 2.1), HasLength(2))
        self.assertThat(queue, HasLength(0))

    def test_hopeless_wait_is_refused_at_once(self):
        """Guards against callers that wait in vain."""
        queue, room = self.make_queue("arrival"), full_room()
        decisions = [queue.offer(entry(wait_s=1.0), room, 0.0) for _ in range(20)]
        waiting = [d for d in decisions if d.action is Action.WAIT]
        # Ten slots serve ten a second, of which 0.7 are taken as certain.
        self.assertThat(waiting, HasLength(8))

    def play(self, arrivals, *, ordering="least_cost", seconds=60, slots_per_s=10):
        """Offer ``arrivals(step)`` each tenth of a second; return (served, all)."""
        queue, room = self.make_queue(ordering), full_room()
        offered, started, self.refused = [], [], []
        for step in range(seconds * 10):
            now_s = step / 10
            for _ in range(slots_per_s // 10):
                room.give_back()
                self.refused += queue.expired(room, now_s)
                ready = queue.next_ready(room, now_s)
                if ready is None:
                    room.occupy()
                else:
                    started.append(ready)
            for new in arrivals(step, now_s):
                offered.append(new)
                decision = queue.offer(new, room, now_s)
                self.refused += decision.displaced
                if decision.action is Action.RUN:
                    started.append(new)
                elif decision.action is Action.REFUSE:
                    self.refused.append(new)
                self.assertThat(len(queue), LessThan(65))
        return started, offered

    def shares(self, started, offered, key):
        counts = {}
        for e in offered:
            counts.setdefault(key(e), [0, 0])[1] += 1
        for e in started:
            counts[key(e)][0] += 1
        return {name: served / total for name, (served, total) in counts.items()}

    def test_four_priorities_with_too_little_room(self):
        """Guards against a less urgent priority that is served better, by work or not.

        Demand is twice the room, and the least urgent requests are the smallest.
        """
        works_s = [2.0, 1.0, 0.5, 0.1]

        def arrivals(step, now_s):
            priority = step % 4
            return [
                entry(now_s, priority=priority, work_s=works_s[priority], wait_s=1.0)
                for _ in range(2)
            ]

        started, offered = self.play(arrivals)
        by_priority = self.shares(started, offered, lambda e: e.priority)
        for priority in range(3):
            gap = by_priority[priority + 1] - by_priority[priority]
            self.assertThat(gap, LessThan(0.05), by_priority)
        self.assertThat(len(started), GreaterThan(590))

    def test_customer_at_a_multiple_of_its_usual_rate(self):
        """Guards against a customer that takes the others' slots (7.5 times)."""

        def arrivals(step, now_s):
            # Without the burst, eight customers use nine tenths of the room.
            own = [entry(now_s, customer=f"c{step % 8}", wait_s=1.0)]
            added = entry(now_s, customer="c0", wait_s=1.0)
            is_burst = 300 <= step < 430 and step % 8
            return own * (step % 10 != 0) + [added] * bool(is_burst)

        started, offered = self.play(arrivals)
        during = [e for e in offered if 300 <= e.arrived_s * 10 < 430]
        kept = [e for e in started if 300 <= e.arrived_s * 10 < 430]
        by_customer = self.shares(kept, during, lambda e: e.customer)
        others = min(share for name, share in by_customer.items() if name != "c0")
        self.assertThat(others, GreaterThan(0.9))
        self.assertThat(by_customer["c0"], LessThan(0.4))

    def test_no_size_starves(self):
        """Guards against long prompts (a tenth of 2.5 times) that are never served."""

        def arrivals(step, now_s):
            work_s = 2.5 if step % 10 == 0 else 1.0
            name = f"c{step % 7}"
            return [
                entry(now_s, customer=name, work_s=work_s, wait_s=1.0) for _ in range(2)
            ]

        started, offered = self.play(arrivals)
        by_size = self.shares(started, offered, lambda e: e.work_s)
        overall = len(started) / len(offered)
        self.assertThat(by_size[2.5], GreaterThan(overall / 2))

    def test_all_refused_requests_come_back_at_once(self):
        """Guards against retries that take the room of requests served in time.

        Demand is twice the room, and what was refused comes again every two seconds.
        """

        def arrivals(step, now_s):
            new = [entry(now_s, priority=step % 2, wait_s=1.0) for _ in range(2)]
            if step % 20 == 0:
                new += [entry(now_s, priority=e.priority) for e in self.refused]
                self.refused = []
            return new

        started, offered = self.play(arrivals)
        # Ten slots a second; the first ones start and the last ones end outside.
        self.assertThat(len(started), GreaterThan(590))
        by_priority = self.shares(started, offered, lambda e: e.priority)
        self.assertThat(by_priority[1] - by_priority[0], LessThan(0.05))

    def test_frozen_host_clears_its_queue(self):
        """Guards against requests that wait on after a pause of the process."""
        queue, room = self.make_queue(), full_room()
        waiting = [entry(), entry(priority=2)]
        for offered in waiting:
            queue.offer(offered, room, 0.0)
        self.assertThat(set(queue.expired(room, 5.0)), Equals(set(waiting)))


class WorkEstimatorTest(TestCase):
    def test_observed_times_scale_the_estimate(self):
        """Guards against costs per token that do not fit the endpoints."""
        work = WorkEstimator(
            prefill_ms_per_token=0.015, output_ms_per_token=10.0, uncached_share=0.5
        )
        size = RequestSize(own_count=1000, shared_count=2000, output_count=100)
        before_s = work.estimate_s("r", size, 0.0)
        self.assertThat(round(before_s, 3), Equals(1.03))
        for _ in range(60):
            work.observe("r", size, 4.0, 0.0)
        self.assertThat(work.estimate_s("r", size, 0.0), GreaterThan(3.5))
        larger = RequestSize(own_count=2500, shared_count=5000, output_count=250)
        ratio = work.estimate_s("r", larger, 0.0) / work.estimate_s("r", size, 0.0)
        self.assertThat(round(ratio, 3), Equals(2.5))

    def test_names_of_orderings(self):
        """Guards against a setting whose value is unknown."""
        for name in ("least_cost", "priority", "deadline", "shortest_work", "arrival"):
            self.assertThat(ORDERINGS.names(), Contains(name))
