"""Batched writing of bills to the platform, with replicas until they are written."""

import asyncio
import uuid
from collections.abc import Awaitable, Callable, Coroutine, Sequence
from typing import Any, Literal, Protocol

import structlog
import xxhash

from sesameknot.clock import Clock
from sesameknot.coordination._claim_copying import PeerCaller
from sesameknot.coordination.ownership import ranked_members
from sesameknot.errors import ConflictError, PlatformError, RouterError
from sesameknot.protocol.messages import (
    BillConfirm,
    BillRecord,
    BillReplicate,
    Done,
)
from sesameknot.protocol.objects import StoredObject
from sesameknot.protocol.roster import RosterMember
from sesameknot.state.bill_buffer import (
    BatchHolder,
    BatchReplica,
    BillBatch,
    BillBuffer,
    bills_from_value,
    bills_to_value,
    merge_bills,
)
from sesameknot.transport.peer_server import PeerServer

# Limit of batch writes per second for all hosts together.
FLEET_WRITES_PER_S = 50.0
REPLICA_TIMEOUT_S = 0.5
REPLICA_TRY_COUNT = 3
# A host whose call failed is tried last for this time, within which membership detects
# a dead host (4.5 s).
REPLICA_AVOID_S = 5.0
# A host without replicas writes the bill before it ends the answer; answers within this
# interval share one write.
DIRECT_WRITE_INTERVAL_S = 0.05
CONFLICT_TRY_COUNT = 5
# A copy this old may have missed its confirmation; it is dropped if the platform stores
# its bills.
ORPHANED_COPY_AGE_S = 600.0

BillPlace = Literal["replicated", "written", "memory"]

log = structlog.get_logger(__name__)


class BatchStore(Protocol):
    """Methods of the platform client that the writer uses."""

    def get(self, key: str) -> Awaitable[StoredObject | None]:
        """Return an object or None."""

    def put(
        self, key: str, value: Any, *, expected_version: int, write_id: str
    ) -> Awaitable[StoredObject]:
        """Write an object conditionally."""


