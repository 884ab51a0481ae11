"""Front processes that the soak starts, signals and restarts."""

import asyncio
import json
import os
import signal
import sys
import time
from pathlib import Path

from examples.local_deployment import unused_port

from soak._proxy import Proxy

ROOT = Path(__file__).resolve().parents[1]
GRACE_S = 4.0
# Interpreter and imports, on a busy machine.
START_TIME_S = 3.0


class FrontProcess:
    """One front with its proxy to the store.

    Parameters
    ----------
    number : int
        Number of the host.
    store_address : str
        Address of the store.
    directory : Path
        Where settings and logs go.
    """

    def __init__(self, number: int, store_address: str, directory: Path) -> None:
        self.host_id = f"host-{number}"
        self.domain = "ab"[number % 2]
        self.store_link = Proxy(store_address)
        self.calm_since_s = 0.0
        self.freeze_count = 0
        self.restarting = asyncio.Lock()
        self._directory = directory
        ports = [unused_port() for _ in range(4)]
        self.caller_address, self.ready_address, self.peer_address = (
            f"127.0.0.1:{port}" for port in ports[:3]
        )
        self._metrics_port = ports[3]
        self._process: asyncio.subprocess.Process | None = None
        self._started_s = 0.0

    @property
    def running(self) -> bool:
        """Whether the process lives."""
        return self._process is not None and self._process.returncode is None

    @property
    def starting(self) -> bool:
        """Whether the process may not handle signals yet."""
        return time.monotonic() - self._started_s < START_TIME_S

    async def start(self, seeds: list[str]) -> None:
        """Write the settings and start the process."""
        if not self.store_link.address:
            await self.store_link.start()
        node = self._directory / f"{self.host_id}.json"
        node.write_text(json.dumps(self._node(seeds)))
        own = self._directory / f"{self.host_id}.yaml"
        own.write_text(f"metrics_port: {self._metrics_port}\n")
        environment = {
            **os.environ,
            "SESAMEKNOT_NODE_FILE": str(node),
            "PYTHONPATH": str(ROOT / "src"),
        }
        command = ["-m", "sesameknot.apps.front", f"--settings={own}"]
        self._started_s = time.monotonic()
        with (self._directory / f"{self.host_id}.log").open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable, *command, stdout=log, stderr=log, env=environment
            )

    def _node(self, seeds: list[str]) -> dict[str, object]:
        return {
            "Node": self.host_id,
            "Ip": "127.0.0.1",
            "Zone": self.domain,
            "Region": "r",
            "Zones": {"a": "r", "b": "r"},
            "Listen": {
                "Front": self.caller_address,
                "Ready": self.ready_address,
                "Control": self.peer_address,
            },
            "Seeds": seeds,
            "Platform": {"Address": self.store_link.address},
            "Bounds": {"GraceS": GRACE_S, "RetryBudgetRatio": 0.9, "BudgetSlack": 500},
        }

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it lives."""
        if self.running:
            self._process.send_signal(number)

    async def wait(self, time_s: float) -> int | None:
        """Return the exit code, None if the process still lives after ``time_s``."""
        if self._process is None:
            return 0
        try:
            async with asyncio.timeout(time_s):
                return await self._process.wait()
        except TimeoutError:
            return None

    async def close(self) -> None:
        """End the process and its proxy."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        await self.wait(5.0)
        self.store_link.close()
