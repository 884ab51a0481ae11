"""What the router on the same host knows, read over the peer protocol."""

import asyncio
import json
from typing import Protocol

from sesameknot.errors import RouterError
from sesameknot.protocol.messages import (
    Done,
    MemberInfo,
    MembersReply,
    MembersRequest,
    ObjectPush,
    ObjectRecord,
    ObjectSync,
    ObjectSyncReply,
    ObjectVersion,
    StatsReply,
    StatsRequest,
)
from sesameknot.protocol.objects import StoredObject
from sesameknot.transport.peer_client import PeerClient

CONCURRENT_CALL_COUNT = 32
REACHABLE_STATES = ("alive", "suspect", "leaving")


class View(Protocol):
    """Objects, and counters of all routers."""

    async def refresh(self) -> None:
        """Fetch newer objects."""

    def get(self, key: str) -> StoredObject | None:
        """Return the object at ``key``; None if absent or deleted."""

    def below(self, prefix: str) -> list[StoredObject]:
        """Return the objects below ``prefix``, sorted by key."""

    async def stats(self) -> list[StatsReply]:
        """Return the counters of the routers that answer."""

    async def push(self, stored: StoredObject) -> None:
        """Offer an object that was just written."""


class RouterView:
    """Objects and members as one router knows them.

    Parameters
    ----------
    address : str
        Peer address of the router.
    peer : PeerClient
        Client for all calls.
    """

    def __init__(self, address: str, *, peer: PeerClient) -> None:
        self.address = address
        self._peer = peer
        self._objects: dict[str, StoredObject] = {}

    async def refresh(self) -> None:
        """Fetch the objects that are newer than the known ones.

        Raises
        ------
        RouterError
            If the router cannot be reached.
        """
        versions = [
            ObjectVersion(key=stored.key, version=stored.version)
            for stored in self._objects.values()
        ]
        reply = await self._peer.call(
            self.address, ObjectSync(versions=versions), expect=ObjectSyncReply
        )
        for record in reply.objects:
            known = self._objects.get(record.key)
            if known is None or record.version > known.version:
                self._objects[record.key] = _stored(record)

    def get(self, key: str) -> StoredObject | None:
        """Return the object at ``key``; None if absent or deleted."""
        stored = self._objects.get(key)
        return None if stored is None or stored.deleted else stored

    def below(self, prefix: str) -> list[StoredObject]:
        """Return the objects below ``prefix``, sorted by key."""
        return sorted(
            (
                stored
                for stored in self._objects.values()
                if stored.key.startswith(prefix) and not stored.deleted
            ),
            key=lambda stored: stored.key,
        )

    async def members(self) -> list[MemberInfo]:
        """Return all members that the router knows."""
        reply = await self._peer.call(
            self.address,
            MembersRequest(requester=self._peer.host_id),
            expect=MembersReply,
        )
        return reply.members

    async def stats(self) -> list[StatsReply]:
        """Return the counters of the routers that answer."""
        permits = asyncio.Semaphore(CONCURRENT_CALL_COUNT)
        request = StatsRequest(requester=self._peer.host_id)

        async def ask(member: MemberInfo) -> StatsReply | None:
            async with permits:
                try:
                    return await self._peer.call(
                        member.address, request, expect=StatsReply
                    )
                except RouterError:
                    return None

        members = [m for m in await self.members() if m.state in REACHABLE_STATES]
        replies = await asyncio.gather(*(ask(member) for member in members))
        return [reply for reply in replies if reply is not None]

    async def push(self, stored: StoredObject) -> None:
        """Offer an object to the router; the platform's watch brings it otherwise."""
        record = ObjectRecord(
            key=stored.key,
            version=stored.version,
            value=json.dumps(stored.value).encode(),
            deleted=stored.deleted,
            write_id=stored.write_id,
        )
        try:
            await self._peer.call(
                self.address, ObjectPush(objects=[record]), expect=Done
            )
        except RouterError:
            return


def _stored(record: ObjectRecord) -> StoredObject:
    try:
        value = None if record.deleted else json.loads(record.value)
    except ValueError as error:
        raise RouterError(
            f"object is not JSON: {error}", step="refresh", peer=record.key
        ) from error
    return StoredObject(
        key=record.key,
        version=record.version,
        value=value,
        write_id=record.write_id,
        deleted=record.deleted,
    )
