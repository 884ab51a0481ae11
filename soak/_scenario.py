"""Scenario of one seed: store, endpoints, fronts, callers and faults."""

import asyncio
import contextlib
import random
import time
from collections.abc import Iterator
from pathlib import Path

from tornado.testing import bind_unused_port

from sesameknot.platform.standin import FleetEndpoint, FleetStore, RecordedRun
from soak._caller import CallerConnection
from soak._checks import (
    COLD_RATE_PER_S,
    COLD_S,
    CONFIGURATION_LIMIT_S,
    MODEL_SERVICE,
    SETTLE_TIME_S,
    NoTrafficWindow,
    SentRequest,
    count_cold_load,
    find_cold_floods,
    find_violations,
)
from soak._endpoint_restarts import restart_endpoints
from soak._endpoints import ProxiedEndpoint
from soak._faults import FAULTS
from soak._fronts import FrontProcess
from soak._invalid_answers import send_invalid_answers
from soak._odd_input import send_odd_input

FRONT_COUNT = 3
ENDPOINT_COUNT = 4
CALLER_COUNT = 9
EVENT_COUNT = 12
MODELS = ("small", "large")
REQUEST_TIMEOUT_MS = 3000
START_LIMIT_S = 20.0
RECOVERY_LIMIT_S = 12.0
RECOVERY_PAUSE_S = 0.05
PATH_BY_KIND = {"stream": "/advice/x", "unsafe": "/booking/x", "safe": "/lookup/x"}
EXTRA_PATH = "/extra/x"
# Tokens of the part that the prompts share. It makes one endpoint the best choice of
# hosts in all failure domains, so that it gets more requests than a cold one may.
SHARED_TOKEN_COUNT = 40_000


