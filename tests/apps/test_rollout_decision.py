"""Tests of the decision that moves roll-outs."""

from testtools import TestCase
from testtools.matchers import Equals

from sesameknot.apps._rollout_decision import decide
from sesameknot.protocol.messages import VersionStats
from sesameknot.settings.tree import RolloutSettings

PLAN = RolloutSettings(name="july", model="small", to_version="v2", step_min_s=30.0)


def stats(rating, count=1000):
    """Return counters of answers that were all rated alike."""
    return VersionStats(
        request_count=count,
        rating_count=count,
        rating_sum=rating * count,
        rating_square_sum=rating * rating * count,
    )


class DecideTest(TestCase):
    def test_a_good_version_advances_after_the_least_time_only(self):
        """Guards against a step that is over before its least time."""
        early = decide(stats(0.9), stats(0.9), PLAN, 29.0)
        late = decide(stats(0.9), stats(0.9), PLAN, 30.0)
        self.assertThat((early, late), Equals(("continue", "advance")))

    def test_a_bad_version_is_stopped_at_once(self):
        """Guards against exposure until the least time has passed."""
        self.assertThat(decide(stats(0.9), stats(0.5), PLAN, 0.0), Equals("stop"))
