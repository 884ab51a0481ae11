"""Messages that collect traffic counters."""

from dataclasses import dataclass, field

from sesameknot.protocol._message_registry import message
from sesameknot.protocol._records import OrderAge, PaceCount, VersionStats


@message("statsRequest")
@dataclass(slots=True, kw_only=True)
class StatsRequest:
    """Request a router's counters per model version."""

    requester: str = ""


@message("statsReply")
@dataclass(slots=True, kw_only=True)
class StatsReply:
    """Counters per model version, stream paces and order ages of one router."""

    host_id: str = ""
    incarnation: int = 0
    versions: list[VersionStats] = field(default_factory=list)
    orders: list[OrderAge] = field(default_factory=list)
    paces: list[PaceCount] = field(default_factory=list)
