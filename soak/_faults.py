"""Faults injected from outside the processes, and planned operations."""

import asyncio
import signal
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

from sesameknot.registry import Registry
from soak._checks import EVACUATION_LIMIT_S, LEAVE_LIMIT_S, NoTrafficWindow
from soak._fronts import GRACE_S, FrontProcess
from soak._proxy import ProxyMode

if TYPE_CHECKING:
    from soak._scenario import Scenario

Fault = Callable[["Scenario"], Awaitable[None]]
FAULTS: Registry[Fault] = Registry("fault")
# A killed process is restarted within this time.
RESTART_LIMIT_S = 1.0
EXIT_MARGIN_S = 1.5


@FAULTS.register("kill")
async def kill(scenario: "Scenario") -> None:
    """Kill a front with SIGKILL and restart it."""
    front = scenario.pick_front()
    async with front.restart_lock:
        with scenario.mark_disturbed(front):
            await _kill_and_restart(scenario, front)


async def _kill_and_restart(scenario: "Scenario", front: FrontProcess) -> None:
    front.signal(signal.SIGKILL)
    await front.wait(5.0)
    await asyncio.sleep(scenario.random.uniform(0.0, RESTART_LIMIT_S))
    await front.start(scenario.seed_addresses())


@FAULTS.register("freeze")
async def freeze(scenario: "Scenario") -> None:
    """Suspend a front with SIGSTOP, then resume it."""
    front = scenario.pick_front()
    with scenario.mark_disturbed(front):
        front.freeze_count += 1
        front.signal(signal.SIGSTOP)
        await asyncio.sleep(scenario.random.uniform(0.3, 3.0))
        front.signal(signal.SIGCONT)


@FAULTS.register("terminate")
async def terminate(scenario: "Scenario") -> None:
    """Stop a front with SIGTERM, check that it exits in time, and restart it."""
    front = scenario.pick_front()
    async with front.restart_lock:
        with scenario.mark_disturbed(front):
            await _terminate_and_restart(scenario, front)


async def _terminate_and_restart(scenario: "Scenario", front: FrontProcess) -> None:
    freeze_count = front.freeze_count
    # Before its handlers are set, the signal's default action ends the process,
    # which serves no requests yet.
    expected_codes = (0, -signal.SIGTERM) if front.starting else (0,)
    front.signal(signal.SIGTERM)
    code = await front.wait(GRACE_S + EXIT_MARGIN_S)
    # A suspended process handles the signal only after it is resumed, so its
    # grace time begins later.
    if code is None and front.freeze_count == freeze_count:
        scenario.report_violation(f"{front.host_id} still runs after its grace time")
    if code is None:
        front.signal(signal.SIGKILL)
        await front.wait(5.0)
    elif code not in expected_codes:
        scenario.report_violation(
            f"{front.host_id} ended with code {code} after SIGTERM"
        )
    await front.start(scenario.seed_addresses())


@FAULTS.register("reload")
async def reload(scenario: "Scenario") -> None:
    """Make a front reload its settings with SIGHUP."""
    scenario.pick_front().signal(signal.SIGHUP)


@FAULTS.register("store_refuses")
async def store_refuses(scenario: "Scenario") -> None:
    """Make the store refuse every call for a while."""
    with scenario.mark_disturbed(*scenario.fronts):
        scenario.store.refuse_status = scenario.random.choice([429, 503])
        await asyncio.sleep(scenario.random.uniform(0.5, 4.0))
        scenario.store.refuse_status = 0


@FAULTS.register("store_loses_answers")
async def store_loses_answers(scenario: "Scenario") -> None:
    """Make the store apply writes without answering them."""
    with scenario.mark_disturbed(*scenario.fronts):
        scenario.store.lose_write_answers = True
        await asyncio.sleep(scenario.random.uniform(0.5, 3.0))
        scenario.store.lose_write_answers = False


@FAULTS.register("store_forgets")
async def store_forgets(scenario: "Scenario") -> None:
    """Drop the store's change history; watches from old revisions get status 410."""
    with scenario.mark_disturbed(*scenario.fronts):
        scenario.store.drop_history()


@FAULTS.register("cut_from_store")
async def cut_from_store(scenario: "Scenario") -> None:
    """Disconnect a front from the store: both ways, answers only, or with resets."""
    front = scenario.pick_front()
    with scenario.mark_disturbed(front):
        store_proxy = front.store_proxy
        store_proxy.mode = scenario.random.choice(
            [ProxyMode.SILENT, ProxyMode.SILENT_BACK, ProxyMode.REFUSE]
        )
        if store_proxy.mode is ProxyMode.REFUSE:
            store_proxy.reset_all()
        await asyncio.sleep(scenario.random.uniform(0.5, 4.0))
        store_proxy.mode = ProxyMode.PASS
        # Drops the bytes that the proxy held back, as a network partition does.
        store_proxy.reset_all()


