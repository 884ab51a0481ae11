"""Faults from outside the processes, and planned work, in overlapping series."""

import asyncio
import signal
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

from sesameknot.registry import Registry
from soak._checks import EVACUATION_LIMIT_S, LEAVE_LIMIT_S, Bar
from soak._fronts import GRACE_S, FrontProcess
from soak._proxy import Mode

if TYPE_CHECKING:
    from soak._scenario import Scenario

Fault = Callable[["Scenario"], Awaitable[None]]
FAULTS: Registry[Fault] = Registry("fault")
# A killed process is started again after this time at most.
RESTART_LIMIT_S = 1.0
EXIT_MARGIN_S = 1.5


@FAULTS.register("kill")
async def kill(world: "Scenario") -> None:
    """Kill a front and start it again."""
    front = world.pick_front()
    async with front.restarting:
        with world.disturbing(front):
            await _kill(world, front)


async def _kill(world: "Scenario", front: FrontProcess) -> None:
    front.signal(signal.SIGKILL)
    await front.wait(5.0)
    await asyncio.sleep(world.random.uniform(0.0, RESTART_LIMIT_S))
    await front.start(world.seeds())


@FAULTS.register("freeze")
async def freeze(world: "Scenario") -> None:
    """Stop a front for a while."""
    front = world.pick_front()
    with world.disturbing(front):
        front.freeze_count += 1
        front.signal(signal.SIGSTOP)
        await asyncio.sleep(world.random.uniform(0.3, 3.0))
        front.signal(signal.SIGCONT)


@FAULTS.register("terminate")
async def terminate(world: "Scenario") -> None:
    """Stop a front gracefully and start it again."""
    front = world.pick_front()
    async with front.restarting:
        with world.disturbing(front):
            await _terminate(world, front)


async def _terminate(world: "Scenario", front: FrontProcess) -> None:
    freeze_count = front.freeze_count
    # Before its handlers are set, the signal ends a process that serves nothing yet.
    expected_codes = (0, -signal.SIGTERM) if front.starting else (0,)
    front.signal(signal.SIGTERM)
    code = await front.wait(GRACE_S + EXIT_MARGIN_S)
    # A frozen process does not see the signal; the grace time begins later.
    if code is None and front.freeze_count == freeze_count:
        world.report_violation(f"{front.host_id} still runs after its grace time")
    if code is None:
        front.signal(signal.SIGKILL)
        await front.wait(5.0)
    elif code not in expected_codes:
        world.report_violation(f"{front.host_id} ended with code {code} after SIGTERM")
    await front.start(world.seeds())


@FAULTS.register("reload")
async def reload(world: "Scenario") -> None:
    """Tell a front that its settings file may have changed."""
    world.pick_front().signal(signal.SIGHUP)


@FAULTS.register("store_refuses")
async def store_refuses(world: "Scenario") -> None:
    """Let the store refuse every call."""
    with world.disturbing(*world.fronts):
        world.store.refuse_status = world.random.choice([429, 503])
        await asyncio.sleep(world.random.uniform(0.5, 4.0))
        world.store.refuse_status = 0


@FAULTS.register("store_loses_answers")
async def store_loses_answers(world: "Scenario") -> None:
    """Let the store do writes and answer none of them."""
    with world.disturbing(*world.fronts):
        world.store.lose_answers = True
        await asyncio.sleep(world.random.uniform(0.5, 3.0))
        world.store.lose_answers = False


@FAULTS.register("store_forgets")
async def store_forgets(world: "Scenario") -> None:
    """Drop the store's history."""
    with world.disturbing(*world.fronts):
        world.store.drop_history()


@FAULTS.register("cut_from_store")
async def cut_from_store(world: "Scenario") -> None:
    """Cut one front from the store, both ways, one way or with resets."""
    front = world.pick_front()
    with world.disturbing(front):
        link = front.store_link
        link.mode = world.random.choice([Mode.SILENT, Mode.SILENT_BACK, Mode.REFUSE])
        if link.mode is Mode.REFUSE:
            link.reset_all()
        await asyncio.sleep(world.random.uniform(0.5, 4.0))
        link.mode = Mode.PASS
        # What was held up is lost, as behind a partition.
        link.reset_all()


