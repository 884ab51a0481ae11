"""Run three front processes on loopback, use them and check every answer.

The stand-ins of the users' platform play store and endpoints. While callers send
requests, a configuration is changed, a failure domain is emptied, a version is rolled
out and an endpoint leaves; then one front is stopped gracefully. Exits with 1 if an
answer does not add up.
"""

import asyncio
import itertools
import signal
import sys
import tempfile
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from soak._caller import CallerConnection
from soak._checks import find_violations
from soak._faults import FAULTS
from soak._scenario import EVENT_COUNT, Scenario

RANDOM_STATE = 7
STEPS = ("configure", "evacuate", "roll_out", "leave")
STEP_S = 1.5
PAUSE_S = 0.05


async def _drive(world: Scenario, operator: "asyncio.Task[None]") -> None:
    links = [(front, CallerConnection(front.caller_address)) for front in world.fronts]
    kinds = itertools.cycle(("stream", "unsafe", "safe"))
    while not operator.done():
        kind = next(kinds)
        await asyncio.gather(
            *(world.send_request(front, link, kind) for front, link in links)
        )
        await asyncio.sleep(PAUSE_S)
    for _, link in links:
        link.close()


async def _operate(world: Scenario) -> None:
    for name in STEPS:
        await FAULTS.get(name)(world)
        print(f"done: {name}")
        await asyncio.sleep(STEP_S)


def _print_summary(world: Scenario) -> None:
    served = Counter()
    for member in world.endpoints:
        served[member.service, member.version] += len(member.standin.runs)
    for (service, version), count in sorted(served.items()):
        print(f"{service} {version}: {count} runs")
    times_ms = sorted((r.done_s - r.sent_s) * 1000.0 for r in world.sent_requests)
    middle, late = times_ms[len(times_ms) // 2], times_ms[int(len(times_ms) * 0.99)]
    print(
        f"{len(world.sent_requests)} requests, p50 {middle:.0f} ms, p99 {late:.0f} ms"
    )
    rollout = world.store.get("rollouts", "dispatch")
    print(f"roll-out: {rollout['Status']['State']}")


async def _run(directory: Path) -> list[str]:
    world = Scenario(RANDOM_STATE, directory)
    try:
        await world.start()
        operator = asyncio.create_task(_operate(world))
        await _drive(world, operator)
        await operator
        front = world.fronts[0]
        front.signal(signal.SIGTERM)
        code = await front.wait(10.0)
        if code != 0:
            world.report_violation(f"{front.host_id} ended with {code} after SIGTERM")
        _print_summary(world)
        refused = [r for r in world.sent_requests if r.answer.status != 200]
        world.violations += [f"{r.request_id} got {r.answer.status}" for r in refused]
        world.violations += find_violations(
            world.sent_requests,
            world.runs,
            world.no_traffic_windows,
            event_count=EVENT_COUNT,
        )
        return world.violations
    finally:
        await world.close()


def main() -> int:
    """Run the demo and return the exit code."""
    with tempfile.TemporaryDirectory() as directory:
        problems = asyncio.run(_run(Path(directory)))
    for problem in problems:
        print(f"wrong: {problem}")
    print("everything adds up" if not problems else "something does not add up")
    return 1 if problems else 0


if __name__ == "__main__":
    sys.exit(main())
