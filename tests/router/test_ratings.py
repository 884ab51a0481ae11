"""Tests of the sampling of answers for the rating service."""

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
        """Guards against a roll-out that waits long for ratings at a small share."""
        new, stable = asyncio.run(
            _sampled_counts(rollout_share=0.05, new_count=200, stable_count=3800)
        )
        # Equal counts would need 1.9 times the answers of a 5% share; all are sent.
        self.assertThat(new, Equals(200))
        self.assertThat(stable, GreaterThan(330))
        self.assertThat(stable, LessThan(430))

    def test_a_stopped_rollout_has_the_usual_share(self):
        """Guards against rating every answer of a version that has no share."""
        new, _ = asyncio.run(
            _sampled_counts(rollout_share=0.0, new_count=2000, stable_count=0)
        )
        self.assertThat(new, GreaterThan(160))
        self.assertThat(new, LessThan(240))


async def _sampled_counts(*, rollout_share, new_count, stable_count):
    rollout = RolloutObject(
        team="feed",
        name="july",
        model="small",
        from_version="v1",
        to_version="v2",
        share=rollout_share,
    )
    catalogue = SimpleNamespace(rollouts={("feed", "small"): rollout})
    client = RatingClient(
        "http://127.0.0.1:9",
        rating_share=0.1,
        rollout_share=rollout_share_reader(SimpleNamespace(current=catalogue)),
        generator=np.random.default_rng(0),
        on_rating=lambda answer, score: None,
    )
    for number in range(new_count + stable_count):
        version = "v2" if number < new_count else "v1"
        client.offer(
            RatedAnswer(str(number), "feed", "small", version, "chat", "", 0, "")
        )
    queued = [client._queue.get_nowait().version for _ in range(client._queue.qsize())]
    client.close()
    return queued.count("v2"), queued.count("v1")
