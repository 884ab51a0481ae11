"""Tests of the sample of answers that are sent for rating."""

import asyncio
from types import SimpleNamespace

import numpy as np
from testtools import TestCase
from testtools.matchers import Equals, GreaterThan, LessThan

from sesameknot._wiring_requests import rollout_share_reader
from sesameknot.protocol.rollout_object import RolloutObject
from sesameknot.router.ratings import RatedAnswer, RatingClient


class SampleTest(TestCase):
    def test_a_version_with_a_small_share_gets_about_as_many_ratings(self):
        """Guards against a roll-out that waits for the ratings of a small share."""
        new, stable = asyncio.run(_sampled_counts(share=0.05, new=200, stable=3800))
        # 5% would need 1.9 times all of its answers to equal the stable version.
        self.assertThat(new, Equals(200))
        self.assertThat(stable, GreaterThan(330))
        self.assertThat(stable, LessThan(430))

    def test_a_stopped_rollout_has_the_usual_share(self):
        """Guards against rating every answer of a version that has no share."""
        new, _ = asyncio.run(_sampled_counts(share=0.0, new=2000, stable=0))
        self.assertThat(new, GreaterThan(160))
        self.assertThat(new, LessThan(240))


async def _sampled_counts(*, share, new, stable):
    rollout = RolloutObject(
        team="feed",
        name="july",
        model="small",
        from_version="v1",
        to_version="v2",
        share=share,
    )
    current = SimpleNamespace(rollouts={("feed", "small"): rollout})
    ratings = RatingClient(
        "http://127.0.0.1:9",
        rating_share=0.1,
        rollout_share=rollout_share_reader(SimpleNamespace(current=current)),
        generator=np.random.default_rng(0),
        on_rating=lambda answer, score: None,
    )
    for number in range(new + stable):
        version = "v2" if number < new else "v1"
        ratings.offer(
            RatedAnswer(str(number), "feed", "small", version, "chat", "", 0, "")
        )
    sent = [ratings._queue.get_nowait().version for _ in range(ratings._queue.qsize())]
    ratings.close()
    return sent.count("v2"), sent.count("v1")
