"""Short soak runs with seeds that failed in the past."""

import asyncio
import os
import sys
from pathlib import Path

from testtools.matchers import Equals
from tornado.testing import gen_test

from tests.support import LoopTestCase

ROOT = Path(__file__).resolve().parents[2]
DURATION_S = 6.0


class SoakTest(LoopTestCase):
    async def run_seeds(self, seeds):
        """Run the soak with ``seeds``; a failure shows its output."""
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "soak",
            f"--seeds={seeds}",
            f"--duration_s={DURATION_S}",
            cwd=ROOT,
            env={**os.environ, "PYTHONPATH": f"{ROOT / 'src'}:{ROOT}"},
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
        )
        text, _ = await process.communicate()
        self.assertThat(process.returncode, Equals(0), text.decode())

    @gen_test(timeout=110)
    async def test_seed_of_a_signal_while_starting(self):
        """Guards against a process that a signal ends during its start; seed 14."""
        await self.run_seeds("14")

    @gen_test(timeout=110)
    async def test_seeds_of_overlapping_restarts(self):
        """Guards against double starts and SIGTERM before handlers; seeds 2 and 18."""
        await self.run_seeds("2,18")
