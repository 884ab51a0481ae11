"""Endpoints that start again under their ids, before many hosts.

Each host sends few requests to an endpoint that all of them together ask often, so a
short crash is met by some hosts only. The load moves between hosts as well: those
without requests during the crash send them to the new process.
"""

import asyncio
import random
from pathlib import Path

from soak._caller import CallerConnection
from soak._checks import COLD_S, LEAVE_LIMIT_S, count_cold_load
from soak._endpoint_restarts import RestartCase, play_restart
from soak._fronts import FrontProcess
from soak._scenario import Scenario

FRONT_COUNT = 32
# Time in which hosts find each other.
CALM_S = 4.0
# Time in which one endpoint gets the requests with a new shared prompt part.
SETTLE_S = 2.5
REQUEST_RATE_PER_S = 40.0
# Half of the hosts get the load, until others do after at most this time.
LOAD_MOVE_LIMIT_S = 3.0
STORE_AWAY_STATUS = 503


class RestartScenario(Scenario):
    """Deployment, callers and restarts of one seed.

    Parameters
    ----------
    random_state : int
        Seed of restarts and requests.
    directory : Path
        Directory for settings and logs.
    front_count : int, default=FRONT_COUNT
        Front processes.

    Attributes
    ----------
    restart_lines : list of str
        Each restart, and the most requests that a cold endpoint got in one second.
    """

    def __init__(
        self, random_state: int, directory: Path, *, front_count: int = FRONT_COUNT
    ) -> None:
        super().__init__(random_state, directory, front_count=front_count)
        self.restart_lines: list[str] = []
        self._loaded_fronts: list[FrontProcess] = []
        self._case_generator = random.Random(random_state)

    async def run(self, duration_s: float) -> None:
        """Restart endpoints under load for ``duration_s``, then judge what they got."""
        self._loaded_fronts = self._draw_half()
        self.spawn(self._press())
        await asyncio.sleep(CALM_S)
        end_s = self.now_s() + duration_s
        while self.now_s() < end_s:
            self.change_shared_part()
            await asyncio.sleep(SETTLE_S)
            await self._restart(RestartCase.draw(self._case_generator))
        await self.finish()

    async def _restart(self, case: RestartCase) -> None:
        begin_s = self.now_s()
        load = asyncio.create_task(self._move_load(case))
        store_fault = asyncio.create_task(self._take_store_away(case.store_away_s))
        await play_restart(self, case)
        await store_fault
        await asyncio.sleep(COLD_S)
        load.cancel()
        loads = [
            f"{endpoint_id} {count_cold_load(start_s, self.runs[endpoint_id])[0]}"
            for endpoint_id, starts_s in self.cold_starts_s.items()
            for start_s in starts_s
            if start_s >= begin_s
        ]
        self.restart_lines.append(f"{case}: {', '.join(loads)} in a second")

    async def _take_store_away(self, duration_s: float) -> None:
        if not duration_s:
            return
        with self.mark_disturbed(*self.fronts):
            self.store.refuse_status = STORE_AWAY_STATUS
            await asyncio.sleep(duration_s)
            self.store.refuse_status = 0

    async def _move_load(self, case: RestartCase) -> None:
        """Give the load to other hosts, at the start of the processes or at random."""
        if case.moves_load:
            await asyncio.sleep(case.down_s + (LEAVE_LIMIT_S if case.planned else 0.0))
            idle_fronts = [f for f in self.fronts if f not in self._loaded_fronts]
            self._loaded_fronts = idle_fronts or self.fronts
            return
        while True:
            await asyncio.sleep(self.random.uniform(0.5, LOAD_MOVE_LIMIT_S))
            self._loaded_fronts = self._draw_half()

    def _draw_half(self) -> list[FrontProcess]:
        return self.random.sample(self.fronts, (len(self.fronts) + 1) // 2)

    async def _press(self) -> None:
        """Send requests at a fixed rate, however long the answers take."""
        async with asyncio.TaskGroup() as requests:
            while True:
                front = self.random.choice(self._loaded_fronts)
                requests.create_task(self._ask_once(front))
                await asyncio.sleep(1.0 / REQUEST_RATE_PER_S)

    async def _ask_once(self, front: FrontProcess) -> None:
        connection = CallerConnection(front.caller_address)
        await self.send_request(front, connection, "stream")
        connection.close()
