"""Member updates to piggyback on pings and their acks."""

import math

from sesameknot.protocol.messages import MemberInfo

# An update is sent in this many messages per doubling of the host count. With three,
# it reaches every host with high probability even if some messages are lost.
RETRANSMIT_FACTOR = 3

# Limits the size of a ping to about 1 KB.
UPDATES_PER_MESSAGE = 6


class GossipBuffer:
    """Member updates, each sent a limited number of times, the least sent first."""

    __slots__ = ("_sent_counts", "_updates")

    def __init__(self) -> None:
        self._updates: dict[str, MemberInfo] = {}
        self._sent_counts: dict[str, int] = {}

    def add(self, member: MemberInfo) -> None:
        """Queue ``member`` in place of any earlier update of the same host."""
        self._updates[member.host_id] = member
        self._sent_counts[member.host_id] = 0

    def next_updates(self, host_count: int) -> list[MemberInfo]:
        """Return the least-sent updates for one message and count them as sent.

        The number of times that an update is sent grows with ``host_count``.
        """
        selected_ids = sorted(self._updates, key=self._sent_counts.__getitem__)
        selected_ids = selected_ids[:UPDATES_PER_MESSAGE]
        updates = [self._updates[host_id] for host_id in selected_ids]
        transmit_limit_count = RETRANSMIT_FACTOR * math.ceil(math.log2(host_count + 1))
        for host_id in selected_ids:
            self._sent_counts[host_id] += 1
            if self._sent_counts[host_id] >= transmit_limit_count:
                del self._updates[host_id]
                del self._sent_counts[host_id]
        return updates
