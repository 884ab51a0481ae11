"""Tests of the freshness rules against a naive version."""

from dataclasses import dataclass, field

from hypothesis import given, settings
from hypothesis import strategies as st
from testtools import TestCase
from testtools.matchers import Equals, Is

from sesameknot.clock import ManualClock
from sesameknot.coordination._majority import holds_majority
from sesameknot.coordination.freshness import SIGHT_WINDOW_S, Freshness, Verdict

HOSTS = ["a", "b", "c", "d", "e"]


@dataclass
class NaiveFreshness:
    """Keeps all reports with their times and applies the rules of the design page."""

    roster: list[str]
    now_s: float = 0.0
    reads_s: list[float] = field(default_factory=list)
    reports: list[tuple] = field(default_factory=list)

    def verdict(self) -> Verdict:
        if any(self.now_s - read_s <= 3.0 for read_s in self.reads_s):
            return Verdict.FRESH
        recent = {}
        for host_id, age_s, sent_s, same in self.reports:
            if self.now_s - sent_s <= SIGHT_WINDOW_S:
                recent[host_id] = (age_s + self.now_s - sent_s, same)
        peer_fresh = any(age_s <= 3.0 for age_s, _ in recent.values())
        seen = {"a"} | {host_id for host_id, (_, same) in recent.items() if same}
        mine = [host_id for host_id in self.roster if host_id in seen]
        others = [host_id for host_id in self.roster if host_id not in seen]
        majority = len(mine) > len(others) or (
            len(mine) == len(others) and mine != [] and min(mine) < min(others)
        )
        if self.reads_s and majority and not peer_fresh:
            return Verdict.PLATFORM_OUTAGE
        return Verdict.STALE


# Quarters of a second are exact in binary, so both versions compare equal bounds.
QUARTERS = st.integers(0, 20).map(lambda count: count / 4)
STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("wait"), QUARTERS),
        st.tuples(st.just("read"), QUARTERS),
        st.tuples(
            st.just("report"), st.sampled_from(HOSTS[1:]), QUARTERS, st.booleans()
        ),
    ),
    max_size=20,
)

# Half of the examples start just above the stale limit, where peers decide.
STARTS = st.sampled_from([[], [("read", 0.0), ("wait", 3.25)]])


class FreshnessTest(TestCase):
    @settings(max_examples=300)
    @given(st.sets(st.sampled_from(HOSTS)).map(sorted), STARTS, STEPS)
    def test_verdicts_equal_the_naive_rules(self, roster, start, steps):
        """Guards against a host that accepts work on an old configuration."""
        clock = ManualClock(0.0)
        freshness = Freshness(clock, host_id="a", roster_ids=lambda: roster)
        naive = NaiveFreshness(roster)
        for step, *values in [*start, *steps]:
            if step == "wait":
                clock.advance(values[0])
                naive.now_s += values[0]
            elif step == "read":
                freshness.confirmed(values[0])
                naive.reads_s.append(naive.now_s - values[0])
            else:
                host_id, age_s, same = values
                freshness.peer_reported(
                    host_id, age_s, sent_s=naive.now_s, same_config=same
                )
                naive.reports.append((host_id, age_s, naive.now_s, same))
            self.assertThat(freshness.verdict(), Equals(naive.verdict()))

    def test_a_fresh_peer_with_another_configuration_makes_this_host_stale(self):
        """Guards against an outage verdict while others read newer objects."""
        clock = ManualClock()
        freshness = Freshness(clock, host_id="a", roster_ids=lambda: HOSTS)
        freshness.confirmed(0.0)
        clock.advance(4.0)
        for host_id in HOSTS[1:]:
            freshness.peer_reported(
                host_id, 4.0, sent_s=clock.monotonic_s(), same_config=True
            )
        self.assertThat(freshness.verdict(), Is(Verdict.PLATFORM_OUTAGE))
        freshness.peer_reported("b", 1.0, sent_s=clock.monotonic_s(), same_config=False)
        self.assertThat(freshness.verdict(), Is(Verdict.STALE))

    def test_an_older_confirmation_does_not_raise_the_age(self):
        """Guards against a late answer that makes a fresh host stale."""
        clock = ManualClock()
        freshness = Freshness(clock, host_id="a")
        self.assertThat(freshness.may_accept(), Is(False))
        freshness.confirmed(1.0)
        clock.advance(0.5)
        freshness.confirmed(30.0)
        self.assertThat(freshness.age_ms(), Equals(1500.0))

    def test_refusal_on_platform_loss_is_a_choice_of_the_settings(self):
        """Guards against serving without the platform where that is not wanted."""
        for choice, accepts in (("serve", True), ("refuse", False)):
            clock = ManualClock()
            freshness = Freshness(
                clock, host_id="a", on_platform_loss=choice, roster_ids=lambda: ["a"]
            )
            freshness.confirmed(0.0)
            clock.advance(4.0)
            self.assertThat(freshness.verdict(), Is(Verdict.PLATFORM_OUTAGE))
            self.assertThat(freshness.may_accept(), Is(accepts))

    def test_a_large_roster_needs_most_of_a_sample_to_answer(self):
        """Guards against trust in a member table that is behind a partition."""
        clock, roster = ManualClock(), [f"h{number}" for number in range(100)]
        freshness = Freshness(
            clock, host_id="h0", roster_ids=lambda: roster, live_ids=lambda: roster
        )
        freshness.confirmed(5.0)
        self.assertThat(freshness.verdict(), Is(Verdict.STALE))
        freshness.sampled(roster[1:17])
        for name in roster[1:10]:
            self.assertThat(freshness.verdict(), Is(Verdict.STALE))
            freshness.peer_reported(
                name, 5.0, sent_s=clock.monotonic_s(), same_config=True
            )
        self.assertThat(freshness.verdict(), Is(Verdict.PLATFORM_OUTAGE))
        clock.advance(SIGHT_WINDOW_S + 0.01)
        self.assertThat(freshness.verdict(), Is(Verdict.STALE))

    @given(st.sets(st.sampled_from(HOSTS)), st.sets(st.sampled_from(HOSTS)))
    def test_only_one_side_of_a_split_holds_the_majority(self, roster, side):
        """Guards against two halves, or none, that hold an evenly split roster."""
        sides = [holds_majority(roster, side), holds_majority(roster, roster - side)]
        self.assertThat(sum(sides), Equals(1 if roster else 0))
