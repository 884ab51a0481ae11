"""Messages that relay store changes and loads within and between failure domains."""

from dataclasses import dataclass, field

from sesameknot.protocol._message_registry import message
from sesameknot.protocol._records import (
    CrashCount,
    EndpointLoads,
    EndpointOutageAges,
    ObjectRecord,
    ObjectVersion,
)


@message("domainSync")
@dataclass(slots=True, kw_only=True)
class DomainSync:
    """Loads, crash counts and store revisions of the sending host.

    Parameters
    ----------
    host_id : str
        Host that sends the request.
    versions : list of ObjectVersion
        Store revision of each kind at the sender; empty to request no objects.
    loads : EndpointLoads
        Load on the endpoints from the sender, or from its whole failure domain.
    crashes : list of CrashCount
        Requests that crashed endpoints.
    part_crashes : list of CrashCount
        Prompt parts whose requests crashed endpoints.
    object_limit_bytes : int
        Size of a kind's objects up to which the reply may hold them; 0 for any size,
        from hosts that do not fetch deferred kinds.
    outages : EndpointOutageAges
        Endpoints that were down lately.
    outages_only : bool
        Whether the message and its reply carry nothing else.
    """

    host_id: str = ""
    versions: list[ObjectVersion] = field(default_factory=list)
    loads: EndpointLoads = field(default_factory=EndpointLoads)
    crashes: list[CrashCount] = field(default_factory=list)
    part_crashes: list[CrashCount] = field(default_factory=list)
    object_limit_bytes: int = 0
    outages: EndpointOutageAges = field(default_factory=EndpointOutageAges)
    outages_only: bool = False


@message("domainSyncReply")
@dataclass(slots=True, kw_only=True)
class DomainSyncReply:
    """Store changes that the requester lacks, and the load from other hosts.

    Parameters
    ----------
    store_age_ms : float
        Time since the store last answered the relay; infinite if the relay does not
        watch the store itself.
    store_failed_age_ms : float
        Time since the relay's last failed call to the store.
    store_era : int
        Times that the store came back from a copy, as far as the relay has listed
        everything since.
    versions : list of ObjectVersion
        Store revision that the requester reaches with the reply, per changed kind.
    whole_kinds : list of str
        Kinds for which ``objects`` is the complete list instead of the changes.
    objects : list of ObjectRecord
        Objects that the requester lacks.
    loads : EndpointLoads
        Load on the endpoints from all hosts but the requester, as reported to the
        relay.
    crashes : list of CrashCount
        Requests that crashed endpoints.
    part_crashes : list of CrashCount
        Prompt parts whose requests crashed endpoints.
    deferred : list of ObjectVersion
        Kinds whose objects are too large for the reply, and the positions that the
        requester reaches by fetching a snapshot of each.
    outages : EndpointOutageAges
        Endpoints that were down lately.
    """

    store_age_ms: float = 0.0
    store_failed_age_ms: float = 0.0
    store_era: int = 0
    versions: list[ObjectVersion] = field(default_factory=list)
    whole_kinds: list[str] = field(default_factory=list)
    objects: list[ObjectRecord] = field(default_factory=list)
    loads: EndpointLoads = field(default_factory=EndpointLoads)
    crashes: list[CrashCount] = field(default_factory=list)
    part_crashes: list[CrashCount] = field(default_factory=list)
    deferred: list[ObjectVersion] = field(default_factory=list)
    outages: EndpointOutageAges = field(default_factory=EndpointOutageAges)


@message("snapshotPartRequest")
@dataclass(slots=True, kw_only=True)
class SnapshotPartRequest:
    """Request a part of a snapshot of all objects of a kind.

    Parameters
    ----------
    kind : str
        Kind of the objects.
    version, era : int
        Position of the snapshot, as in ``DomainSyncReply.deferred``.
    offset_bytes : int
        Start of the part within the compressed snapshot.
    """

    kind: str = ""
    version: int = 0
    era: int = 0
    offset_bytes: int = 0


@message("snapshotPartReply")
@dataclass(slots=True, kw_only=True)
class SnapshotPartReply:
    """A part of a snapshot.

    Parameters
    ----------
    data : bytes
        The part; empty if the snapshot is no longer kept.
    size_bytes : int
        Size of the compressed snapshot.
    """

    data: bytes = b""
    size_bytes: int = 0
