"""Tests of the pace of endpoints, learnt from the observations of all hosts.

The load: 30 hosts and 12 endpoints with 1.4 streams a second each, the paces shared
every 2.4 s.
"""

import itertools
import random

from testtools import TestCase
from testtools.matchers import Equals, GreaterThan, LessThan

from sesameknot.clock import ManualClock
from sesameknot.policy.endpoint_pace import (
    LINE_LIMIT_COUNT,
    EndpointPace,
    pace_key,
    subtract_paces,
    sum_paces,
)

HOST_COUNT = 30
NAMES = [f"e{n}@1" for n in range(12)]
STREAMS_PER_S = 1.4
SHARE_INTERVAL_S = 2.4
GAP_S = 0.1
SLOW_FACTOR = 2.5
SLOW_S = 0.6


class Service:
    """Hosts that observe streams of endpoints and share what they see."""

    def __init__(self, event_times, seed=1):
        self.clock = ManualClock()
        self.random = random.Random(seed)
        self.event_times = dict(event_times)
        self.paces = [EndpointPace(clock=self.clock) for _ in range(HOST_COUNT)]
        self.uneven = {}

    def stream(self, name, *, factor=1.0, load_share=0.5):
        """Let one host observe a stream; models differ in their time per event."""
        model, model_time = self.random.choice([("small", 0.3), ("large", 3.0)])
        noise = self.random.lognormvariate(0.0, 0.2)
        self.random.choice(self.paces).observe(
            "service",
            model,
            name,
            gap_s=GAP_S * model_time * self.event_times[name] * factor * noise,
            load_share=load_share,
        )

    def run(self, duration_s, stream=None):
        """Run the service, and return the endpoints that ever counted as uneven."""
        seen = set()
        for _ in range(round(duration_s / SHARE_INTERVAL_S)):
            for name in self.event_times:
                for _ in range(self._stream_count()):
                    (stream or self.stream)(name)
            self.clock.advance(SHARE_INTERVAL_S)
            self.share()
            seen |= set(self.uneven)
        return seen

    def _stream_count(self):
        mean = STREAMS_PER_S * SHARE_INTERVAL_S
        return int(mean) + (self.random.random() < mean % 1.0)

    def share(self):
        """Tell all hosts the sums of all."""
        totals = sum_paces((pace.own(), 1.0) for pace in self.paces)
        for pace in self.paces:
            self.uneven = pace.set_totals(totals, {"service": self.event_times})

    def uneven_times(self, names):
        return [self.uneven.get(name, 1.0) for name in names]