@FAULTS.register("slow_store")
async def slow_store(scenario: "Scenario") -> None:
    """Delay a front's calls to the store."""
    front = scenario.pick_front()
    with scenario.mark_disturbed(front):
        front.store_proxy.delay_s = scenario.random.uniform(0.05, 0.5)
        await asyncio.sleep(scenario.random.uniform(0.5, 3.0))
        front.store_proxy.delay_s = 0.0


@FAULTS.register("cut_endpoint")
async def cut_endpoint(scenario: "Scenario") -> None:
    """Reset an endpoint's connections, or delay data or hold back its answers."""
    endpoint = scenario.pick_endpoint()
    action = scenario.random.choice(["silent", "delay", "reset"])
    if action == "reset":
        endpoint.proxy.reset_all()
        return
    if action == "delay":
        endpoint.proxy.delay_s = scenario.random.uniform(0.02, 0.2)
    else:
        endpoint.proxy.mode = ProxyMode.SILENT_BACK
    await asyncio.sleep(scenario.random.uniform(0.3, 2.0))
    endpoint.proxy.mode = ProxyMode.PASS
    endpoint.proxy.delay_s = 0.0
    endpoint.proxy.reset_all()


@FAULTS.register("crash_endpoint")
async def crash_endpoint(scenario: "Scenario") -> None:
    """Crash an endpoint; its entry is removed later, and a replacement starts."""
    endpoint = scenario.pick_endpoint()
    scenario.endpoints.remove(endpoint)
    endpoint.proxy.close()
    await asyncio.sleep(scenario.random.uniform(0.2, 1.5))
    scenario.store.remove("servers", endpoint.endpoint_id)
    await scenario.add_endpoint(
        endpoint.service, endpoint.domain, version=endpoint.version
    )


@FAULTS.register("leave")
async def leave(scenario: "Scenario") -> None:
    """Drain an endpoint after starting a replacement."""
    endpoint = scenario.pick_endpoint()
    await scenario.add_endpoint(
        endpoint.service, endpoint.domain, version=endpoint.version
    )
    endpoint_id = endpoint.endpoint_id
    scenario.endpoints.remove(endpoint)
    entry = dict(scenario.store.get("servers", endpoint_id)["Spec"], State="draining")
    scenario.store.put("servers", endpoint_id, entry)
    limit_s = scenario.now_s() + LEAVE_LIMIT_S
    scenario.no_traffic_windows.append(
        NoTrafficWindow(endpoint_id=endpoint_id, start_s=limit_s, reason="leaving")
    )
    await asyncio.sleep(LEAVE_LIMIT_S + 2.0)
    scenario.store.remove("servers", endpoint_id)


@FAULTS.register("evacuate")
async def evacuate(scenario: "Scenario") -> None:
    """Evacuate a failure domain, then return it to service."""
    domain = scenario.random.choice("ab")
    if scenario.store.list("evacuations"):
        return
    scenario.store.put("evacuations", domain, {})
    limit_s = scenario.now_s() + EVACUATION_LIMIT_S
    windows = [
        NoTrafficWindow(
            endpoint_id=endpoint.endpoint_id,
            start_s=limit_s,
            reason="evacuated",
        )
        for endpoint in scenario.endpoints
        if endpoint.domain == domain
    ]
    scenario.no_traffic_windows += windows
    await asyncio.sleep(scenario.random.uniform(1.0, 7.0))
    for window in windows:
        window.end_s = scenario.now_s()
    scenario.store.remove("evacuations", domain)


@FAULTS.register("configure")
async def configure(scenario: "Scenario") -> None:
    """Write a configuration that adds or removes the extra route."""
    scenario.write_configuration(with_extra_route=not scenario.has_extra_route)


@FAULTS.register("roll_out")
async def roll_out(scenario: "Scenario") -> None:
    """Order a roll-out of a version that behaves like the current one."""
    if scenario.store.list("rollouts"):
        return
    current_endpoints = [
        endpoint for endpoint in scenario.endpoints if endpoint.service == "dispatch"
    ]
    target = f"v{scenario.now_s():.0f}"
    for endpoint in current_endpoints:
        await scenario.add_endpoint("dispatch", endpoint.domain, version=target)
    order = {"Service": "dispatch", "Target": target, "DurationS": 6}
    scenario.store.put("rollouts", "dispatch", order)
