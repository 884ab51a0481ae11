"""Messages between the hosts of one failure domain."""

from dataclasses import dataclass, field

from sesameknot.protocol._message_registry import message
from sesameknot.protocol._records import (
    CrashCount,
    EndpointLoads,
    ObjectRecord,
    ObjectVersion,
)


@message("domainSync")
@dataclass(slots=True, kw_only=True)
class DomainSync:
    """What a host has, and what it has seen of the store.

    Parameters
    ----------
    host_id : str
        Sender.
    versions : list of ObjectVersion
        Revision of each kind that the sender has seen; empty if it wants no objects.
    loads : EndpointLoads
        Load that the sender, or its failure domain, puts on endpoints.
    crashes : list of CrashCount
        Requests that took endpoints down.
    """

    host_id: str = ""
    versions: list[ObjectVersion] = field(default_factory=list)
    loads: EndpointLoads = field(default_factory=EndpointLoads)
    crashes: list[CrashCount] = field(default_factory=list)


@message("domainSyncReply")
@dataclass(slots=True, kw_only=True)
class DomainSyncReply:
    """What the sender missed, and the load of other hosts.

    Parameters
    ----------
    store_age_ms : float
        Time since the store last answered the relay.
    store_failed_age_ms : float
        Time since a call of the relay to the store failed.
    versions : list of ObjectVersion
        Revision of each kind that the sender has after this reply.
    whole_kinds : list of str
        Kinds of which all objects are given, not only those that changed.
    objects : list of ObjectRecord
        Objects that are new to the sender.
    loads : EndpointLoads
        Load that all other hosts put on endpoints, as far as the relay knows.
    crashes : list of CrashCount
        Requests that took endpoints down.
    """

    store_age_ms: float = 0.0
    store_failed_age_ms: float = 0.0
    versions: list[ObjectVersion] = field(default_factory=list)
    whole_kinds: list[str] = field(default_factory=list)
    objects: list[ObjectRecord] = field(default_factory=list)
    loads: EndpointLoads = field(default_factory=EndpointLoads)
    crashes: list[CrashCount] = field(default_factory=list)
