"""Queue, room and work estimates of one service, and the requests that wait for it."""

import asyncio
import math
from dataclasses import dataclass

from sesameknot.forwarding.request import ForwardedRequest
from sesameknot.scheduling import (
    AdmissionQueue,
    Entry,
    HostRoom,
    RefusalReason,
    RequestSize,
    RoomLoads,
    WorkEstimator,
)
from sesameknot.state.fleet_view import FleetView
from sesameknot.state.known_endpoint import KnownEndpoint
from sesameknot.state.version_filter import VersionFilter

# The slots of a service are counted again after this time, since counting takes time in
# proportion to the number of endpoints.
COUNT_INTERVAL_S = 0.05
# Without a report from another host for this long, their loads are unknown. It is the
# time for which a report counts (``LOAD_LIFE_S``).
PEER_SILENCE_S = 2.0
# Reports of loads are up to 0.5 s old and say nothing about requests as short as that.
# Scheduling of a service starts once its requests run for START_RUN_S on average, and
# stops below STOP_RUN_S, so that it does not switch back and forth.
START_RUN_S = 1.0
STOP_RUN_S = 0.7
# Observations before which the mean run time is not known.
MIN_RUN_COUNT = 5.0


@dataclass(slots=True, eq=False)
class WaitingRequest:
    """A request that waits.

    Parameters
    ----------
    request : ForwardedRequest
        The request.
    entry : Entry
        Its entry in the queue.
    size : RequestSize
        Its tokens.
    outcome : asyncio.Future
        Receives None when the request may start, or the reason of its refusal.
    """

    request: ForwardedRequest
    entry: Entry
    size: RequestSize
    outcome: asyncio.Future[RefusalReason | None]


class ServiceSchedule:
    """Queue and room of one service.

    Parameters
    ----------
    service : str
        Name of the service.
    view : FleetView
        Endpoints with their loads, and hosts.
    queue : AdmissionQueue
        Entries that wait.
    room : HostRoom
        This host's share of the slots.
    estimator : WorkEstimator
        Work of requests.

    Attributes
    ----------
    waiters : dict of Entry to WaitingRequest
        Requests that wait.
    """

    __slots__ = (
        "_counted_s",
        "_runs_long",
        "_slots_known",
        "_view",
        "estimator",
        "queue",
        "room",
        "service",
        "waiters",
    )

    def __init__(
        self,
        service: str,
        *,
        view: FleetView,
        queue: AdmissionQueue,
        room: HostRoom,
        estimator: WorkEstimator,
    ) -> None:
        self.service = service
        self.queue = queue
        self.room = room
        self.estimator = estimator
        self.waiters: dict[Entry, WaitingRequest] = {}
        self._view = view
        self._runs_long = False
        self._slots_known = False
        self._counted_s = -math.inf

    def is_active(self, now_s: float) -> bool:
        """Return whether the requests of the service are scheduled now."""
        self.update(now_s)
        run_s = self.queue.mean_run_s(now_s, min_count=MIN_RUN_COUNT)
        if run_s is not None:
            self._runs_long = run_s >= (STOP_RUN_S if self._runs_long else START_RUN_S)
        return self._runs_long and self._slots_known

    def update(self, now_s: float) -> None:
        """Take in the endpoints' present slots and loads."""
        view = self._view
        if (
            now_s - self._counted_s < COUNT_INTERVAL_S
            and self._counted_s >= view.loads_applied_s
        ):
            return
        self._counted_s = now_s
        usable = view.usable(self.service, VersionFilter())
        healthy = [e for e in usable if not e.health.ejected] or usable
        self._slots_known = bool(healthy) and all(
            endpoint.entry.slot_count for endpoint in healthy
        )
        loads = RoomLoads(
            slot_count=sum(self._slot_count(e, now_s) for e in healthy),
            other_in_flight_count=sum(e.other_in_flight_count for e in healthy),
            report_s=view.loads_applied_s,
            peers_heard=now_s - view.peer_loads_s < PEER_SILENCE_S,
        )
        self.room.update(loads, len(view.hosts), now_s)

    def _slot_count(self, endpoint: KnownEndpoint, now_s: float) -> int:
        """Return the slots of an endpoint, or those it can fill while it is cold."""
        slot_count = endpoint.entry.slot_count
        configuration = self._view.configuration
        if configuration is None or not self._view.cold_left_s(endpoint):
            return slot_count
        cold_rate_per_s = configuration.service(self.service).cold_rate_per_s
        if not cold_rate_per_s:
            return slot_count
        run_s = self.queue.mean_run_s(now_s) or START_RUN_S
        in_flight_count = endpoint.in_flight_count + endpoint.other_in_flight_count
        filled_count = max(in_flight_count, math.ceil(cold_rate_per_s * run_s))
        return min(slot_count, filled_count)

    def resolve(self, entry: Entry, reason: RefusalReason | None) -> None:
        """Let a waiting request start, or be refused for ``reason``."""
        waiter = self.waiters.pop(entry, None)
        if waiter is not None and not waiter.outcome.done():
            waiter.outcome.set_result(reason)
