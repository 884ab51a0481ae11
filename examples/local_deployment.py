"""Stand-ins and routers as separate processes on loopback, for demo and tests."""

import asyncio
import contextlib
import hashlib
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
from collections import deque
from dataclasses import dataclass, field
from pathlib import Path
from types import TracebackType
from typing import Any

import yaml
from tornado.httpclient import HTTPRequest, HTTPResponse
from tornado.simple_httpclient import SimpleAsyncHTTPClient

OPERATOR_TOKEN = "operator-token"
OPERATOR_TOKEN_SHA256 = hashlib.sha256(OPERATOR_TOKEN.encode()).hexdigest()
SOURCE = Path(__file__).resolve().parent.parent / "src"
SAMPLE_TREE = Path(__file__).resolve().parent / "settings"
DOMAINS = ("manzala", "burullus", "idku", "damietta")
START_LIMIT_S = 60.0
STOP_LIMIT_S = 90.0


# Reservations that a process holds at most; the oldest ones are released first.
RESERVATION_LIMIT_COUNT = 500

_reservations: deque[socket.socket] = deque()


def reserve_port() -> int:
    """Return a TCP port for a server of this process or of one that it starts.

    The kernel chooses the port. A socket stays bound to it without listening, so that
    the kernel gives the port neither to another process nor to an outgoing connection.
    A server with ``SO_REUSEADDR`` can still listen on it, also after a restart.
    """
    reservation = socket.socket()
    reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    reservation.bind(("127.0.0.1", 0))
    _reservations.append(reservation)
    if len(_reservations) > RESERVATION_LIMIT_COUNT:
        _reservations.popleft().close()
    return reservation.getsockname()[1]


