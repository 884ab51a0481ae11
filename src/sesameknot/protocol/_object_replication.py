"""Messages that replicate platform objects between routers."""

from dataclasses import dataclass, field

from sesameknot.protocol._message_registry import message
from sesameknot.protocol._records import ObjectRecord, ObjectVersion

LEAF_HOP_COUNT = 255


@message("objectPush")
@dataclass(slots=True, kw_only=True)
class ObjectPush:
    """Push objects that are new to the sender, with its digest and configuration age.

    Parameters
    ----------
    objects : list of ObjectRecord
        Objects to merge; empty if only the sender's digest or age changed.
    hop_count : int
        Level in the fan-out tree; a push with ``LEAF_HOP_COUNT`` is not forwarded.
    host_id : str
        Router that sent this message; empty for an operator's tool.
    salt : int
        Random seed that determines this push's fan-out tree.
    digest : int
        Digest of the sender's object store.
    config_age_ms : float
        Upper bound on the age of the sender's configuration.
    """

    objects: list[ObjectRecord] = field(default_factory=list)
    hop_count: int = LEAF_HOP_COUNT
    host_id: str = ""
    salt: int = 0
    digest: int = 0
    config_age_ms: float = 0.0


@message("objectSync")
@dataclass(slots=True, kw_only=True)
class ObjectSync:
    """Request the difference to the sender's object store.

    The store is described by its digest and the versions of its objects. Without
    versions and with a digest other than 0, the reply has only digest and age. A kind
    whose objects are larger than ``object_limit_bytes`` is only named in the reply; 0
    is for any size, from hosts that do not fetch such kinds.
    """

    versions: list[ObjectVersion] = field(default_factory=list)
    config_age_ms: float = 0.0
    digest: int = 0
    object_limit_bytes: int = 0


@message("objectSyncReply")
@dataclass(slots=True, kw_only=True)
class ObjectSyncReply:
    """Objects newer than the requester's, and keys of objects to push in return.

    ``deferred`` names kinds that are too large, and the positions of their snapshots.
    """

    objects: list[ObjectRecord] = field(default_factory=list)
    wanted_keys: list[str] = field(default_factory=list)
    config_age_ms: float = 0.0
    digest: int = 0
    deferred: list[ObjectVersion] = field(default_factory=list)
