"""Added machines grant the requests of a limited server beside the present owner."""

import asyncio
import itertools
import os
import random
import sys
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path

from stage3.callers import send
from stage3.deployment import HOST, Deployment
from stage3.fronts import FrontProcess
from stage3.record import Record
from stage3.store import StaleCopies

from sesameknot.platform.standin import FleetEndpoint

FOLDER = Path(__file__).parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
OLD_FRONT_COUNT = 2
NEW_FRONT_COUNT = 3
SERVER_COUNT = 8
LIMIT_PER_S = 6.0
CALLS_PER_S = 160.0
DEADLINE_MS = 1000
HOST_KIND = "sesameknot-hosts"
STALE_S = 3.0
# Times from the start of the traffic.
ADD_AT_S = 6.0
END_S = 24.0
CONTACT_S = 3.0
WINDOW_S = 4.0
ALLOWED_FACTOR = 1.5
ALLOWED_EXTRA_COUNT = 5
AFTER_ANSWER_S = 0.5


@dataclass(slots=True)
class Call:
    """A lookup that a caller sent to a front."""

    front: str
    sent_s: float


class Case:
    """The run."""

    def __init__(self, deployment: Deployment, record: Record) -> None:
        self.deployment = deployment
        self.record = record
        self.calls: dict[str, Call] = {}
        self.numbers = itertools.count(1)
        self.started_s = 0.0
        self.ready_fronts: list[FrontProcess] = []
        self.random = random.Random(1)
        # When each front first passed on an answer of a server with its limit.
        self.passed_s: dict[tuple[str, str], float] = {}

    async def run(self) -> int:
        """Play the case and return the exit code."""
        deployment = self.deployment
        deployment.configure(
            [
                {
                    "Name": "lookup", "PathPrefix": "/lookup/", "Kind": "safe",
                    "Service": "dispatch", "TimeoutMs": DEADLINE_MS,
                    "TargetLatencyMs": 200, "MaxAttempts": 2,
                }
            ],
            [{"Name": "dispatch"}],
        )  # fmt: skip
        for number in range(SERVER_COUNT):
            standin = FleetEndpoint(
                endpoint_id=f"s{number + 1}",
                event_count=0,
                delay_s=0.02,
                rate_limit=f"{LIMIT_PER_S:g}",
            )
            deployment.add_server(standin, service="dispatch", zone="zone-a")
        old_fronts = [
            deployment.add_front(f"front-{number + 1}", "zone-a")
            for number in range(OLD_FRONT_COUNT)
        ]
        await deployment.start_fronts()
        await asyncio.sleep(5.0)
        self.started_s = time.monotonic()
        self.ready_fronts = list(old_fronts)
        self.record.note("traffic starts")
        async with asyncio.TaskGroup() as group:
            group.create_task(self._send_calls())
            await asyncio.sleep(ADD_AT_S)
            if TROUBLE:
                await self._add_fronts(group)
        return self._judge()

    async def _add_fronts(self, group: asyncio.TaskGroup) -> None:
        new_fronts = [
            self.deployment.add_front(f"front-{OLD_FRONT_COUNT + number + 1}", "zone-a")
            for number in range(NEW_FRONT_COUNT)
        ]
        self.record.note(f"{NEW_FRONT_COUNT} machines are added")
        for front in new_fronts:
            front.first_start = False
            await front.start()
        for front in new_fronts:
            group.create_task(self._use_when_ready(front))

    async def _use_when_ready(self, front: FrontProcess) -> None:
        await front.wait_ready()
        self.record.note(f"{front.name} is ready")
        self.ready_fronts.append(front)

    async def _send_calls(self) -> None:
        """Send all callers' requests, spread over the fronts that are ready."""
        async with asyncio.TaskGroup() as group:
            while time.monotonic() < self.started_s + END_S:
                group.create_task(self._call(self.random.choice(self.ready_fronts)))
                await asyncio.sleep(1.0 / CALLS_PER_S)

    async def _call(self, front: FrontProcess) -> None:
        request_id = f"q{next(self.numbers)}"
        self.calls[request_id] = Call(front.name, time.monotonic())
        headers = {
            "Host": HOST,
            "X-Request-Id": request_id,
            "X-Deadline-Ms": str(DEADLINE_MS),
        }
        answer = await send(
            front.caller_address,
            "GET",
            "/lookup/cage",
            headers,
            timeout_s=DEADLINE_MS / 1000.0,
        )
        server = answer.headers.get("x-server-stamp", "").partition(".")[0]
        limit = answer.headers.get("server-limit", "")
        self.record.note(
            f"{request_id} sent to {front.name}, answered {answer.status} {server}"
            + (f" Server-Limit: {limit}" if limit else "")
        )
        if limit and server:
            self.passed_s.setdefault((front.name, server), answer.passed_s)

    def _judge(self) -> int:
        allowed = ALLOWED_FACTOR * LIMIT_PER_S * WINDOW_S + ALLOWED_EXTRA_COUNT
        broken = False
        for name, server in self.deployment.servers.items():
            counted = []
            for run in server.standin.runs:
                front = self.calls[run.request_id].front
                self.record.note(
                    f"{name} runs {run.request_id} from {front}", run.received_s
                )
                passed_s = self.passed_s.get((front, name), float("inf"))
                if run.received_s >= passed_s + AFTER_ANSWER_S:
                    counted.append((run.received_s, front))
            first_s = min(
                (at_s for (_, of), at_s in self.passed_s.items() if of == name),
                default=float("inf"),
            )
            counted = sorted(c for c in counted if c[0] >= first_s + CONTACT_S)
            most, window = _busiest_window(counted)
            by_front = {
                front: sum(f == front for _, f in window)
                for front in sorted({f for _, f in window})
            }
            verdict = "BROKEN" if most > allowed else "held"
            broken = broken or most > allowed
            self.record.note(
                f"{verdict}: {name} got {most} requests in {WINDOW_S:g} s, allowed "
                f"{allowed:g}; by machine {by_front}",
                window[0][0] if window else None,
            )
        return 1 if broken else 0


def _busiest_window(
    counted: list[tuple[float, str]],
) -> tuple[int, list[tuple[float, str]]]:
    best: list[tuple[float, str]] = []
    for index, (start_s, _) in enumerate(counted):
        window = [c for c in counted[index:] if c[0] < start_s + WINDOW_S]
        if len(window) > len(best):
            best = window
    return len(best), best


async def main() -> int:
    """Run the case."""
    record = Record(FOLDER / "record.txt")
    record.note(f"trouble: {TROUBLE}")
    with tempfile.TemporaryDirectory() as directory:
        store = StaleCopies(HOST_KIND, STALE_S)
        deployment = Deployment(Path(directory), ["zone-a"], store=store)
        try:
            return await Case(deployment, record).run()
        except Exception as error:
            record.note(f"the case couldn't run: {error!r}")
            return 2
        finally:
            await deployment.close()
            record.close()


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
