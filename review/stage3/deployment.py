"""A small deployment: store, server stand-ins on their paths, and front processes."""

import asyncio
import contextlib
import itertools
import time
from pathlib import Path
from typing import Any

from tornado.httpserver import HTTPServer

from sesameknot.platform.standin import FleetEndpoint, FleetStore
from stage3.fronts import FrontProcess
from stage3.network import LoopbackNet
from stage3.store import PathView

HOST = "case.example"
# Numbers of addresses in the block: the store, the fronts, the servers, the paths.
STORE_NUMBER = 2
FIRST_FRONT_NUMBER = 10
FIRST_SERVER_NUMBER = 100
FIRST_PATH_NUMBER = 150
# Servers that are not cold have been running for so long.
LONG_AGO_MS = 600_000


class Server:
    """A server stand-in with its entry, reached directly and over another path.

    Parameters
    ----------
    standin : FleetEndpoint
        The server.
    service, zone, version : str
        What its entry says.
    ip, path_ip : str
        Its address, and the near end of the path that one machine uses.
    port : int
        Port of both.
    slots, cold_ms : int
        Slots, and time for which it is cold, as its entry says.
    """

    def __init__(
        self,
        standin: FleetEndpoint,
        *,
        service: str,
        zone: str,
        version: str,
        ip: str,
        path_ip: str,
        port: int,
        slots: int,
        cold_ms: int,
    ) -> None:
        self.standin = standin
        self.path_runs: set[str] = set()
        self._entry: dict[str, Any] = {
            "Service": service,
            "Address": f"{ip}:{port}",
            "Zone": zone,
            "Version": version,
            "State": "ready",
            "Slots": slots,
            "ColdRemainingMs": cold_ms,
            "born": int(time.time() * 1000) - (0 if cold_ms else LONG_AGO_MS),
        }
        self._ip = ip
        self._path_ip = path_ip
        self._port = port
        self._direct = standin.server()
        self._direct.listen(port, ip)
        self._path: HTTPServer | None = None
        self.open_path()

    def entry(self, state: str = "ready") -> dict[str, Any]:
        """Return the entry in the store."""
        return {**self._entry, "State": state}

    async def crash(self) -> None:
        """End the process: refuse connections and reset the open ones."""
        self._direct.stop()
        await self._direct.close_all_connections()

    def start_again(self) -> None:
        """Start another process under the same identifier."""
        self._entry["born"] = int(time.time() * 1000)
        self._direct = self.standin.server()
        self._direct.listen(self._port, self._ip)

    def open_path(self) -> None:
        """Accept connections over the path."""
        self._path = _path_server(self)
        self._path.listen(self._port, self._path_ip)

    def cut_path(self) -> None:
        """Refuse new connections over the path; open ones live on."""
        if self._path is not None:
            self._path.stop()
            self._path = None


def _path_server(server: Server) -> HTTPServer:
    def accept(request: Any) -> None:
        server.path_runs.add(request.headers.get("X-Request-Id", ""))
        server.standin._accept_request(request)

    return HTTPServer(accept)


class Deployment:
    """Starts and ends all parts.

    Parameters
    ----------
    directory : Path
        Folder for settings and logs.
    zones : list of str
        Zones.
    store : FleetStore or None, default=None
        The store.
    """

    def __init__(
        self, directory: Path, zones: list[str], *, store: FleetStore | None = None
    ) -> None:
        self.net = LoopbackNet()
        self.store = store or FleetStore()
        self.servers: dict[str, Server] = {}
        self.fronts: list[FrontProcess] = []
        self._directory = directory
        self._zones = zones
        self._stack = contextlib.AsyncExitStack()
        self._versions = itertools.count(3, 4)
        ip = self.net.ip(STORE_NUMBER)
        self.store_address = f"{ip}:{self.net.free_port(ip)}"
        self._listen(self.store.server(), self.store_address)
        self._path_numbers: dict[str, str] = {}

    def _listen(self, server: HTTPServer, address: str) -> None:
        ip, _, port = address.rpartition(":")
        server.listen(int(port), ip)
        self._stack.callback(server.stop)

    def configure(
        self, routes: list[dict[str, Any]], services: list[dict[str, Any]]
    ) -> None:
        """Write the next configuration."""
        common = {"Host": HOST, "MaxAttempts": 3, "Priority": 1}
        self.store.put(
            "config",
            "main",
            {
                "Version": next(self._versions),
                "Routes": [{**common, **route} for route in routes],
                "Services": services,
                "Limits": {
                    "MaxHeaderBytes": 16384,
                    "MaxBodyBytes": 4194304,
                    "HeaderTimeoutMs": 5000,
                    "IdleTimeoutMs": 15000,
                },
            },
        )

    def add_server(
        self,
        standin: FleetEndpoint,
        *,
        service: str,
        zone: str,
        version: str = "v1",
        slots: int = 16,
        cold_ms: int = 0,
    ) -> Server:
        """Start a server stand-in and register it."""
        number = len(self.servers)
        ip = self.net.ip(FIRST_SERVER_NUMBER + number)
        path_ip = self.net.ip(FIRST_PATH_NUMBER + number)
        port = self.net.free_port(ip)
        server = Server(
            standin,
            service=service,
            zone=zone,
            version=version,
            ip=ip,
            path_ip=path_ip,
            port=port,
            slots=slots,
            cold_ms=cold_ms,
        )
        self._path_numbers[f"{ip}:{port}"] = f"{path_ip}:{port}"
        self.servers[standin.endpoint_id] = server
        self.store.put("servers", standin.endpoint_id, server.entry())
        return server

    def path_store_address(self) -> str:
        """Return the address of the store for the machine that uses the paths."""
        ip = self.net.ip(STORE_NUMBER)
        address = f"{ip}:{self.net.free_port(ip)}"
        view = PathView(self.store, addresses=self._path_numbers)
        self._listen(view.server(), address)
        return address

    def add_front(self, name: str, zone: str, **options: Any) -> FrontProcess:
        """Return a front process that is not started yet."""
        options.setdefault("store_address", self.store_address)
        front = FrontProcess(
            name,
            zone,
            net=self.net,
            number=FIRST_FRONT_NUMBER + len(self.fronts),
            zones=self._zones,
            directory=self._directory,
            **options,
        )
        self.fronts.append(front)
        self._stack.push_async_callback(front.close)
        return front

    async def start_fronts(self, *fronts: FrontProcess) -> None:
        """Start fronts, by default all, and wait until they are ready."""
        seeds = [front.control_address for front in self.fronts[:3]]
        for front in fronts or self.fronts:
            front.seeds = seeds
            await front.start()
        await asyncio.gather(*(front.wait_ready() for front in fronts or self.fronts))

    async def close(self) -> None:
        """End all parts."""
        await self._stack.aclose()
