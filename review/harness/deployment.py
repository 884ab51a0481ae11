"""A small deployment: store, servers, front processes, and the record of a run."""

import asyncio
import os
import shutil
import tempfile
import time
from collections.abc import Awaitable, Callable, Coroutine
from pathlib import Path
from typing import Any

from harness.callers import wait_until_ready
from harness.fronts import ZONES, Front, free_network
from harness.servers import Server
from harness.store import Gate, Store

HOST = "review.example"
START_LIMIT_S = 30.0
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2


def route(
    name: str, kind: str, service: str, timeout_ms: int, **fields: Any
) -> dict[str, Any]:
    """Return a route of the configuration."""
    return {
        "Name": name,
        "Host": HOST,
        "PathPrefix": f"/{name}/",
        "Kind": kind,
        "TimeoutMs": timeout_ms,
        "TargetLatencyMs": 200,
        "Priority": 1,
        "Service": service,
        "MaxAttempts": 1 if kind == "unsafe" else 3,
        "Public": True,
        "Sticky": False,
        "Resumable": kind == "streaming",
        "GapTargetMs": 1000 if kind == "streaming" else 0,
        **fields,
    }


def configuration(version: int, routes: list[dict[str, Any]]) -> dict[str, Any]:
    """Return a configuration."""
    services = sorted({each["Service"] for each in routes})
    return {
        "Version": version,
        "Routes": routes,
        "Services": [
            {
                "Name": name,
                "HealthPath": "/healthz",
                "MaxConnections": 370,
                "Protocol": "h1",
                "Tls": False,
                "ColdS": 0.0,
                "ColdPerS": 0.0,
            }
            for name in services
        ],
        "Limits": {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": 4194304,
            "HeaderTimeoutMs": 3000,
            "IdleTimeoutMs": 15000,
        },
        "Tenants": [],
    }


class Deployment:
    """Store, servers and fronts of one run."""

    def __init__(self, case: Path) -> None:
        self.store = Store()
        self.servers: list[Server] = []
        self.fronts: list[Front] = []
        self.gates: list[Gate] = []
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.began_s = time.monotonic()
        self._network = free_network()
        self._tasks: list[asyncio.Task[Any]] = []
        self._record = (case / "record.txt").open("w")

    def record(self, text: str) -> None:
        """Write a line with the time since the start."""
        self._record.write(f"{time.monotonic() - self.began_s:8.3f} {text}\n")

    def spawn(self, work: Coroutine[Any, Any, Any]) -> "asyncio.Task[Any]":
        """Run something until the end of the run."""
        task = asyncio.create_task(work)
        self._tasks.append(task)
        return task

    async def add_server(self, server: Server) -> Server:
        """Start a server and let it register."""
        await server.start(f"{self._network}.100")
        self.servers.append(server)
        self.spawn(server.report(self.store))
        return server

    async def add_front(self) -> Front:
        """Start a front process with an address of the store of its own."""
        number = len(self.fronts) + 1
        gate = await self.store.listen(f"{self._network}.200")
        front = Front(
            f"front-{number}",
            f"{self._network}.{number}",
            ZONES[number % len(ZONES)],
            gate.address,
            self.folder,
        )
        self.fronts.append(front)
        self.gates.append(gate)
        await front.start(self.seeds())
        return front

    def seeds(self) -> list[str]:
        """Return control addresses of at most three fronts."""
        return [front.control_address for front in self.fronts[:3]]

    async def wait_ready(self) -> bool:
        """Return whether all fronts become ready."""
        ready = await asyncio.gather(
            *(wait_until_ready(f.ready_address, START_LIMIT_S) for f in self.fronts)
        )
        return all(ready)

    async def close(self) -> None:
        """End everything that was started."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await asyncio.gather(*(front.stop() for front in self.fronts))
        if os.environ.get("KEEP_LOGS"):
            shutil.copytree(self.folder, os.environ["KEEP_LOGS"], dirs_exist_ok=True)
        self._record.close()
        shutil.rmtree(self.folder, ignore_errors=True)


def run_case(
    case: Path, scenario: Callable[[Deployment], Awaitable[int]], limit_s: float = 110.0
) -> None:
    """Run a scenario and exit with its result."""

    async def run() -> int:
        deployment = Deployment(case)
        try:
            async with asyncio.timeout(limit_s):
                return await scenario(deployment)
        except TimeoutError:
            deployment.record("the scenario did not end in time")
            return COULD_NOT_RUN
        finally:
            await deployment.close()

    result = asyncio.run(run())
    # Connections that are still open are closed by the end of the process.
    os._exit(result)
