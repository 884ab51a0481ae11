"""Writes bills to the platform in batches, with a replica until they are written."""

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

# The fleet writes at most this many batches a second.
FLEET_WRITES_PER_S = 50.0
REPLICA_TIMEOUT_S = 0.5
REPLICA_TRY_COUNT = 3
# Membership finds a dead host in 4.5 s; until then a silent one is tried last.
REPLICA_AVOID_S = 5.0
# A host without replicas writes before each answer; answers within this time share
# one write.
DIRECT_WRITE_INTERVAL_S = 0.05
CONFLICT_TRY_COUNT = 5
# A copy whose confirmation was lost is dropped after a look at the platform.
ORPHAN_AGE_S = 600.0

Place = Literal["replicated", "written", "memory"]

log = structlog.get_logger(__name__)


class BatchStore(Protocol):
    """What the writer needs of the platform client."""

    def get(self, key: str) -> Awaitable[StoredObject | None]:
        """Return an object or None."""

    def put(
        self, key: str, value: Any, *, expected_version: int, write_id: str
    ) -> Awaitable[StoredObject]:
        """Write an object conditionally."""


class BillWriter:
    """Record bills, keep them on two hosts and write them in batches.

    Parameters
    ----------
    host_id : str
        This host.
    incarnation : int
        Incarnation of this process.
    domain : str
        Failure domain of this host; replicas are in other ones.
    clock : Clock
        Source of monotonic time.
    platform : BatchStore
        Client of the object API.
    peers : PeerCaller
        Client for calls to other routers.
    replica_candidates : callable
        Returns the live routers that can hold copies.
    is_dead : callable
        Tells whether a host's incarnation is dead, has left or was replaced.
    host_count : callable
        Returns the number of live hosts.
    flush_s : float, default=1.0
        Shortest time between two batches.
    """

    __slots__ = (
        "_avoided",
        "_direct_lock",
        "_direct_s",
        "_draining",
        "_failed_s",
        "_loop",
        "_tasks",
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
        self._avoided: dict[BatchHolder, float] = {}
        self._draining = False
        self._direct_s = float("-inf")
        self._failed_s = float("-inf")
        self._direct_lock = asyncio.Lock()
        self._write_lock = asyncio.Lock()
        self._loop: asyncio.Task[None] | None = None
        self._tasks: set[asyncio.Task[Any]] = set()

    def register(self, server: PeerServer) -> None:
        """Handle the bill messages of ``server``."""
        server.handle(BillReplicate)(self.replicate)
        server.handle(BillConfirm)(self.confirm)

    def start(self) -> None:
        """Start writing batches."""
        self._loop = asyncio.create_task(self._run())

    async def close(self) -> None:
        """Stop writing; bills that are not written stay with their replicas."""
        tasks = [*self._tasks] if self._loop is None else [self._loop, *self._tasks]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    @property
    def spacing_s(self) -> float:
        """Time between two batches that wait, so that the fleet keeps its limit."""
        return max(1, self.host_count()) / FLEET_WRITES_PER_S

    @property
    def interval_s(self) -> float:
        """Time after which the open batch is written."""
        return max(self.flush_s, self.spacing_s)

    async def record(self, bill: BillRecord) -> Place:
        """Add a bill and return where a second copy of it is.

        Returns
        -------
        {"replicated", "written", "memory"}
            ``replicated``: a host in another domain holds it. ``written``: no such
            host could be reached and the platform holds it. ``memory``: neither could
            be reached; the bill is lost if this host dies before a link returns.
        """
        batch = self.buffer.add(bill)
        if await self._copy(batch, [bill]):
            return "replicated"
        if await self._write_through(batch):
            return "written"
        log.warning("bill_in_memory_only", bill=bill.bill_id)
        return "memory"

    async def replicate(self, message: BillReplicate) -> Done:
        """Keep copies of another process's bills."""
        if self._draining:
            raise RouterError("host is leaving", step="replicate")
        holder = BatchHolder(message.holder, message.holder_incarnation)
        self.buffer.keep_copy(holder, message.batch_id, message.bills)
        return Done()

    async def confirm(self, message: BillConfirm) -> Done:
        """Drop the copies of a batch that its holder has written."""
        holder = BatchHolder(message.holder, message.holder_incarnation)
        self.buffer.confirm(holder, message.batch_id)
        return Done()

    async def drain(self, timeout_s: float) -> int:
        """Write all batches before shutdown and return how many bills are left.

        Bills that are left stay with their replicas, which write them once membership
        says that this host has left.
        """
        self._draining = True
        deadline_s = self.clock.monotonic_s() + timeout_s
        while self.buffer.unwritten():
            self.buffer.seal()
            await self._write_sealed()
            if not self.buffer.unwritten() or self.clock.monotonic_s() >= deadline_s:
                break
            await self._secure_copies()
            await asyncio.sleep(min(self.flush_s, self.spacing_s))
        return sum(len(batch.bills) for batch in self.buffer.unwritten())

    async def _run(self) -> None:
        # Hosts that start together would write together.
        await asyncio.sleep(self.interval_s * self._phase())
        while True:
            try:
                await self.tick()
            except RouterError as error:
                log.warning("bill_tick_failed", reason=str(error))
            except Exception:
                log.exception("bill_tick_failed")
            await asyncio.sleep(self.interval_s)

    def _phase(self) -> float:
        holder = self.buffer.holder
        name = f"{holder.host_id}.{holder.incarnation}".encode()
        return xxhash.xxh3_64_intdigest(name) / 2**64

    async def tick(self) -> None:
        """Take over batches of dead hosts, restore copies and write what waits."""
        self._take_over()
        waits = bool(self.buffer.sealed())
        if not waits:
            self.buffer.seal()
        await self._write_sealed()
        if waits and not self.buffer.sealed():
            self.buffer.seal()
        await self._secure_copies()
        await self._review_orphan()

    def _take_over(self) -> None:
        for copy in self.buffer.copies():
            if self.is_dead(copy.holder.host_id, copy.holder.incarnation):
                log.info("bills_taken_over", batch=copy.batch_id, count=len(copy.bills))
                self.buffer.take_over(copy)

    async def _write_sealed(self) -> None:
        for position, batch in enumerate(self.buffer.sealed()):
            if position:
                await asyncio.sleep(self.spacing_s)
            if not await self._write(batch):
                return

    async def _write_through(self, batch: BillBatch) -> bool:
        """Write a batch now; answers that wait for it share one write."""
        if self.clock.monotonic_s() < self._failed_s + self.flush_s:
            return False
        async with self._direct_lock:
            wait_s = self._direct_s + DIRECT_WRITE_INTERVAL_S - self.clock.monotonic_s()
            if wait_s > 0 and self.buffer.is_unwritten(batch):
                await asyncio.sleep(wait_s)
            if self.buffer.is_open(batch):
                self.buffer.seal()
            self._direct_s = self.clock.monotonic_s()
            return await self._write(batch)

    async def _write(self, batch: BillBatch) -> bool:
        """Write a sealed batch and return whether the platform holds it."""
        async with self._write_lock:
            if not self.buffer.is_unwritten(batch):
                return True
            try:
                stored = await self._put_union(batch)
            except PlatformError as error:
                self._failed_s = self.clock.monotonic_s()
                log.warning("batch_waits", batch=batch.batch_id, reason=str(error))
                return False
            except RouterError as error:
                log.error("batch_rejected", batch=batch.batch_id, reason=str(error))
                self.buffer.postpone(batch)
                return False
            # Bills of a dead host can join its batch while that is being written.
            if batch.bills.keys() <= stored.keys():
                self.buffer.written(batch)
                self._confirm(batch)
        return True

    async def _put_union(self, batch: BillBatch) -> dict[str, BillRecord]:
        """Write the union of a batch and the platform's object, and return it."""
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
                present = await self.platform.get(batch.key)
            if present is None or present.deleted:
                version = 0 if present is None else present.version
                continue
            held = merge_bills(bills_from_value(present.value, key=batch.key))
            bills = merge_bills([*held.values(), *batch.bills.values()])
            if bills == held:
                return bills
            version = present.version
        raise PlatformError(
            f"{CONFLICT_TRY_COUNT} conflicts", step="write_batch", peer=batch.key
        )

    def _confirm(self, batch: BillBatch) -> None:
        for replica in batch.replicas.values():
            self._spawn(self._confirm_to(replica, batch))

    async def _confirm_to(self, replica: BatchReplica, batch: BillBatch) -> None:
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

    async def _secure_copies(self) -> None:
        """Copy bills again that no live replica holds."""
        for batch in self.buffer.unwritten():
            for holder in list(batch.replicas):
                if self.is_dead(holder.host_id, holder.incarnation):
                    del batch.replicas[holder]
            covered = batch.covered()
            bare = [b for b in batch.bills.values() if b.bill_id not in covered]
            if bare:
                await self._copy(batch, bare)

    async def _copy(self, batch: BillBatch, bills: list[BillRecord]) -> bool:
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
                self._avoided[holder] = self.clock.monotonic_s() + REPLICA_AVOID_S
                log.debug("bill_copy_failed", peer=member.host_id, reason=str(error))
                continue
            replica = batch.replicas.setdefault(holder, BatchReplica(member.address))
            replica.bill_ids.update(bill.bill_id for bill in bills)
            return True
        return False

    def _replica_order(self) -> list[RosterMember]:
        now_s = self.clock.monotonic_s()
        self._avoided = {h: end for h, end in self._avoided.items() if end > now_s}
        own = self.buffer.holder
        others = [m for m in self.replica_candidates() if m.domain != self.domain]
        order = ranked_members("bill", f"{own.host_id}.{own.incarnation}", others)
        return sorted(
            order, key=lambda m: BatchHolder(m.host_id, m.incarnation) in self._avoided
        )

    async def _review_orphan(self) -> None:
        limit_s = self.clock.monotonic_s() - ORPHAN_AGE_S
        old = [copy for copy in self.buffer.copies() if copy.changed_s < limit_s]
        if not old:
            return
        copy = old[0]
        copy.changed_s = self.clock.monotonic_s()
        present = await self.platform.get(copy.key)
        if present is None or present.deleted:
            return
        held = merge_bills(bills_from_value(present.value, key=copy.key))
        if copy.bills.keys() <= held.keys():
            self.buffer.confirm(copy.holder, copy.batch_id)

    def _spawn(self, work: Coroutine[Any, Any, Any]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
