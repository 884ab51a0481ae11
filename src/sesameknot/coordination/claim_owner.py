"""Owner side of the claim registers.

An owner accepts a claim only under the roster version that it knows, and only for a
bucket whose claims it has copied from the previous owners. It checks both and stores
the claim without yielding to other tasks, so it accepts no claim after it has sent its
registers to a successor.
"""

import asyncio
import json
from collections.abc import Callable, Sequence

import structlog

from sesameknot.clock import Clock
from sesameknot.coordination._claim_copying import (
    BucketCopier,
    PeerCaller,
    roster_record,
)
from sesameknot.coordination._claim_custody import BucketCustody
from sesameknot.coordination._claim_placement import BucketPlacement
from sesameknot.errors import RouterError
from sesameknot.protocol.messages import (
    ClaimEntry,
    ClaimRead,
    ClaimReply,
    ClaimSettle,
    ClaimSync,
    ClaimSyncReply,
    ClaimWrite,
    ObjectRecord,
)
from sesameknot.protocol.roster import Roster, roster_from_value
from sesameknot.state.claim_table import (
    ClaimResult,
    ClaimState,
    ClaimTable,
    bucket_of,
)
from sesameknot.transport.peer_server import PeerServer

# Size of the entries in one page; a frame carries at most 1.5 MB.
SYNC_PAGE_LIMIT_BYTES = 1_000_000
ENTRY_OVERHEAD_BYTES = 100
COPY_RETRY_S = 0.1
COPY_RETRY_LIMIT_S = 5.0
# A claim made before custody was lost can be settled up to the length of one request
# later, and its retention counts from then.
CUSTODY_RESUME_MARGIN_S = 60.0
EXPIRE_INTERVAL_S = 5.0

log = structlog.get_logger(__name__)


