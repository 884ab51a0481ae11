"""Front processes, started with the command of the deploy file."""

import asyncio
import json
import os
import signal
import tomllib
from pathlib import Path

from stage3.callers import send
from stage3.network import LoopbackNet

ROOT = Path(__file__).resolve().parents[2]
READY_LIMIT_S = 30.0
CONTRACTS = [
    "base", "drain", "config", "cost", "retry", "recover", "engine", "stream",
    "tenants", "places", "platform", "rollout",
]  # fmt: skip
# Bounds and limits of the site ndaba-knot.
BOUNDS = {
    "SeedLagS": 3, "ReuseAfterS": 2, "ContactMs": 3000, "AckMs": 4000, "CatchUpS": 4,
    "DrainMs": 2000, "GraceS": 8, "LossSlackMs": 200, "ConfigApplyMs": 2000,
    "RollbackSlackMs": 250, "MaxStretchMs": 5000, "FailClosed": False,
    "RevokeMs": 5000, "RetryBudgetRatio": 0.9, "BudgetWindowS": 10, "BudgetSlack": 56,
    "ExposeShare": 0.15, "ExposeSlack": 30, "RollbackMs": 5000, "ColdOverage": 1.5,
    "ColdSlack": 5, "EvacuateMs": 5000, "RecoverS": 12, "PassMs": 120,
    "ReuseWindowS": 10, "SessionS": 5,
}  # fmt: skip


class FrontProcess:
    """One front process with its settings file.

    Parameters
    ----------
    name, zone : str
        Name of its machine, and the machine's zone.
    net : LoopbackNet
        Addresses of this run.
    number : int
        Number of the machine in the block of addresses.
    store_address : str
        Address of the store as this machine reaches it.
    zones : list of str
        All zones.
    directory : Path
        Folder for settings and logs.
    contracts : tuple of str, default=()
        Contracts beside the usual ones.
    limits : dict or None, default=None
        Limits of the machine that differ from the usual ones.
    """

    def __init__(
        self,
        name: str,
        zone: str,
        *,
        net: LoopbackNet,
        number: int,
        store_address: str,
        zones: list[str],
        directory: Path,
        contracts: tuple[str, ...] = (),
        limits: dict[str, float] | None = None,
    ) -> None:
        self.name = name
        self.zone = zone
        self.ip = net.ip(number)
        self.caller_address = f"{self.ip}:{net.free_port(self.ip)}"
        self.ready_address = f"{self.ip}:{net.free_port(self.ip)}"
        self.control_address = f"{self.ip}:{net.free_port(self.ip)}"
        self.seeds: list[str] = []
        self.process: asyncio.subprocess.Process | None = None
        self.first_start = True
        self._store_address = store_address
        self._zones = zones
        self._directory = directory
        self._contracts = contracts
        self._limits = limits or {}

    async def start(self) -> None:
        """Start the process as the deploy file says."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        role = deploy["roles"]["front"]
        node_file = self._directory / f"{self.name}.json"
        node_file.write_text(json.dumps(self._settings()))
        self.first_start = False
        listens = f"{self.caller_address},{self.ready_address}"
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "PYTHONPATH": str(ROOT / "target/deps"),
            "SESAMEKNOT_NODE_FILE": str(node_file),
            **{
                name: text.replace("{{Listen.Front}},{{Listen.Ready}}", listens)
                for name, text in role["env"].items()
            },
        }
        with (self._directory / f"{self.name}.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *role["run"].split(), cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def _settings(self) -> dict[str, object]:
        return {
            "Node": self.name,
            "Role": "front",
            "MachineClass": "front",
            "Serves": ["front", "control"],
            "Ip": self.ip,
            "Zone": self.zone,
            "Region": "region-1",
            "Zones": dict.fromkeys(self._zones, "region-1"),
            "Listen": {
                "Front": self.caller_address,
                "Ready": self.ready_address,
                "Control": self.control_address,
            },
            "InternalPorts": [7340, 7355],
            "Seeds": self.seeds,
            "FirstStart": self.first_start,
            "InTolerance": False,
            "Limits": {
                "CpuShare": 0.537, "Cores": 2, "MemoryMb": 300,
                "FileDescriptors": 4100, "LinkMbps": 1000.0, "DiskMb": 0,
                **self._limits,
            },
            "DataDir": None,
            "Discovery": "platform",
            "Entry": "vip",
            "HeartbeatMs": 1200,
            "Contracts": [*CONTRACTS, *self._contracts],
            "FaultTolerance": {"Machines": 2, "Zones": 1, "Regions": 0},
            "Bounds": BOUNDS,
            "Platform": {
                "Address": self._store_address, "form": "objects", "WritesPerS": 400,
                "ReadsPerS": 2000, "HistoryS": 20, "ValueBytes": 1048576,
                "TtlMinMs": 1000,
            },
        }  # fmt: skip

    async def wait_ready(self) -> None:
        """Wait until the readiness page answers 200."""
        async with asyncio.timeout(READY_LIMIT_S):
            while True:
                answer = await send(
                    self.ready_address,
                    "GET",
                    "/sesameknot/readyz",
                    {"Host": "x"},
                    timeout_s=1.0,
                )
                if answer.status == 200:
                    return
                await asyncio.sleep(0.1)

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def close(self) -> None:
        """Kill the process."""
        if self.process is None or self.process.returncode is not None:
            return
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        await self.process.wait()
