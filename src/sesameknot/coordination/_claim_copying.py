"""Transfer of claims from the previous owners of buckets."""

import asyncio
import json
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Protocol, TypeVar

import structlog

from sesameknot.coordination._claim_custody import BucketCustody
from sesameknot.coordination._claim_placement import quorum_intersection_count
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
        """Send ``body`` and return the reply."""


@dataclass(slots=True)
class BucketCopies:
    """Replies of the previous owners about one bucket.

    Parameters
    ----------
    entries : list of ClaimEntry
        Registers of all owners that replied.
    holders : list of str
        Hosts that hold the bucket and sent all its registers.
    custody_lost : bool
        Whether an owner reports that custody of the bucket is lost.
    """

    entries: list[ClaimEntry] = field(default_factory=list)
    holders: list[str] = field(default_factory=list)
    custody_lost: bool = False


def roster_record(roster: Roster) -> ObjectRecord:
    """Return the platform object that holds ``roster``."""
    value = json.dumps(roster.to_value()).encode()
    return ObjectRecord(key=ROSTER_KEY, version=roster.version, value=value)


class BucketCopier:
    """Copy buckets from their previous owners into the claim table.

    Parameters
    ----------
    custody : BucketCustody
        Buckets that are held or pending.
    table : ClaimTable
        Table that the copies are merged into.
    peers : PeerCaller
        Client for calls to other routers.
    learn_roster : callable
        Takes a roster that this host has missed.
    """

    __slots__ = ("custody", "learn_roster", "peers", "table")

    def __init__(
        self,
        *,
        custody: BucketCustody,
        table: ClaimTable,
        peers: PeerCaller,
        learn_roster: Callable[[ObjectRecord], None],
    ) -> None:
        self.custody = custody
        self.table = table
        self.peers = peers
        self.learn_roster = learn_roster

    async def copy(self, version: int, buckets: Sequence[int]) -> set[int]:
        """Copy buckets that this host owns since ``version``.

        Returns
        -------
        set of int
            Buckets whose custody a previous owner reports as lost.
        """
        if not self.custody.has_roster(version):
            return set()
        roster = self.custody.roster(version)
        copies = {bucket: BucketCopies() for bucket in buckets}
        requests = self._buckets_by_owner(roster, buckets)
        replies = await asyncio.gather(
            *(
                self._fetch_all_pages(owner, roster, requested)
                for owner, requested in requests.items()
            )
        )
        for owner, requested, reply in zip(
            requests, requests.values(), replies, strict=True
        ):
            if reply is not None:
                _collect_copies(copies, owner.host_id, requested, reply)
        # Later rosters may have displaced this one while the replies were awaited.
        if not self.custody.has_roster(version):
            return set()
        for bucket, bucket_copies in copies.items():
            self._apply_copies(roster, bucket, bucket_copies)
        return {bucket for bucket, found in copies.items() if found.custody_lost}

    def _buckets_by_owner(
        self, roster: Roster, buckets: Sequence[int]
    ) -> dict[RosterMember, list[int]]:
        placement = self.custody.placement(roster.previous_version)
        by_owner: dict[RosterMember, list[int]] = {}
        for bucket in buckets:
            for owner in placement.owners_of(bucket):
                if owner.host_id != self.custody.host_id:
                    by_owner.setdefault(owner, []).append(bucket)
        return by_owner

    def _apply_copies(self, roster: Roster, bucket: int, copies: BucketCopies) -> None:
        if self.custody.holds(bucket, roster.version):
            return
        previous = roster.previous_version
        owner_count = len(self.custody.placement(previous).owners_of(bucket))
        held_here = self.custody.owns(bucket, previous) and self.custody.holds(
            bucket, previous
        )
        if owner_count and len(copies.holders) + held_here >= quorum_intersection_count(
            owner_count
        ):
            if not held_here:
                # This host lacked copies, so its unsettled registers are outdated.
                self.table.drop_unsettled(bucket)
            self._merge_entries(copies.entries)
            self.custody.mark_held(bucket, roster.version)
        else:
            self._merge_entries(copies.entries)

    def _merge_entries(self, entries: Sequence[ClaimEntry]) -> None:
        for entry in entries:
            self.table.merge(entry)

    async def _fetch_all_pages(
        self, owner: RosterMember, roster: Roster, buckets: list[int]
    ) -> ClaimSyncReply | None:
        """Return all pages of one owner as one reply, None if a call failed."""
        request = ClaimSync(
            host_id=self.custody.host_id,
            roster_version=roster.version,
            buckets=list(buckets),
            # A host that misses the roster between two that it knows cannot tell
            # whether it owned a bucket throughout.
            want_previous=not self.custody.has_roster(roster.previous_version),
        )
        combined = ClaimSyncReply(ready=True)
        try:
            while True:
                page = await self._fetch_page(owner, roster, request)
                if not page.ready:
                    return None
                _append_page(combined, page)
                if page.previous.value:
                    self.learn_roster(page.previous)
                    request.want_previous = False
                if not page.more:
                    return combined
                last = page.entries[-1]
                first = request.buckets.index(bucket_of(last.table, last.key))
                request.buckets = request.buckets[first:]
                request.after = f"{last.table}/{last.key}"
        except RouterError as error:
            log.debug("claim_sync_failed", peer=owner.host_id, reason=str(error))
            return None

    async def _fetch_page(
        self, owner: RosterMember, roster: Roster, request: ClaimSync
    ) -> ClaimSyncReply:
        page = await self._call(owner, request)
        if not page.ready and page.roster_version < roster.version:
            request.roster = roster_record(roster)
            page = await self._call(owner, request)
            request.roster = ObjectRecord()
        return page

    async def _call(self, owner: RosterMember, request: ClaimSync) -> ClaimSyncReply:
        return await self.peers.call(
            owner.address, request, expect=ClaimSyncReply, timeout_s=SYNC_TIMEOUT_S
        )


def _append_page(combined: ClaimSyncReply, page: ClaimSyncReply) -> None:
    combined.entries.extend(page.entries)
    combined.missing_buckets.extend(page.missing_buckets)
    combined.lost_buckets.extend(page.lost_buckets)


def _collect_copies(
    copies: dict[int, BucketCopies],
    host_id: str,
    requested: Sequence[int],
    reply: ClaimSyncReply,
) -> None:
    missing = set(reply.missing_buckets)
    for bucket in requested:
        if bucket not in missing:
            copies[bucket].holders.append(host_id)
    for bucket in reply.lost_buckets:
        if bucket in copies:
            copies[bucket].custody_lost = True
    for entry in reply.entries:
        bucket = bucket_of(entry.table, entry.key)
        if bucket in copies:
            copies[bucket].entries.append(entry)
