"""Push of objects to all live hosts, directly or through a fan-out tree."""

import itertools
from collections.abc import Callable, Coroutine, Iterable
from typing import Any

import numpy as np
import structlog
import xxhash

from sesameknot.coordination._object_records import batch_records
from sesameknot.coordination.freshness import Freshness
from sesameknot.errors import RouterError
from sesameknot.protocol._object_replication import LEAF_HOP_COUNT
from sesameknot.protocol.messages import Done, MemberInfo, ObjectPush
from sesameknot.protocol.objects import StoredObject
from sesameknot.state.member_table import MemberState
from sesameknot.state.object_store import ObjectStore
from sesameknot.transport.peer_client import PeerClient

DIRECT_PUSH_LIMIT_COUNT = 27
FAN_OUT_BITS = 3
POSITION_BITS = 64

# Number of hosts that are tried as the root of a subtree before the push to it fails.
ROOT_ATTEMPT_COUNT = 3

log = structlog.get_logger(__name__)


def subtrees(
    members: Iterable[MemberInfo],
    own_id: str,
    *,
    salt: int,
    hop_count: int,
    sender_id: str = "",
) -> list[list[MemberInfo]]:
    """Return the subtrees below ``own_id``, each in the order to try its hosts as root.

    The position of a host is a hash of its id with ``salt``. A host forwards a push to
    the hosts that share the first ``3 * hop_count`` bits of its position, split into
    eight subtrees by the next three bits. Hosts with different views of the membership
    thus agree on all subtrees except for the hosts that only one of them knows. The
    sender of the push, the root one level above, is left out; a root further above
    may receive the push again.
    """
    prefix_bits = FAN_OUT_BITS * hop_count
    own_prefix = _position(own_id, salt) >> (POSITION_BITS - prefix_bits)
    members_by_prefix: dict[int, list[tuple[bool, int, MemberInfo]]] = {}
    for member in members:
        position = _position(member.host_id, salt)
        if member.host_id in (own_id, sender_id):
            continue
        if position >> (POSITION_BITS - prefix_bits) != own_prefix:
            continue
        prefix = position >> (POSITION_BITS - prefix_bits - FAN_OUT_BITS)
        suspect = member.state != MemberState.ALIVE
        members_by_prefix.setdefault(prefix, []).append((suspect, position, member))
    return [
        [member for *_, member in sorted(subtree, key=lambda entry: entry[:2])]
        for subtree in members_by_prefix.values()
    ]


def _position(host_id: str, salt: int) -> int:
    return xxhash.xxh3_64_intdigest(f"{salt}\0{host_id}".encode())


class FanOut:
    """Send pushes to the hosts below this one in the fan-out tree.

    Parameters
    ----------
    host_id : str
        Id of this host.
    store : ObjectStore
        Source of the digest that each push carries.
    freshness : Freshness
        Source of the configuration age that each push carries.
    client : PeerClient
        Client for calls to peers.
    live : callable
        Returns the live hosts.
    spawn : callable
        Runs a coroutine in the background.
    random_state : numpy.random.Generator
        Source of the salt of each tree, so that the inner positions rotate.
    timeout_s : float
        Timeout of one push.
    """

    __slots__ = (
        "_client",
        "_freshness",
        "_live",
        "_spawn",
        "_store",
        "host_id",
        "random_state",
        "timeout_s",
    )

    def __init__(
        self,
        host_id: str,
        store: ObjectStore,
        freshness: Freshness,
        client: PeerClient,
        *,
        live: Callable[[], list[MemberInfo]],
        spawn: Callable[[Coroutine[Any, Any, Any]], None],
        random_state: np.random.Generator,
        timeout_s: float,
    ) -> None:
        self.host_id = host_id
        self.random_state = random_state
        self.timeout_s = timeout_s
        self._store = store
        self._freshness = freshness
        self._client = client
        self._live = live
        self._spawn = spawn

    def publish(self, objects: Iterable[StoredObject]) -> None:
        """Push ``objects``, the digest and the configuration age to all live hosts."""
        live = [member for member in self._live() if member.host_id != self.host_id]
        is_direct = len(live) <= DIRECT_PUSH_LIMIT_COUNT
        salt = int(self.random_state.integers(1 << 32))
        groups = (
            [[member] for member in live]
            if is_direct
            else subtrees(live, self.host_id, salt=salt, hop_count=0)
        )
        self._push_to_all(groups, objects, salt=salt, hop_count=0)

    def forward(self, push: ObjectPush, objects: Iterable[StoredObject]) -> None:
        """Forward a push with ``objects`` to the subtrees below this host."""
        if push.hop_count >= POSITION_BITS // FAN_OUT_BITS:
            return
        groups = subtrees(
            self._live(),
            self.host_id,
            salt=push.salt,
            hop_count=push.hop_count,
            sender_id=push.host_id,
        )
        self._push_to_all(groups, objects, salt=push.salt, hop_count=push.hop_count)

    def _push_to_all(
        self,
        groups: list[list[MemberInfo]],
        objects: Iterable[StoredObject],
        *,
        salt: int,
        hop_count: int,
    ) -> None:
        record_batches = list(batch_records(objects)) or [[]]
        for group, records in itertools.product(groups, record_batches):
            push = ObjectPush(
                objects=records,
                hop_count=hop_count + 1 if len(group) > 1 else LEAF_HOP_COUNT,
                host_id=self.host_id,
                salt=salt,
                digest=self._store.digest(),
                config_age_ms=self._freshness.age_ms(),
            )
            self._spawn(self._push_to_group(group, push))

    async def _push_to_group(self, group: list[MemberInfo], push: ObjectPush) -> None:
        for member in group[:ROOT_ATTEMPT_COUNT]:
            try:
                await self._client.call(
                    member.address, push, expect=Done, timeout_s=self.timeout_s
                )
                return
            except RouterError as error:
                log.debug("push_failed", peer=member.host_id, reason=str(error))
