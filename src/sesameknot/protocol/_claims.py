"""Messages of the claim tables."""

from dataclasses import dataclass, field

from sesameknot.protocol._message_registry import message
from sesameknot.protocol._records import ClaimEntry, ObjectRecord


@message("claimWrite")
@dataclass(slots=True, kw_only=True)
class ClaimWrite:
    """Claim a key for a claimant unless it is taken."""

    table: str = ""
    key: str = ""
    claimant: str = ""
    value: bytes = b""
    roster_version: int = 0


@message("claimRead")
@dataclass(slots=True, kw_only=True)
class ClaimRead:
    """Read the entry of a key."""

    table: str = ""
    key: str = ""
    roster_version: int = 0


@message("claimSettle")
@dataclass(slots=True, kw_only=True)
class ClaimSettle:
    """Change the state of a claim; only its claimant may."""

    table: str = ""
    key: str = ""
    claimant: str = ""
    state: str = ""
    value: bytes = b""
    roster_version: int = 0


@message("claimReply")
@dataclass(slots=True, kw_only=True)
class ClaimReply:
    """``status`` is accepted, exists, absent, fenced, inactive, lost or refused."""

    status: str = ""
    state: str = ""
    claimant: str = ""
    value: bytes = b""
    roster_version: int = 0


@message("claimSync")
@dataclass(slots=True, kw_only=True)
class ClaimSync:
    """Ask for the claims in buckets that the requester owns under a roster.

    ``after`` is the ``table/key`` of the last entry of the page before this one. The
    roster is empty unless the peer answered that it does not know the version. With
    ``want_previous`` the answer carries the roster before it.
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
    """Claims that the requester owns.

    ``ready`` is false if the peer does not know the roster or was no owner before it.
    The peer lacks ``missing_buckets``, of which ``lost_buckets`` have lost custody.
    ``more`` tells that entries follow the last one.
    """

    ready: bool = False
    roster_version: int = 0
    entries: list[ClaimEntry] = field(default_factory=list)
    missing_buckets: list[int] = field(default_factory=list)
    lost_buckets: list[int] = field(default_factory=list)
    more: bool = False
    previous: ObjectRecord = field(default_factory=ObjectRecord)
