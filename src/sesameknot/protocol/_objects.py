"""Messages that spread platform objects."""

from dataclasses import dataclass, field

from sesameknot.protocol._message_registry import message
from sesameknot.protocol._records import ObjectRecord, ObjectVersion


@message("objectPush")
@dataclass(slots=True, kw_only=True)
class ObjectPush:
    """Objects that are new to the sender."""

    objects: list[ObjectRecord] = field(default_factory=list)
    hop_count: int = 0


@message("objectSync")
@dataclass(slots=True, kw_only=True)
class ObjectSync:
    """Versions of all objects that the sender holds."""

    versions: list[ObjectVersion] = field(default_factory=list)
    config_age_ms: float = 0.0


@message("objectSyncReply")
@dataclass(slots=True, kw_only=True)
class ObjectSyncReply:
    """Objects newer than the sender's, and keys whose objects are wanted back."""

    objects: list[ObjectRecord] = field(default_factory=list)
    wanted_keys: list[str] = field(default_factory=list)
    config_age_ms: float = 0.0
