"""Run the soak: ``python -m soak --seeds 1,2,3`` or ``--count 50``."""

import asyncio
import sys
import tempfile
import time
from pathlib import Path

from absl import app, flags

from soak._scenario import Scenario

SHOWN_PROBLEM_COUNT = 8

_SEEDS = flags.DEFINE_list("seeds", [], "Seeds to run.")
_COUNT = flags.DEFINE_integer("count", 0, "Fresh seeds to run.", lower_bound=0)
_DURATION = flags.DEFINE_float("duration_s", 12.0, "Time of faults for each seed.")
_KEEP = flags.DEFINE_string("keep", "", "Directory for settings and logs of each seed.")


async def _run_seed(seed: int, directory: Path) -> list[str]:
    world = Scenario(seed, directory)
    try:
        await world.start()
        await world.run(_DURATION.value)
    finally:
        await world.close()
    served = sum(request.answer.status == 200 for request in world.sent_requests)
    print(
        f"seed {seed}: {len(world.sent_requests)} requests, {served} served", flush=True
    )
    return world.violations


def _main(argv: list[str]) -> int:
    if len(argv) > 1:
        raise app.UsageError(f"got {argv[1:]}, expected flags only")
    first = int(time.time()) % 1_000_000 * 1000
    seeds = [int(seed) for seed in _SEEDS.value]
    seeds += [first + number for number in range(_COUNT.value)]
    failed_count = 0
    for seed in seeds:
        with tempfile.TemporaryDirectory() as temporary:
            directory = Path(_KEEP.value or temporary) / f"seed-{seed}"
            directory.mkdir(parents=True, exist_ok=True)
            problems = asyncio.run(_run_seed(seed, directory))
        for problem in problems[:SHOWN_PROBLEM_COUNT]:
            print(f"seed {seed}: BROKEN: {problem}", flush=True)
        if len(problems) > SHOWN_PROBLEM_COUNT:
            print(f"seed {seed}: {len(problems)} broken in all", flush=True)
        failed_count += bool(problems)
    print(f"{len(seeds) - failed_count} passed, {failed_count} failed")
    return 1 if failed_count else 0


if __name__ == "__main__":
    sys.exit(app.run(_main))