@dataclass(slots=True)
class Process:
    """One process of the deployment.

    Parameters
    ----------
    name : str
        Name within the deployment.
    arguments : list of str
        Module and flags, for a restart.
    log_path : Path
        File that takes its output.
    """

    name: str
    arguments: list[str]
    log_path: Path
    popen: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the process."""
        environment = {**os.environ, "PYTHONPATH": str(SOURCE)}
        with self.log_path.open("ab") as log:
            self.popen = subprocess.Popen(
                [sys.executable, "-m", *self.arguments],
                stdout=log,
                stderr=log,
                env=environment,
            )

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self.popen is not None and self.popen.poll() is None:
            self.popen.send_signal(number)

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        if self.popen is not None:
            self.popen.kill()
            self.popen.wait()

    def freeze(self) -> None:
        """Stop the process from running, as a pause of its host would."""
        self.send(signal.SIGSTOP)

    def wake(self) -> None:
        """Let a frozen process run on."""
        self.send(signal.SIGCONT)

    def stop(self) -> int:
        """End the process gracefully and return its exit code."""
        if self.popen is None:
            return 0
        self.send(signal.SIGCONT)
        self.send(signal.SIGTERM)
        try:
            return self.popen.wait(STOP_LIMIT_S)
        except subprocess.TimeoutExpired:
            self.kill()
            return -signal.SIGKILL


@dataclass(slots=True)
class RouterPlace:
    """A router process and its addresses."""

    process: Process
    host_id: str
    domain: str
    http_port: int
    peer_port: int
    settings_path: Path

    @property
    def url(self) -> str:
        """Base URL for callers."""
        return f"http://127.0.0.1:{self.http_port}"


@dataclass(slots=True)
class LocalDeployment:
    """A deployment on loopback.

    Parameters
    ----------
    router_count : int, default=3
        Routers, spread over the failure domains.
    with_controllers : bool, default=False
        Whether a controller runs beside each router.
    with_ratings : bool, default=False
        Whether the rating stand-in runs.
    timing : dict, default={}
        Changes to the timing settings of the routers.
    requests : dict, default={}
        Changes to the request settings of the routers.
    endpoint_flags : list of str, default=[]
        Flags of all endpoint stand-ins.
    rating_flags : list of str, default=[]
        Flags of the rating stand-in.
    """

    router_count: int = 3
    with_controllers: bool = False
    with_ratings: bool = False
    timing: dict[str, Any] = field(default_factory=dict)
    requests: dict[str, Any] = field(default_factory=dict)
    endpoint_flags: list[str] = field(default_factory=list)
    rating_flags: list[str] = field(default_factory=list)
    routers: list[RouterPlace] = field(default_factory=list)
    endpoints: dict[str, Process] = field(default_factory=dict)
    endpoint_urls: dict[str, str] = field(default_factory=dict)
    processes: list[Process] = field(default_factory=list)
    teams: dict[str, dict[str, Any]] = field(default_factory=dict)
    platform_url: str = ""
    rating_url: str = ""
    directory: Path = field(default_factory=Path)
    _temporary: tempfile.TemporaryDirectory[str] | None = None
    _http: SimpleAsyncHTTPClient | None = None

    async def __aenter__(self) -> "LocalDeployment":
        self._temporary = tempfile.TemporaryDirectory(prefix="sesameknot-")
        self.directory = Path(self._temporary.name)
        self._http = SimpleAsyncHTTPClient(force_instance=True, max_clients=500)
        try:
            await self._start()
        except BaseException:
            self.kill_all()
            raise
        return self

    async def __aexit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self.kill_all()
        if self._http is not None:
            self._http.close()
        if self._temporary is not None:
            self._temporary.cleanup()

    def kill_all(self) -> None:
        """Kill all processes of this deployment."""
        for process in self.processes:
            process.kill()

    async def _start(self) -> None:
        platform_port = reserve_port()
        self.platform_url = f"http://127.0.0.1:{platform_port}"
        self._add("platform", "platform_standin", [f"--port={platform_port}"])
        if self.with_ratings:
            port = reserve_port()
            self.rating_url = f"http://127.0.0.1:{port}"
            self._add(
                "rating", "rating_standin", [f"--port={port}", *self.rating_flags]
            )
        self._start_endpoints()
        for number in range(1, self.router_count + 1):
            self._place_router(number)
        await self.until_answers(f"{self.platform_url}/v1/hosts")
        for place in self.routers:
            place.process.start()
        if self.with_controllers:
            for place in self.routers:
                self._add_controller(place)

    def _add(self, name: str, module: str, flags: list[str]) -> Process:
        process = self._prepare(name, module, flags)
        process.start()
        return process

    def _prepare(self, name: str, module: str, flags: list[str]) -> Process:
        arguments = [f"sesameknot.apps.{module}", *flags]
        process = Process(name, arguments, self.directory / f"{name}.log")
        self.processes.append(process)
        return process

    def _start_endpoints(self) -> None:
        for path in sorted(SAMPLE_TREE.glob("*.yaml")):
            team = yaml.safe_load(path.read_text())
            for endpoint in team["endpoints"]:
                self._start_endpoint(endpoint)
            self.teams[team["team"]] = team

    def _start_endpoint(self, endpoint: dict[str, Any]) -> None:
        port = reserve_port()
        endpoint["url"] = f"http://127.0.0.1:{port}"
        endpoint_id = endpoint["endpoint_id"]
        kind = "plain" if endpoint.get("service") else "model"
        self.endpoint_urls[endpoint_id] = endpoint["url"]
        self.endpoints[endpoint_id] = self._add(
            endpoint_id,
            "endpoint_standin",
            [
                f"--port={port}",
                f"--kind={kind}",
                f"--capacity_count={endpoint.get('capacity_count', 16)}",
                f"--cold_slot_count={endpoint.get('cold_slot_count', 2)}",
                *self.endpoint_flags,
            ],
        )

    def _place_router(self, number: int) -> None:
        host_id = f"entry-{number}"
        place = RouterPlace(
            process=self._prepare(
                host_id,
                "router",
                [f"--settings={self.directory / f'{host_id}.yaml'}"],
            ),
            host_id=host_id,
            domain=DOMAINS[(number - 1) % len(DOMAINS)],
            http_port=reserve_port(),
            peer_port=reserve_port(),
            settings_path=self.directory / f"{host_id}.yaml",
        )
        seeds = [f"127.0.0.1:{other.peer_port}" for other in self.routers]
        self.routers.append(place)
        settings = {
            "host_id": host_id,
            "region": "delta-north",
            "domain": place.domain,
            "http_address": f"127.0.0.1:{place.http_port}",
            "peer_address": f"127.0.0.1:{place.peer_port}",
            "platform_url": self.platform_url,
            "seeds": seeds,
            "rating_url": self.rating_url,
            "rating_share": 1.0,
            "operator_token_sha256": OPERATOR_TOKEN_SHA256,
            "random_state": number,
            "timing": self.timing,
            "requests": self.requests,
        }
        place.settings_path.write_text(yaml.safe_dump(settings))

    def _add_controller(self, place: RouterPlace) -> None:
        path = self.directory / f"controller-{place.host_id}.yaml"
        settings = {
            "host_id": place.host_id,
            "router_address": f"127.0.0.1:{place.peer_port}",
            "platform_url": self.platform_url,
            "timing": {},
        }
        path.write_text(yaml.safe_dump(settings))
        self._add(f"controller-{place.host_id}", "controller", [f"--settings={path}"])

    def write_tree(self) -> Path:
        """Write the settings tree with the ports of this deployment."""
        directory = self.directory / "tree"
        directory.mkdir(exist_ok=True)
        for name, team in self.teams.items():
            (directory / f"{name}.yaml").write_text(yaml.safe_dump(team))
        return directory

    async def ctl(self, *arguments: str, check: bool = True) -> str:
        """Run ``sesameknotctl`` and return what it printed."""
        token_file = self.directory / "operator-token"
        token_file.write_text(OPERATOR_TOKEN)
        routers = ",".join(f"127.0.0.1:{place.http_port}" for place in self.routers)
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "sesameknot.apps.ctl",
            f"--platform={self.platform_url}",
            f"--operator_token_file={token_file}",
            f"--routers={routers}",
            *arguments,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
            env={**os.environ, "PYTHONPATH": str(SOURCE)},
        )
        output, _ = await process.communicate()
        text = output.decode()
        if check and process.returncode != 0:
            raise RuntimeError(f"sesameknotctl {arguments} failed:\n{text}")
        return text

    async def fetch(
        self,
        url: str,
        *,
        method: str = "GET",
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
        timeout_s: float = 60.0,
    ) -> HTTPResponse:
        """Send an HTTP request and return the answer, whatever its status."""
        if self._http is None:
            raise RuntimeError("the deployment is not started")
        request = HTTPRequest(
            url,
            method=method,
            body=body,
            headers=headers,
            request_timeout=timeout_s,
            connect_timeout=timeout_s,
        )
        return await self._http.fetch(request, raise_error=False)

    async def json(self, url: str) -> Any:
        """Return the JSON that a GET answers."""
        response = await self.fetch(
            url, headers={"Authorization": f"Bearer {OPERATOR_TOKEN}"}
        )
        response.rethrow()
        return json.loads(response.body)

    async def switch(self, base_url: str, name: str, value: dict[str, Any]) -> None:
        """Set a switch of a stand-in."""
        response = await self.fetch(
            f"{base_url}/standin/{name}", method="POST", body=json.dumps(value).encode()
        )
        response.rethrow()

    async def until_answers(self, url: str) -> None:
        """Wait until a GET of ``url`` succeeds."""
        async with asyncio.timeout(START_LIMIT_S):
            while True:
                with contextlib.suppress(OSError):
                    response = await self.fetch(url, timeout_s=2.0)
                    if response.code == 200:
                        return
                await asyncio.sleep(0.05)

    async def until_ready(self) -> None:
        """Wait until all routers are ready."""
        for place in self.routers:
            await self.until_answers(f"{place.url}/readyz")

    async def chat(
        self, place: RouterPlace, token: str, body: dict[str, Any], **headers: str
    ) -> HTTPResponse:
        """Send a chat request to a router; header names use underscores."""
        names = {name.replace("_", "-"): value for name, value in headers.items()}
        return await self.fetch(
            f"{place.url}/v1/chat/completions",
            method="POST",
            body=json.dumps(body).encode(),
            headers={
                "Authorization": f"Bearer {token}",
                "Content-Type": "application/json",
                **names,
            },
        )
