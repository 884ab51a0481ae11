"""Changes of the store's objects in replies to other hosts, and those left out."""

from collections.abc import Mapping
from math import inf

from sesameknot.coordination._stored_records import RecordCache
from sesameknot.coordination.snapshot_exchange import SnapshotExchange
from sesameknot.coordination.store_follower import StoreFollower
from sesameknot.protocol.messages import DomainSync, DomainSyncReply, ObjectVersion

# Objects of a kind up to this size are sent in the reply to a host that lacks them;
# they take 26 ms on a link of 10 Mbit/s.
INLINE_LIMIT_BYTES = 32 * 1024


class ChangeReplies:
    """Adds the objects that a requester lacks to the reply.

    Parameters
    ----------
    followers : mapping of str to StoreFollower
        Followers of this host by kind.
    snapshots : SnapshotExchange
        Passes on kinds that are too large for a reply.
    """

    def __init__(
        self, followers: Mapping[str, StoreFollower], *, snapshots: SnapshotExchange
    ) -> None:
        self._followers = followers
        self._snapshots = snapshots
        self._records = RecordCache()

    def add_changes(self, request: DomainSync, reply: DomainSyncReply) -> None:
        """Add the changes after the requester's versions, or name what is too large."""
        for version in request.versions:
            self._add_kind(version, reply, request.object_limit_bytes)

    def _add_kind(
        self, version: ObjectVersion, reply: DomainSyncReply, limit_bytes: int
    ) -> None:
        follower = self._followers.get(version.key)
        if follower is None or follower.position <= (version.era, version.version):
            return
        same_era = version.era == follower.era
        changes = follower.changes_since(version.version) if same_era else None
        whole = changes is None
        entries = list(follower.entries.values()) if changes is None else changes
        records = [self._records.record(entry) for entry in entries]
        if 0 < limit_bytes < sum(len(record.value) for record in records):
            reply.deferred.append(self._snapshots.offer(follower))
            return
        if whole:
            reply.whole_kinds.append(version.key)
        reply.versions.append(
            ObjectVersion(key=version.key, version=follower.revision, era=follower.era)
        )
        reply.objects += records


class DeferredKinds:
    """Kinds that other hosts left out of their replies, until this host has them.

    Parameters
    ----------
    followers : mapping of str to StoreFollower
        Followers of this host by kind.
    """

    def __init__(self, followers: Mapping[str, StoreFollower]) -> None:
        self._followers = followers
        self._missing: dict[str, tuple[ObjectVersion, float]] = {}

    def note(self, version: ObjectVersion, *, current_s: float) -> bool:
        """Record that a kind was left out of a reply.

        Parameters
        ----------
        version : ObjectVersion
            Position that the kind has at the other host.
        current_s : float
            Monotonic time as of which the reply told everything else.

        Returns
        -------
        bool
            Whether this host lacks it.
        """
        if not self._lacks(version):
            return False
        _, since_s = self._missing.get(version.key, (version, current_s))
        self._missing[version.key] = version, min(since_s, current_s)
        return True

    def _lacks(self, version: ObjectVersion) -> bool:
        follower = self._followers.get(version.key)
        if follower is None:
            return False
        return (version.era, version.version) > follower.position

    def missing_since_s(self) -> float:
        """Return since when this host lacks a kind; infinite if it has them all."""
        for kind, (version, _) in list(self._missing.items()):
            if not self._lacks(version):
                del self._missing[kind]
        return min((since_s for _, since_s in self._missing.values()), default=inf)