class BillWriter:
    """Record bills on two hosts and write them to the platform in batches.

    Parameters
    ----------
    host_id : str
        This host.
    incarnation : int
        Incarnation of this process.
    domain : str
        Failure domain of this host; replicas are placed in other ones.
    clock : Clock
        Source of monotonic time.
    platform : BatchStore
        Client of the object API.
    peers : PeerCaller
        Client for calls to other routers.
    replica_candidates : callable
        Returns the live routers that can hold replicas.
    is_dead : callable
        Returns whether an incarnation of a host is dead, has left or was replaced.
    host_count : callable
        Returns the number of live hosts.
    flush_s : float, default=1.0
        Minimum time after which the open batch is written.
    """

    __slots__ = (
        "_avoided_until_s",
        "_direct_lock",
        "_direct_write_s",
        "_draining",
        "_run_task",
        "_tasks",
        "_write_failed_s",
        "_write_lock",
        "buffer",
        "clock",
        "domain",
        "flush_s",
        "host_count",
        "is_dead",
        "peers",
        "platform",
        "replica_candidates",
    )

    def __init__(
        self,
        host_id: str,
        incarnation: int,
        *,
        domain: str,
        clock: Clock,
        platform: BatchStore,
        peers: PeerCaller,
        replica_candidates: Callable[[], Sequence[RosterMember]],
        is_dead: Callable[[str, int], bool],
        host_count: Callable[[], int],
        flush_s: float = 1.0,
    ) -> None:
        self.domain = domain
        self.clock = clock
        self.platform = platform
        self.peers = peers
        self.replica_candidates = replica_candidates
        self.is_dead = is_dead
        self.host_count = host_count
        self.flush_s = flush_s
        self.buffer = BillBuffer(BatchHolder(host_id, incarnation), clock=clock)
        self._avoided_until_s: dict[BatchHolder, float] = {}
        self._draining = False
        self._direct_write_s = float("-inf")
        self._write_failed_s = float("-inf")
        self._direct_lock = asyncio.Lock()
        self._write_lock = asyncio.Lock()
        self._run_task: asyncio.Task[None] | None = None
        self._tasks: set[asyncio.Task[Any]] = set()

    def register(self, server: PeerServer) -> None:
        """Register the handlers of the bill messages at ``server``."""
        server.handle(BillReplicate)(self.replicate)
        server.handle(BillConfirm)(self.confirm)

    def start(self) -> None:
        """Start writing batches."""
        self._run_task = asyncio.create_task(self._run())

    async def close(self) -> None:
        """Stop writing; replicas keep the bills that are not written."""
        tasks = (
            [*self._tasks] if self._run_task is None else [self._run_task, *self._tasks]
        )
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    @property
    def write_spacing_s(self) -> float:
        """Time between writes of two waiting batches that keeps the fleet's limit."""
        return max(1, self.host_count()) / FLEET_WRITES_PER_S

    @property
    def flush_interval_s(self) -> float:
        """Time after which the open batch is written."""
        return max(self.flush_s, self.write_spacing_s)

    async def record(self, bill: BillRecord) -> BillPlace:
        """Add a bill and return where a second copy of it is stored.

        Returns
        -------
        {"replicated", "written", "memory"}
            ``replicated``: a host in another failure domain holds it. ``written``: no
            such host could be reached and the platform stores it. ``memory``: neither
            could be reached; the bill is lost if this host dies before one of them can.
        """
        batch = self.buffer.add(bill)
        if await self._replicate(batch, [bill]):
            return "replicated"
        if await self._write_through(batch):
            return "written"
        log.warning("bill_in_memory_only", bill=bill.bill_id)
        return "memory"

    async def replicate(self, message: BillReplicate) -> Done:
        """Store copies of another process's bills."""
        if self._draining:
            raise RouterError("host is leaving", step="replicate")
        holder = BatchHolder(message.holder, message.holder_incarnation)
        self.buffer.add_copy(holder, message.batch_id, message.bills)
        return Done()

    async def confirm(self, message: BillConfirm) -> Done:
        """Drop the copies of a batch that its holder has written."""
        holder = BatchHolder(message.holder, message.holder_incarnation)
        self.buffer.confirm(holder, message.batch_id)
        return Done()

    async def drain(self, timeout_s: float) -> int:
        """Write all batches before shutdown and return how many bills remain unwritten.

        The replicas of the remaining bills write them once membership reports that
        this host has left.
        """
        self._draining = True
        deadline_s = self.clock.monotonic_s() + timeout_s
        while self.buffer.unwritten_batches():
            self.buffer.seal()
            await self._write_sealed()
            if (
                not self.buffer.unwritten_batches()
                or self.clock.monotonic_s() >= deadline_s
            ):
                break
            await self._restore_replicas()
            await asyncio.sleep(min(self.flush_s, self.write_spacing_s))
        return sum(len(batch.bills) for batch in self.buffer.unwritten_batches())

    async def _run(self) -> None:
        # The offset spreads the writes of hosts that start at the same time.
        await asyncio.sleep(self.flush_interval_s * self._start_phase_share())
        while True:
            try:
                await self.tick()
            except RouterError as error:
                log.warning("bill_tick_failed", reason=str(error))
            except Exception:
                log.exception("bill_tick_failed")
            await asyncio.sleep(self.flush_interval_s)

    def _start_phase_share(self) -> float:
        holder = self.buffer.holder
        name = f"{holder.host_id}.{holder.incarnation}".encode()
        return xxhash.xxh3_64_intdigest(name) / 2**64

    async def tick(self) -> None:
        """Take over batches of dead hosts, write batches and restore replicas."""
        self._take_over()
        had_sealed = bool(self.buffer.sealed_batches())
        if not had_sealed:
            self.buffer.seal()
        await self._write_sealed()
        if had_sealed and not self.buffer.sealed_batches():
            self.buffer.seal()
        await self._restore_replicas()
        await self._check_orphaned_copy()

    def _take_over(self) -> None:
        for copy in self.buffer.copies():
            if self.is_dead(copy.holder.host_id, copy.holder.incarnation):
                log.info("bills_taken_over", batch=copy.batch_id, count=len(copy.bills))
                self.buffer.take_over(copy)

    async def _write_sealed(self) -> None:
        for position, batch in enumerate(self.buffer.sealed_batches()):
            if position:
                await asyncio.sleep(self.write_spacing_s)
            if not await self._write(batch):
                return

    async def _write_through(self, batch: BillBatch) -> bool:
        """Write a batch now; concurrent callers share one write."""
        if self.clock.monotonic_s() < self._write_failed_s + self.flush_s:
            return False
        async with self._direct_lock:
            wait_s = (
                self._direct_write_s
                + DIRECT_WRITE_INTERVAL_S
                - self.clock.monotonic_s()
            )
            if wait_s > 0 and self.buffer.is_unwritten(batch):
                await asyncio.sleep(wait_s)
            if self.buffer.is_open(batch):
                self.buffer.seal()
            self._direct_write_s = self.clock.monotonic_s()
            return await self._write(batch)

    async def _write(self, batch: BillBatch) -> bool:
        """Write a sealed batch and return whether the platform stores it."""
        async with self._write_lock:
            if not self.buffer.is_unwritten(batch):
                return True
            try:
                stored = await self._put_merged(batch)
            except PlatformError as error:
                self._write_failed_s = self.clock.monotonic_s()
                log.warning(
                    "bill_batch_write_failed", batch=batch.batch_id, reason=str(error)
                )
                return False
            except RouterError as error:
                log.error(
                    "bill_batch_rejected", batch=batch.batch_id, reason=str(error)
                )
                self.buffer.postpone(batch)
                return False
            # Copies from a dead host can be added to a batch while it is being written.
            if batch.bills.keys() <= stored.keys():
                self.buffer.mark_written(batch)
                self._confirm_replicas(batch)
        return True

    async def _put_merged(self, batch: BillBatch) -> dict[str, BillRecord]:
        """Merge a batch with the platform object, write it and return its bills."""
        bills, version = dict(batch.bills), 0
        for _ in range(CONFLICT_TRY_COUNT):
            try:
                await self.platform.put(
                    batch.key,
                    bills_to_value(bills.values()),
                    expected_version=version,
                    write_id=uuid.uuid4().hex,
                )
                return bills
            except ConflictError:
                stored = await self.platform.get(batch.key)
            if stored is None or stored.deleted:
                version = 0 if stored is None else stored.version
                continue
            stored_bills = merge_bills(bills_from_value(stored.value, key=batch.key))
            bills = merge_bills([*stored_bills.values(), *batch.bills.values()])
            if bills == stored_bills:
                return bills
            version = stored.version
        raise PlatformError(
            f"write failed after {CONFLICT_TRY_COUNT} version conflicts",
            step="write_batch",
            peer=batch.key,
        )

    def _confirm_replicas(self, batch: BillBatch) -> None:
        for replica in batch.replicas.values():
            self._spawn(self._confirm_replica(replica, batch))

    async def _confirm_replica(self, replica: BatchReplica, batch: BillBatch) -> None:
        message = BillConfirm(
            batch_id=batch.batch_id,
            holder=self.buffer.holder.host_id,
            holder_incarnation=self.buffer.holder.incarnation,
        )
        try:
            await self.peers.call(
                replica.address, message, expect=Done, timeout_s=REPLICA_TIMEOUT_S
            )
        except RouterError as error:
            log.debug("bill_confirm_failed", batch=batch.batch_id, reason=str(error))

    async def _restore_replicas(self) -> None:
        """Replicate the bills that no live replica holds."""
        for batch in self.buffer.unwritten_batches():
            for holder in list(batch.replicas):
                if self.is_dead(holder.host_id, holder.incarnation):
                    del batch.replicas[holder]
            replicated_ids = batch.replicated_bill_ids()
            unreplicated = [
                b for b in batch.bills.values() if b.bill_id not in replicated_ids
            ]
            if unreplicated:
                await self._replicate(batch, unreplicated)

    async def _replicate(self, batch: BillBatch, bills: list[BillRecord]) -> bool:
        message = BillReplicate(
            batch_id=batch.batch_id,
            holder=self.buffer.holder.host_id,
            holder_incarnation=self.buffer.holder.incarnation,
            bills=bills,
        )
        for member in self._replica_order()[:REPLICA_TRY_COUNT]:
            holder = BatchHolder(member.host_id, member.incarnation)
            try:
                await self.peers.call(
                    member.address, message, expect=Done, timeout_s=REPLICA_TIMEOUT_S
                )
            except RouterError as error:
                self._avoided_until_s[holder] = (
                    self.clock.monotonic_s() + REPLICA_AVOID_S
                )
                log.debug("bill_copy_failed", peer=member.host_id, reason=str(error))
                continue
            replica = batch.replicas.setdefault(holder, BatchReplica(member.address))
            replica.bill_ids.update(bill.bill_id for bill in bills)
            return True
        return False

    def _replica_order(self) -> list[RosterMember]:
        now_s = self.clock.monotonic_s()
        self._avoided_until_s = {
            h: end for h, end in self._avoided_until_s.items() if end > now_s
        }
        own = self.buffer.holder
        eligible = [m for m in self.replica_candidates() if m.domain != self.domain]
        ranking = ranked_members("bill", f"{own.host_id}.{own.incarnation}", eligible)
        return sorted(
            ranking,
            key=lambda m: (
                BatchHolder(m.host_id, m.incarnation) in self._avoided_until_s
            ),
        )

    async def _check_orphaned_copy(self) -> None:
        limit_s = self.clock.monotonic_s() - ORPHANED_COPY_AGE_S
        old_copies = [copy for copy in self.buffer.copies() if copy.changed_s < limit_s]
        if not old_copies:
            return
        copy = old_copies[0]
        copy.changed_s = self.clock.monotonic_s()
        stored = await self.platform.get(copy.key)
        if stored is None or stored.deleted:
            return
        stored_bills = merge_bills(bills_from_value(stored.value, key=copy.key))
        if copy.bills.keys() <= stored_bills.keys():
            self.buffer.confirm(copy.holder, copy.batch_id)

    def _spawn(self, coroutine: Coroutine[Any, Any, Any]) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
