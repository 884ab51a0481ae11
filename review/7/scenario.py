"""Two front processes of a zone are lost for good; then a request crashes servers."""

import asyncio
import time
from pathlib import Path

from stage.clients import send
from stage.deployment import TROUBLE, Deployment, route, run_case
from stage.fronts import Front
from stage.server import Server

ZONE = "manzala"
FRONT_COUNT = 8
LOST_COUNT = 2
SERVER_COUNT = 8
CONTACT_S = 3.0
RETRY_LIMIT_COUNT = 3
# The server is back after this time, with a new id.
BACK_AFTER_S = 2.0
# The store removes the entry of a silent server after three heartbeats.
ENTRY_LIFE_S = 3.6
# Time within which the fronts settle which two of them watch the store.
SETTLE_LIMIT_S = 40.0
WATCH_COUNT = 4
POISON_INTERVAL_S = 0.8
POISON_COUNT = 40
BOOKING_INTERVAL_S = 0.05
POISON_PATH = "/book/poison"


class Revival:
    """Lets crashed servers start again."""

    def __init__(self, deployment: Deployment) -> None:
        self.crashes_s: list[float] = []
        self._deployment = deployment
        self._tasks: set[asyncio.Task[None]] = set()

    async def add(self) -> None:
        """Start a server that the request crashes."""
        deployment = self._deployment
        server = await deployment.add_server(
            f"i-{len(deployment.servers):03}", ZONE, "huvo11a"
        )
        server.work_s = 0.4
        server.crash_path = POISON_PATH
        server.on_crash = self._crashed

    def _crashed(self, server: Server) -> None:
        self.crashes_s.append(time.monotonic())
        self._deployment.note(f"{server.server_id} crashes")
        task = asyncio.create_task(self._start_again(server))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _start_again(self, server: Server) -> None:
        await asyncio.sleep(BACK_AFTER_S)
        await self.add()
        await asyncio.sleep(ENTRY_LIFE_S - BACK_AFTER_S)
        self._deployment.store.remove("servers", server.server_id)


async def find_relays(deployment: Deployment) -> list[Front]:
    """Return the two fronts that watch the store, by their open connections to it.

    The others learn of changes from these two.
    """
    end_s = time.monotonic() + SETTLE_LIMIT_S
    while time.monotonic() < end_s:
        counts = {
            front.name: deployment.store_proxies[front.name].open_count
            for front in deployment.fronts
        }
        watching = [f for f in deployment.fronts if counts[f.name] >= WATCH_COUNT]
        quiet = [f for f in deployment.fronts if counts[f.name] == 0]
        if len(watching) == LOST_COUNT and len(quiet) == FRONT_COUNT - LOST_COUNT:
            deployment.note(f"open connections to the store: {counts}")
            return watching
        await asyncio.sleep(0.1)
    raise RuntimeError(f"the fronts have not settled: {counts}")


async def book_all_the_time(
    deployment: Deployment, fronts: list[Front], until: asyncio.Event
) -> None:
    """Send sound bookings to all fronts in turn until the event."""
    async with asyncio.TaskGroup() as group:
        number = 0
        while not until.is_set():
            group.create_task(book(deployment, fronts[number % len(fronts)], "/book/x"))
            number += 1
            await asyncio.sleep(BOOKING_INTERVAL_S)


async def book(deployment: Deployment, front: Front, path: str) -> None:
    """Send one booking, which may run at most once."""
    await send(
        front.name,
        front.ip,
        front.front_port,
        path,
        deadline_ms=2000,
        log=deployment.sent,
        fixed_body="poison" if path == POISON_PATH else "",
    )


async def play(deployment: Deployment) -> tuple[int, str]:
    """Play the case and judge it."""
    await deployment.start_store([route("bookings", "/book/", "unsafe")])
    revival = Revival(deployment)
    for _ in range(SERVER_COUNT):
        await revival.add()
    for _ in range(FRONT_COUNT):
        await deployment.add_front(ZONE, [ZONE])
    for front in deployment.fronts:
        await front.wait_ready()
    await asyncio.sleep(14.0)
    fronts = list(deployment.fronts)
    relays = await find_relays(deployment)
    # The consumers of the other fronts are played in both cases.
    fronts = [front for front in fronts if front not in relays]
    if TROUBLE:
        for front in relays:
            await front.kill()
            deployment.note(f"{front.name} is lost for good")
    await asyncio.sleep(CONTACT_S + 1.0)
    until = asyncio.Event()
    sending = asyncio.create_task(book_all_the_time(deployment, fronts, until))
    await asyncio.sleep(2.0)
    poisoned = []
    for number in range(POISON_COUNT):
        front = fronts[number % len(fronts)]
        poisoned.append(asyncio.create_task(book(deployment, front, POISON_PATH)))
        await asyncio.sleep(POISON_INTERVAL_S)
    await asyncio.gather(*poisoned)
    until.set()
    await sending
    return judge(deployment, revival.crashes_s)


def judge(deployment: Deployment, crashes_s: list[float]) -> tuple[int, str]:
    """Return whether the request reached servers too often after its third crash."""
    paths = {sent.request_id: sent.path for sent in deployment.sent}
    late = []
    if len(crashes_s) >= RETRY_LIMIT_COUNT:
        from_s = crashes_s[RETRY_LIMIT_COUNT - 1] + CONTACT_S
        late = [
            run
            for run in deployment.runs
            if paths[run.request_id] == POISON_PATH and run.began_s > from_s
        ]
    cut = sum(run.ended.startswith("cut") for run in deployment.runs)
    verdict = (
        f"{len(late)} retries of the request reached servers later than ContactMs "
        f"after it had crashed the third; {len(crashes_s)} crashes; {cut} sound "
        "bookings were cut by them"
    )
    return (1 if len(late) > RETRY_LIMIT_COUNT else 0), verdict


if __name__ == "__main__":
    run_case(Path(__file__).parent, play)