class EndpointPaceTest(TestCase):
    def test_fast_and_slow_endpoints_are_told_apart(self):
        """Guards against slow endpoints that get as much work as fast ones."""
        times = {name: (0.6, 1.0, 1.6)[n % 3] for n, name in enumerate(NAMES)}
        service = Service(times)
        service.run(60.0)
        self.assertThat(max(service.uneven_times(NAMES[0::3])), LessThan(0.75))
        self.assertThat(set(service.uneven_times(NAMES[1::3])), Equals({1.0}))
        self.assertThat(min(service.uneven_times(NAMES[2::3])), GreaterThan(1.4))

    def test_even_endpoints_with_moments_of_slowness_stay_even(self):
        """Guards against a slow moment that passes for a slow endpoint.

        All slots of one endpoint have a stream of 1 s in the moment, time and again and
        as soon as the endpoint has observations at all.
        """
        for seed in range(5):
            service = Service(dict.fromkeys(NAMES, 1.0), seed)
            factor = 1.0 / (1.0 - SLOW_S + SLOW_S / SLOW_FACTOR)
            for _ in range(10):
                for _ in range(12):
                    service.stream(NAMES[0], factor=factor)
                self.assertThat(service.run(12.0), Equals(set()))

    def test_fuller_endpoints_are_not_slower_ones(self):
        """Guards against a full batch that passes for a slow endpoint.

        A third of the endpoints is always nearly full. Without the load they would
        count as slow, which shows that it is needed.
        """

        def run(by_load):
            service = Service(dict.fromkeys(NAMES, 1.0))

            def stream(name):
                full = NAMES.index(name) % 3 == 0
                load_share = service.random.uniform(*((0.6, 1.0) if full else (0, 0.4)))
                known_share = load_share if by_load else 0.0
                factor = 0.5 + load_share
                service.stream(name, factor=factor, load_share=known_share)

            return service.run(120.0, stream)

        self.assertThat(len(run(by_load=False)), GreaterThan(3))
        self.assertThat(run(by_load=True), Equals(set()))

    def test_speed_is_not_taken_for_an_effect_of_the_load(self):
        """Guards against slow endpoints that are excused as they are fuller."""
        times = {name: (0.6, 1.0, 1.6)[n % 3] for n, name in enumerate(NAMES)}
        service = Service(times)
        loads = {0.6: (0.1, 0.6), 1.0: (0.3, 0.8), 1.6: (0.6, 1.0)}

        def stream(name):
            load_share = service.random.uniform(*loads[times[name]])
            service.stream(name, factor=0.8 + 0.4 * load_share, load_share=load_share)

        service.run(180.0, stream)
        self.assertThat(max(service.uneven_times(NAMES[0::3])), LessThan(0.8))
        self.assertThat(min(service.uneven_times(NAMES[2::3])), GreaterThan(1.3))

    def test_endpoint_that_starts_again_is_unknown(self):
        """Guards against the pace of a process that no longer exists."""
        service = Service({**dict.fromkeys(NAMES, 1.0), NAMES[0]: 1.6})
        service.run(60.0)
        self.assertThat(set(service.uneven), Equals({NAMES[0]}))
        del service.event_times[NAMES[0]]
        service.event_times["e0@2"] = 1.0
        self.assertThat(service.run(60.0), Equals(set()))

    def test_slow_endpoint_that_recovers_is_even_again(self):
        """Guards against an endpoint that is avoided for ever."""
        service = Service({**dict.fromkeys(NAMES, 1.0), NAMES[0]: 1.6})
        service.run(60.0)
        service.event_times[NAMES[0]] = 1.0
        service.run(120.0)
        self.assertThat(service.uneven, Equals({}))

    def test_few_observations_change_nothing(self):
        """Guards against decisions on the few streams that one host sees."""
        service = Service({**dict.fromkeys(NAMES, 1.0), NAMES[0]: 1.6})
        service.run(14.0)
        self.assertThat(service.uneven, Equals({}))
        service.run(60.0)
        alone = service.paces[0]
        self.assertThat(alone.set_totals(alone.own(), {"service": NAMES}), Equals({}))

    def test_half_of_the_endpoints_must_be_known(self):
        """Guards against a mean of the few endpoints that are known first."""
        pace = EndpointPace(clock=ManualClock())
        totals = {
            pace_key(name): (30.0 * log_mean, 30.0)
            for name, log_mean in zip(
                NAMES[:6], [0.0, 0.0, 0.5, 0.5, 0.5, 0.5], strict=True
            )
        }
        few = dict(itertools.islice(totals.items(), 5))
        self.assertThat(pace.set_totals(few, {"service": NAMES}), Equals({}))
        uneven = pace.set_totals(totals, {"service": NAMES})
        self.assertThat(set(uneven), Equals({NAMES[0], NAMES[1]}))

    def test_invented_models_take_no_memory(self):
        """Guards against callers that name a new model in each request."""
        pace = EndpointPace(clock=ManualClock())
        for number in range(2 * LINE_LIMIT_COUNT):
            pace.observe("s", f"m{number}", "e", gap_s=0.1, load_share=0.0)
        self.assertThat(len(pace._lines), Equals(LINE_LIMIT_COUNT))

    def test_sum_without_a_part_is_the_sum_of_the_others(self):
        """Guards against a host that gets its own observations back."""
        own, other = {1: (0.5, 2.0), 2: (0.1, 1.0)}, {1: (0.25, 1.0)}
        total = sum_paces([(own, 0.5), (other, 1.0)])
        self.assertThat(subtract_paces(total, own, 0.5), Equals(other))
