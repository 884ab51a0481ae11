"""Bills that wait for their batch to be written."""

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
# Copies that arrive after their batch was written are recognised among this many
# batches; later ones are dropped by a look at the platform.
CONFIRMED_LIMIT_COUNT = 4096


@dataclass(slots=True, frozen=True, order=True)
class BatchHolder:
    """Process that holds a batch."""

    host_id: str
    incarnation: int


@dataclass(slots=True)
class BatchReplica:
    """Copies of bills that another process holds."""

    address: str
    bill_ids: set[str] = field(default_factory=set)


@dataclass(slots=True)
class BillBatch:
    """Bills that one platform object holds.

    Parameters
    ----------
    batch_id : str
        ``<host>.<incarnation>.<n>``.
    holder : BatchHolder
        Process that writes the batch.
    changed_s : float
        Monotonic time of the last bill.
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

    def covered(self) -> set[str]:
        """Return the identifiers of the bills that a replica holds."""
        return set().union(*(r.bill_ids for r in self.replicas.values()))

    def add(self, bills: Iterable[BillRecord]) -> None:
        """Add bills by their identifier."""
        self.bills = merge_bills([*self.bills.values(), *bills])


def merge_bills(bills: Iterable[BillRecord]) -> dict[str, BillRecord]:
    """Return distinct bills by identifier.

    Of two bills with one identifier, that of an answered request counts over that of a
    cancelled one, and both over one with unknown outcome; then the earlier one counts.
    The result does not depend on the order.
    """
    merged: dict[str, BillRecord] = {}
    for bill in bills:
        present = merged.get(bill.bill_id)
        if present is None or _preference(bill) < _preference(present):
            merged[bill.bill_id] = bill
    return merged


def _preference(bill: BillRecord) -> tuple[Any, ...]:
    rank = {"answered": 0, "cancelled": 1}.get(bill.outcome, 2)
    return (rank, bill.wall_ms, astuple(bill))


def bills_to_value(bills: Iterable[BillRecord]) -> dict[str, Any]:
    """Return the JSON value of a batch object."""
    ordered = sorted(bills, key=lambda bill: bill.bill_id)
    return {"bills": [asdict(bill) for bill in ordered]}


def bills_from_value(value: Any, *, key: str) -> list[BillRecord]:
    """Return the bills in the value of a batch object.

    Raises
    ------
    RouterError
        If the value is not a batch.
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
    """Open and sealed batches of this process, and copies of other ones' batches.

    Parameters
    ----------
    holder : BatchHolder
        This process.
    clock : Clock
        Source of monotonic time.
    batch_limit_count : int, default=500
        Bills after which a batch takes no more.
    """

    __slots__ = (
        "_confirmed",
        "_copies",
        "_next_number",
        "_open",
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
        self._next_number = 1
        self._open: BillBatch | None = None
        self._sealed: OrderedDict[str, BillBatch] = OrderedDict()
        self._copies: dict[tuple[BatchHolder, str], BillBatch] = {}
        self._confirmed: OrderedDict[tuple[BatchHolder, str], None] = OrderedDict()

    def add(self, bill: BillRecord) -> BillBatch:
        """Add a bill to the open batch and return the batch."""
        batch = self._open
        if batch is None:
            number = self._next_number
            self._next_number += 1
            batch_id = f"{self.holder.host_id}.{self.holder.incarnation}.{number}"
            batch = BillBatch(batch_id, self.holder, self.clock.monotonic_s())
            self._open = batch
        batch.bills[bill.bill_id] = merge_bills(
            [bill, batch.bills.get(bill.bill_id, bill)]
        )[bill.bill_id]
        batch.changed_s = self.clock.monotonic_s()
        if len(batch.bills) >= self.batch_limit_count:
            self.seal()
        return batch

    def seal(self) -> None:
        """Close the open batch, so that it can be written."""
        if self._open is not None:
            self._sealed[self._open.batch_id] = self._open
            self._open = None

    def is_open(self, batch: BillBatch) -> bool:
        """Return whether a batch still takes bills."""
        return batch is self._open

    def sealed(self) -> list[BillBatch]:
        """Return the batches to write, oldest first."""
        return list(self._sealed.values())

    def unwritten(self) -> list[BillBatch]:
        """Return the batches to write and the open one."""
        batches = self.sealed()
        return batches if self._open is None else [*batches, self._open]

    def is_unwritten(self, batch: BillBatch) -> bool:
        """Return whether a batch still waits to be written."""
        return batch is self._open or batch.batch_id in self._sealed

    def written(self, batch: BillBatch) -> None:
        """Drop a batch that the platform holds."""
        self._sealed.pop(batch.batch_id, None)

    def postpone(self, batch: BillBatch) -> None:
        """Move a batch behind the other ones."""
        self._sealed.move_to_end(batch.batch_id)

    def keep_copy(
        self, holder: BatchHolder, batch_id: str, bills: Sequence[BillRecord]
    ) -> None:
        """Keep copies of bills unless their holder has written the batch."""
        name = (holder, batch_id)
        if name in self._confirmed:
            return
        now_s = self.clock.monotonic_s()
        copy = self._copies.setdefault(name, BillBatch(batch_id, holder, now_s))
        copy.add(bills)
        copy.changed_s = now_s

    def confirm(self, holder: BatchHolder, batch_id: str) -> None:
        """Drop the copies of a batch that its holder has written."""
        name = (holder, batch_id)
        self._copies.pop(name, None)
        self._confirmed[name] = None
        if len(self._confirmed) > CONFIRMED_LIMIT_COUNT:
            self._confirmed.popitem(last=False)

    def copies(self) -> list[BillBatch]:
        """Return the copies of other processes' batches."""
        return list(self._copies.values())

    def take_over(self, copy: BillBatch) -> BillBatch:
        """Make this process write a batch of which it holds a copy."""
        del self._copies[copy.holder, copy.batch_id]
        batch = self._sealed.get(copy.batch_id)
        if batch is None:
            batch = BillBatch(copy.batch_id, self.holder, self.clock.monotonic_s())
            self._sealed[copy.batch_id] = batch
        batch.add(copy.bills.values())
        return batch
