"""Part of a front process's planned stop: finishes the requests in flight."""

import asyncio
from collections.abc import Awaitable, Callable, Sequence

import structlog

from sesameknot.clock import Clock
from sesameknot.forwarding.ingress import Ingress
from sesameknot.router.drain import Drain
from sesameknot.transport.caller_server import CallerConnections

# The load balancer checks readiness once per second and removes a host after two
# failed checks. A request accepted later might not end within the grace time.
SERVE_AFTER_SIGTERM_S = 2.3
# Share of the grace time after which requests still in flight are ended.
FINISH_GRACE_SHARE = 0.9
# An answer that began before SIGTERM leaves its connection open. A caller that goes on
# at once sends its next request within this time, which covers distant callers.
KEEP_AFTER_ANSWER_S = 0.25
# Time in which the last answers are sent; it lies within the grace time.
LAST_ANSWERS_S = 0.3

log = structlog.get_logger(__name__)


async def finish_requests(
    *,
    drain: Drain,
    ingress: Ingress,
    connections: Sequence[CallerConnections],
    deregister: Callable[[], Awaitable[None]],
    grace_s: float,
    clock: Clock,
) -> None:
    """Stop accepting requests and return when those in flight are answered.

    Parameters
    ----------
    drain : Drain
        Decides which requests are accepted and counts those in flight; closed on
        return.
    ingress : Ingress
        Ends the requests that are in flight at the end of the grace time.
    connections : sequence of CallerConnections
        Connections of callers and other hosts; idle ones are closed.
    deregister : callable
        Removes this host from the list of hosts.
    grace_s : float
        Time until the process is killed.
    clock : Clock
        Source of monotonic time.
    """
    started_s = clock.monotonic_s()
    limit_s = FINISH_GRACE_SHARE * grace_s
    drain.leave()
    log.info("shutdown_started", in_flight=drain.in_flight_count)
    await deregister()
    deregistered_after_s = clock.monotonic_s() - started_s
    await asyncio.sleep(max(0.0, SERVE_AFTER_SIGTERM_S - deregistered_after_s))
    # Requests with a deadline within the grace time are still accepted.
    drain.finish(by_s=started_s + limit_s)
    closed_count = sum(callers.close_idle() for callers in connections)
    remaining_s = limit_s - (clock.monotonic_s() - started_s)
    idle = await drain.close_when_quiet(
        KEEP_AFTER_ANSWER_S, limit_s=max(0.0, remaining_s)
    )
    ended_count = drain.in_flight_count
    if not idle:
        # Nothing is accepted any more, and what is in flight gets a last answer.
        drain.close()
        ingress.end_requests()
        await drain.wait_idle(LAST_ANSWERS_S)
    log.info(
        "shutdown_finished",
        idle=idle,
        ended=ended_count,
        in_flight=drain.in_flight_count,
        idle_connections=closed_count,
    )
