"""Member updates that wait to be piggybacked on pings."""

import math

from sesameknot.protocol.messages import MemberInfo

# An update travels on this many messages per doubling of the host count. Three
# reach every host with high probability even if some messages are lost.
RETRANSMIT_FACTOR = 3

# Bounds a ping to about 1 KB.
UPDATES_PER_MESSAGE = 6


class GossipBuffer:
    """Hand out each member update a limited number of times, fresh ones first."""

    __slots__ = ("_sent_counts", "_updates")

    def __init__(self) -> None:
        self._updates: dict[str, MemberInfo] = {}
        self._sent_counts: dict[str, int] = {}

    def add(self, member: MemberInfo) -> None:
        """Start to spread ``member``; it replaces an older update of its host."""
        self._updates[member.host_id] = member
        self._sent_counts[member.host_id] = 0

    def take(self, host_count: int) -> list[MemberInfo]:
        """Return the updates for one message among ``host_count`` hosts."""
        chosen = sorted(self._updates, key=self._sent_counts.__getitem__)
        chosen = chosen[:UPDATES_PER_MESSAGE]
        updates = [self._updates[host_id] for host_id in chosen]
        limit = RETRANSMIT_FACTOR * math.ceil(math.log2(host_count + 1))
        for host_id in chosen:
            self._sent_counts[host_id] += 1
            if self._sent_counts[host_id] >= limit:
                del self._updates[host_id]
                del self._sent_counts[host_id]
        return updates
