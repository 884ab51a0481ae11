"""Scheduling of requests while endpoints lack room; no I/O, and time is passed in."""

from sesameknot.scheduling._decision import Action, Decision, Entry, RefusalReason
from sesameknot.scheduling._orderings import ORDERINGS
from sesameknot.scheduling._queue import AdmissionQueue
from sesameknot.scheduling._room import HostRoom, RoomLimits, RoomLoads
from sesameknot.scheduling._urgency import urgency_rank
from sesameknot.scheduling._work import RequestSize, WorkEstimator

__all__ = [
    "ORDERINGS",
    "Action",
    "AdmissionQueue",
    "Decision",
    "Entry",
    "HostRoom",
    "RefusalReason",
    "RequestSize",
    "RoomLimits",
    "RoomLoads",
    "WorkEstimator",
    "urgency_rank",
]
