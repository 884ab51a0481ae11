"""A small deployment: store, servers, proxies and front processes."""

import asyncio
import os
import random
import shutil
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path

from stage.clients import KEY, Sent
from stage.fronts import Front
from stage.proxy import Proxy
from stage.server import Run, Server
from stage.store import Store

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
CASE_LIMIT_S = 110.0


def route(name: str, prefix: str, kind: str, **fields: object) -> dict[str, object]:
    """Return a route of the configuration."""
    return {
        "Name": name,
        "Host": "ficu95.example",
        "PathPrefix": prefix,
        "Kind": kind,
        "TimeoutMs": 4000,
        "TargetLatencyMs": 400,
        "Priority": 2,
        "Service": "huvo11a",
        "MaxAttempts": 1 if kind == "unsafe" else 2,
        "Public": False,
        "Sticky": False,
        "Resumable": False,
        **fields,
    }


class Deployment:
    """Store, servers and front processes on loopback addresses."""

    def __init__(self, directory: Path) -> None:
        self.directory = directory
        # Fronts have fixed internal ports, so each gets an address of its own.
        self.net = f"127.{random.randint(20, 220)}.{random.randint(1, 250)}"
        self.store = Store(f"{self.net}.1")
        self.servers: list[Server] = []
        self.fronts: list[Front] = []
        self.store_proxies: dict[str, Proxy] = {}
        self.sent: list[Sent] = []
        self.zero_s = time.monotonic()
        self.notes: list[tuple[float, str]] = []
        self._closing: list[Callable[[], object]] = []

    def note(self, text: str) -> float:
        """Record an event and return its time."""
        now_s = time.monotonic()
        self.notes.append((now_s, text))
        return now_s

    async def start_store(self, routes: list[dict[str, object]]) -> None:
        """Start the store with a first configuration."""
        await self.store.start()
        self._closing.append(self.store.close)
        self.configure(1, routes)

    def configure(self, version: int, routes: list[dict[str, object]]) -> None:
        """Write a configuration."""
        services = {str(r["Service"]) for r in routes}
        spec = {
            "Version": version,
            "Routes": routes,
            "Services": [
                {
                    "Name": name,
                    "HealthPath": "/healthz",
                    "MaxConnections": 110,
                    "ColdS": 0.0,
                    "ColdPerS": 0.0,
                }
                for name in sorted(services)
            ],
            "Limits": {
                "MaxHeaderBytes": 16384,
                "MaxBodyBytes": 4194304,
                "HeaderTimeoutMs": 3000,
                "IdleTimeoutMs": 15000,
            },
            "Tenants": [{"Name": "hule930", "ApiKeys": [KEY], "Priority": 1}],
        }
        self.store.put("config", "main", Spec=spec)

    async def add_server(
        self, server_id: str, zone: str, service: str, *, kind: type[Server] = Server
    ) -> Server:
        """Start a server and let it register."""
        ip = f"{self.net}.{100 + len(self.servers)}"
        server = kind(server_id, ip, service=service, zone=zone)
        await server.start()
        self.servers.append(server)
        self._closing.append(server.exit)
        self.store.put("servers", server_id, Spec=server.entry())
        return server

    async def add_front(self, zone: str, zones: list[str]) -> Front:
        """Start a front process, which reaches the store through a proxy."""
        number = len(self.fronts) + 1
        ip = f"{self.net}.{10 + number}"
        front = Front(f"front-{zone}-{number}", ip, zone, zones, self.directory)
        self.fronts.append(front)
        proxy = Proxy(f"{self.net}.{50 + number}", self.store.ip, self.store.port)
        await proxy.start()
        self._closing.append(proxy.close)
        self.store_proxies[front.name] = proxy
        await self.start_front(front)
        return front

    async def start_front(self, front: Front) -> None:
        """Start the process of a front."""
        proxy = self.store_proxies[front.name]
        seeds = [other.control_address for other in self.fronts[:3]]
        await front.start(f"{proxy.ip}:{proxy.port}", seeds)

    @property
    def runs(self) -> list[Run]:
        """All runs at all servers."""
        return [run for server in self.servers for run in server.runs]

    async def close(self) -> None:
        """End all processes and connections."""
        for front in self.fronts:
            await front.kill()
        for close in reversed(self._closing):
            close()
        # The transports end in the next rounds of the event loop.
        await asyncio.sleep(0.2)

    def write_record(self, path: Path, verdict: str) -> None:
        """Write what was sent, answered and run."""
        lines = [(s, f"event    {text}") for s, text in self.notes]
        runs = {run.request_id: [] for run in self.runs}
        for run in self.runs:
            runs[run.request_id].append(run)
            lines.append((run.began_s, f"run      {run.request_id} at {run.server}"))
        for sent in self.sent:
            lines.append(
                (sent.sent_s, f"sent     {sent.request_id} {sent.path} to {sent.front}")
            )
            ends = ", ".join(
                f"{r.server}: {r.ended}" for r in runs.get(sent.request_id, [])
            )
            lines.append(
                (sent.answered_s, f"answered {sent.request_id} {sent.status} [{ends}]")
            )
        lines.sort(key=lambda line: line[0])
        text = [f"{s - self.zero_s:9.3f} s  {line}\n" for s, line in lines]
        path.write_text("".join(text) + verdict + "\n")


def run_case(
    case: Path, play: Callable[[Deployment], Awaitable[tuple[int, str]]]
) -> None:
    """Play a case, write its record and exit with its result."""
    sys.exit(asyncio.run(_run(case, play)))


async def _run(
    case: Path, play: Callable[[Deployment], Awaitable[tuple[int, str]]]
) -> int:
    directory = Path(tempfile.mkdtemp(prefix="sesameknot-review-"))
    deployment = Deployment(directory)
    code, verdict = 2, "the case could not run"
    try:
        async with asyncio.timeout(CASE_LIMIT_S):
            code, verdict = await play(deployment)
    except Exception as error:
        verdict = f"the case could not run: {error!r}"
    finally:
        await deployment.close()
        deployment.write_record(case / "record.txt", verdict)
        if os.environ.get("KEEP"):
            print(directory)
        else:
            shutil.rmtree(directory, ignore_errors=True)
    print(verdict)
    return code