@FAULTS.register("slow_store")
async def slow_store(world: "Scenario") -> None:
    """Delay a front's calls to the store."""
    front = world.pick_front()
    with world.disturbing(front):
        front.store_link.delay_s = world.random.uniform(0.05, 0.5)
        await asyncio.sleep(world.random.uniform(0.5, 3.0))
        front.store_link.delay_s = 0.0


@FAULTS.register("cut_endpoint")
async def cut_endpoint(world: "Scenario") -> None:
    """Silence, delay or reset the connections of one endpoint."""
    member = world.pick_endpoint()
    action = world.random.choice(["silent", "delay", "reset"])
    if action == "reset":
        member.proxy.reset_all()
        return
    if action == "delay":
        member.proxy.delay_s = world.random.uniform(0.02, 0.2)
    else:
        member.proxy.mode = Mode.SILENT_BACK
    await asyncio.sleep(world.random.uniform(0.3, 2.0))
    member.proxy.mode = Mode.PASS
    member.proxy.delay_s = 0.0
    member.proxy.reset_all()


@FAULTS.register("crash_endpoint")
async def crash_endpoint(world: "Scenario") -> None:
    """Let an endpoint crash; its entry lapses later and another one comes."""
    member = world.pick_endpoint()
    world.endpoints.remove(member)
    member.proxy.close()
    await asyncio.sleep(world.random.uniform(0.2, 1.5))
    world.store.remove("servers", member.standin.endpoint_id)
    await world.add_endpoint(member.service, member.domain, version=member.version)


@FAULTS.register("leave")
async def leave(world: "Scenario") -> None:
    """Let an endpoint leave in order; another one comes first."""
    member = world.pick_endpoint()
    await world.add_endpoint(member.service, member.domain, version=member.version)
    endpoint_id = member.standin.endpoint_id
    world.endpoints.remove(member)
    entry = dict(world.store.get("servers", endpoint_id)["Spec"], State="draining")
    world.store.put("servers", endpoint_id, entry)
    limit_s = world.now_s() + LEAVE_LIMIT_S
    world.no_traffic_windows.append(
        Bar(endpoint_id=endpoint_id, from_s=limit_s, what="leaving")
    )
    await asyncio.sleep(LEAVE_LIMIT_S + 2.0)
    world.store.remove("servers", endpoint_id)


@FAULTS.register("evacuate")
async def evacuate(world: "Scenario") -> None:
    """Take a failure domain out and back."""
    domain = world.random.choice("ab")
    if world.store.list("evacuations"):
        return
    world.store.put("evacuations", domain, {})
    limit_s = world.now_s() + EVACUATION_LIMIT_S
    bars = [
        Bar(endpoint_id=m.standin.endpoint_id, from_s=limit_s, what="evacuated")
        for m in world.endpoints
        if m.domain == domain
    ]
    world.no_traffic_windows += bars
    await asyncio.sleep(world.random.uniform(1.0, 7.0))
    for bar in bars:
        bar.until_s = world.now_s()
    world.store.remove("evacuations", domain)


@FAULTS.register("configure")
async def configure(world: "Scenario") -> None:
    """Add or remove a route."""
    world.configure(extra=not world.extra_route)


@FAULTS.register("roll_out")
async def roll_out(world: "Scenario") -> None:
    """Order a roll-out of a version that is as good as the old one."""
    if world.store.list("rollouts"):
        return
    old = [m for m in world.endpoints if m.service == "dispatch"]
    target = f"v{world.now_s():.0f}"
    for member in old:
        await world.add_endpoint("dispatch", member.domain, version=target)
    order = {"Service": "dispatch", "Target": target, "DurationS": 6}
    world.store.put("rollouts", "dispatch", order)
