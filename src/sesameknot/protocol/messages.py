"""Classes of the messages between the system's own processes."""

from sesameknot.protocol._bills import (
    BillConfirm,
    BillReplicate,
)
from sesameknot.protocol._claims import (
    ClaimRead,
    ClaimReply,
    ClaimSettle,
    ClaimSync,
    ClaimSyncReply,
    ClaimWrite,
)
from sesameknot.protocol._domain import (
    DomainSync,
    DomainSyncReply,
    SnapshotPartReply,
    SnapshotPartRequest,
)
from sesameknot.protocol._endpoint_permits import (
    EndpointPermitReply,
    EndpointPermitRequest,
    EndpointSlotReply,
    EndpointSlotRequest,
)
from sesameknot.protocol._grants import (
    EndpointNotice,
    GrantReply,
    GrantRequest,
    GrantRevoke,
)
from sesameknot.protocol._membership import (
    Ack,
    IndirectAck,
    IndirectPing,
    MembersReply,
    MembersRequest,
    Ping,
)
from sesameknot.protocol._object_replication import (
    ObjectPush,
    ObjectSync,
    ObjectSyncReply,
)
from sesameknot.protocol._outcome_replies import (
    Done,
    Failure,
)
from sesameknot.protocol._records import (
    BillRecord,
    ClaimEntry,
    CrashCount,
    EndpointLoads,
    EndpointOutageAges,
    EndpointReport,
    MemberInfo,
    ObjectRecord,
    ObjectVersion,
    OrderAge,
    PaceCount,
    VersionStats,
)
from sesameknot.protocol._stats import (
    StatsReply,
    StatsRequest,
)

__all__ = [
    "Ack",
    "BillConfirm",
    "BillRecord",
    "BillReplicate",
    "ClaimEntry",
    "ClaimRead",
    "ClaimReply",
    "ClaimSettle",
    "ClaimSync",
    "ClaimSyncReply",
    "ClaimWrite",
    "CrashCount",
    "DomainSync",
    "DomainSyncReply",
    "Done",
    "EndpointLoads",
    "EndpointNotice",
    "EndpointOutageAges",
    "EndpointPermitReply",
    "EndpointPermitRequest",
    "EndpointReport",
    "EndpointSlotReply",
    "EndpointSlotRequest",
    "Failure",
    "GrantReply",
    "GrantRequest",
    "GrantRevoke",
    "IndirectAck",
    "IndirectPing",
    "MemberInfo",
    "MembersReply",
    "MembersRequest",
    "ObjectPush",
    "ObjectRecord",
    "ObjectSync",
    "ObjectSyncReply",
    "ObjectVersion",
    "OrderAge",
    "PaceCount",
    "Ping",
    "SnapshotPartReply",
    "SnapshotPartRequest",
    "StatsReply",
    "StatsRequest",
    "VersionStats",
]
