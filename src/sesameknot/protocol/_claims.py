"""Messages that read, write and copy claim registers."""

from dataclasses import dataclass, field

from sesameknot.protocol._message_registry import message
from sesameknot.protocol._records import ClaimEntry, ObjectRecord


@message("claimWrite")
@dataclass(slots=True, kw_only=True)
class ClaimWrite:
    """Claim the register of a key for a claimant unless it is taken."""

    table: str = ""
    key: str = ""
    claimant: str = ""
    value: bytes = b""
    roster_version: int = 0


@message("claimRead")
@dataclass(slots=True, kw_only=True)
class ClaimRead:
    """Read the register of a key."""

    table: str = ""
    key: str = ""
    roster_version: int = 0


@message("claimSettle")
@dataclass(slots=True, kw_only=True)
class ClaimSettle:
    """Change the state of a claim; only its claimant may do so."""

    table: str = ""
    key: str = ""
    claimant: str = ""
    state: str = ""
    value: bytes = b""
    roster_version: int = 0


@message("claimReply")
@dataclass(slots=True, kw_only=True)
class ClaimReply:
    """Result of a claim message and the current register.

    ``status`` is accepted, exists, absent, fenced, inactive, lost or refused.
    """

    status: str = ""
    state: str = ""
    claimant: str = ""
    value: bytes = b""
    roster_version: int = 0


@message("claimSync")
@dataclass(slots=True, kw_only=True)
class ClaimSync:
    """Request one page of the claims in buckets that the requester owns under a roster.

    ``after`` is the ``table/key`` of the last entry of the previous page. ``roster`` is
    empty unless the peer replied that it lacks ``roster_version``. With
    ``want_previous`` the reply carries the roster before ``roster_version``.
    """

    host_id: str = ""
    roster_version: int = 0
    roster: ObjectRecord = field(default_factory=ObjectRecord)
    buckets: list[int] = field(default_factory=list)
    after: str = ""
    want_previous: bool = False


@message("claimSyncReply")
@dataclass(slots=True, kw_only=True)
class ClaimSyncReply:
    """One page of the claims that the requester owns.

    ``ready`` is false if the peer lacks the roster or was not a member of the previous
    one. ``missing_buckets`` are those that the peer holds no complete copy of;
    ``lost_buckets`` are the ones of them for which it lost custody. ``more`` is true if
    further pages follow.
    """

    ready: bool = False
    roster_version: int = 0
    entries: list[ClaimEntry] = field(default_factory=list)
    missing_buckets: list[int] = field(default_factory=list)
    lost_buckets: list[int] = field(default_factory=list)
    more: bool = False
    previous: ObjectRecord = field(default_factory=ObjectRecord)