class Scenario:
    """Deployment, callers and faults of one seed.

    Parameters
    ----------
    random_state : int
        Seed of faults and requests.
    directory : Path
        Directory for settings and logs.
    front_count : int, default=FRONT_COUNT
        Front processes.
    """

    def __init__(
        self, random_state: int, directory: Path, *, front_count: int = FRONT_COUNT
    ) -> None:
        self.random = random.Random(random_state)
        self._seed = random_state
        self._front_count = front_count
        self.store = FleetStore()
        self.endpoints: list[ProxiedEndpoint] = []
        self.fronts: list[FrontProcess] = []
        self.sent_requests: list[SentRequest] = []
        self.no_traffic_windows: list[NoTrafficWindow] = []
        self.violations: list[str] = []
        self.has_extra_route = False
        self.restarts_endpoints = True
        self._extra_route_changed_s = 0.0
        self._directory = directory
        self.runs: dict[str, list[RecordedRun]] = {}
        self.cold_starts_s: dict[str, list[float]] = {}
        self._active_fault_counts: dict[str, int] = {}
        self._configuration_version = 0
        self._shared_part_id = 0xA0000000
        self._endpoint_count = 0
        self._exit_stack = contextlib.AsyncExitStack()
        self._tasks: set[asyncio.Task[None]] = set()

    def now_s(self) -> float:
        """Return the monotonic time."""
        return time.monotonic()

    def report_violation(self, violation: str) -> None:
        """Record a violated guarantee."""
        self.violations.append(violation)

    async def start(self) -> None:
        """Start store, endpoints and fronts, and wait until every front is ready."""
        self.write_configuration(with_extra_route=False)
        store_address = self._listen(self.store.server())
        for service in (MODEL_SERVICE, "dispatch"):
            for number in range(ENDPOINT_COUNT):
                await self.add_endpoint(service, "ab"[number % 2])
        for number in range(self._front_count):
            front = FrontProcess(number, store_address, self._directory)
            self._exit_stack.push_async_callback(front.close)
            await front.start([])
            self.fronts.append(front)
        async with asyncio.timeout(START_LIMIT_S):
            for front in self.fronts:
                await self._wait_until_ready(front)

    def _listen(self, server) -> str:  # noqa: ANN001
        sock, port = bind_unused_port()
        server.add_socket(sock)
        self._exit_stack.callback(server.stop)
        return f"127.0.0.1:{port}"

    async def _wait_until_ready(self, front: FrontProcess) -> None:
        connection = CallerConnection(front.ready_address)
        headers = {"Host": "x"}
        while True:
            answer = await connection.request(
                "GET", "/sesameknot/readyz", headers, b"", 1.0
            )
            if answer.status == 200:
                connection.close()
                return
            await asyncio.sleep(0.05)

    async def add_endpoint(
        self, service: str, domain: str, *, version: str = "v1"
    ) -> None:
        """Start an endpoint and register its proxy's address in the store."""
        self._endpoint_count += 1
        runs_models = service == MODEL_SERVICE
        standin = FleetEndpoint(
            endpoint_id=f"e{self._endpoint_count}",
            event_count=EVENT_COUNT if runs_models else 0,
            event_gap_s=0.02,
            delay_s=0.01,
            models=MODELS if runs_models else (),
        )
        endpoint = ProxiedEndpoint(
            standin=standin,
            service=service,
            domain=domain,
            version=version,
            cold_starts_s=[],
        )
        self.runs[endpoint.endpoint_id] = standin.runs
        self.cold_starts_s[endpoint.endpoint_id] = endpoint.cold_starts_s
        # Endpoints that start before the fronts serve requests need not be spared.
        await endpoint.start(cold=runs_models and bool(self.fronts))
        self._exit_stack.push_async_callback(endpoint.close)
        self.store.put("servers", endpoint.endpoint_id, endpoint.entry())
        self.endpoints.append(endpoint)

    def write_configuration(self, *, with_extra_route: bool) -> None:
        """Write the next configuration, with or without the extra route."""
        self._configuration_version += self.random.randint(1, 5)
        routes = [
            self._route(
                "stream",
                "/advice/",
                "streaming",
                MODEL_SERVICE,
                Resumable=True,
                Sticky=True,
                Sizes=list(MODELS),
            ),
            self._route("unsafe", "/booking/", "unsafe", "dispatch"),
            self._route("safe", "/lookup/", "safe", "dispatch"),
        ]
        if with_extra_route:
            routes.append(self._route("extra", "/extra/", "safe", "dispatch"))
        services = [
            {"Name": MODEL_SERVICE, "ColdS": COLD_S, "ColdPerS": COLD_RATE_PER_S},
            {"Name": "dispatch"},
        ]
        content = {
            "Version": self._configuration_version,
            "Routes": routes,
            "Services": services,
        }
        self.store.put("config", "main", content)
        self.has_extra_route = with_extra_route
        self._extra_route_changed_s = self.now_s()

    def _route(
        self, name: str, prefix: str, kind: str, service: str, **fields: object
    ) -> dict[str, object]:
        return {
            "Name": name,
            "Host": "soak.example",
            "PathPrefix": prefix,
            "Kind": kind,
            "Service": service,
            "TimeoutMs": REQUEST_TIMEOUT_MS,
            "TargetLatencyMs": 500,
            "MaxAttempts": 3,
            **fields,
        }

    def pick_front(self) -> FrontProcess:
        """Return a random front, if possible one that no fault affects now."""
        undisturbed_fronts = [
            front
            for front in self.fronts
            if not self._active_fault_counts.get(front.host_id)
        ]
        return self.random.choice(undisturbed_fronts or self.fronts)

    def pick_endpoint(self) -> ProxiedEndpoint:
        """Return a random endpoint, if possible of a service with more than two."""
        services = [endpoint.service for endpoint in self.endpoints]
        replaceable = [
            endpoint
            for endpoint in self.endpoints
            if services.count(endpoint.service) > 2
        ]
        return self.random.choice(replaceable or self.endpoints)

    def change_shared_part(self) -> None:
        """Give later prompts another shared part, which hosts place afresh.

        With the same one, hosts would stay with the endpoint that they chose while the
        former one was away.
        """
        self._shared_part_id += 1

    def seed_addresses(self) -> list[str]:
        """Return the peer addresses that a starting front contacts first."""
        return [front.peer_address for front in self.fronts]

    @contextlib.contextmanager
    def mark_disturbed(self, *fronts: FrontProcess) -> Iterator[None]:
        """Mark fronts as affected by a fault; its end restarts their settle time."""
        for front in fronts:
            self._active_fault_counts[front.host_id] = (
                self._active_fault_counts.get(front.host_id, 0) + 1
            )
        try:
            yield
        finally:
            for front in fronts:
                self._active_fault_counts[front.host_id] -= 1
                front.undisturbed_since_s = self.now_s()

    def is_undisturbed(self, front: FrontProcess) -> bool:
        """Return whether a front had no fault long enough for its limits to hold."""
        if self._active_fault_counts.get(front.host_id):
            return False
        return (
            self.now_s() - front.undisturbed_since_s
            > SETTLE_TIME_S + CONFIGURATION_LIMIT_S
        )

    async def run(self, duration_s: float) -> None:
        """Inject faults under load for ``duration_s``, then check the recovery."""
        for number in range(CALLER_COUNT):
            front = self.fronts[number % len(self.fronts)]
            self.spawn(
                self._send_requests(front, CallerConnection(front.caller_address))
            )
        self.spawn(send_odd_input(self, self._seed))
        self.spawn(send_invalid_answers(self, self._seed))
        if self.restarts_endpoints:
            self.spawn(restart_endpoints(self, self._seed))
        faults = []
        end_s = self.now_s() + duration_s
        while self.now_s() < end_s:
            await asyncio.sleep(self.random.uniform(0.1, 1.0))
            fault = FAULTS.get(self.random.choice(FAULTS.names()))
            faults.append(asyncio.create_task(fault(self)))
        await asyncio.gather(*faults)
        await self.finish()

    async def finish(self) -> None:
        """Check the recovery, stop the callers and judge what was recorded."""
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
        self.violations += find_cold_floods(self.cold_starts_s, self.runs)

    def most_cold_load(self) -> int:
        """Return the most requests that a cold endpoint got within one second."""
        loads = [
            count_cold_load(start_s, self.runs[endpoint_id])[0]
            for endpoint_id, starts_s in self.cold_starts_s.items()
            for start_s in starts_s
        ]
        return max(loads, default=0)

    def spawn(self, coroutine) -> None:  # noqa: ANN001
        """Run a coroutine until the end of the scenario."""
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)

    async def _send_requests(
        self, front: FrontProcess, connection: CallerConnection
    ) -> None:
        while True:
            await asyncio.sleep(self.random.uniform(0.0, 0.15))
            kind = self.random.choice(["stream", "unsafe", "safe", "extra"])
            if kind == "extra":
                await self._check_extra_route(front, connection)
                continue
            await self.send_request(front, connection, kind)

    async def send_request(
        self,
        front: FrontProcess,
        connection: CallerConnection,
        kind: str,
        *,
        size_bytes: int = 0,
    ) -> SentRequest:
        """Send one request of ``kind`` and record it with its answer.

        Its body has at least ``size_bytes``.
        """
        request = SentRequest(
            request_id=f"q{len(self.sent_requests)}",
            kind=kind,
            host_id=front.host_id,
            sent_s=self.now_s(),
        )
        self.sent_requests.append(request)
        undisturbed_before = self.is_undisturbed(front)
        path = PATH_BY_KIND.get(kind, EXTRA_PATH)
        headers = {
            "Host": "soak.example",
            "X-Request-Id": request.request_id,
            "X-Deadline-Ms": str(REQUEST_TIMEOUT_MS),
        }
        if kind == "stream":
            shared_part = f"{self._shared_part_id:x}:{SHARED_TOKEN_COUNT}"
            own_part = f"{len(self.sent_requests):x}:200"
            headers["X-Prompt-Prefix"] = f"{shared_part},{own_part}"
        timeout_s = REQUEST_TIMEOUT_MS / 1000.0 + 1.0
        # Requests that have the body in common count as one that crashes endpoints.
        body = request.request_id.encode().ljust(size_bytes, b".")
        request.answer = await connection.request(
            "POST", path, headers, body, timeout_s
        )
        request.done_s = self.now_s()
        request.undisturbed = undisturbed_before and self.is_undisturbed(front)
        if request.undisturbed and not request.answer.status:
            self.report_violation(
                f"{request.request_id} got no answer from calm {front.host_id}"
            )
        return request

    async def _check_extra_route(
        self, front: FrontProcess, connection: CallerConnection
    ) -> None:
        expects_route, changed_s = self.has_extra_route, self._extra_route_changed_s
        request = await self.send_request(front, connection, "extra")
        settled = request.sent_s - changed_s > CONFIGURATION_LIMIT_S
        if not (
            settled and request.undisturbed and changed_s == self._extra_route_changed_s
        ):
            return
        not_found = request.answer.status == 404
        if not_found == expects_route:
            change = "added" if expects_route else "removed"
            self.report_violation(
                f"{request.request_id} got {request.answer.status} from "
                f"{front.host_id} {request.sent_s - changed_s:.1f} s after the "
                f"route was {change}"
            )

    async def _check_recovery(self) -> None:
        try:
            async with asyncio.timeout(RECOVERY_LIMIT_S):
                await asyncio.gather(*map(self._wait_until_serving, self.fronts))
        except TimeoutError:
            self.report_violation(
                f"a host does not serve {RECOVERY_LIMIT_S:g} s after the faults"
            )
        for front in self.fronts:
            if not front.running:
                self.report_violation(f"{front.host_id} ended by itself")

    async def _wait_until_serving(self, front: FrontProcess) -> None:
        await self._wait_until_ready(front)
        connection = CallerConnection(front.caller_address)
        consecutive_count = 0
        while consecutive_count < 5:
            request = await self.send_request(front, connection, "safe")
            consecutive_count = (
                consecutive_count + 1 if request.answer.status == 200 else 0
            )
            await asyncio.sleep(RECOVERY_PAUSE_S)
        connection.close()

    async def close(self) -> None:
        """Stop all processes and servers of this scenario."""
        await self._exit_stack.aclose()
