"""Messages of the membership protocol."""

from dataclasses import dataclass, field

from sesameknot.protocol._message_registry import message
from sesameknot.protocol._records import CrashCount, MemberInfo


@message("ping")
@dataclass(slots=True, kw_only=True)
class Ping:
    """Heartbeat that also carries member updates and the object store's digest."""

    member: MemberInfo = field(default_factory=MemberInfo)
    updates: list[MemberInfo] = field(default_factory=list)
    digest: int = 0
    config_age_ms: float = 0.0
    crashes: list[CrashCount] = field(default_factory=list)


@message("ack")
@dataclass(slots=True, kw_only=True)
class Ack:
    """Reply to a heartbeat, with the same contents."""

    member: MemberInfo = field(default_factory=MemberInfo)
    updates: list[MemberInfo] = field(default_factory=list)
    digest: int = 0
    config_age_ms: float = 0.0
    crashes: list[CrashCount] = field(default_factory=list)


@message("indirectPing")
@dataclass(slots=True, kw_only=True)
class IndirectPing:
    """Ask a peer to ping a third host."""

    target_host_id: str = ""
    target_address: str = ""


@message("indirectAck")
@dataclass(slots=True, kw_only=True)
class IndirectAck:
    """Tell whether the third host answered."""

    reached: bool = False


@message("membersRequest")
@dataclass(slots=True, kw_only=True)
class MembersRequest:
    """Request all entries of a router's member table."""

    requester: str = ""


@message("membersReply")
@dataclass(slots=True, kw_only=True)
class MembersReply:
    """All entries of a router's member table."""

    members: list[MemberInfo] = field(default_factory=list)
    config_age_ms: float = 0.0
