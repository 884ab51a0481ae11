"""A coordinator of a roll-out that is cut off from the store blocks the roll-back."""

import asyncio
import itertools
import os
import sys
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path

from stage3.callers import send
from stage3.cuttable import StorePath
from stage3.deployment import FIRST_FRONT_NUMBER, HOST, Deployment
from stage3.fronts import FrontProcess
from stage3.record import Record

from sesameknot.platform.standin import FleetEndpoint

FOLDER = Path(__file__).parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
FRONT_COUNT = 3
SERVERS_PER_VERSION_COUNT = 4
CALLS_PER_S = 100.0
DEADLINE_MS = 1000
DURATION_S = 24.0
# The new version fails half of its requests from this time after the order on.
FAILS_AT_S = 15.0
FAIL_SHARE = 0.5
# The cut begins when the new version has had traffic for a while.
CUT_AFTER_SHARE_S = 1.0
CUT_FOR_S = 12.0
END_S = 30.0
BAD_COUNT = 50
ROLLBACK_S = 5.0


@dataclass(slots=True)
class Call:
    """A booking that a caller sent, and what came of it."""

    front: str
    sent_s: float
    answered_s: float = 0.0
    status: int = 0
    server: str = ""


class Case:
    """The run."""

    def __init__(self, deployment: Deployment, record: Record) -> None:
        self.deployment = deployment
        self.record = record
        self.paths: dict[str, StorePath] = {}
        self.calls: dict[str, Call] = {}
        self.numbers = itertools.count(1)
        self.coordinator = ""
        self.started_s = 0.0

    async def run(self) -> int:
        """Play the case and return the exit code."""
        deployment = self.deployment
        deployment.configure(
            [
                {
                    "Name": "booking", "PathPrefix": "/booking/", "Kind": "unsafe",
                    "Service": "dispatch", "TimeoutMs": DEADLINE_MS,
                    "TargetLatencyMs": 200, "MaxAttempts": 1,
                }
            ],
            [{"Name": "dispatch"}],
        )  # fmt: skip
        self._add_servers("v1")
        for number in range(FRONT_COUNT):
            await self._add_front(number)
        await deployment.start_fronts()
        await asyncio.sleep(4.0)
        self.started_s = time.monotonic()
        self._add_servers("v2")
        order = {"Service": "dispatch", "Target": "v2", "DurationS": DURATION_S}
        deployment.store.put("rollouts", "dispatch", order)
        self.record.note("the operator orders the roll-out of v2")
        async with asyncio.TaskGroup() as group:
            group.create_task(self._disturb())
            fronts = itertools.cycle(deployment.fronts)
            while self._elapsed_s() < END_S:
                group.create_task(self._call(next(fronts)))
                await asyncio.sleep(1.0 / CALLS_PER_S)
        return self._judge()

    def _elapsed_s(self) -> float:
        return time.monotonic() - self.started_s

    def _add_servers(self, version: str) -> None:
        for number in range(SERVERS_PER_VERSION_COUNT):
            standin = FleetEndpoint(
                endpoint_id=f"{version}-{number + 1}", event_count=0, delay_s=0.03
            )
            self.deployment.add_server(
                standin, service="dispatch", zone="zone-a", version=version
            )

    async def _add_front(self, number: int) -> None:
        deployment = self.deployment
        ip = deployment.net.ip(FIRST_FRONT_NUMBER + FRONT_COUNT + number)
        path = StorePath(ip, deployment.net.free_port(ip), deployment.store_address)
        await path.start()
        name = f"front-{number + 1}"
        self.paths[name] = path
        deployment.add_front(name, "zone-a", store_address=path.address)

    async def _disturb(self) -> None:
        store = self.deployment.store
        # The store stand-in has no event for one object.
        while not self._share() > 0.0:  # noqa: ASYNC110
            await asyncio.sleep(0.02)
        self.record.note(f"share of sessions of v2: {self._share()}")
        written = b"/sesameknot/objects/rollouts/dispatch/status"
        self.coordinator = max(
            self.paths, key=lambda name: self.paths[name].sent.rfind(written)
        )
        self.record.note(f"{self.coordinator} coordinates the roll-out")
        await asyncio.sleep(CUT_AFTER_SHARE_S)
        cut_s = self._elapsed_s()
        if TROUBLE:
            self.paths[self.coordinator].cut()
            self.record.note(f"{self.coordinator} is cut off from the store")
        await asyncio.sleep(FAILS_AT_S - self._elapsed_s())
        for name, server in self.deployment.servers.items():
            if name.startswith("v2"):
                server.standin.error_share = FAIL_SHARE
        self.record.note(f"v2 fails {FAIL_SHARE:.0%} of its requests from now on")
        await asyncio.sleep(cut_s + CUT_FOR_S - self._elapsed_s())
        if TROUBLE:
            self.paths[self.coordinator].heal()
            self.record.note(f"{self.coordinator} reaches the store again")
        await asyncio.sleep(END_S - self._elapsed_s())
        self.record.note(f"status: {store.get('rollouts', 'dispatch')['Status']}")

    def _share(self) -> float:
        order = self.deployment.store.get("rollouts", "dispatch") or {}
        return float((order.get("Status") or {}).get("Share", 0.0))

    async def _call(self, front: FrontProcess) -> None:
        request_id = f"q{next(self.numbers)}"
        call = self.calls[request_id] = Call(front.name, time.monotonic())
        headers = {
            "Host": HOST,
            "X-Request-Id": request_id,
            "X-Deadline-Ms": str(DEADLINE_MS),
        }
        answer = await send(
            front.caller_address,
            "POST",
            "/booking/feed",
            headers,
            request_id.encode(),
            timeout_s=DEADLINE_MS / 1000.0,
        )
        call.answered_s, call.status = answer.passed_s, answer.status
        call.server = answer.headers.get("x-server-stamp", "").partition(".")[0]
        self.record.note(
            f"{request_id} sent to {front.name}, answered {call.status} {call.server}"
        )

    def _judge(self) -> int:
        bad_s = sorted(
            call.answered_s
            for call in self.calls.values()
            if call.server.startswith("v2") and call.status >= 500
        )
        self.record.note(f"{len(bad_s)} bad answers of v2")
        if len(bad_s) < BAD_COUNT:
            return 0
        limit_s = bad_s[BAD_COUNT - 1] + ROLLBACK_S
        self.record.note(f"bad answer {BAD_COUNT}", bad_s[BAD_COUNT - 1])
        late = [
            (request_id, call)
            for request_id, call in self.calls.items()
            if call.server.startswith("v2")
            and call.sent_s > limit_s
            and call.front != self.coordinator
        ]
        for request_id, call in late:
            after_s = call.sent_s - limit_s + ROLLBACK_S
            self.record.note(
                f"BROKEN: {request_id}, sent to {call.front} {after_s:.3f} s after bad "
                f"answer {BAD_COUNT}, reached {call.server}"
            )
        return 1 if late else 0

    def close(self) -> None:
        """Close the paths."""
        for path in self.paths.values():
            path.close()


async def main() -> int:
    """Run the case."""
    record = Record(FOLDER / "record.txt")
    record.note(f"trouble: {TROUBLE}")
    with tempfile.TemporaryDirectory() as directory:
        deployment = Deployment(Path(directory), ["zone-a"])
        case = Case(deployment, record)
        try:
            return await case.run()
        except Exception as error:
            record.note(f"the case couldn't run: {error!r}")
            return 2
        finally:
            case.close()
            await deployment.close()
            record.close()


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
