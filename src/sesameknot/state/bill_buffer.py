"""Buffer of bills whose batches are not written yet."""

from collections import OrderedDict
from collections.abc import Iterable, Sequence
from dataclasses import asdict, astuple, dataclass, field
from typing import Any

import msgspec

from sesameknot.clock import Clock
from sesameknot.errors import RouterError
from sesameknot.protocol.messages import BillRecord
from sesameknot.protocol.objects import BILLS_PREFIX

BATCH_LIMIT_COUNT = 500
# Late copies of this many last confirmed batches are dropped on arrival; those of other
# written batches are dropped after a check of the platform object.
CONFIRMED_LIMIT_COUNT = 4096


@dataclass(slots=True, frozen=True, order=True)
class BatchHolder:
    """Process that writes a batch or holds copies of it."""

    host_id: str
    incarnation: int


@dataclass(slots=True)
class BatchReplica:
    """Copies of a batch's bills that another process holds."""

    address: str
    bill_ids: set[str] = field(default_factory=set)


@dataclass(slots=True)
class BillBatch:
    """Bills that are written as one platform object.

    Parameters
    ----------
    batch_id : str
        ``<host>.<incarnation>.<n>``.
    holder : BatchHolder
        Process that writes the batch.
    changed_s : float
        Monotonic time at which the last bill was added.
    bills : dict of str to BillRecord
        Bills by their identifier.
    replicas : dict of BatchHolder to BatchReplica
        Processes that hold copies.
    """

    batch_id: str
    holder: BatchHolder
    changed_s: float
    bills: dict[str, BillRecord] = field(default_factory=dict)
    replicas: dict[BatchHolder, BatchReplica] = field(default_factory=dict)

    @property
    def key(self) -> str:
        """Key of the platform object."""
        return BILLS_PREFIX + self.batch_id

    def replicated_bill_ids(self) -> set[str]:
        """Return the identifiers of the bills that at least one replica holds."""
        return set().union(*(r.bill_ids for r in self.replicas.values()))

    def add(self, bills: Iterable[BillRecord]) -> None:
        """Merge bills into the batch by their identifier."""
        self.bills = merge_bills([*self.bills.values(), *bills])


def merge_bills(bills: Iterable[BillRecord]) -> dict[str, BillRecord]:
    """Return distinct bills by identifier.

    Of two bills with one identifier, that of an answered request is preferred to that
    of a cancelled one, and both to one with unknown outcome; on a tie, the earlier one
    is preferred. The result does not depend on the order of ``bills``.
    """
    merged: dict[str, BillRecord] = {}
    for bill in bills:
        current = merged.get(bill.bill_id)
        if current is None or _preference(bill) < _preference(current):
            merged[bill.bill_id] = bill
    return merged


def _preference(bill: BillRecord) -> tuple[Any, ...]:
    outcome_rank = {"answered": 0, "cancelled": 1}.get(bill.outcome, 2)
    return (outcome_rank, bill.wall_ms, astuple(bill))


def bills_to_value(bills: Iterable[BillRecord]) -> dict[str, Any]:
    """Return the JSON value of a batch object."""
    ordered = sorted(bills, key=lambda bill: bill.bill_id)
    return {"bills": [asdict(bill) for bill in ordered]}


def bills_from_value(value: Any, *, key: str) -> list[BillRecord]:
    """Return the bills in the value of a batch object.

    Raises
    ------
    RouterError
        If the value is malformed.
    """
    try:
        return msgspec.convert(value["bills"], list[BillRecord])
    except (KeyError, TypeError, msgspec.ValidationError) as error:
        raise RouterError(
            f"batch is malformed: {error!r}, expected a list of bills",
            step="parse",
            peer=key,
        ) from error