class ClaimOwner:
    """Serve the claim registers that this host owns.

    Parameters
    ----------
    host_id : str
        This host.
    incarnation : int
        Incarnation of this process, as the roster names it.
    clock : Clock
        Source of monotonic time.
    roster : callable
        Returns the newest roster that this host knows.
    adopt_roster : callable
        Takes the roster object of a peer; if it is newer, ``roster`` returns it from
        then on.
    peers : PeerCaller
        Client for calls to other routers.
    retention_s : float, default=600.0
        Time for which registers are kept after their last change.
    custody_lost_after_s : float, default=5.0
        Time for which copies of a bucket may be pending before its custody counts as
        lost. It exceeds the time in which membership detects a dead host (4.5 s).

    Notes
    -----
    While custody of a bucket is lost, the reply for a register that is not found has
    the status ``lost``. After the retention period and a margin the bucket is served
    again, because by then all claims made before the loss have expired.
    """

    __slots__ = (
        "_copier",
        "_copy_due",
        "_custody",
        "_lost_buckets",
        "_run_task",
        "adopt_roster",
        "clock",
        "custody_lost_after_s",
        "host_id",
        "incarnation",
        "peers",
        "retention_s",
        "roster",
        "table",
    )

    def __init__(
        self,
        host_id: str,
        incarnation: int,
        *,
        clock: Clock,
        roster: Callable[[], Roster],
        adopt_roster: Callable[[ObjectRecord], object],
        peers: PeerCaller,
        retention_s: float = 600.0,
        custody_lost_after_s: float = 5.0,
    ) -> None:
        self.host_id = host_id
        self.incarnation = incarnation
        self.clock = clock
        self.roster = roster
        self.adopt_roster = adopt_roster
        self.peers = peers
        self.retention_s = retention_s
        self.custody_lost_after_s = custody_lost_after_s
        self.table = ClaimTable(clock=clock, retention_s=retention_s)
        self._custody = BucketCustody(host_id, incarnation)
        self._copier = BucketCopier(
            custody=self._custody,
            table=self.table,
            peers=peers,
            learn_roster=self._learn_roster,
        )
        self._lost_buckets: set[int] = set()
        self._copy_due = asyncio.Event()
        self._run_task: asyncio.Task[None] | None = None

    def register(self, server: PeerServer) -> None:
        """Register the handlers of the claim messages at ``server``."""
        server.handle(ClaimWrite)(self.write)
        server.handle(ClaimRead)(self.read)
        server.handle(ClaimSettle)(self.settle)
        server.handle(ClaimSync)(self.sync)

    def start(self) -> None:
        """Start copying claims after roster changes."""
        self.refresh_roster()
        self._run_task = asyncio.create_task(self._run())

    def close(self) -> None:
        """Stop copying claims."""
        if self._run_task is not None:
            self._run_task.cancel()

    def roster_changed(self) -> None:
        """Read the newest roster now instead of at the next message."""
        self.refresh_roster()

    def refresh_roster(self) -> tuple[int, BucketPlacement]:
        """Read the newest roster and return its version and placement."""
        roster = self.roster()
        if roster.version and not self._custody.has_roster(roster.version):
            self._custody.add_roster(roster, self.clock.monotonic_s())
            self._copy_due.set()
        return roster.version, self._custody.placement(roster.version)

    async def answer_local(
        self, message: ClaimWrite | ClaimRead | ClaimSettle
    ) -> ClaimReply:
        """Reply to a message from this host."""
        if isinstance(message, ClaimWrite):
            return await self.write(message)
        if isinstance(message, ClaimRead):
            return await self.read(message)
        return await self.settle(message)

    async def write(self, message: ClaimWrite) -> ClaimReply:
        """Accept a claim unless the register is taken."""
        version, status = self._serving_status(message.table, message.key, message)
        if status:
            return self._unserved_reply(status, message, version)
        result = self.table.claim(
            message.table, message.key, message.claimant, message.value
        )
        return _reply(result, version)

    async def read(self, message: ClaimRead) -> ClaimReply:
        """Return a register."""
        version, status = self._serving_status(message.table, message.key, message)
        if status:
            return self._unserved_reply(status, message, version)
        return _reply(self.table.read(message.table, message.key), version)

    async def settle(self, message: ClaimSettle) -> ClaimReply:
        """Change the state of a claim.

        Settlements are not fenced: the state is the claimant's final statement about
        its own attempt, which holds under every roster.
        """
        version, _ = self.refresh_roster()
        result = self.table.settle(
            message.table,
            message.key,
            message.claimant,
            ClaimState(message.state),
            message.value,
        )
        return _reply(result, version)

    async def sync(self, message: ClaimSync) -> ClaimSyncReply:
        """Learn the roster of a new owner and return the claims that it now owns."""
        self._learn_roster(message.roster)
        version, _ = self.refresh_roster()
        if version < message.roster_version or not self._custody.has_roster(
            message.roster_version
        ):
            # The requester sends its roster if the reply has a lower version.
            known_version = min(version, message.roster_version - 1)
            return ClaimSyncReply(roster_version=known_version)
        roster = self._custody.roster(message.roster_version)
        if not self._custody.is_member(roster.previous):
            return ClaimSyncReply(roster_version=version)
        reply = self._sync_page(message, roster.previous_version, version)
        if message.want_previous and self._custody.has_roster(roster.previous_version):
            previous = self._custody.roster(roster.previous_version)
            reply.previous = roster_record(previous)
        return reply

    def _learn_roster(self, record: ObjectRecord) -> None:
        if not record.value or self._custody.has_roster(record.version):
            return
        roster = _parse_roster(record)
        if record.version > self.roster().version:
            self.adopt_roster(record)
            self.refresh_roster()
        else:
            self._custody.add_roster(roster, self.clock.monotonic_s())
            self._copy_due.set()

    def _sync_page(
        self, message: ClaimSync, previous_version: int, version: int
    ) -> ClaimSyncReply:
        reply = ClaimSyncReply(ready=True, roster_version=version)
        size_bytes = 0
        for position, bucket in enumerate(message.buckets):
            if not self._custody.holds(bucket, previous_version):
                reply.missing_buckets.append(bucket)
                if bucket in self._lost_buckets:
                    reply.lost_buckets.append(bucket)
                continue
            after = message.after if position == 0 else ""
            for entry in self._entries_after(bucket, after):
                size_bytes += _entry_size_bytes(entry)
                if size_bytes > SYNC_PAGE_LIMIT_BYTES and reply.entries:
                    reply.more = True
                    return reply
                reply.entries.append(entry)
        return reply

    def _entries_after(self, bucket: int, after: str) -> Sequence[ClaimEntry]:
        entries = self.table.entries(bucket)
        names = [f"{entry.table}/{entry.key}" for entry in entries]
        if after in names:
            return entries[names.index(after) + 1 :]
        return entries

    def _serving_status(
        self, table: str, key: str, message: ClaimWrite | ClaimRead
    ) -> tuple[int, str]:
        """Return the roster version, and why the register is not served or ``""``."""
        version, _ = self.refresh_roster()
        if message.roster_version < version:
            return version, "fenced"
        if message.roster_version > version:
            return version, "inactive"
        bucket = bucket_of(table, key)
        if not version or not self._custody.owns(bucket, version):
            return version, "refused"
        if self._custody.holds(bucket, version):
            return version, ""
        return version, "lost" if bucket in self._lost_buckets else "inactive"

    def _unserved_reply(
        self, status: str, message: ClaimWrite | ClaimRead, version: int
    ) -> ClaimReply:
        """Return the status as a reply, or a register found despite lost custody."""
        if status == "lost":
            result = self.table.read(message.table, message.key)
            if result.status == "exists":
                return _reply(result, version)
        return ClaimReply(status=status, roster_version=version)

    async def _run(self) -> None:
        retry_s = COPY_RETRY_S
        while True:
            self._copy_due.clear()
            try:
                pending = await self._copy_pending()
            except Exception:
                log.exception("claim_copy_failed")
                pending = True
            self.table.expire()
            wait_s = retry_s if pending else EXPIRE_INTERVAL_S
            retry_s = min(COPY_RETRY_LIMIT_S, retry_s * 2) if pending else COPY_RETRY_S
            try:
                async with asyncio.timeout(wait_s):
                    await self._copy_due.wait()
                retry_s = COPY_RETRY_S
            except TimeoutError:
                self.refresh_roster()

    async def _copy_pending(self) -> bool:
        buckets_by_version: dict[int, list[int]] = {}
        for version, bucket, _ in self._custody.pending_buckets():
            buckets_by_version.setdefault(version, []).append(bucket)
        for version, buckets in buckets_by_version.items():
            self._lost_buckets.update(await self._copier.copy(version, buckets))
        self._update_lost_buckets()
        return bool(self._custody.pending_buckets())

    def _update_lost_buckets(self) -> None:
        now_s = self.clock.monotonic_s()
        pending = self._custody.pending_buckets()
        pending_buckets = {bucket for _, bucket, _ in pending}
        self._lost_buckets &= pending_buckets
        for version, bucket, pending_since_s in pending:
            if now_s - pending_since_s >= self.retention_s + CUSTODY_RESUME_MARGIN_S:
                log.warning("claim_custody_resumed", bucket=bucket, version=version)
                self._custody.mark_held(bucket, version)
                self._lost_buckets.discard(bucket)
            elif (
                now_s - pending_since_s >= self.custody_lost_after_s
                and bucket not in self._lost_buckets
            ):
                log.warning("claim_custody_lost", bucket=bucket, version=version)
                self._lost_buckets.add(bucket)


def _parse_roster(record: ObjectRecord) -> Roster:
    try:
        return roster_from_value(json.loads(record.value), record.version)
    except ValueError as error:
        raise RouterError(
            f"roster at version {record.version} is not JSON: {error}", step="sync"
        ) from error


def _reply(result: ClaimResult, version: int) -> ClaimReply:
    claim = result.claim
    if claim is None:
        return ClaimReply(status=result.status, roster_version=version)
    return ClaimReply(
        status=result.status,
        state=claim.state.value,
        claimant=claim.claimant,
        value=claim.value,
        roster_version=version,
    )


def _entry_size_bytes(entry: ClaimEntry) -> int:
    return (
        ENTRY_OVERHEAD_BYTES
        + len(entry.table)
        + len(entry.key)
        + len(entry.claimant)
        + len(entry.value)
    )
