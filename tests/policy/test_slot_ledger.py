"""Tests of the slots of endpoints that fall over after many refusals."""

from testtools import TestCase
from testtools.matchers import Equals

from sesameknot.clock import ManualClock
from sesameknot.policy.slot_ledger import SlotLedger

SLOT_COUNT = 3


class SlotLedgerTest(TestCase):
    def setUp(self):
        super().setUp()
        self.clock = ManualClock()
        self.ledger = SlotLedger(clock=self.clock)

    def grant(self, *, running_count=0, life_s=10.0):
        return self.ledger.grant(
            "e", slot_count=SLOT_COUNT, running_count=running_count, life_s=life_s
        )

    def release(self, grant, *, refused=False):
        self.ledger.release(
            "e", grant.grant_id, refused=refused, overload_limit_per_s=5.0
        )

    def test_no_more_slots_are_granted_than_there_are(self):
        """Guards against requests beyond the room of the endpoint."""
        grants = [self.grant() for _ in range(SLOT_COUNT + 1)]
        self.assertThat(
            [bool(g.grant_id) for g in grants], Equals([True] * 3 + [False])
        )
        self.release(grants[0])
        self.assertTrue(self.grant().grant_id)
        self.assertFalse(self.grant().grant_id)

    def test_slot_that_is_not_released_is_free_again_after_its_life(self):
        """Guards against slots that are lost with the host that held them."""
        for _ in range(SLOT_COUNT):
            self.grant(life_s=1.0)
        self.clock.advance(1.1)
        self.assertTrue(self.grant().grant_id)

    def test_requests_from_before_are_counted_at_first(self):
        """Guards against slots granted twice by a new owner."""
        self.assertFalse(self.grant(running_count=SLOT_COUNT).grant_id)
        self.clock.advance(2.1)
        self.assertTrue(self.grant(running_count=SLOT_COUNT).grant_id)

    def test_nothing_is_granted_for_a_while_after_a_refusal(self):
        """Guards against one refusal after the other at an endpoint without room."""
        self.release(self.grant(), refused=True)
        denied = self.grant()
        self.assertThat((denied.grant_id, round(denied.wait_s, 3)), Equals((0, 0.4)))
        self.clock.advance(0.41)
        self.assertTrue(self.grant().grant_id)

    def test_forgotten_endpoints_use_no_memory(self):
        """Guards against counts of endpoints that are long gone."""
        self.grant()
        self.clock.advance(61.0)
        self.ledger.expire()
        self.assertThat(len(self.ledger._ledgers), Equals(0))
