"""Roll-outs of bad and good versions under a steady load of several routes.

All processes run undisturbed, so that only the decision on the roll-out is judged. A
bad version fails a share of its requests, on all routes of its service or on one.
"""

import asyncio
import contextlib
import itertools
import random
import time
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

from tornado.testing import bind_unused_port

from sesameknot.platform.standin import FleetEndpoint, FleetStore, RecordedRun
from soak._caller import CallerConnection
from soak._fronts import FrontProcess

FRONT_COUNT = 6
ENDPOINT_COUNT = 4
CALLERS_PER_FRONT = 6
# The routes get different parts of the load, so that one of them is rare.
PATHS = ("/first/x", "/first/x", "/first/x", "/second/x", "/second/x", "/third/x")
SERVICE = "dispatch"
START_LIMIT_S = 30.0
REQUEST_TIMEOUT_S = 5.0
CALM_S = 3.0
WATCHED_S = 12.0
# Limits of the deployment, which the node file of the fronts holds.
EXPOSE_SHARE = 0.15
EXPOSE_SLACK_COUNT = 30
ROLLBACK_S = 5.0
ROLLBACK_BAD_COUNT = 50


@dataclass(slots=True, frozen=True, kw_only=True)
class RolloutCase:
    """A version and its roll-out; ``error_share`` is 0 for a good one."""

    error_share: float
    error_path: str
    duration_s: float
    pause_s: float

    @classmethod
    def draw(cls, seed: int) -> "RolloutCase":
        """Return the case of a seed."""
        generator = random.Random(seed)
        return cls(
            error_share=generator.choice([0.0, 0.06, 0.12, 0.25, 0.5]),
            error_path=generator.choice(["", "/first/", "/second/"]),
            duration_s=generator.choice([8.0, 12.0, 16.0]),
            pause_s=generator.choice([0.15, 0.3, 0.6]),
        )


