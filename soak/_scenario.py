"""The fleet that one seed runs: store, endpoints, fronts, callers and faults."""

import asyncio
import contextlib
import random
import time
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

from tornado.testing import bind_unused_port

from sesameknot.platform.standin import FleetEndpoint, FleetStore, RecordedRun
from soak._caller import CallerConnection
from soak._checks import CONFIGURATION_LIMIT_S, CONTACT_S, Asked, Bar, find_violations
from soak._faults import FAULTS
from soak._fronts import FrontProcess
from soak._proxy import Proxy

FRONT_COUNT = 3
CALLER_COUNT = 9
EVENT_COUNT = 12
TIMEOUT_MS = 3000
START_LIMIT_S = 20.0
RECOVER_LIMIT_S = 12.0
RECOVERY_PAUSE_S = 0.05
PATHS = {"stream": "/advice/x", "unsafe": "/booking/x", "safe": "/lookup/x"}
EXTRA_PATH = "/extra/x"


@dataclass(slots=True, kw_only=True)
class ProxiedEndpoint:
    """An endpoint behind its proxy."""

    standin: FleetEndpoint
    proxy: Proxy
    service: str
    domain: str
    version: str


class Scenario:
    """Everything of one seed.

    Parameters
    ----------
    random_state : int
        Seed of faults and requests.
    directory : Path
        Where settings and logs go.
    """

    def __init__(self, random_state: int, directory: Path) -> None:
        self.random = random.Random(random_state)
        self.store = FleetStore()
        self.endpoints: list[ProxiedEndpoint] = []
        self.fronts: list[FrontProcess] = []
        self.sent_requests: list[Asked] = []
        self.no_traffic_windows: list[Bar] = []
        self.violations: list[str] = []
        self.extra_route = False
        self._extra_changed_s = 0.0
        self._directory = directory
        self.runs: dict[str, list[RecordedRun]] = {}
        self._disturbed: dict[str, int] = {}
        self._version = 0
        self._endpoint_count = 0
        self._stack = contextlib.AsyncExitStack()
        self._tasks: set[asyncio.Task[None]] = set()

    def now_s(self) -> float:
        """Return monotonic time."""
        return time.monotonic()

    def report_violation(self, problem: str) -> None:
        """Take note of a broken promise."""
        self.violations.append(problem)

    async def start(self) -> None:
        """Start store, endpoints and fronts, and wait until all are ready."""
        self.configure(extra=False)
        store_address = self._listen(self.store.server())
        for service, count in (("advisor", 4), ("dispatch", 4)):
            for number in range(count):
                await self.add_endpoint(service, "ab"[number % 2])
        for number in range(FRONT_COUNT):
            front = FrontProcess(number, store_address, self._directory)
            self._stack.push_async_callback(front.close)
            await front.start([])
            self.fronts.append(front)
        async with asyncio.timeout(START_LIMIT_S):
            for front in self.fronts:
                await self._until_ready(front)

    def _listen(self, server) -> str:  # noqa: ANN001
        sock, port = bind_unused_port()
        server.add_socket(sock)
        self._stack.callback(server.stop)
        return f"127.0.0.1:{port}"

    async def _until_ready(self, front: FrontProcess) -> None:
        link = CallerConnection(front.ready_address)
        headers = {"Host": "x"}
        while True:
            answer = await link.request("GET", "/sesameknot/readyz", headers, b"", 1.0)
            if answer.status == 200:
                link.close()
                return
            await asyncio.sleep(0.05)

    async def add_endpoint(
        self, service: str, domain: str, *, version: str = "v1"
    ) -> None:
        """Start an endpoint and register it behind a proxy."""
        self._endpoint_count += 1
        endpoint = FleetEndpoint(
            endpoint_id=f"e{self._endpoint_count}",
            event_count=EVENT_COUNT if service == "advisor" else 0,
            event_gap_s=0.02,
            delay_s=0.01,
        )
        self.runs[endpoint.endpoint_id] = endpoint.runs
        proxy = Proxy(self._listen(endpoint.server()))
        await proxy.start()
        self._stack.callback(proxy.close)
        entry = {
            "Service": service,
            "Address": proxy.address,
            "Zone": domain,
            "Version": version,
            "State": "ready",
            "Slots": 16,
        }
        self.store.put("servers", endpoint.endpoint_id, entry)
        self.endpoints.append(
            ProxiedEndpoint(
                standin=endpoint,
                proxy=proxy,
                service=service,
                domain=domain,
                version=version,
            )
        )

    def configure(self, *, extra: bool) -> None:
        """Write the next configuration, with or without the extra route."""
        self._version += self.random.randint(1, 5)
        routes = [
            self._route("stream", "/advice/", "streaming", "advisor", Resumable=True),
            self._route("unsafe", "/booking/", "unsafe", "dispatch"),
            self._route("safe", "/lookup/", "safe", "dispatch"),
        ]
        if extra:
            routes.append(self._route("extra", "/extra/", "safe", "dispatch"))
        services = [{"Name": "advisor"}, {"Name": "dispatch"}]
        content = {"Version": self._version, "Routes": routes, "Services": services}
        self.store.put("config", "main", content)
        self.extra_route = extra
        self._extra_changed_s = self.now_s()

    def _route(
        self, name: str, prefix: str, kind: str, service: str, **fields: object
    ) -> dict[str, object]:
        return {
            "Name": name,
            "Host": "soak.example",
            "PathPrefix": prefix,
            "Kind": kind,
            "Service": service,
            "TimeoutMs": TIMEOUT_MS,
            "TargetLatencyMs": 500,
            "MaxAttempts": 3,
            **fields,
        }

    def pick_front(self) -> FrontProcess:
        """Return a random front that no other fault stops now."""
        free = [
            front for front in self.fronts if not self._disturbed.get(front.host_id)
        ]
        return self.random.choice(free or self.fronts)

    def pick_endpoint(self) -> ProxiedEndpoint:
        """Return a random endpoint of a service that has others."""
        services = [member.service for member in self.endpoints]
        spare = [m for m in self.endpoints if services.count(m.service) > 2]
        return self.random.choice(spare or self.endpoints)

    def seeds(self) -> list[str]:
        """Return peer addresses for a process that starts."""
        return [front.peer_address for front in self.fronts]

    @contextlib.contextmanager
    def disturbing(self, *fronts: FrontProcess) -> Iterator[None]:
        """Mark fronts as disturbed while the context is open, and shortly after."""
        for front in fronts:
            self._disturbed[front.host_id] = self._disturbed.get(front.host_id, 0) + 1
        try:
            yield
        finally:
            for front in fronts:
                self._disturbed[front.host_id] -= 1
                front.calm_since_s = self.now_s()

    def calm(self, front: FrontProcess) -> bool:
        """Return whether no fault touched a front lately."""
        if self._disturbed.get(front.host_id):
            return False
        return self.now_s() - front.calm_since_s > CONTACT_S + CONFIGURATION_LIMIT_S

    async def run(self, duration_s: float) -> None:
        """Send requests and inject faults for ``duration_s``, then let all recover."""
        for number in range(CALLER_COUNT):
            front = self.fronts[number % FRONT_COUNT]
            self._spawn(self._call_on(front, CallerConnection(front.caller_address)))
        faults = []
        end_s = self.now_s() + duration_s
        while self.now_s() < end_s:
            await asyncio.sleep(self.random.uniform(0.1, 1.0))
            fault = FAULTS.get(self.random.choice(FAULTS.names()))
            faults.append(asyncio.create_task(fault(self)))
        await asyncio.gather(*faults)
        await self._check_recovery()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self.violations += find_violations(
            self.sent_requests,
            self.runs,
            self.no_traffic_windows,
            event_count=EVENT_COUNT,
        )

    def _spawn(self, work) -> None:  # noqa: ANN001
        task = asyncio.create_task(work)
        self._tasks.add(task)

    async def _call_on(self, front: FrontProcess, link: CallerConnection) -> None:
        while True:
            await asyncio.sleep(self.random.uniform(0.0, 0.15))
            kind = self.random.choice(["stream", "unsafe", "safe", "extra"])
            if kind == "extra":
                await self._ask_extra(front, link)
                continue
            await self.send_request(front, link, kind)

    async def send_request(
        self, front: FrontProcess, link: CallerConnection, kind: str
    ) -> Asked:
        """Send one request of ``kind`` and return it with its answer."""
        request = Asked(
            request_id=f"q{len(self.sent_requests)}",
            kind=kind,
            host_id=front.host_id,
            sent_s=self.now_s(),
        )
        self.sent_requests.append(request)
        before = self.calm(front)
        path = PATHS.get(kind, EXTRA_PATH)
        headers = {
            "Host": "soak.example",
            "X-Request-Id": request.request_id,
            "X-Deadline-Ms": str(TIMEOUT_MS),
        }
        time_s = TIMEOUT_MS / 1000.0 + 1.0
        request.answer = await link.request("POST", path, headers, b"body", time_s)
        request.done_s = self.now_s()
        request.calm = before and self.calm(front)
        if request.calm and not request.answer.status:
            self.report_violation(
                f"{request.request_id} got no answer from calm {front.host_id}"
            )
        return request

    async def _ask_extra(self, front: FrontProcess, link: CallerConnection) -> None:
        route, changed_s = self.extra_route, self._extra_changed_s
        request = await self.send_request(front, link, "extra")
        settled = request.sent_s - changed_s > CONFIGURATION_LIMIT_S
        if not (settled and request.calm and changed_s == self._extra_changed_s):
            return
        missing = request.answer.status == 404
        if missing == route:
            change = "added" if route else "removed"
            self.report_violation(
                f"{request.request_id} got {request.answer.status} from "
                f"{front.host_id} {request.sent_s - changed_s:.1f} s after the "
                f"route was {change}"
            )

    async def _check_recovery(self) -> None:
        try:
            async with asyncio.timeout(RECOVER_LIMIT_S):
                for front in self.fronts:
                    await self._until_ready(front)
                    await self._until_served(front)
        except TimeoutError:
            self.report_violation(
                f"a host does not serve {RECOVER_LIMIT_S:g} s after the faults"
            )
        for front in self.fronts:
            if not front.running:
                self.report_violation(f"{front.host_id} ended by itself")

    async def _until_served(self, front: FrontProcess) -> None:
        link = CallerConnection(front.caller_address)
        served = 0
        while served < 5:
            request = await self.send_request(front, link, "safe")
            served = served + 1 if request.answer.status == 200 else 0
            await asyncio.sleep(RECOVERY_PAUSE_S)
        link.close()

    async def close(self) -> None:
        """End all processes and servers of this seed."""
        await self._stack.aclose()
