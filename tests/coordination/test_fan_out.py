"""Tests of the fan-out tree."""

from hypothesis import given, settings
from hypothesis import strategies as st
from testtools import TestCase
from testtools.matchers import Equals, LessThan

from sesameknot.coordination._fan_out import subtrees
from sesameknot.protocol.messages import MemberInfo

HOSTS = [MemberInfo(host_id=f"h{number:03d}", state="alive") for number in range(200)]


def simulate_push(views, salt):
    """Return the push count of each host and the tree depth with these views."""
    counts, depth = dict.fromkeys(views, 0), 0
    pending = [("h000", "", 0)]
    while pending:
        name, sender, hop_count = pending.pop()
        depth = max(depth, hop_count)
        groups = subtrees(
            views[name], name, salt=salt, hop_count=hop_count, sender_id=sender
        )
        for group in groups:
            root = group[0].host_id
            counts[root] += 1
            if len(group) > 1:
                pending.append((root, name, hop_count + 1))
    return counts, depth


class SubtreesTest(TestCase):
    @settings(max_examples=30, deadline=None)
    @given(st.integers(28, 200), st.integers(0, 2**32 - 1))
    def test_equal_views_reach_every_host(self, count, salt):
        """Guards against a tree that misses a host or reaches it many times."""
        members = HOSTS[:count]
        counts, depth = simulate_push({m.host_id: members for m in members}, salt)
        reached = [counts[m.host_id] for m in members[1:]]
        self.assertThat(min(reached), Equals(1))
        self.assertThat(sum(reached) / count, LessThan(1.1))
        self.assertThat(depth, LessThan(8))

    @settings(max_examples=30, deadline=None)
    @given(st.integers(0, 2**32 - 1), st.data())
    def test_a_host_is_missed_only_by_hosts_that_do_not_know_it(self, salt, data):
        """Guards against a host missing in some views that moves other hosts."""
        views = {m.host_id: list(HOSTS) for m in HOSTS}
        unknown_ids = data.draw(
            st.sets(st.sampled_from(HOSTS[1:]).map(lambda m: m.host_id))
        )
        for name, members in views.items():
            if data.draw(st.booleans()) if name == "h000" else int(name[1:]) % 2:
                views[name] = [m for m in members if m.host_id not in unknown_ids]
        counts, _ = simulate_push(views, salt)
        missed = {name for name, count in counts.items() if count == 0} - {"h000"}
        self.assertThat(missed - unknown_ids, Equals(set()))
