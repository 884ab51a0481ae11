"""Time of single decisions with few and many endpoints."""

import time
from collections.abc import Callable

import numpy as np

from benchmarks._figures import Figure
from sesameknot.clock import SystemClock
from sesameknot.policy.admission import Admission, AdmissionLoad, AdmissionRequest
from sesameknot.policy.cascade import AdaptivePolicy, ModelCandidate
from sesameknot.policy.crash_guard import request_fingerprint
from sesameknot.policy.endpoint_choice import EndpointView, RequestShape
from sesameknot.policy.registry import ENDPOINT_CHOICES
from sesameknot.policy.version_choice import VersionOptions, choose_version

ENDPOINT_COUNTS = (6, 60, 730)
REPEAT_COUNT = 2000
ROUND_COUNT = 3


def decision_times() -> list[Figure]:
    """Return the time per decision; the best of a few rounds."""
    figures = [
        Figure(f"time.{name}", _best_us(call), "us")
        for name, call in _single_decisions().items()
    ]
    for count in ENDPOINT_COUNTS:
        for name in ENDPOINT_CHOICES:
            call = _endpoint_call(name, count)
            figures.append(Figure(f"time.{name}.{count}", _best_us(call), "us"))
    return figures


def _best_us(call: Callable[[], object]) -> float:
    rounds = []
    for _ in range(ROUND_COUNT):
        began_s = time.perf_counter()
        for _ in range(REPEAT_COUNT):
            call()
        rounds.append(time.perf_counter() - began_s)
    return min(rounds) / REPEAT_COUNT * 1e6


def _endpoint_call(name: str, count: int) -> Callable[[], object]:
    generator = np.random.default_rng(1)
    choice = ENDPOINT_CHOICES.get(name)(random_generator=generator)
    loads = generator.integers(0, 16, size=count).tolist()
    views = [EndpointView(f"e{i}", 16, load) for i, load in enumerate(loads)]
    shape = RequestShape(400, 80)
    return lambda: choice.choose(views, shape)


def _single_decisions() -> dict[str, Callable[[], object]]:
    clock, generator = SystemClock(), np.random.default_rng(1)
    cascade = AdaptivePolicy(
        quality_target=0.8, clock=clock, random_generator=generator
    )
    candidates = [ModelCandidate("small", 1.0), ModelCandidate("large", 10.0, 0.9)]
    versions = VersionOptions("m", ["v1", "v2"], "v1", {"*"}, (), "v2", 0.1)
    admission = Admission(clock=clock, random_generator=generator)
    request = AdmissionRequest("customer", 1.0, 10.0, 1e9)
    pressure = AdmissionLoad(400, 512, 1.0, 2.0)
    body = b"x" * 4096
    return {
        "cascade": lambda: cascade.choose("kind", candidates),
        "version": lambda: choose_version(versions, "session"),
        "admission": lambda: admission.admit(request, pressure),
        "fingerprint": lambda: request_fingerprint("customer", "m", body),
    }