class RolloutScenario:
    """Deployment and callers of one roll-out.

    Parameters
    ----------
    case : RolloutCase
        The version and its roll-out.
    directory : Path
        Directory for settings and logs.
    front_count : int, default=FRONT_COUNT
        Front processes.
    """

    def __init__(
        self, case: RolloutCase, directory: Path, *, front_count: int = FRONT_COUNT
    ) -> None:
        self.case = case
        self.front_count = front_count
        self.violations: list[str] = []
        self.served_count = 0
        self.unanswered_count = 0
        self._directory = directory
        self._store = FleetStore()
        self._endpoints: list[tuple[str, FleetEndpoint]] = []
        self._fronts: list[FrontProcess] = []
        self._exit_stack = contextlib.AsyncExitStack()
        self._numbers = itertools.count()

    async def run(self) -> None:
        """Play the roll-out and collect what was violated."""
        async with self._exit_stack:
            await self._start()
            callers = [
                asyncio.create_task(self._send_requests(front))
                for front in self._fronts
                for _ in range(CALLERS_PER_FRONT)
            ]
            await asyncio.sleep(CALM_S)
            ordered_s = self._order()
            await asyncio.sleep(self.case.duration_s + WATCHED_S)
            for caller in callers:
                caller.cancel()
            await asyncio.gather(*callers, return_exceptions=True)
            self._judge(ordered_s)

    @property
    def state(self) -> str:
        """State of the roll-out in the store."""
        entry = self._store.get("rollouts", SERVICE) or {}
        return (entry.get("Status") or {}).get("State", "")

    async def _start(self) -> None:
        self._store.put("config", "main", _configuration())
        store_address = self._listen(self._store.server())
        self._add_endpoints("v1")
        for number in range(self.front_count):
            front = FrontProcess(number, store_address, self._directory)
            self._exit_stack.push_async_callback(front.close)
            await front.start([])
            self._fronts.append(front)
        async with asyncio.timeout(START_LIMIT_S):
            for front in self._fronts:
                await _wait_until_ready(front)

    def _listen(self, server) -> str:  # noqa: ANN001
        sock, port = bind_unused_port()
        server.add_socket(sock)
        self._exit_stack.callback(server.stop)
        return f"127.0.0.1:{port}"

    def _add_endpoints(self, version: str, **options: object) -> None:
        for number in range(ENDPOINT_COUNT):
            endpoint = FleetEndpoint(
                endpoint_id=f"{version}-{number}",
                event_count=0,
                delay_s=0.02,
                **options,
            )
            self._endpoints.append((version, endpoint))
            entry = {
                "Service": SERVICE,
                "Address": self._listen(endpoint.server()),
                "Zone": "ab"[number % 2],
                "Version": version,
                "State": "ready",
                "Slots": 16,
            }
            self._store.put("servers", endpoint.endpoint_id, entry)

    def _order(self) -> float:
        """Start the new version and order its roll-out; return the time."""
        self._add_endpoints(
            "v2", error_share=self.case.error_share, error_path=self.case.error_path
        )
        order = {
            "Service": SERVICE,
            "Target": "v2",
            "DurationS": self.case.duration_s,
        }
        self._store.put("rollouts", SERVICE, order)
        return time.monotonic()

    async def _send_requests(self, front: FrontProcess) -> None:
        # The load does not grow with the number of processes.
        pause_s = self.case.pause_s * self.front_count / FRONT_COUNT
        await asyncio.sleep(random.uniform(0.0, pause_s))
        connection = CallerConnection(front.caller_address)
        while True:
            number = next(self._numbers)
            headers = {
                "Host": "callers.example",
                "X-Request-Id": f"r{number}",
                "X-Deadline-Ms": "2000",
            }
            answer = await connection.request(
                "POST", PATHS[number % len(PATHS)], headers, b"q", REQUEST_TIMEOUT_S
            )
            self.served_count += answer.status == 200 and answer.complete
            self.unanswered_count += not answer.complete
            await asyncio.sleep(pause_s)

    def _runs(self, version: str | None = None) -> Iterator[RecordedRun]:
        for endpoint_version, endpoint in self._endpoints:
            if version in (None, endpoint_version):
                yield from endpoint.runs

    def _judge(self, ordered_s: float) -> None:
        """Compare what the new version got with the limits of the deployment."""
        deadline_s = ordered_s + self.case.duration_s
        new_runs = sorted(self._runs("v2"), key=lambda run: run.received_s)
        bad_s = [run.received_s for run in new_runs if run.failed]
        if self.unanswered_count:
            self.violations.append(f"{self.unanswered_count} requests have no answer")
        if not self.case.error_share:
            if self.state != "succeeded":
                self.violations.append(f"a good version is {self.state!r}")
            return
        in_time = [ordered_s <= run.received_s <= deadline_s for run in self._runs()]
        exposed = [ordered_s <= run.received_s <= deadline_s for run in new_runs]
        limit_count = EXPOSE_SHARE * sum(in_time) + EXPOSE_SLACK_COUNT
        if sum(exposed) > limit_count:
            self.violations.append(
                f"a bad version got {sum(exposed)} of {sum(in_time)} requests in time, "
                f"{limit_count:.0f} allowed"
            )
        if len(bad_s) >= ROLLBACK_BAD_COUNT:
            end_s = bad_s[ROLLBACK_BAD_COUNT - 1] + ROLLBACK_S
            late_count = sum(run.received_s > end_s for run in new_runs)
            if late_count:
                self.violations.append(
                    f"a bad version got {late_count} requests {ROLLBACK_S:g} s after "
                    f"its {ROLLBACK_BAD_COUNT}th bad answer; it is {self.state!r}"
                )


def _configuration() -> dict[str, object]:
    routes = [
        {
            "Name": name,
            "Host": "callers.example",
            "PathPrefix": f"/{name}/",
            "Kind": "safe",
            "TimeoutMs": 4000,
            "TargetLatencyMs": 400,
            "MaxAttempts": 2,
            "Service": SERVICE,
        }
        for name in sorted({path.split("/")[1] for path in PATHS})
    ]
    return {"Version": 1, "Routes": routes, "Services": [{"Name": SERVICE}]}


async def _wait_until_ready(front: FrontProcess) -> None:
    connection = CallerConnection(front.ready_address)
    while True:
        answer = await connection.request(
            "GET", "/sesameknot/readyz", {"Host": "x"}, b"", 1.0
        )
        if answer.status == 200:
            connection.close()
            return
        await asyncio.sleep(0.05)
