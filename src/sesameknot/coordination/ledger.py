"""Reads all bills from the platform."""

from collections.abc import Awaitable
from dataclasses import dataclass, field
from typing import Protocol

from sesameknot.protocol.messages import BillRecord
from sesameknot.protocol.objects import BILLS_PREFIX, WatchBatch
from sesameknot.state.bill_buffer import bills_from_value, merge_bills


class BatchLister(Protocol):
    """What the ledger needs of the platform client."""

    def list(self, prefix: str) -> Awaitable[WatchBatch]:
        """Return all objects below a prefix."""


@dataclass(slots=True)
class CustomerTotal:
    """Sums over the distinct bills of one customer."""

    customer: str
    bill_count: int = 0
    unknown_count: int = 0
    prompt_tokens: int = 0
    output_tokens: int = 0
    cost_microunits: int = 0


@dataclass(slots=True)
class LedgerReport:
    """Distinct bills by identifier, totals by customer and the number of batches."""

    bills: list[BillRecord] = field(default_factory=list)
    totals: list[CustomerTotal] = field(default_factory=list)
    batch_count: int = 0


async def read_ledger(platform: BatchLister) -> LedgerReport:
    """Return all distinct bills and their totals.

    Raises
    ------
    PlatformError
        If the platform cannot be reached.
    RouterError
        If a batch is malformed.
    """
    batches = [o for o in (await platform.list(BILLS_PREFIX)).objects if not o.deleted]
    bills = merge_bills(
        bill for o in batches for bill in bills_from_value(o.value, key=o.key)
    )
    ordered = [bills[bill_id] for bill_id in sorted(bills)]
    return LedgerReport(ordered, totals(ordered), len(batches))


def totals(bills: list[BillRecord]) -> list[CustomerTotal]:
    """Return the sums per customer, sorted by customer."""
    sums: dict[str, CustomerTotal] = {}
    for bill in bills:
        total = sums.setdefault(bill.customer, CustomerTotal(bill.customer))
        total.bill_count += 1
        total.unknown_count += bill.outcome == "unknown"
        total.prompt_tokens += bill.prompt_tokens
        total.output_tokens += bill.output_tokens
        total.cost_microunits += bill.cost_microunits
    return [sums[customer] for customer in sorted(sums)]
