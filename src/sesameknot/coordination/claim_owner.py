"""Owner side of the claim registers.

A claim is accepted only under the roster version that the owner knows, and only for a
bucket whose claims were copied from its previous owners. Both are checked and the claim
is stored without yielding to other tasks, so no claim is accepted after the owner has
told a successor what it holds.
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
from sesameknot.coordination._claim_custody import Custody
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
    ClaimAnswer,
    ClaimState,
    ClaimTable,
    bucket_of,
)
from sesameknot.transport.peer_server import PeerServer

# Bytes of keys and values in one page; a frame carries 1.5 MB.
PAGE_LIMIT_BYTES = 1_000_000
ENTRY_OVERHEAD_BYTES = 100
COPY_RETRY_S = 0.1
COPY_RETRY_LIMIT_S = 5.0
# A claim made before custody was lost is settled, and so kept, for one request longer.
RESUME_MARGIN_S = 60.0
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
        Takes the roster object of a peer; :attr:`roster` returns it afterwards if it
        is newer.
    peers : PeerCaller
        Client for calls to other routers.
    retention_s : float, default=600.0
        Time for which registers are kept after their last change.
    lost_after_s : float, default=5.0
        Time without copies of a bucket after which its custody counts as lost. It is
        above the time in which membership finds a dead host (4.5 s).

    Notes
    -----
    While custody of a bucket is lost, registers that are not found are answered
    ``lost``. After the retention period and a margin the bucket is served again,
    because claims made before the loss have expired.
    """

    __slots__ = (
        "_copier",
        "_custody",
        "_lost",
        "_task",
        "_wake",
        "adopt_roster",
        "clock",
        "host_id",
        "incarnation",
        "lost_after_s",
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
        lost_after_s: float = 5.0,
    ) -> None:
        self.host_id = host_id
        self.incarnation = incarnation
        self.clock = clock
        self.roster = roster
        self.adopt_roster = adopt_roster
        self.peers = peers
        self.retention_s = retention_s
        self.lost_after_s = lost_after_s
        self.table = ClaimTable(clock=clock, retention_s=retention_s)
        self._custody = Custody(host_id, incarnation)
        self._copier = BucketCopier(
            custody=self._custody,
            table=self.table,
            peers=peers,
            learn=self._learn_from,
        )
        self._lost: set[int] = set()
        self._wake = asyncio.Event()
        self._task: asyncio.Task[None] | None = None

    def register(self, server: PeerServer) -> None:
        """Handle the claim messages of ``server``."""
        server.handle(ClaimWrite)(self.write)
        server.handle(ClaimRead)(self.read)
        server.handle(ClaimSettle)(self.settle)
        server.handle(ClaimSync)(self.sync)

    def start(self) -> None:
        """Start copying claims after roster changes."""
        self.observe()
        self._task = asyncio.create_task(self._run())

    def close(self) -> None:
        """Stop copying claims."""
        if self._task is not None:
            self._task.cancel()

    def roster_changed(self) -> None:
        """Look at the roster now; every message does so too."""
        self.observe()

    def observe(self) -> tuple[int, BucketPlacement]:
        """Return the version and the placement of the newest roster."""
        roster = self.roster()
        if roster.version and not self._custody.knows(roster.version):
            self._custody.learn(roster, self.clock.monotonic_s())
            self._wake.set()
        return roster.version, self._custody.placement(roster.version)

    async def answer(self, message: ClaimWrite | ClaimRead | ClaimSettle) -> ClaimReply:
        """Answer a message of this host."""
        if isinstance(message, ClaimWrite):
            return await self.write(message)
        if isinstance(message, ClaimRead):
            return await self.read(message)
        return await self.settle(message)

    async def write(self, message: ClaimWrite) -> ClaimReply:
        """Accept a claim unless the register is taken."""
        version, status = self._admit(message.table, message.key, message)
        if status:
            return self._found_or(status, message, version)
        answer = self.table.claim(
            message.table, message.key, message.claimant, message.value
        )
        return _reply(answer, version)

    async def read(self, message: ClaimRead) -> ClaimReply:
        """Return a register."""
        version, status = self._admit(message.table, message.key, message)
        if status:
            return self._found_or(status, message, version)
        return _reply(self.table.read(message.table, message.key), version)

    async def settle(self, message: ClaimSettle) -> ClaimReply:
        """Change the state of a claim.

        Settlements are not fenced: each state is final knowledge of the claimant about
        its own attempt, which holds under every roster.
        """
        version, _ = self.observe()
        answer = self.table.settle(
            message.table,
            message.key,
            message.claimant,
            ClaimState(message.state),
            message.value,
        )
        return _reply(answer, version)

    async def sync(self, message: ClaimSync) -> ClaimSyncReply:
        """Learn a successor's roster and return the claims that it now owns."""
        self._learn_from(message.roster)
        version, _ = self.observe()
        if version < message.roster_version or not self._custody.knows(
            message.roster_version
        ):
            # The requester sends the roster if it sees a version below its own.
            lacking = min(version, message.roster_version - 1)
            return ClaimSyncReply(roster_version=lacking)
        roster = self._custody.roster(message.roster_version)
        if not self._custody.is_member(roster.previous):
            return ClaimSyncReply(roster_version=version)
        reply = self._page(message, roster.previous_version, version)
        if message.want_previous and self._custody.knows(roster.previous_version):
            previous = self._custody.roster(roster.previous_version)
            reply.previous = roster_record(previous)
        return reply

    def _learn_from(self, record: ObjectRecord) -> None:
        if not record.value or self._custody.knows(record.version):
            return
        roster = _parsed(record)
        if record.version > self.roster().version:
            self.adopt_roster(record)
            self.observe()
        else:
            self._custody.learn(roster, self.clock.monotonic_s())
            self._wake.set()

    def _page(
        self, message: ClaimSync, previous_version: int, version: int
    ) -> ClaimSyncReply:
        reply = ClaimSyncReply(ready=True, roster_version=version)
        size_bytes = 0
        for position, bucket in enumerate(message.buckets):
            if not self._custody.held(bucket, previous_version):
                reply.missing_buckets.append(bucket)
                if bucket in self._lost:
                    reply.lost_buckets.append(bucket)
                continue
            after = message.after if position == 0 else ""
            for entry in self._entries(bucket, after):
                size_bytes += _size(entry)
                if size_bytes > PAGE_LIMIT_BYTES and reply.entries:
                    reply.more = True
                    return reply
                reply.entries.append(entry)
        return reply

    def _entries(self, bucket: int, after: str) -> Sequence[ClaimEntry]:
        entries = self.table.entries(bucket)
        names = [f"{entry.table}/{entry.key}" for entry in entries]
        if after in names:
            return entries[names.index(after) + 1 :]
        return entries

    def _admit(
        self, table: str, key: str, message: ClaimWrite | ClaimRead
    ) -> tuple[int, str]:
        """Return the roster version and why the register is not served, if so."""
        version, _ = self.observe()
        if message.roster_version < version:
            return version, "fenced"
        if message.roster_version > version:
            return version, "inactive"
        bucket = bucket_of(table, key)
        if not version or not self._custody.owns(bucket, version):
            return version, "refused"
        if self._custody.held(bucket, version):
            return version, ""
        return version, "lost" if bucket in self._lost else "inactive"

    def _found_or(
        self, status: str, message: ClaimWrite | ClaimRead, version: int
    ) -> ClaimReply:
        """Answer why a register is not served, or what is known of a lost one."""
        if status == "lost":
            answer = self.table.read(message.table, message.key)
            if answer.status == "exists":
                return _reply(answer, version)
        return ClaimReply(status=status, roster_version=version)

    async def _run(self) -> None:
        retry_s = COPY_RETRY_S
        while True:
            self._wake.clear()
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
                    await self._wake.wait()
                retry_s = COPY_RETRY_S
            except TimeoutError:
                self.observe()

    async def _copy_pending(self) -> bool:
        by_version: dict[int, list[int]] = {}
        for version, bucket, _ in self._custody.pending():
            by_version.setdefault(version, []).append(bucket)
        for version, buckets in by_version.items():
            self._lost.update(await self._copier.copy(version, buckets))
        self._review_losses()
        return bool(self._custody.pending())

    def _review_losses(self) -> None:
        now_s = self.clock.monotonic_s()
        pending = self._custody.pending()
        missing = {bucket for _, bucket, _ in pending}
        self._lost &= missing
        for version, bucket, since_s in pending:
            if now_s - since_s >= self.retention_s + RESUME_MARGIN_S:
                log.warning("claim_custody_resumed", bucket=bucket, version=version)
                self._custody.mark_held(bucket, version)
                self._lost.discard(bucket)
            elif now_s - since_s >= self.lost_after_s and bucket not in self._lost:
                log.warning("claim_custody_lost", bucket=bucket, version=version)
                self._lost.add(bucket)


def _parsed(record: ObjectRecord) -> Roster:
    try:
        return roster_from_value(json.loads(record.value), record.version)
    except ValueError as error:
        raise RouterError(
            f"roster at version {record.version} is not JSON: {error}", step="sync"
        ) from error


def _reply(answer: ClaimAnswer, version: int) -> ClaimReply:
    claim = answer.claim
    if claim is None:
        return ClaimReply(status=answer.status, roster_version=version)
    return ClaimReply(
        status=answer.status,
        state=claim.state.value,
        claimant=claim.claimant,
        value=claim.value,
        roster_version=version,
    )


def _size(entry: ClaimEntry) -> int:
    return (
        ENTRY_OVERHEAD_BYTES
        + len(entry.table)
        + len(entry.key)
        + len(entry.claimant)
        + len(entry.value)
    )
