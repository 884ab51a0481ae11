"""Anti-entropy: compare digests with one peer and exchange newer objects."""

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

# Rounds of one exchange; a large difference takes several frames.
ROUND_LIMIT = 8
SYNC_TIMEOUT_S = 2.0


class ObjectExchange:
    """Bring this host's objects and those of a peer to the same versions.

    Parameters
    ----------
    host_id : str
        This host.
    store : ObjectStore
        Objects of this host.
    freshness : Freshness
        Learns the age of the peer's configuration.
    client : PeerClient
        Client for calls to peers.
    clock : Clock
        Source of monotonic time.
    probe_timeout_s : float
        Time for the comparison of digests.
    """

    __slots__ = (
        "_client",
        "_clock",
        "_freshness",
        "_running",
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
        self._running: set[str] = set()

    @property
    def running_count(self) -> int:
        """Number of exchanges under way."""
        return len(self._running)

    async def run(self, peer: MemberInfo) -> bool:
        """Exchange objects with ``peer``; return whether both hold the same.

        Returns at once if an exchange with ``peer`` is under way.
        """
        if peer.host_id in self._running:
            return False
        self._running.add(peer.host_id)
        try:
            return await self._exchange(peer)
        except RouterError:
            return False
        finally:
            self._running.discard(peer.host_id)

    def observe(
        self, host_id: str, digest: int, config_age_ms: float, sent_s: float
    ) -> bool:
        """Take a peer's digest and age from an answer; return whether digests match.

        The peer's age at its answer plus the time since the question bounds the age
        here, if both hold the same objects.
        """
        same = digest == self._store.digest()
        age_s = config_age_ms / 1000.0
        self._freshness.peer_reported(host_id, age_s, sent_s=sent_s, same_config=same)
        if same:
            self._freshness.confirmed(age_s + self._clock.monotonic_s() - sent_s)
        return same

    async def answer(self, message: ObjectSync) -> ObjectSyncReply:
        """Answer a peer's comparison."""
        reply = ObjectSyncReply(
            config_age_ms=self._freshness.age_ms(), digest=self._store.digest()
        )
        only_digest = not message.versions and message.digest != 0
        if only_digest or message.digest == reply.digest:
            return reply
        difference = self._store.newer_than(message.versions)
        reply.objects = next(batch_records(difference.objects), [])
        reply.wanted_keys = difference.wanted_keys
        return reply

    async def _exchange(self, peer: MemberInfo) -> bool:
        if await self._round(peer, with_versions=False):
            return True
        for _ in range(ROUND_LIMIT):
            before = self._store.digest()
            if await self._round(peer, with_versions=True):
                return True
            if await self._round(peer, with_versions=False):
                return True
            if self._store.digest() == before:
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
        same = self.observe(peer.host_id, reply.digest, reply.config_age_ms, sent_s)
        if not same and reply.wanted_keys:
            await self._send(peer, reply.wanted_keys)
        return same

    async def _send(self, peer: MemberInfo, keys: list[str]) -> None:
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