class BillBuffer:
    """Open and sealed batches of this process, and copies of other processes' batches.

    Parameters
    ----------
    holder : BatchHolder
        This process.
    clock : Clock
        Source of monotonic time.
    batch_limit_count : int, default=500
        Number of bills at which a batch is sealed.
    """

    __slots__ = (
        "_confirmed",
        "_copies",
        "_next_batch_number",
        "_open_batch",
        "_sealed",
        "batch_limit_count",
        "clock",
        "holder",
    )

    def __init__(
        self,
        holder: BatchHolder,
        *,
        clock: Clock,
        batch_limit_count: int = BATCH_LIMIT_COUNT,
    ) -> None:
        self.holder = holder
        self.clock = clock
        self.batch_limit_count = batch_limit_count
        self._next_batch_number = 1
        self._open_batch: BillBatch | None = None
        self._sealed: OrderedDict[str, BillBatch] = OrderedDict()
        self._copies: dict[tuple[BatchHolder, str], BillBatch] = {}
        self._confirmed: OrderedDict[tuple[BatchHolder, str], None] = OrderedDict()

    def add(self, bill: BillRecord) -> BillBatch:
        """Add a bill to the open batch and return the batch."""
        batch = self._open_batch
        if batch is None:
            number = self._next_batch_number
            self._next_batch_number += 1
            batch_id = f"{self.holder.host_id}.{self.holder.incarnation}.{number}"
            batch = BillBatch(batch_id, self.holder, self.clock.monotonic_s())
            self._open_batch = batch
        batch.bills[bill.bill_id] = merge_bills(
            [bill, batch.bills.get(bill.bill_id, bill)]
        )[bill.bill_id]
        batch.changed_s = self.clock.monotonic_s()
        if len(batch.bills) >= self.batch_limit_count:
            self.seal()
        return batch

    def seal(self) -> None:
        """Seal the open batch, so that it can be written."""
        if self._open_batch is not None:
            self._sealed[self._open_batch.batch_id] = self._open_batch
            self._open_batch = None

    def is_open(self, batch: BillBatch) -> bool:
        """Return whether a batch accepts more bills."""
        return batch is self._open_batch

    def sealed_batches(self) -> list[BillBatch]:
        """Return the sealed batches in the order in which they are written."""
        return list(self._sealed.values())

    def unwritten_batches(self) -> list[BillBatch]:
        """Return the sealed batches and the open one."""
        batches = self.sealed_batches()
        return batches if self._open_batch is None else [*batches, self._open_batch]

    def is_unwritten(self, batch: BillBatch) -> bool:
        """Return whether a batch is not written yet."""
        return batch is self._open_batch or batch.batch_id in self._sealed

    def mark_written(self, batch: BillBatch) -> None:
        """Drop a batch that the platform stores."""
        self._sealed.pop(batch.batch_id, None)

    def postpone(self, batch: BillBatch) -> None:
        """Move a sealed batch to the end of the write order."""
        self._sealed.move_to_end(batch.batch_id)

    def add_copy(
        self, holder: BatchHolder, batch_id: str, bills: Sequence[BillRecord]
    ) -> None:
        """Add copies of bills unless their holder has confirmed the batch."""
        batch_key = (holder, batch_id)
        if batch_key in self._confirmed:
            return
        now_s = self.clock.monotonic_s()
        copy = self._copies.setdefault(batch_key, BillBatch(batch_id, holder, now_s))
        copy.add(bills)
        copy.changed_s = now_s

    def confirm(self, holder: BatchHolder, batch_id: str) -> None:
        """Drop the copies of a batch that its holder has written."""
        batch_key = (holder, batch_id)
        self._copies.pop(batch_key, None)
        self._confirmed[batch_key] = None
        if len(self._confirmed) > CONFIRMED_LIMIT_COUNT:
            self._confirmed.popitem(last=False)

    def copies(self) -> list[BillBatch]:
        """Return the copies of other processes' batches."""
        return list(self._copies.values())

    def take_over(self, copy: BillBatch) -> BillBatch:
        """Turn the copy of a batch into a sealed batch of this process."""
        del self._copies[copy.holder, copy.batch_id]
        batch = self._sealed.get(copy.batch_id)
        if batch is None:
            batch = BillBatch(copy.batch_id, self.holder, self.clock.monotonic_s())
            self._sealed[copy.batch_id] = batch
        batch.add(copy.bills.values())
        return batch
