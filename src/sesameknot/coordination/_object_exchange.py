"""Anti-entropy: compares digests with a peer and exchanges newer objects."""

from sesameknot.clock import Clock
from sesameknot.coordination._object_records import batch_records, objects_from_records
from sesameknot.coordination.freshness import Freshness
from sesameknot.errors import RouterError
from sesameknot.protocol.messages import (
    Done,
    MemberInfo,
    ObjectPush,
    ObjectSync,
    ObjectSyncReply,
)
from sesameknot.state.object_store import ObjectStore
from sesameknot.transport.peer_client import PeerClient

# Limit on the rounds of one exchange; a large difference takes several frames.
ROUND_LIMIT_COUNT = 8
SYNC_TIMEOUT_S = 2.0


class ObjectExchange:
    """Synchronise the objects of this host with those of a peer.

    Parameters
    ----------
    host_id : str
        Id of this host.
    store : ObjectStore
        Objects of this host.
    freshness : Freshness
        Receives the age of the peer's configuration.
    client : PeerClient
        Client for calls to peers.
    clock : Clock
        Source of monotonic time.
    probe_timeout_s : float
        Timeout of the comparison of digests.
    """

    __slots__ = (
        "_client",
        "_clock",
        "_freshness",
        "_running_ids",
        "_store",
        "host_id",
        "probe_timeout_s",
    )

    def __init__(
        self,
        host_id: str,
        store: ObjectStore,
        freshness: Freshness,
        client: PeerClient,
        *,
        clock: Clock,
        probe_timeout_s: float,
    ) -> None:
        self.host_id = host_id
        self.probe_timeout_s = probe_timeout_s
        self._store = store
        self._freshness = freshness
        self._client = client
        self._clock = clock
        self._running_ids: set[str] = set()

    @property
    def running_count(self) -> int:
        """Number of exchanges in progress."""
        return len(self._running_ids)

    async def run(self, peer: MemberInfo) -> bool:
        """Exchange objects with ``peer``; return whether both now have equal digests.

        Returns False immediately if an exchange with ``peer`` is in progress.
        """
        if peer.host_id in self._running_ids:
            return False
        self._running_ids.add(peer.host_id)
        try:
            return await self._exchange(peer)
        except RouterError:
            return False
        finally:
            self._running_ids.discard(peer.host_id)

    def record_reply(
        self, host_id: str, digest: int, config_age_ms: float, sent_s: float
    ) -> bool:
        """Record the digest and age in a peer's reply; return whether digests match.

        If they match, the peer's age when it replied plus the time since the request
        was sent is an upper bound on the age of this host's configuration.
        """
        in_sync = digest == self._store.digest()
        age_s = config_age_ms / 1000.0
        self._freshness.record_report(
            host_id, age_s, sent_s=sent_s, same_config=in_sync
        )
        if in_sync:
            self._freshness.confirm_age(age_s + self._clock.monotonic_s() - sent_s)
        return in_sync

    async def handle_sync(self, message: ObjectSync) -> ObjectSyncReply:
        """Return this host's digest and age, and the difference if the digests differ.

        A request without versions but with a digest gets only the digest and age.
        """
        reply = ObjectSyncReply(
            config_age_ms=self._freshness.age_ms(), digest=self._store.digest()
        )
        digest_only = not message.versions and message.digest != 0
        if digest_only or message.digest == reply.digest:
            return reply
        difference = self._store.difference_from(message.versions)
        reply.objects = next(batch_records(difference.objects), [])
        reply.wanted_keys = difference.wanted_keys
        return reply

    async def _exchange(self, peer: MemberInfo) -> bool:
        if await self._round(peer, with_versions=False):
            return True
        for _ in range(ROUND_LIMIT_COUNT):
            previous_digest = self._store.digest()
            if await self._round(peer, with_versions=True):
                return True
            if await self._round(peer, with_versions=False):
                return True
            if self._store.digest() == previous_digest:
                return False
        return False

    async def _round(self, peer: MemberInfo, *, with_versions: bool) -> bool:
        request = ObjectSync(
            versions=self._store.versions() if with_versions else [],
            config_age_ms=self._freshness.age_ms(),
            digest=self._store.digest(),
        )
        sent_s = self._clock.monotonic_s()
        reply = await self._client.call(
            peer.address,
            request,
            expect=ObjectSyncReply,
            timeout_s=SYNC_TIMEOUT_S if with_versions else self.probe_timeout_s,
        )
        self._store.merge(objects_from_records(reply.objects, peer=peer.address))
        in_sync = self.record_reply(
            peer.host_id, reply.digest, reply.config_age_ms, sent_s
        )
        if not in_sync and reply.wanted_keys:
            await self._push_objects(peer, reply.wanted_keys)
        return in_sync

    async def _push_objects(self, peer: MemberInfo, keys: list[str]) -> None:
        for records in batch_records(self._store.newest(keys)):
            push = ObjectPush(
                objects=records,
                host_id=self.host_id,
                digest=self._store.digest(),
                config_age_ms=self._freshness.age_ms(),
            )
            await self._client.call(
                peer.address, push, expect=Done, timeout_s=SYNC_TIMEOUT_S
            )
