"""Objects, members and counters, read from a router over the peer protocol."""

import asyncio
from typing import Protocol

from sesameknot.coordination._object_records import objects_from_records
from sesameknot.errors import RouterError
from sesameknot.protocol.messages import (
    Done,
    MemberInfo,
    MembersReply,
    MembersRequest,
    ObjectPush,
    ObjectSync,
    ObjectSyncReply,
    StatsReply,
    StatsRequest,
)
from sesameknot.protocol.object_records import record_from_object
from sesameknot.protocol.objects import StoredObject
from sesameknot.state.object_store import ObjectStore
from sesameknot.transport.peer_client import PeerClient

CONCURRENT_CALL_COUNT = 32
REACHABLE_STATES = ("alive", "suspect", "leaving")


class RolloutView(Protocol):
    """Stored objects and counters of all routers, as a roll-out's holder needs them."""

    async def refresh(self) -> None:
        """Fetch newer objects."""

    def get(self, key: str) -> StoredObject | None:
        """Return the object at ``key``; None if absent or deleted."""

    def below(self, prefix: str) -> list[StoredObject]:
        """Return the objects below ``prefix``, sorted by key."""

    async def stats(self) -> list[StatsReply]:
        """Return the counters of the routers that answer."""

    async def push(self, stored: StoredObject) -> None:
        """Send an object that was just written to the router."""


class RouterView:
    """Objects, members and counters as one router reports them.

    Parameters
    ----------
    address : str
        Peer address of the router.
    peer : PeerClient
        Client of the peer protocol.
    """

    def __init__(self, address: str, *, peer: PeerClient) -> None:
        self.address = address
        self._peer = peer
        self._store = ObjectStore()
        self._digest = 0

    async def refresh(self) -> None:
        """Fetch the objects that are newer than those fetched before.

        Raises
        ------
        RouterError
            If the router cannot be reached.
        """
        reply = await self._sync(ObjectSync(digest=self._digest))
        while reply.digest != self._digest:
            versions = self._store.versions()
            reply = await self._sync(ObjectSync(versions=versions))
            if not self._store.merge(
                objects_from_records(reply.objects, peer=self.address)
            ):
                self._digest = reply.digest

    async def _sync(self, message: ObjectSync) -> ObjectSyncReply:
        return await self._peer.call(self.address, message, expect=ObjectSyncReply)

    def get(self, key: str) -> StoredObject | None:
        """Return the object at ``key``; None if absent or deleted."""
        return self._store.get(key)

    def below(self, prefix: str) -> list[StoredObject]:
        """Return the objects below ``prefix``, sorted by key."""
        return sorted(self._store.list(prefix), key=lambda stored: stored.key)

    async def members(self) -> list[MemberInfo]:
        """Return all members in the router's list."""
        reply = await self._peer.call(
            self.address,
            MembersRequest(requester=self._peer.host_id),
            expect=MembersReply,
        )
        return reply.members

    async def stats(self) -> list[StatsReply]:
        """Return the counters of the routers that answer."""
        call_limit = asyncio.Semaphore(CONCURRENT_CALL_COUNT)
        request = StatsRequest(requester=self._peer.host_id)

        async def ask(member: MemberInfo) -> StatsReply | None:
            async with call_limit:
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
        """Send an object to the router.

        A failure is ignored, because the router also receives the object from its
        watch on the platform.
        """
        record = record_from_object(stored)
        try:
            await self._peer.call(
                self.address, ObjectPush(objects=[record]), expect=Done
            )
        except RouterError:
            return
