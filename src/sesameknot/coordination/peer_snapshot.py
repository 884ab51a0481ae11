"""Fetch the store's objects from another host while the store does not answer.

A host that starts during a store outage has no objects. Other hosts still hold them
with the store's revisions, so that the watches can continue from there.
"""

import asyncio
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

import structlog

from sesameknot.coordination._change_replies import INLINE_LIMIT_BYTES
from sesameknot.coordination._stored_records import object_record, stored_entry
from sesameknot.coordination.snapshot_exchange import SnapshotExchange
from sesameknot.coordination.store_follower import StoreFollower
from sesameknot.errors import RouterError
from sesameknot.platform import StoredEntry
from sesameknot.protocol.messages import ObjectRecord, ObjectSync, ObjectSyncReply
from sesameknot.transport.peer_client import PeerClient

CALL_TIMEOUT_S = 0.5
CHECK_INTERVAL_S = 0.5
CONCURRENT_CALL_COUNT = 3

log = structlog.get_logger(__name__)


class PeerSnapshot:
    """Task that fetches missing objects from other hosts, and serves them to others.

    Parameters
    ----------
    followers : sequence of StoreFollower
        Followers of this host.
    snapshots : SnapshotExchange
        Passes on kinds that are too large for one answer.
    peers : PeerClient
        Client of the peer protocol.
    addresses : callable
        Returns the peer addresses to call, in this order.
    """

    def __init__(
        self,
        *,
        followers: Sequence[StoreFollower],
        snapshots: SnapshotExchange,
        peers: PeerClient,
        addresses: Callable[[], list[str]],
    ) -> None:
        self._followers = {follower.kind: follower for follower in followers}
        self._snapshots = snapshots
        self._peers = peers
        self._addresses = addresses

    async def answer(self, request: ObjectSync) -> ObjectSyncReply:
        """Answer with all objects of the kinds that this host has listed."""
        reply = ObjectSyncReply()
        for follower in self._followers.values():
            if follower.listed:
                self._add_kind(follower, reply, request.object_limit_bytes)
        return reply

    def _add_kind(
        self, follower: StoreFollower, reply: ObjectSyncReply, limit_bytes: int
    ) -> None:
        records = [object_record(entry) for entry in follower.entries.values()]
        if 0 < limit_bytes < sum(len(record.value) for record in records):
            reply.deferred.append(self._snapshots.offer(follower))
            return
        # The record without a name carries the position to watch from.
        key = f"{follower.kind}/"
        reply.objects.append(
            ObjectRecord(key=key, version=follower.revision, era=follower.era)
        )
        reply.objects += records

    async def run(self) -> None:
        """Fetch missing kinds from other hosts until every kind was listed once."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            missing = [f for f in self._followers.values() if not f.listed]
            if not missing:
                return
            if any(follower.failing for follower in missing):
                await self._fetch()

    async def _fetch(self) -> None:
        """Ask a few hosts at a time until one answers; adopt the newest objects."""
        addresses = self._addresses()
        for start in range(0, len(addresses), CONCURRENT_CALL_COUNT):
            batch = addresses[start : start + CONCURRENT_CALL_COUNT]
            answers = await asyncio.gather(*(self._call(address) for address in batch))
            replies = {
                address: reply
                for address, reply in zip(batch, answers, strict=True)
                if reply is not None
            }
            if self._adopt_newest(replies):
                return

    def _adopt_newest(self, replies: dict[str, ObjectSyncReply]) -> bool:
        """Adopt the newest objects in replies; return whether there are any.

        A host that was cut off from the store may answer with older objects.
        """
        snapshots = [
            snapshot
            for address, reply in replies.items()
            for snapshot in _kind_snapshots(reply, address)
        ]
        snapshots.sort(key=lambda s: (s.era, s.revision), reverse=True)
        for snapshot in snapshots:
            self._adopt(snapshot)
        deferred = [
            (version, address)
            for address, reply in replies.items()
            for version in reply.deferred
        ]
        deferred.sort(key=lambda d: (d[0].era, d[0].version), reverse=True)
        for version, address in deferred:
            self._snapshots.fetch(address, version)
        return bool(snapshots or deferred)

    async def _call(self, address: str) -> ObjectSyncReply | None:
        try:
            return await self._peers.call(
                address,
                ObjectSync(object_limit_bytes=INLINE_LIMIT_BYTES),
                expect=ObjectSyncReply,
                timeout_s=CALL_TIMEOUT_S,
            )
        except RouterError as error:
            log.info("snapshot_request_failed", peer=address, reason=error.message)
            return None

    def _adopt(self, snapshot: "_KindSnapshot") -> None:
        follower = self._followers.get(snapshot.kind)
        if follower is None or follower.listed:
            return
        follower.adopt(snapshot.entries, snapshot.revision, era=snapshot.era)
        log.info(
            "snapshot_adopted",
            kind=snapshot.kind,
            peer=snapshot.peer,
            revision=snapshot.revision,
            count=len(snapshot.entries),
        )


@dataclass(slots=True, kw_only=True)
class _KindSnapshot:
    """All objects of a kind as another host knows them."""

    kind: str
    revision: int
    era: int
    peer: str
    entries: list[StoredEntry] = field(default_factory=list)


def _kind_snapshots(reply: ObjectSyncReply, address: str) -> list[_KindSnapshot]:
    snapshots: dict[str, _KindSnapshot] = {}
    for record in reply.objects:
        kind, _, name = record.key.partition("/")
        if not name:
            snapshots[kind] = _KindSnapshot(
                kind=kind, revision=record.version, era=record.era, peer=address
            )
        elif kind in snapshots:
            snapshots[kind].entries.append(stored_entry(record))
    return list(snapshots.values())
