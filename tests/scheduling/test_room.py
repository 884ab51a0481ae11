"""Share of a host in the free slots, without a network."""

from testtools import TestCase
from testtools.matchers import Equals, GreaterThan, LessThan, MatchesAll

from sesameknot.scheduling import HostRoom, RoomLimits, RoomLoads

HOST_COUNT = 58
SLOT_COUNT = 720
REPORT_INTERVAL_S = 0.4


class HostRoomTest(TestCase):
    def setUp(self):
        super().setUp()
        self.room = HostRoom(RoomLimits())
        self.now_s = 100.0

    def report(self, other_count, *, slots=SLOT_COUNT, hosts=HOST_COUNT, heard=True):
        self.now_s += REPORT_INTERVAL_S
        loads = RoomLoads(
            slot_count=slots,
            other_in_flight_count=other_count,
            report_s=self.now_s,
            peers_heard=heard,
        )
        self.room.update(loads, hosts, self.now_s)

    def take_all(self, rank=0, limit_count=2000):
        count = 0
        while count < limit_count and self.room.take(rank):
            count += 1
        return count

    def test_all_requests_start_while_slots_are_free(self):
        """Guards against waits below nine tenths, also of one host with all load."""
        self.report(300)
        taken_count = self.take_all(rank=3)
        self.assertThat(taken_count, GreaterThan(0.9 * SLOT_COUNT - 300 - 1))

    def test_fractions_of_free_slots_accumulate(self):
        """Guards against a host that stays blocked as its part is below 1."""
        self.report(SLOT_COUNT)
        self.take_all()
        unused = self.room.limit - self.room.in_use_count
        started_count = 0
        for _ in range(10):
            # 20 free slots of 58 hosts.
            in_use_count = self.room.in_use_count
            self.report(round(1.2 * SLOT_COUNT) - 20 - in_use_count)
            started_count += self.take_all()
        self.assertThat(started_count, Equals(int(unused + 10 * 20 / HOST_COUNT)))

    def test_service_with_fewer_slots_than_hosts_blocks_no_host(self):
        """Guards against hosts without a slot that wait for good under overload."""
        for _ in range(20):
            self.report(30, slots=20)
        self.assertThat(self.take_all(rank=2), Equals(1))

    def test_idle_host_gets_its_equal_part_under_overload(self):
        """Guards against hosts that were busy first and keep all slots."""
        self.report(2 * SLOT_COUNT)
        self.assertThat(self.take_all(), Equals(14))

    def test_hosts_above_their_part_shrink_under_overload(self):
        """Guards against slots that are used again while endpoints are over full."""
        self.report(0)
        for _ in range(40):
            self.room.occupy()
        self.report(2 * SLOT_COUNT)
        self.room.give_back()
        self.assertThat(self.room.take(0), Equals(False))

    def test_host_that_hears_nobody_has_an_equal_part(self):
        """Guards against one host that fills all endpoints when it is cut off."""
        self.report(0, heard=False)
        self.assertThat(self.take_all(), MatchesAll(GreaterThan(11), LessThan(16)))

    def test_lost_endpoints_reduce_the_share_at_once(self):
        """Guards against a share of slots that are gone (a third of the endpoints)."""
        self.report(SLOT_COUNT)
        limit = self.room.limit
        loads = RoomLoads(
            slot_count=SLOT_COUNT * 2 // 3,
            other_in_flight_count=SLOT_COUNT * 2 // 3,
            report_s=self.now_s,
            peers_heard=True,
        )
        self.room.update(loads, HOST_COUNT, self.now_s + 0.1)
        self.assertThat(self.room.limit, LessThan(0.7 * limit))

    def test_less_urgent_requests_leave_a_reserve(self):
        """Guards against urgent requests that find all slots taken by others."""
        self.report(800, hosts=10)
        less_urgent_count = self.take_all(rank=2)
        self.assertThat(less_urgent_count, GreaterThan(60))
        self.assertThat(self.take_all(rank=0), GreaterThan(6))

    def test_last_of_many_priorities_keeps_most_of_the_slots(self):
        """Guards against reserves that leave nothing to the last of many priorities."""
        self.report(300, hosts=1)
        last_count = self.take_all(rank=8)
        self.report(300, hosts=1)
        first_count = last_count + self.take_all(rank=0)
        self.assertThat(last_count, GreaterThan(0.6 * first_count))
