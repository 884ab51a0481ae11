"""Copies claims from the previous owners of buckets."""

import asyncio
import json
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Protocol, TypeVar

import structlog

from sesameknot.coordination._claim_custody import Custody
from sesameknot.coordination._claim_placement import intersecting_count
from sesameknot.errors import RouterError
from sesameknot.protocol.messages import (
    ClaimEntry,
    ClaimSync,
    ClaimSyncReply,
    ObjectRecord,
)
from sesameknot.protocol.objects import ROSTER_KEY
from sesameknot.protocol.roster import Roster, RosterMember
from sesameknot.state.claim_table import ClaimTable, bucket_of

SYNC_TIMEOUT_S = 1.0

Reply = TypeVar("Reply")

log = structlog.get_logger(__name__)


class PeerCaller(Protocol):
    """What :class:`sesameknot.transport.peer_client.PeerClient` offers."""

    async def call(
        self, address: str, body: object, *, expect: type[Reply], timeout_s: float
    ) -> Reply:
        """Send ``body`` and return the answer."""


@dataclass(slots=True)
class BucketCopies:
    """What previous owners answered about one bucket.

    Parameters
    ----------
    entries : list of ClaimEntry
        Registers of all owners that answered.
    holders : list of str
        Hosts that hold the bucket and sent all of it.
    lost : bool
        Whether an owner has lost custody.
    """

    entries: list[ClaimEntry] = field(default_factory=list)
    holders: list[str] = field(default_factory=list)
    lost: bool = False


def roster_record(roster: Roster) -> ObjectRecord:
    """Return the platform object that holds ``roster``."""
    value = json.dumps(roster.to_value()).encode()
    return ObjectRecord(key=ROSTER_KEY, version=roster.version, value=value)


class BucketCopier:
    """Ask the previous owners for buckets and take the copies over.

    Parameters
    ----------
    custody : Custody
        Buckets that are held and pending.
    table : ClaimTable
        Where copies go.
    peers : PeerCaller
        Client for calls to other routers.
    learn : callable
        Takes a roster that this host has missed.
    """

    __slots__ = ("custody", "learn", "peers", "table")

    def __init__(
        self,
        *,
        custody: Custody,
        table: ClaimTable,
        peers: PeerCaller,
        learn: Callable[[ObjectRecord], None],
    ) -> None:
        self.custody = custody
        self.table = table
        self.peers = peers
        self.learn = learn

    async def copy(self, version: int, buckets: Sequence[int]) -> set[int]:
        """Copy buckets that became this host's at ``version``.

        Returns
        -------
        set of int
            Buckets of which a previous owner says that their custody is lost.
        """
        if not self.custody.knows(version):
            return set()
        roster = self.custody.roster(version)
        copies = {bucket: BucketCopies() for bucket in buckets}
        by_peer = self._by_peer(roster, buckets)
        pages = await asyncio.gather(
            *(self._ask(peer, roster, wanted) for peer, wanted in by_peer.items())
        )
        for peer, wanted, reply in zip(by_peer, by_peer.values(), pages, strict=True):
            if reply is not None:
                _collect(copies, peer.host_id, wanted, reply)
        # Later rosters may have displaced this one while the answers were awaited.
        if not self.custody.knows(version):
            return set()
        for bucket, found in copies.items():
            self._take(roster, bucket, found)
        return {bucket for bucket, found in copies.items() if found.lost}

    def _by_peer(
        self, roster: Roster, buckets: Sequence[int]
    ) -> dict[RosterMember, list[int]]:
        placement = self.custody.placement(roster.previous_version)
        by_peer: dict[RosterMember, list[int]] = {}
        for bucket in buckets:
            for owner in placement.owners_of(bucket):
                if owner.host_id != self.custody.host_id:
                    by_peer.setdefault(owner, []).append(bucket)
        return by_peer

    def _take(self, roster: Roster, bucket: int, found: BucketCopies) -> None:
        if self.custody.held(bucket, roster.version):
            return
        previous = roster.previous_version
        count = len(self.custody.placement(previous).owners_of(bucket))
        held_here = self.custody.owns(bucket, previous) and self.custody.held(
            bucket, previous
        )
        if count and len(found.holders) + held_here >= intersecting_count(count):
            if not held_here:
                # Unsettled registers of an owner that lacked copies are outdated.
                self.table.forget_unsettled(bucket)
            self._merge(found.entries)
            self.custody.mark_held(bucket, roster.version)
        else:
            self._merge(found.entries)

    def _merge(self, entries: Sequence[ClaimEntry]) -> None:
        for entry in entries:
            self.table.merge(entry)

    async def _ask(
        self, peer: RosterMember, roster: Roster, buckets: list[int]
    ) -> ClaimSyncReply | None:
        """Return all pages of one owner, None if it failed to send them."""
        query = ClaimSync(
            host_id=self.custody.host_id,
            roster_version=roster.version,
            buckets=list(buckets),
            # Without the roster between two that it knows, a host cannot tell that
            # it owned a bucket all the time.
            want_previous=not self.custody.knows(roster.previous_version),
        )
        whole = ClaimSyncReply(ready=True)
        try:
            while True:
                page = await self._page(peer, roster, query)
                if not page.ready:
                    return None
                _append(whole, page)
                if page.previous.value:
                    self.learn(page.previous)
                    query.want_previous = False
                if not page.more:
                    return whole
                last = page.entries[-1]
                first = query.buckets.index(bucket_of(last.table, last.key))
                query.buckets = query.buckets[first:]
                query.after = f"{last.table}/{last.key}"
        except RouterError as error:
            log.debug("claim_sync_failed", peer=peer.host_id, reason=str(error))
            return None

    async def _page(
        self, peer: RosterMember, roster: Roster, query: ClaimSync
    ) -> ClaimSyncReply:
        page = await self._call(peer, query)
        if not page.ready and page.roster_version < roster.version:
            query.roster = roster_record(roster)
            page = await self._call(peer, query)
            query.roster = ObjectRecord()
        return page

    async def _call(self, peer: RosterMember, query: ClaimSync) -> ClaimSyncReply:
        return await self.peers.call(
            peer.address, query, expect=ClaimSyncReply, timeout_s=SYNC_TIMEOUT_S
        )


def _append(whole: ClaimSyncReply, page: ClaimSyncReply) -> None:
    whole.entries.extend(page.entries)
    whole.missing_buckets.extend(page.missing_buckets)
    whole.lost_buckets.extend(page.lost_buckets)


def _collect(
    copies: dict[int, BucketCopies],
    host_id: str,
    wanted: Sequence[int],
    reply: ClaimSyncReply,
) -> None:
    missing = set(reply.missing_buckets)
    for bucket in wanted:
        if bucket not in missing:
            copies[bucket].holders.append(host_id)
    for bucket in reply.lost_buckets:
        if bucket in copies:
            copies[bucket].lost = True
    for entry in reply.entries:
        bucket = bucket_of(entry.table, entry.key)
        if bucket in copies:
            copies[bucket].entries.append(entry)
