"""Fetch the store's objects from another host while the store does not answer.

A host that starts during a store outage has no objects. Other hosts still hold them
with the store's revisions, so that the watches can continue from there.
"""

import asyncio
from collections.abc import Callable, Sequence

import structlog

from sesameknot.coordination._stored_records import object_record, stored_entry
from sesameknot.coordination.store_follower import StoreFollower
from sesameknot.errors import RouterError
from sesameknot.platform import StoredEntry
from sesameknot.protocol.messages import ObjectRecord, ObjectSync, ObjectSyncReply
from sesameknot.transport.peer_client import PeerClient

CALL_TIMEOUT_S = 0.5
CHECK_INTERVAL_S = 0.5

log = structlog.get_logger(__name__)


class PeerSnapshot:
    """Task that fetches missing objects from other hosts, and serves them to others.

    Parameters
    ----------
    followers : sequence of StoreFollower
        Followers of this host.
    peers : PeerClient
        Client of the peer protocol.
    addresses : callable
        Returns the peer addresses to call, in this order.
    """

    def __init__(
        self,
        *,
        followers: Sequence[StoreFollower],
        peers: PeerClient,
        addresses: Callable[[], list[str]],
    ) -> None:
        self._followers = {follower.kind: follower for follower in followers}
        self._peers = peers
        self._addresses = addresses

    async def answer(self, request: ObjectSync) -> ObjectSyncReply:
        """Answer with all objects of the kinds that this host has listed."""
        records = []
        for follower in self._followers.values():
            if follower.listed:
                # The record without a name carries the revision to watch from.
                key = f"{follower.kind}/"
                records.append(ObjectRecord(key=key, version=follower.revision))
                records += [object_record(e) for e in follower.entries.values()]
        return ObjectSyncReply(objects=records)

    async def run(self) -> None:
        """Fetch missing kinds from other hosts until every kind was listed once."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            missing = [f for f in self._followers.values() if not f.listed]
            if not missing:
                return
            if any(follower.failing for follower in missing):
                await self._fetch_in_order()

    async def _fetch_in_order(self) -> None:
        for address in self._addresses():
            try:
                reply = await self._peers.call(
                    address,
                    ObjectSync(),
                    expect=ObjectSyncReply,
                    timeout_s=CALL_TIMEOUT_S,
                )
            except RouterError as error:
                log.info("snapshot_request_failed", peer=address, reason=error.message)
                continue
            if self._adopt(reply, address):
                return

    def _adopt(self, reply: ObjectSyncReply, address: str) -> bool:
        entries: dict[str, list[StoredEntry]] = {}
        revisions: dict[str, int] = {}
        for record in reply.objects:
            kind, _, name = record.key.partition("/")
            if not name:
                revisions[kind] = record.version
                continue
            entries.setdefault(kind, []).append(stored_entry(record))
        for kind, revision in revisions.items():
            follower = self._followers.get(kind)
            if follower is not None and not follower.listed:
                follower.adopt(entries.get(kind, []), revision)
                log.info(
                    "snapshot_adopted",
                    kind=kind,
                    peer=address,
                    revision=revision,
                    count=len(entries.get(kind, [])),
                )
        return bool(revisions)
