"""Front processes, started with the command of the deploy file."""

import asyncio
import json
import os
import random
import shlex
import signal
import socket
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
BOUNDS = {
    "SeedLagS": 3,
    "ReuseAfterS": 2,
    "ContactMs": 3000,
    "AckMs": 4000,
    "CatchUpS": 4,
    "DrainMs": 2000,
    "GraceS": 8,
    "LossSlackMs": 200,
    "ConfigApplyMs": 2000,
    "RollbackSlackMs": 250,
    "MaxStretchMs": 5000,
    "FailClosed": False,
    "RevokeMs": 5000,
    "RetryBudgetRatio": 0.9,
    "BudgetWindowS": 10,
    "BudgetSlack": 56,
    "ExposeShare": 0.15,
    "ExposeSlack": 30,
    "RollbackMs": 5000,
    "ColdOverage": 1.5,
    "ColdSlack": 5,
    "EvacuateMs": 5000,
    "RecoverS": 12,
    "PassMs": 120,
    "ReuseWindowS": 10,
    "SessionS": 5,
}
# Zones of the machines, and all zones of the deployment.
ZONES = ["za", "zb"]
ALL_ZONES = [*ZONES, "zc", "zd"]


def free_network() -> str:
    """Return the first three parts of loopback addresses that nothing else uses."""
    return f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"


def free_port(ip: str) -> int:
    """Return a free TCP port of ``ip``."""
    with socket.socket() as sock:
        sock.bind((ip, 0))
        return sock.getsockname()[1]


class Front:
    """One front process on a loopback address of its own."""

    def __init__(
        self, name: str, ip: str, zone: str, store_address: str, folder: Path
    ) -> None:
        self.name = name
        self.ip = ip
        self.zone = zone
        self.store_address = store_address
        self.folder = folder
        self.started_count = 0
        self.front_address = f"{ip}:{free_port(ip)}"
        self.ready_address = f"{ip}:{free_port(ip)}"
        self.control_address = f"{ip}:{free_port(ip)}"
        self.internal_port = free_port(ip)
        self.process: asyncio.subprocess.Process | None = None
        self._role = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"][
            "front"
        ]

    def settings(self, seeds: list[str]) -> dict[str, object]:
        """Return the settings file's content."""
        return {
            "Node": self.name,
            "Role": "front",
            "MachineClass": "front",
            "Serves": ["front", "control"],
            "Ip": self.ip,
            "Zone": self.zone,
            "Region": "region",
            "Zones": dict.fromkeys(ALL_ZONES, "region"),
            "Listen": {
                "Front": self.front_address,
                "Ready": self.ready_address,
                "Control": self.control_address,
            },
            "InternalPorts": [self.internal_port, self.internal_port],
            "Seeds": seeds,
            "FirstStart": True,
            "HeartbeatMs": 1200,
            "Bounds": BOUNDS,
            "Platform": {
                "Address": self.store_address,
                "form": "objects",
                "WritesPerS": 400,
                "ReadsPerS": 2000,
                "HistoryS": 20,
                "ValueBytes": 1048576,
                "TtlMinMs": 1000,
            },
        }

    async def start(self, seeds: list[str]) -> None:
        """Start the process with the words and variables of the deploy file."""
        path = self.folder / f"{self.name}.json"
        path.write_text(json.dumps(self.settings(seeds)))
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["SESAMEKNOT_NODE_FILE"] = str(path)
        for name, text in self._role.get("env", {}).items():
            environment[name] = text.replace(
                "{{Listen.Front}}", self.front_address
            ).replace("{{Listen.Ready}}", self.ready_address)
        program, *words = shlex.split(self._role["run"])
        with (self.folder / f"{self.name}.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                str(ROOT / program),
                *words,
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )
        self.started_count += 1

    @property
    def running(self) -> bool:
        """Whether the process runs."""
        return self.process is not None and self.process.returncode is None

    def signal(self, number: signal.Signals) -> None:
        """Send a signal."""
        if self.running and self.process is not None:
            self.process.send_signal(number)

    async def wait(self) -> None:
        """Wait until the process has ended."""
        if self.process is not None:
            await self.process.wait()

    def kill(self) -> None:
        """Kill the process if it runs."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)

    async def stop(self) -> None:
        """Kill the process if it runs and wait for its end."""
        self.kill()
        await self.wait()
