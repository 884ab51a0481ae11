"""Messages that spread platform objects."""

from dataclasses import dataclass, field

from sesameknot.protocol._message_registry import message
from sesameknot.protocol._records import ObjectRecord, ObjectVersion

LEAF_HOP_COUNT = 255


@message("objectPush")
@dataclass(slots=True, kw_only=True)
class ObjectPush:
    """Objects that are new to the sender, and how current the sender is.

    Parameters
    ----------
    objects : list of ObjectRecord
        Objects; empty if only the sender's digest and age are news.
    hop_count : int
        Level in the fan-out tree; ``LEAF_HOP_COUNT`` is not forwarded.
    host_id : str
        Router that sent this message; empty for a tool.
    salt : int
        Number that shapes the fan-out tree of this push.
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
    """Digest of the sender's store, and the versions of its objects.

    Without versions and with a digest other than 0 the answer tells digest and age
    only.
    """

    versions: list[ObjectVersion] = field(default_factory=list)
    config_age_ms: float = 0.0
    digest: int = 0


@message("objectSyncReply")
@dataclass(slots=True, kw_only=True)
class ObjectSyncReply:
    """Objects newer than the sender's, and keys whose objects are wanted back."""

    objects: list[ObjectRecord] = field(default_factory=list)
    wanted_keys: list[str] = field(default_factory=list)
    config_age_ms: float = 0.0
    digest: int = 0
