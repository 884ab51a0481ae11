"""Front processes, started with the command of the deploy file."""

import asyncio
import json
import os
import signal
import socket
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
BOUNDS = {
    "SeedLagS": 3,
    "ReuseAfterS": 2,
    "ContactMs": 3000,
    "AckMs": 4000,
    "DrainMs": 2000,
    "GraceS": 8,
    "LossSlackMs": 200,
    "ConfigApplyMs": 2000,
    "RollbackSlackMs": 250,
    "RetryBudgetRatio": 0.9,
    "BudgetWindowS": 10,
    "BudgetSlack": 56,
    "ExposeShare": 0.15,
    "ExposeSlack": 30,
    "ColdOverage": 1.5,
    "ColdSlack": 5,
    "SessionS": 5,
}


def free_port(ip: str) -> int:
    """Return a port of ``ip`` that nothing uses now."""
    with socket.socket() as sock:
        sock.bind((ip, 0))
        return sock.getsockname()[1]


class Front:
    """One front process on a loopback address of its own."""

    def __init__(
        self, name: str, ip: str, zone: str, zones: list[str], directory: Path
    ) -> None:
        self.name = name
        self.ip = ip
        self.zone = zone
        self.started_s = 0.0
        self._zones = zones
        self._directory = directory
        self.front_port, self.ready_port, self.control_port = (
            free_port(ip) for _ in range(3)
        )
        self._process: asyncio.subprocess.Process | None = None

    @property
    def control_address(self) -> str:
        """Address for messages of other front processes."""
        return f"{self.ip}:{self.control_port}"

    async def start(self, store: str, seeds: list[str], **settings: object) -> None:
        """Write the settings file and start the process."""
        node_file = self._directory / f"{self.name}.json"
        node = self._settings(store, seeds)
        node.update(settings)
        node_file.write_text(json.dumps(node))
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        role = deploy["roles"]["front"]
        addresses = f"{self.ip}:{self.front_port},{self.ip}:{self.ready_port}"
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": str(self._directory),
            "PYTHONPATH": str(ROOT / "target/deps"),
            "SESAMEKNOT_NODE_FILE": str(node_file),
        }
        for name, text in role["env"].items():
            value = text.replace("{{Listen.Front}},{{Listen.Ready}}", addresses)
            environment[name] = value
        self.started_s = time.monotonic()
        with (self._directory / f"{self.name}.log").open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                *role["run"].split(),
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )

    def _settings(self, store: str, seeds: list[str]) -> dict[str, object]:
        return {
            "Node": self.name,
            "Role": "front",
            "MachineClass": "front",
            "Serves": ["front", "control"],
            "Ip": self.ip,
            "Zone": self.zone,
            "Region": "delta-north",
            "Zones": {zone: "delta-north" for zone in self._zones},
            "Listen": {
                "Front": f"{self.ip}:{self.front_port}",
                "Ready": f"{self.ip}:{self.ready_port}",
                "Control": self.control_address,
            },
            "InternalPorts": [7340, 7355],
            "Seeds": seeds,
            "FirstStart": True,
            "Limits": {"MemoryMb": 300, "FileDescriptors": 4100},
            "HeartbeatMs": 1200,
            "Contracts": ["base", "drain", "config", "retry", "stream", "tenants"],
            "Bounds": BOUNDS,
            "Platform": {"Address": store, "form": "objects", "HistoryS": 20},
        }

    def signal(self, number: signal.Signals) -> None:
        """Send a signal if the process runs."""
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(number)

    async def wait(self) -> int | None:
        """Wait until the process has ended."""
        return await self._process.wait() if self._process is not None else None

    async def wait_ready(self, limit_s: float = 20.0) -> None:
        """Wait until the process says that it is ready."""
        end_s = time.monotonic() + limit_s
        while time.monotonic() < end_s:
            if await self._is_ready():
                return
            await asyncio.sleep(0.05)
        raise RuntimeError(f"{self.name} is not ready within {limit_s} s")

    async def _is_ready(self) -> bool:
        try:
            reader, writer = await asyncio.open_connection(self.ip, self.ready_port)
            writer.write(
                b"GET /sesameknot/readyz HTTP/1.1\r\nHost: x\r\n"
                b"Connection: close\r\n\r\n"
            )
            line = await reader.readline()
            writer.close()
        except OSError:
            return False
        return b" 200 " in line

    async def kill(self) -> None:
        """End the process at once."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        await self.wait()
