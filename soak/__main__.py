"""Run the soak test: ``python -m soak --seeds 1,2,3`` or ``--count 50``."""

import asyncio
import sys
import tempfile
import time
from pathlib import Path

from absl import app, flags

from soak import _restarts, _rollouts
from soak._restarts import RestartScenario
from soak._rollouts import RolloutCase, RolloutScenario
from soak._scenario import Scenario

SHOWN_VIOLATION_COUNT = 8

_SEEDS = flags.DEFINE_list("seeds", [], "Seeds to run.")
_COUNT = flags.DEFINE_integer("count", 0, "Fresh seeds to run.", lower_bound=0)
_DURATION_S = flags.DEFINE_float("duration_s", 12.0, "Fault time of each seed, in s.")
_ROLLOUTS = flags.DEFINE_boolean(
    "rollouts", False, "Play a roll-out of a bad or good version for each seed."
)
_RESTARTS = flags.DEFINE_boolean(
    "restarts", False, "Restart endpoints under their ids before many fronts."
)
_ENDPOINT_RESTARTS = flags.DEFINE_boolean(
    "endpoint_restarts", True, "Restart endpoints beside the default faults."
)
_FRONTS = flags.DEFINE_integer(
    "fronts", 0, "Front processes of --rollouts and --restarts; 0 for their default."
)
_KEEP_DIRECTORY = flags.DEFINE_string(
    "keep", "", "Directory in which settings and logs of each seed are kept."
)


async def _run_rollout(seed: int, directory: Path) -> list[str]:
    scenario = RolloutScenario(
        RolloutCase.draw(seed),
        directory,
        front_count=_FRONTS.value or _rollouts.FRONT_COUNT,
    )
    await scenario.run()
    print(
        f"seed {seed}: {scenario.case}, {scenario.served_count} served, "
        f"{scenario.state}",
        flush=True,
    )
    return scenario.violations


async def _run_restarts(seed: int, directory: Path) -> list[str]:
    scenario = RestartScenario(
        seed, directory, front_count=_FRONTS.value or _restarts.FRONT_COUNT
    )
    await _play(scenario, _DURATION_S.value)
    for line in scenario.restart_lines:
        print(f"seed {seed}: {line}", flush=True)
    _print_counts(scenario, seed)
    return scenario.violations


async def _run_seed(seed: int, directory: Path) -> list[str]:
    scenario = Scenario(seed, directory)
    scenario.restarts_endpoints = _ENDPOINT_RESTARTS.value
    await _play(scenario, _DURATION_S.value)
    _print_counts(scenario, seed)
    return scenario.violations


async def _play(scenario: Scenario, duration_s: float) -> None:
    try:
        await scenario.start()
        await scenario.run(duration_s)
    finally:
        await scenario.close()


def _print_counts(scenario: Scenario, seed: int) -> None:
    served_count = sum(
        request.answer.status == 200 for request in scenario.sent_requests
    )
    print(
        f"seed {seed}: {len(scenario.sent_requests)} requests, {served_count} served, "
        f"{scenario.most_cold_load()} at most in a second at a cold endpoint",
        flush=True,
    )


def _main(argv: list[str]) -> int:
    if len(argv) > 1:
        raise app.UsageError(f"got {argv[1:]}, expected flags only")
    first_fresh_seed = int(time.time()) % 1_000_000 * 1000
    seeds = [int(seed) for seed in _SEEDS.value]
    seeds += [first_fresh_seed + offset for offset in range(_COUNT.value)]
    failed_count = 0
    for seed in seeds:
        with tempfile.TemporaryDirectory() as temporary:
            directory = Path(_KEEP_DIRECTORY.value or temporary) / f"seed-{seed}"
            directory.mkdir(parents=True, exist_ok=True)
            play = _run_seed
            if _ROLLOUTS.value:
                play = _run_rollout
            elif _RESTARTS.value:
                play = _run_restarts
            violations = asyncio.run(play(seed, directory))
        for violation in violations[:SHOWN_VIOLATION_COUNT]:
            print(f"seed {seed}: BROKEN: {violation}", flush=True)
        if len(violations) > SHOWN_VIOLATION_COUNT:
            print(f"seed {seed}: {len(violations)} broken in all", flush=True)
        failed_count += bool(violations)
    print(f"{len(seeds) - failed_count} passed, {failed_count} failed")
    return 1 if failed_count else 0


if __name__ == "__main__":
    sys.exit(app.run(_main))
