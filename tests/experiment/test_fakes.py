"""Tests of the discrete-event fakes against naive versions."""

import numpy as np
from hypothesis import given, settings
from hypothesis import strategies as st
from testtools import TestCase
from testtools.matchers import Equals, LessThan

from sesameknot.experiment._events import EventQueue
from sesameknot.experiment._job import Job
from sesameknot.experiment._server import EngineFake, EngineProfile
from sesameknot.experiment.ratings import RatingFake
from sesameknot.policy.endpoint_choice import RequestShape

PROFILE = EngineProfile(
    capacity_count=3, gap_s=0.01, gap_s_per_request=0.01, prefill_s_per_token=0.001
)
STEP_S = 0.0005


def _job(index, arrived_s, prompt, output, priority):
    shape = RequestShape(prompt, output, priority)
    return Job(index, 0, 1.0, index, shape, arrived_s, 1e9, 0)


def _naive_finish_times(jobs):
    """Advance all requests by small steps of time."""
    waiting, running, ends = [], {}, {}
    todo, now_s, prefill_free_s = list(jobs), 0.0, 0.0
    while len(ends) < len(jobs):
        while todo and todo[0].arrived_s <= now_s:
            waiting.append(todo.pop(0))
        waiting.sort(key=lambda job: (-job.shape.priority, job.index))
        while waiting and len(running) < PROFILE.capacity_count:
            job = waiting.pop(0)
            prefill_free_s = max(now_s, prefill_free_s)
            prefill_free_s += job.shape.prompt_tokens * PROFILE.prefill_s_per_token
            running[job.index] = [prefill_free_s, float(job.shape.output_tokens)]
        gap_s = PROFILE.gap_s + PROFILE.gap_s_per_request * len(running)
        now_s += STEP_S
        for index, (ready_s, _) in list(running.items()):
            if ready_s < now_s:
                running[index][1] -= min(STEP_S, now_s - ready_s) / gap_s
                if running[index][1] <= 0.0:
                    ends[index] = now_s
                    del running[index]
    return ends


class EngineFakeTest(TestCase):
    @settings(max_examples=25, deadline=None)
    @given(
        st.lists(
            st.tuples(
                st.integers(0, 20),
                st.integers(1, 60),
                st.integers(1, 12),
                st.integers(0, 2),
            ),
            min_size=1,
            max_size=8,
        )
    )
    def test_end_times_equal_those_of_small_steps(self, shapes):
        """Guards against a virtual clock that keeps the pace of an old batch."""
        events, done = EventQueue(), {}
        engine = EngineFake(
            events,
            PROFILE,
            on_done=lambda job: done.__setitem__(job.index, job.finished_s),
            on_failed=lambda job: None,
            on_cached=lambda session, present: None,
        )
        # Arrivals lie between steps, so that both versions see the same order.
        jobs = [
            _job(index, (at + index * 0.01) * 0.1 + STEP_S / 4, *rest)
            for index, (at, *rest) in enumerate(sorted(shapes))
        ]
        for job in jobs:
            events.schedule(job.arrived_s, engine.submit, job)
        events.run()
        naive = _naive_finish_times(jobs)
        self.assertThat(sorted(done), Equals(sorted(naive)))
        # A step of error in one end may let other requests start a step later.
        for index, finished_s in done.items():
            self.assertThat(
                abs(finished_s - naive[index]), LessThan(20 * len(jobs) * STEP_S)
            )

    def test_a_cold_or_stopped_engine_fails_what_it_cannot_bear(self):
        """Guards against a fake that hides work sent to cold endpoints."""
        events, failed, done = EventQueue(), [], []
        engine = EngineFake(
            events,
            PROFILE,
            on_done=lambda job: done.append(job.index),
            on_failed=lambda job: failed.append(job.index),
            on_cached=lambda session, present: None,
        )
        engine.start(cold_s=100.0)
        for index in range(3):
            engine.submit(_job(index, 0.0, 1, 5, 0))
        self.assertThat(failed, Equals([2]))
        events.schedule(0.001, lambda _: engine.stop())
        events.run()
        self.assertThat((failed, done), Equals(([2, 0, 1], [])))


class RatingFakeTest(TestCase):
    def test_ratings_are_sparse_late_and_unbiased(self):
        """Guards against noise that shifts the mean rating."""
        fake = RatingFake(
            share=0.2, delay_s=10.0, random_generator=np.random.default_rng(1)
        )
        rated = sum(fake.submit(index, 0.8, 0.0) for index in range(20_000))
        self.assertThat(abs(rated - 4000), LessThan(200))
        early = list(fake.arrived(10.0))
        rest = list(fake.arrived(1e9))
        self.assertThat(abs(len(early) / rated - (1 - np.exp(-1))), LessThan(0.03))
        mean = np.mean([rating.quality for rating in early + rest])
        self.assertThat(abs(float(mean) - 0.8), LessThan(0.01))
