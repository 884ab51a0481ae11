"""Tests of the freshness rules against a reference implementation."""

from dataclasses import dataclass, field

from hypothesis import given, settings
from hypothesis import strategies as st
from testtools import TestCase
from testtools.matchers import Equals, Is

from sesameknot.clock import ManualClock
from sesameknot.coordination._majority import holds_majority
from sesameknot.coordination.freshness import REPORT_WINDOW_S, Freshness, Verdict

HOSTS = ["a", "b", "c", "d", "e"]


@dataclass
class ReferenceFreshness:
    """Reference implementation that keeps all reports and applies the rules to them."""

    roster: list[str]
    now_s: float = 0.0
    read_times_s: list[float] = field(default_factory=list)
    reports: list[tuple] = field(default_factory=list)

    def verdict(self) -> Verdict:
        if any(self.now_s - read_time_s <= 3.0 for read_time_s in self.read_times_s):
            return Verdict.FRESH
        recent = {}
        for host_id, age_s, sent_s, same_config in self.reports:
            if self.now_s - sent_s <= REPORT_WINDOW_S:
                recent[host_id] = (age_s + self.now_s - sent_s, same_config)
        peer_fresh = any(age_s <= 3.0 for age_s, _ in recent.values())
        agreeing = {"a"} | {
            host_id for host_id, (_, same_config) in recent.items() if same_config
        }
        reachable = [host_id for host_id in self.roster if host_id in agreeing]
        unreachable = [host_id for host_id in self.roster if host_id not in agreeing]
        majority = len(reachable) > len(unreachable) or (
            len(reachable) == len(unreachable)
            and reachable != []
            and min(reachable) < min(unreachable)
        )
        if self.read_times_s and majority and not peer_fresh:
            return Verdict.PLATFORM_OUTAGE
        return Verdict.STALE


# Multiples of 0.25 s are exact in binary, so both implementations compare equal times.
DURATIONS_S = st.integers(0, 20).map(lambda count: count / 4)
ACTIONS = st.lists(
    st.one_of(
        st.tuples(st.just("wait"), DURATIONS_S),
        st.tuples(st.just("read"), DURATIONS_S),
        st.tuples(
            st.just("report"), st.sampled_from(HOSTS[1:]), DURATIONS_S, st.booleans()
        ),
    ),
    max_size=20,
)

# Half of the examples begin just above the stale limit, where peer reports decide.
INITIAL_ACTIONS = st.sampled_from([[], [("read", 0.0), ("wait", 3.25)]])


class FreshnessTest(TestCase):
    @settings(max_examples=300)
    @given(st.sets(st.sampled_from(HOSTS)).map(sorted), INITIAL_ACTIONS, ACTIONS)
    def test_verdicts_equal_the_naive_rules(self, roster, initial_actions, actions):
        """Guards against accepting requests with an outdated configuration."""
        clock = ManualClock(0.0)
        freshness = Freshness(clock, host_id="a", roster_ids=lambda: roster)
        reference = ReferenceFreshness(roster)
        for action, *values in [*initial_actions, *actions]:
            if action == "wait":
                clock.advance(values[0])
                reference.now_s += values[0]
            elif action == "read":
                freshness.confirm_age(values[0])
                reference.read_times_s.append(reference.now_s - values[0])
            else:
                host_id, age_s, same_config = values
                freshness.record_report(
                    host_id, age_s, sent_s=reference.now_s, same_config=same_config
                )
                reference.reports.append((host_id, age_s, reference.now_s, same_config))
            self.assertThat(freshness.verdict(), Equals(reference.verdict()))

    def test_a_fresh_peer_with_another_configuration_makes_this_host_stale(self):
        """Guards against an outage verdict while a peer still reads newer objects."""
        clock = ManualClock()
        freshness = Freshness(clock, host_id="a", roster_ids=lambda: HOSTS)
        freshness.confirm_age(0.0)
        clock.advance(4.0)
        for host_id in HOSTS[1:]:
            freshness.record_report(
                host_id, 4.0, sent_s=clock.monotonic_s(), same_config=True
            )
        self.assertThat(freshness.verdict(), Is(Verdict.PLATFORM_OUTAGE))
        freshness.record_report("b", 1.0, sent_s=clock.monotonic_s(), same_config=False)
        self.assertThat(freshness.verdict(), Is(Verdict.STALE))

    def test_an_older_confirmation_does_not_raise_the_age(self):
        """Guards against a delayed reply that makes a fresh host stale."""
        clock = ManualClock()
        freshness = Freshness(clock, host_id="a")
        self.assertThat(freshness.may_accept(), Is(False))
        freshness.confirm_age(1.0)
        clock.advance(0.5)
        freshness.confirm_age(30.0)
        self.assertThat(freshness.age_ms(), Equals(1500.0))

    def test_refusal_on_platform_loss_is_a_choice_of_the_settings(self):
        """Guards against serving without the platform against the settings."""
        for choice, accepts in (("serve", True), ("refuse", False)):
            clock = ManualClock()
            freshness = Freshness(
                clock, host_id="a", on_platform_loss=choice, roster_ids=lambda: ["a"]
            )
            freshness.confirm_age(0.0)
            clock.advance(4.0)
            self.assertThat(freshness.verdict(), Is(Verdict.PLATFORM_OUTAGE))
            self.assertThat(freshness.may_accept(), Is(accepts))

    def test_a_large_roster_needs_most_of_a_sample_to_answer(self):
        """Guards against a member table that does not reflect a partition yet."""
        clock, roster = ManualClock(), [f"h{number}" for number in range(100)]
        freshness = Freshness(
            clock, host_id="h0", roster_ids=lambda: roster, live_ids=lambda: roster
        )
        freshness.confirm_age(5.0)
        self.assertThat(freshness.verdict(), Is(Verdict.STALE))
        freshness.record_poll(roster[1:17])
        for name in roster[1:10]:
            self.assertThat(freshness.verdict(), Is(Verdict.STALE))
            freshness.record_report(
                name, 5.0, sent_s=clock.monotonic_s(), same_config=True
            )
        self.assertThat(freshness.verdict(), Is(Verdict.PLATFORM_OUTAGE))
        clock.advance(REPORT_WINDOW_S + 0.01)
        self.assertThat(freshness.verdict(), Is(Verdict.STALE))

    @given(st.sets(st.sampled_from(HOSTS)), st.sets(st.sampled_from(HOSTS)))
    def test_only_one_side_of_a_split_holds_the_majority(self, roster, side):
        """Guards against a majority on both sides of an even split, or on neither."""
        sides = [holds_majority(roster, side), holds_majority(roster, roster - side)]
        self.assertThat(sum(sides), Equals(1 if roster else 0))
