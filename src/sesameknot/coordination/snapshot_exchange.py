"""Pass large kinds of objects to other hosts, compressed and in parts.

A reply that holds a large configuration takes longer on a slow link than the requester
waits, and delays what is sent behind it. A relay therefore names such a kind in its
reply only, and the requester fetches it part by part. It asks for a part when it has
the one before, so the parts of several hosts share the relay's link, and other messages
wait for a few parts at most.
"""

import asyncio
from collections import OrderedDict
from collections.abc import Sequence

import structlog

from sesameknot.coordination._kind_snapshot import decode_snapshot, encode_snapshot
from sesameknot.coordination.store_follower import StoreFollower
from sesameknot.errors import FrameError, RouterError
from sesameknot.protocol.messages import (
    ObjectVersion,
    SnapshotPartReply,
    SnapshotPartRequest,
)
from sesameknot.transport.peer_client import PeerClient

# Takes 13 ms on a link of 10 Mbit/s.
PART_BYTES = 16 * 1024
# A part waits behind one part for each of the relay's other hosts.
PART_TIMEOUT_S = 1.0
PART_TRY_COUNT = 3
# A compressed kind is far smaller; no host is to keep more of another one's.
SNAPSHOT_LIMIT_BYTES = 8 * 1024 * 1024
# Snapshots of a kind that are kept, so that changes in quick succession do not end the
# transfers that have begun.
KEPT_SNAPSHOT_COUNT = 4

log = structlog.get_logger(__name__)

Position = tuple[int, int]


class SnapshotExchange:
    """Snapshots that this host serves to others, and fetches from them.

    Parameters
    ----------
    followers : sequence of StoreFollower
        Followers of this host.
    peers : PeerClient
        Client of the peer protocol.
    """

    def __init__(
        self, followers: Sequence[StoreFollower], *, peers: PeerClient
    ) -> None:
        self._followers = {follower.kind: follower for follower in followers}
        self._peers = peers
        self._snapshots: dict[str, OrderedDict[Position, bytes]] = {}
        self._transfers: dict[str, asyncio.Task[None]] = {}

    def offer(self, follower: StoreFollower) -> ObjectVersion:
        """Keep a snapshot of a kind for other hosts and return its position."""
        snapshots = self._snapshots.setdefault(follower.kind, OrderedDict())
        if follower.position not in snapshots:
            data = encode_snapshot(follower.entries.values())
            snapshots[follower.position] = data
            if len(snapshots) > KEPT_SNAPSHOT_COUNT:
                snapshots.popitem(last=False)
            log.info(
                "snapshot_offered",
                kind=follower.kind,
                revision=follower.revision,
                size_bytes=len(data),
            )
        return ObjectVersion(
            key=follower.kind, version=follower.revision, era=follower.era
        )

    async def answer(self, request: SnapshotPartRequest) -> SnapshotPartReply:
        """Answer with a part of a snapshot."""
        snapshots = self._snapshots.get(request.kind, {})
        data = snapshots.get((request.era, request.version), b"")
        end_bytes = request.offset_bytes + PART_BYTES
        return SnapshotPartReply(
            data=data[request.offset_bytes : end_bytes], size_bytes=len(data)
        )

    def fetch(self, address: str, version: ObjectVersion) -> None:
        """Start to fetch a snapshot from a host.

        A transfer of the same kind that is in progress goes on instead: a newer one
        would begin anew with each change.
        """
        follower = self._followers.get(version.key)
        if follower is None or version.key in self._transfers:
            return
        if (version.era, version.version) <= follower.position:
            return
        task = asyncio.create_task(self._transfer(address, version, follower))
        self._transfers[version.key] = task
        task.add_done_callback(lambda _: self._transfers.pop(version.key, None))

    async def _transfer(
        self, address: str, version: ObjectVersion, follower: StoreFollower
    ) -> None:
        try:
            data = await self._fetch_parts(address, version)
            entries = decode_snapshot(follower.kind, data, peer=address)
        except RouterError as error:
            log.info(
                "snapshot_request_failed",
                kind=version.key,
                peer=address,
                step=error.step,
                reason=error.message,
            )
            return
        # The host's own watch may have been faster.
        if (version.era, version.version) <= follower.position:
            return
        try:
            follower.adopt(entries, version.version, era=version.era)
        except Exception:
            # Like an error in an entry of the store, it must not pass without a line.
            log.exception("snapshot_not_adopted", kind=version.key, peer=address)
            return
        log.info(
            "snapshot_adopted",
            kind=version.key,
            peer=address,
            revision=version.version,
            count=len(entries),
        )

    async def _fetch_parts(self, address: str, version: ObjectVersion) -> bytes:
        data = bytearray()
        while True:
            reply = await self._fetch_part(address, version, offset_bytes=len(data))
            if not reply.data:
                raise RouterError(
                    "the snapshot is no longer kept", step="fetch part", peer=address
                )
            if reply.size_bytes > SNAPSHOT_LIMIT_BYTES:
                raise FrameError(
                    f"snapshot of {reply.size_bytes} bytes, expected at most "
                    f"{SNAPSHOT_LIMIT_BYTES}",
                    step="fetch part",
                    peer=address,
                )
            data += reply.data
            if len(data) >= reply.size_bytes:
                return bytes(data)

    async def _fetch_part(
        self, address: str, version: ObjectVersion, *, offset_bytes: int
    ) -> SnapshotPartReply:
        request = SnapshotPartRequest(
            kind=version.key,
            version=version.version,
            era=version.era,
            offset_bytes=offset_bytes,
        )
        try_number = 1
        while True:
            try:
                return await self._call(address, request)
            except RouterError as error:
                log.info(
                    "snapshot_part_failed",
                    kind=version.key,
                    peer=address,
                    step=error.step,
                    reason=error.message,
                    try_number=try_number,
                )
                if try_number == PART_TRY_COUNT:
                    raise
                try_number += 1

    async def _call(
        self, address: str, request: SnapshotPartRequest
    ) -> SnapshotPartReply:
        return await self._peers.call(
            address, request, expect=SnapshotPartReply, timeout_s=PART_TIMEOUT_S
        )

    def close(self) -> None:
        """End the transfers in progress."""
        for task in list(self._transfers.values()):
            task.cancel()
