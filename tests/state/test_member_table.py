"""Tests of the member table."""

from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase
from testtools.matchers import Equals

from sesameknot.protocol.messages import MemberInfo
from sesameknot.state.member_table import MemberState, MemberTable

RECORDS = st.builds(
    MemberInfo,
    host_id=st.sampled_from(["a", "b"]),
    incarnation=st.integers(1, 2),
    sequence=st.integers(0, 2),
    state=st.sampled_from([state.value for state in MemberState]),
)
INITIAL_RECORDS = [
    MemberInfo(host_id=host_id, incarnation=0, state="alive") for host_id in ("a", "b")
]


class MemberTableTest(TestCase):
    @given(st.data(), st.lists(RECORDS))
    def test_the_order_of_updates_does_not_matter(self, data, records):
        """Guards against tables that diverge permanently after the same updates."""
        first, second = MemberTable(), MemberTable()
        for record in [*INITIAL_RECORDS, *records]:
            first.merge(record)
        for record in [*INITIAL_RECORDS, *data.draw(st.permutations(records))]:
            second.merge(record)
        for host_id in ("a", "b"):
            self.assertThat(first.get(host_id), Equals(second.get(host_id)))

    def test_states_win_by_incarnation_then_sequence_then_rank(self):
        """Guards against a suspicion that makes a leaving host count as live again."""
        table = MemberTable()
        updates = [
            (1, 0, "alive", True),
            (1, 0, "suspect", True),
            (1, 0, "alive", False),
            (1, 1, "alive", True),
            (1, 1, "leaving", True),
            (1, 1, "suspect", False),
            (1, 1, "dead", True),
            (1, 1, "leaving", False),
            (2, 0, "alive", True),
            (1, 9, "dead", False),
            (2, 0, "unheard-of", False),
        ]
        for incarnation, sequence, state, stored in updates:
            record = MemberInfo(
                host_id="a", incarnation=incarnation, sequence=sequence, state=state
            )
            self.assertThat((record, table.merge(record)), Equals((record, stored)))

    def test_a_forgotten_dead_host_stays_forgotten(self):
        """Guards against records of dead hosts that circulate between peers forever."""
        table = MemberTable()
        self.assertThat(
            table.merge(MemberInfo(host_id="a", incarnation=1, state="dead")),
            Equals(False),
        )
        self.assertThat(len(table), Equals(0))
