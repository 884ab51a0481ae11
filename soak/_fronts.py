"""Front processes that the soak test starts, signals and restarts."""

import asyncio
import json
import os
import signal
import sys
import time
from pathlib import Path

from examples.local_deployment import reserve_port

from sesameknot.transport.early_listeners import ADDRESSES_VARIABLE
from soak._checks import COLD_OVERAGE, COLD_SLACK_COUNT
from soak._proxy import Proxy

ROOT = Path(__file__).resolve().parents[1]
GRACE_S = 4.0
# Interpreter start and imports on a busy machine.
STARTUP_TIME_S = 3.0


class FrontProcess:
    """Front process that reaches the store through a proxy.

    Parameters
    ----------
    host_number : int
        Number that gives the host its id and failure domain.
    store_address : str
        Address of the store.
    directory : Path
        Directory for settings and logs.
    source : Path, default=ROOT / "src"
        Folder of the package that the process runs; another build's may be given.
    memory_mb : int or None, default=None
        Memory limit that the node file names; None if it names none.
    """

    def __init__(
        self,
        host_number: int,
        store_address: str,
        directory: Path,
        *,
        source: Path = ROOT / "src",
        memory_mb: int | None = None,
    ) -> None:
        self.host_id = f"host-{host_number}"
        self.domain = "ab"[host_number % 2]
        self.source = source
        self.memory_mb = memory_mb
        self.store_proxy = Proxy(store_address)
        self.undisturbed_since_s = 0.0
        self.freeze_count = 0
        self.restart_lock = asyncio.Lock()
        self._directory = directory
        ports = [reserve_port() for _ in range(5)]
        self.caller_address, self.ready_address, self.peer_address = (
            f"127.0.0.1:{port}" for port in ports[:3]
        )
        self._metrics_port = ports[3]
        self._handover_port = ports[4]
        self._process: asyncio.subprocess.Process | None = None
        self._started_s = 0.0

    @property
    def running(self) -> bool:
        """Whether the process is running."""
        return self._process is not None and self._process.returncode is None

    @property
    def process_id(self) -> int:
        """Identifier of the process, which must have been started."""
        return self._process.pid

    @property
    def starting(self) -> bool:
        """Whether the process may still lack its signal handlers."""
        return time.monotonic() - self._started_s < STARTUP_TIME_S

    async def start(self, seed_addresses: list[str]) -> None:
        """Write the node file and the settings, then start the process."""
        if not self.store_proxy.address:
            await self.store_proxy.start()
        node_path = self._directory / f"{self.host_id}.json"
        node_path.write_text(json.dumps(self._node_file_content(seed_addresses)))
        settings_path = self._directory / f"{self.host_id}.yaml"
        settings_path.write_text(f"metrics_port: {self._metrics_port}\n")
        environment = {
            **os.environ,
            "SESAMEKNOT_NODE_FILE": str(node_path),
            "PYTHONPATH": str(self.source),
            ADDRESSES_VARIABLE: f"{self.caller_address},{self.ready_address}",
        }
        command = ["-m", "sesameknot.apps.front", f"--settings={settings_path}"]
        self._started_s = time.monotonic()
        with (self._directory / f"{self.host_id}.log").open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable, *command, stdout=log, stderr=log, env=environment
            )

    def _node_file_content(self, seed_addresses: list[str]) -> dict[str, object]:
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
            "InternalPorts": [self._handover_port, self._handover_port],
            "Seeds": seed_addresses,
            "Platform": {"Address": self.store_proxy.address},
            "Limits": {} if self.memory_mb is None else {"MemoryMb": self.memory_mb},
            "Bounds": {
                "GraceS": GRACE_S,
                "RetryBudgetRatio": 0.9,
                "BudgetSlack": 500,
                "ExposeShare": 0.15,
                "ExposeSlack": 30,
                "ColdOverage": COLD_OVERAGE,
                "ColdSlack": COLD_SLACK_COUNT,
            },
        }

    def signal(self, signal_number: signal.Signals) -> None:
        """Send a signal to the process if it is running."""
        if self.running:
            self._process.send_signal(signal_number)

    async def wait(self, timeout_s: float) -> int | None:
        """Return the exit code, or None if the process runs after ``timeout_s``."""
        if self._process is None:
            return 0
        try:
            async with asyncio.timeout(timeout_s):
                return await self._process.wait()
        except TimeoutError:
            return None

    async def close(self) -> None:
        """Kill the process and close its proxy."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        await self.wait(5.0)
        self.store_proxy.close()
