"""Endpoints that end and start again, cold, under their identifier and address.

In the default scenario they come beside the faults, from a random generator of their
own, so that the faults of a seed stay the same and each run has some.
"""

import asyncio
import random
from dataclasses import dataclass
from typing import TYPE_CHECKING

from soak._checks import LEAVE_LIMIT_S, MODEL_SERVICE, NoTrafficWindow

if TYPE_CHECKING:
    from soak._endpoints import ProxiedEndpoint
    from soak._scenario import Scenario

PAUSE_LIMIT_S = 4.0
# The store removes the entry of an endpoint after three heartbeats of 1.2 s without
# one. The last one came up to 1.2 s before the end of the process.
EXPIRY_RANGE_S = (2.4, 3.6)
DOWN_RANGE_S = (0.1, 4.5)
REGISTRATION_LAG_LIMIT_S = 1.2
# Time over which an endpoint's recent requests are counted.
RECENT_S = 2.0


@dataclass(slots=True, frozen=True, kw_only=True)
class RestartCase:
    """Restart of the endpoint that got the most requests, and of some others.

    Parameters
    ----------
    endpoint_count : int
        Endpoints that restart at once.
    planned : bool
        Whether they drain first.
    silent : bool
        Whether their open connections stay open without an end.
    down_s : float
        Time during which connections are refused.
    lags_s : tuple of float
        Time from the start of each process until it registers.
    expiry_s : float
        Time from a crash until the store removes the entry.
    store_away_s : float
        Time for which the store refuses calls, and no endpoint can register; used by
        ``--restarts`` only.
    moves_load : bool
        Whether hosts that had no requests meanwhile get the load when the endpoints
        start again; used by ``--restarts`` only.
    """

    endpoint_count: int
    planned: bool
    silent: bool
    down_s: float
    lags_s: tuple[float, ...]
    expiry_s: float
    store_away_s: float
    moves_load: bool

    @classmethod
    def draw(cls, generator: random.Random) -> "RestartCase":
        """Return the next case of a generator."""
        endpoint_count = generator.choice([1, 1, 2, 3])
        kind = generator.choice(["crash", "crash", "crash", "silent", "planned"])
        return cls(
            endpoint_count=endpoint_count,
            planned=kind == "planned",
            silent=kind == "silent",
            # Half of the restarts are short, which few hosts meet.
            down_s=generator.uniform(DOWN_RANGE_S[0], generator.choice([0.6, 4.5])),
            lags_s=tuple(
                generator.uniform(0.0, REGISTRATION_LAG_LIMIT_S)
                for _ in range(endpoint_count)
            ),
            expiry_s=generator.uniform(*EXPIRY_RANGE_S),
            store_away_s=generator.choice([0.0, 0.0, 0.0, 3.0, 5.0]),
            moves_load=generator.choice([False, True]),
        )

    def __str__(self) -> str:
        kind = "planned" if self.planned else "silent" if self.silent else "crash"
        away = f", store away {self.store_away_s:g} s" if self.store_away_s else ""
        moves = ", load moves" if self.moves_load else ""
        lags = "/".join(f"{lag_s:.1f}" for lag_s in self.lags_s)
        return (
            f"{kind} of {self.endpoint_count}, down {self.down_s:.1f} s, "
            f"registered after {lags} s{away}{moves}"
        )


async def restart_endpoints(scenario: "Scenario", seed: int) -> None:
    """Restart endpoints until cancelled."""
    generator = random.Random(seed)
    while True:
        scenario.change_shared_part()
        await asyncio.sleep(generator.uniform(0.5, PAUSE_LIMIT_S))
        await play_restart(scenario, RestartCase.draw(generator))


async def play_restart(scenario: "Scenario", case: RestartCase) -> None:
    """Restart the busiest endpoint and others, and wait until they are registered."""
    by_load = sorted(
        (e for e in scenario.endpoints if e.service == MODEL_SERVICE),
        key=lambda endpoint: -_recent_count(scenario, endpoint),
    )
    # One endpoint stays.
    endpoints = by_load[: min(case.endpoint_count, len(by_load) - 1)]
    for endpoint in endpoints:
        # Other faults leave it alone meanwhile.
        scenario.endpoints.remove(endpoint)
    await asyncio.gather(
        *(
            _restart(scenario, case, endpoint, lag_s)
            for endpoint, lag_s in zip(endpoints, case.lags_s, strict=False)
        )
    )
    scenario.endpoints += endpoints


def _recent_count(scenario: "Scenario", endpoint: "ProxiedEndpoint") -> int:
    oldest_s = scenario.now_s() - RECENT_S
    return sum(run.received_s > oldest_s for run in endpoint.standin.runs)


async def _restart(
    scenario: "Scenario",
    case: RestartCase,
    endpoint: "ProxiedEndpoint",
    lag_s: float,
) -> None:
    expiry_s = case.expiry_s
    window = None
    if case.planned:
        window = await _drain(scenario, endpoint)
        await asyncio.sleep(lag_s)
        expiry_s = 0.0
    await endpoint.crash(silently=case.silent)
    expiry = asyncio.get_running_loop().call_later(
        expiry_s, scenario.store.remove, "servers", endpoint.endpoint_id
    )
    await asyncio.sleep(case.down_s)
    await endpoint.start_again()
    await asyncio.sleep(lag_s)
    while scenario.store.refuse_status:  # noqa: ASYNC110 (faults set it without an event)
        await asyncio.sleep(0.05)
    expiry.cancel()
    if window is not None:
        window.end_s = scenario.now_s()
    scenario.store.put("servers", endpoint.endpoint_id, endpoint.entry())


async def _drain(scenario: "Scenario", endpoint: "ProxiedEndpoint") -> NoTrafficWindow:
    """Report that an endpoint drains, and wait for the time within which hosts leave.

    The window that is returned ends when the next process registers.
    """
    scenario.store.put("servers", endpoint.endpoint_id, endpoint.entry("draining"))
    window = NoTrafficWindow(
        endpoint_id=endpoint.endpoint_id,
        start_s=scenario.now_s() + LEAVE_LIMIT_S,
        reason="leaving, until it registers again",
    )
    scenario.no_traffic_windows.append(window)
    await asyncio.sleep(LEAVE_LIMIT_S)
    return window
