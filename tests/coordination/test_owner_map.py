"""Comparison of the owner map with a full ranking."""

from hypothesis import given, settings
from hypothesis import strategies as st
from testtools import TestCase
from testtools.matchers import Equals

from sesameknot.clock import ManualClock
from sesameknot.coordination._owner_map import OwnerMap
from sesameknot.coordination.ownership import choose_owners
from sesameknot.protocol.roster import Roster, RosterMember
from sesameknot.state.endpoint_table import EndpointSpec, EndpointTable

MEMBERS = st.dictionaries(st.integers(0, 12), st.integers(1, 3), max_size=9)
ENDPOINTS = st.sets(st.integers(0, 20), max_size=12)


class OwnerMapTest(TestCase):
    @settings(deadline=None)
    @given(st.lists(st.tuples(MEMBERS, ENDPOINTS), min_size=1, max_size=8))
    def test_it_names_the_first_owner_after_any_changes(self, changes):
        """Guards against an incremental update that misses a new owner."""
        table = EndpointTable(clock=ManualClock())
        current = [Roster()]
        owner_map = OwnerMap(table, lambda: current[0])
        for version, (members, numbers) in enumerate(changes, start=1):
            roster_members = tuple(
                RosterMember(f"h{n}", incarnation, f"10.0.0.{n}:1", "r", f"d{n % 3}")
                for n, incarnation in members.items()
            )
            current[0] = Roster(version=version, members=roster_members)
            table.configure(
                EndpointSpec(endpoint_id=f"e{n}", url="http://10.2.0.1:80")
                for n in numbers
            )
            for endpoint_id in table.ids():
                expected = choose_owners("endpoint", endpoint_id, roster_members, 1)
                self.assertThat(
                    [owner_map.owner(endpoint_id)], Equals(expected or [None])
                )
            for member in roster_members:
                owned = owner_map.owned_by(member.host_id, member.incarnation)
                expected = [n for n in table.ids() if owner_map.owner(n) == member]
                self.assertThat(owned, Equals(expected))
