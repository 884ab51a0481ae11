"""Tests of what a host knows of the limits that endpoints name."""

from testtools import TestCase
from testtools.matchers import Equals, Is

from sesameknot.clock import ManualClock
from sesameknot.state.endpoint_limits import LIMIT_LIFE_S, EndpointLimits, NamedLimit


class EndpointLimitsTest(TestCase):
    def setUp(self):
        super().setUp()
        self.clock = ManualClock()
        self.clock.advance(100.0)
        self.limits = EndpointLimits(self.clock)

    def observe(self, rate_per_s, *, sent_s=None):
        """Observe an answer to a request that was sent now, or at ``sent_s``."""
        now_s = self.clock.monotonic_s()
        return self.limits.observe_answer(
            "e", rate_per_s, sent_s=now_s if sent_s is None else sent_s
        )

    def test_limit_holds_until_a_later_answer_names_none(self):
        """Guards against a limit that ends early, or never."""
        self.assertThat(self.observe(2.0), Is(True))
        self.clock.advance(1.0)
        self.assertThat(self.observe(2.0), Is(False))
        self.assertThat(self.limits.rate_per_s("e"), Equals(2.0))
        self.clock.advance(1.0)
        self.assertThat(self.observe(None), Is(True))
        self.assertThat(self.limits.rate_per_s("e"), Is(None))

    def test_answer_that_was_long_on_its_way_ends_no_limit(self):
        """Guards against a limit ended by an answer from before it was named."""
        sent_s = self.clock.monotonic_s()
        self.clock.advance(1.0)
        self.observe(2.0)
        self.clock.advance(1.0)
        self.assertThat(self.observe(None, sent_s=sent_s), Is(False))
        self.assertThat(self.limits.rate_per_s("e"), Equals(2.0))

    def test_older_news_of_another_host_changes_nothing(self):
        """Guards against a host that brings back what is no longer so."""
        self.observe(2.0)
        older = NamedLimit(None, self.clock.monotonic_s() - 0.5)
        self.assertThat(self.limits.merge("e", older), Is(False))
        newer = NamedLimit(None, self.clock.monotonic_s() + 0.5)
        self.assertThat(self.limits.merge("e", newer), Is(True))
        self.assertThat(self.limits.rate_per_s("e"), Is(None))

    def test_limits_without_news_are_forgotten(self):
        """Guards against memory that grows with each endpoint that ever had a limit."""
        self.observe(2.0)
        self.clock.advance(LIMIT_LIFE_S + 1.0)
        self.limits.expire()
        self.assertThat(self.limits.get("e"), Is(None))
