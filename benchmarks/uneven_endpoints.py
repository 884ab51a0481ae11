"""Placement by load alone and by load and pace, at endpoints of uneven speed.

Hosts place streamed requests at endpoints whose time per event is 0.6, 1.0 and 1.6 of
the mean, with the loads that the other hosts reported 0.4 s before. Some endpoints are
2.5 times slower for 0.6 s now and then. There is no network: reports arrive at once.

The bounds are ratios of two runs with the same requests. Where all endpoints are alike,
the learnt placement must decide as the one by load alone.
"""

import math
import random
import statistics
import time

from benchmarks._figures import Figure, report
from benchmarks._uneven_fleet import SEED, UNEVEN_TIMES, Outcome, World
from sesameknot.coordination._pace_reports import add_paces, parse_paces
from sesameknot.policy.endpoint_pace import DECAY_S, Paces, pace_key
from sesameknot.protocol.codec import Envelope, decode, encode
from sesameknot.protocol.messages import DomainSync, EndpointLoads

# Hosts, endpoints and streams per second whose pace is measured.
FLEETS = ((90, 70, 100.0), (380, 730, 4400.0))
# Time for which a host's observation of an endpoint is sent: until a tenth is left.
OBSERVED_S = DECAY_S * math.log(10.0)
MESSAGE_LIMIT_BYTES = 12_000
HOT_UTILISATION = 0.5
# Bounds of the ratios, by demand over what the endpoints can serve.
BOUNDS = {
    0.6: {"late": 0.5, "first_event": 1.0, "last_event": 1.0, "decision": 1.5},
    0.9: {"late": 0.3, "first_event": 0.7, "last_event": 0.9, "decision": 1.5},
}


def _p95(values: list[float]) -> float:
    return statistics.quantiles(values, n=20)[-1]


def _figures(name: str, outcome: Outcome) -> list[Figure]:
    return [
        Figure(f"{name}_late", outcome.late_share, "-"),
        Figure(f"{name}_first_event_p95", _p95(outcome.first_event_s), "s"),
        Figure(f"{name}_last_event_p95", _p95(outcome.last_event_s), "s"),
        Figure(f"{name}_decision", outcome.decision_us, "us"),
    ]


def main() -> bool:
    """Print the figures and return whether all are within their bounds."""
    figures = []
    for utilisation, bounds in BOUNDS.items():
        name = f"uneven{utilisation}"
        by_load = World(UNEVEN_TIMES, utilisation, learn=False).run()
        learnt = World(UNEVEN_TIMES, utilisation, learn=True).run()
        figures += _figures(f"{name}_load_only", by_load)
        figures += _figures(f"{name}_learnt", learnt)
        ratios = {
            "late": learnt.late_share / max(1e-9, by_load.late_share),
            "first_event": _p95(learnt.first_event_s) / _p95(by_load.first_event_s),
            "last_event": _p95(learnt.last_event_s) / _p95(by_load.last_event_s),
            "decision": learnt.decision_us / by_load.decision_us,
        }
        figures += [
            Figure(f"{name}_{what}_ratio", ratio, "-", at_most=bounds[what])
            for what, ratio in ratios.items()
        ]
        before = World((1.0,), utilisation, learn=False).run()
        after = World((1.0,), utilisation, learn=True).run()
        changed = _changed_count(before, after)
        figures.append(Figure(f"even{utilisation}_changed", changed, "requests", 0.0))
    return report(figures + _hot_prompt_figures() + _message_figures())


def _hot_prompt_figures() -> list[Figure]:
    """Return the choices changed at even endpoints, a few of which are much fuller."""
    before = World((1.0,), HOT_UTILISATION, learn=False, hot=True).run()
    unadjusted = World((1.0,), HOT_UTILISATION, learn=True, by_load=False, hot=True)
    changed = _changed_count(before, unadjusted.run())
    after = World((1.0,), HOT_UTILISATION, learn=True, hot=True).run()
    return [
        Figure("hot_even_unadjusted_changed", changed, "requests"),
        Figure("hot_even_changed", _changed_count(before, after), "requests", 0.0),
    ]


def _message_figures() -> list[Figure]:
    """Return what paces add to the messages of a host and to the replies of a relay."""
    figures = []
    for host_count, endpoint_count, streams_per_s in FLEETS:
        generator = random.Random(SEED)
        seen_share = streams_per_s * OBSERVED_S / (host_count * endpoint_count)
        own, total = {}, {}
        for number in range(endpoint_count):
            key = pace_key(f"endpoint-{number}@{1_700_000_000_000 + number}")
            log_mean = generator.gauss(0.0, 0.3)
            count = streams_per_s / endpoint_count * DECAY_S
            total[key] = (log_mean * count, count)
            if generator.random() < 1.0 - math.exp(-seen_share):
                own_count = generator.uniform(0.1, 2.0)
                own[key] = (log_mean * own_count, own_count)
        name = f"paces_{host_count}_hosts_{endpoint_count}_endpoints"
        for kind, paces in (("own", own), ("reply", total)):
            size_bytes, code_us = _extra(paces)
            figures += [
                Figure(f"{name}_{kind}_entries", len(paces), "-"),
                Figure(f"{name}_{kind}_extra", size_bytes, "B", MESSAGE_LIMIT_BYTES),
                Figure(f"{name}_{kind}_code", code_us, "us"),
            ]
    return figures


def _extra(paces: Paces) -> tuple[int, float]:
    """Return the bytes that paces add to a message, and the time to code them."""
    columns = EndpointLoads()
    plain = Envelope(1, "host-1", DomainSync(loads=EndpointLoads()))
    add_paces(columns, paces)
    envelope = Envelope(1, "host-1", DomainSync(loads=columns))

    def time_us(message: Envelope) -> float:
        rounds_s = []
        for _ in range(50):
            began_s = time.perf_counter()
            parse_paces(decode(encode(message)).body.loads)
            rounds_s.append(time.perf_counter() - began_s)
        return min(rounds_s) * 1e6

    return len(encode(envelope)) - len(encode(plain)), time_us(envelope) - time_us(
        plain
    )


def _changed_count(before: Outcome, after: Outcome) -> int:
    pairs = zip(before.choices, after.choices, strict=True)
    return sum(a != b for a, b in pairs)
