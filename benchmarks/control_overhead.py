"""Cost of membership and object spread per host and second.

Each line is ``name value unit bound ok|over``. Bytes, messages and platform calls are
counted on virtual hosts and gate the result, as does the memory; the processor time
depends on the machine and is only printed.

The counted bytes are those of frames, sent and received together, without TCP and TLS.
"""

import logging
import resource
import sys
import time
from dataclasses import dataclass

import structlog
from tests.coordination.fleet import Fleet

from benchmarks._generated_fleet import GeneratedFleet, Load

# Targets of the design page per host at 380 hosts.
PROCESSOR_BOUND_PERCENT = 3.5
BYTES_BOUND_PER_S = 9000.0
MEMORY_BOUND_MB = 128.0

# Two watchers in each of two regions make one waiting call and at most a few others
# per second and a host list every 10 s.
PLATFORM_CALLS_BOUND_PER_S = 10.0

FLEET_SIZES = (3, 9, 27)
PEER_COUNTS = (100, 380)
DURATION_S = 60.0
KIB = 1024


@dataclass(slots=True, frozen=True)
class Figure:
    """One measured value; without ``gating`` it does not decide the result."""

    name: str
    value: float
    unit: str
    bound: float
    gating: bool = True

    @property
    def holds(self) -> bool:
        """Whether the value is within its bound."""
        return self.value <= self.bound

    def line(self) -> str:
        """Return the line to print."""
        verdict = "ok" if self.holds else "over"
        return f"{self.name} {self.value:.4g} {self.unit} {self.bound:g} {verdict}"


def fleet_figures(count: int, *, outage: bool = False) -> list[Figure]:
    """Return what the hosts of a small fleet exchange in steady state or an outage."""
    fleet = Fleet(count, seed=count, regions=2 if count > 9 else 1)
    try:
        fleet.settle()
        fleet.platform.down = outage
        fleet.world.run_for(10.0)
        calls = _platform_calls(fleet)
        sizes = dict(fleet.world.bytes_moved)
        messages = sum(fleet.world.messages_sent.values())
        started_s = time.process_time()
        fleet.world.run_for(DURATION_S)
        processor_s = time.process_time() - started_s
        moved = [fleet.world.bytes_moved[name] - sizes[name] for name in fleet.names]
        sent = sum(fleet.world.messages_sent.values()) - messages
        name = f"hosts_{count}_outage" if outage else f"hosts_{count}"
        host_s = count * DURATION_S
        return [
            Figure(f"{name}_bytes_mean", sum(moved) / host_s, "B/s", BYTES_BOUND_PER_S),
            Figure(
                f"{name}_bytes_max", max(moved) / DURATION_S, "B/s", BYTES_BOUND_PER_S
            ),
            Figure(
                f"{name}_processor",
                100.0 * processor_s / host_s,
                "%core",
                PROCESSOR_BOUND_PERCENT,
                gating=False,
            ),
            Figure(f"{name}_messages_mean", sent / host_s, "1/s", 100.0, gating=False),
            Figure(
                f"{name}_platform_calls",
                (_platform_calls(fleet) - calls) / DURATION_S,
                "1/s",
                PLATFORM_CALLS_BOUND_PER_S,
            ),
        ]
    finally:
        fleet.world.close()


def host_figures(count: int, *, watcher: bool) -> list[Figure]:
    """Return what one host spends among ``count`` generated peers."""
    fleet = GeneratedFleet(count + 1, watcher=watcher)
    try:
        load = fleet.run(DURATION_S)
    finally:
        fleet.close()
    name = f"peers_{count}_{'watcher' if watcher else 'host'}"
    return [*_load_figures(name, load), _memory(name)]


def _load_figures(name: str, load: Load) -> list[Figure]:
    per_s = 1.0 / load.duration_s
    return [
        Figure(
            f"{name}_processor",
            100.0 * load.processor_s * per_s,
            "%core",
            PROCESSOR_BOUND_PERCENT,
            gating=False,
        ),
        Figure(f"{name}_bytes", load.size_bytes * per_s, "B/s", BYTES_BOUND_PER_S),
        Figure(
            f"{name}_messages", load.message_count * per_s, "1/s", 100.0, gating=False
        ),
        Figure(
            f"{name}_platform_calls",
            load.platform_calls * per_s,
            "1/s",
            PLATFORM_CALLS_BOUND_PER_S,
        ),
    ]


def _memory(name: str) -> Figure:
    # The peak of the whole process bounds that of the host it contains.
    peak_mb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / KIB
    return Figure(f"{name}_memory", peak_mb, "MB", MEMORY_BOUND_MB)


def _platform_calls(fleet: Fleet) -> int:
    return sum(host.platform.call_count for host in fleet.hosts.values())


def main() -> bool:
    """Print all figures and return whether the gating ones are within bounds."""
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.ERROR)
    )
    good = True
    # The peers come first: the peak memory is that of the process so far.
    for count in PEER_COUNTS:
        for watcher in (False, True):
            good &= _report(host_figures(count, watcher=watcher))
    for count in FLEET_SIZES:
        good &= _report(fleet_figures(count))
        good &= _report(fleet_figures(count, outage=True))
    return good


def _report(figures: list[Figure]) -> bool:
    for figure in figures:
        sys.stdout.write(figure.line() + "\n")
    return all(figure.holds for figure in figures if figure.gating)


if __name__ == "__main__":
    sys.exit(0 if main() else 1)
