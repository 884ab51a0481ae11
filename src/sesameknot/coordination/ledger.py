"""Ledger of all bills that the platform stores."""

from collections.abc import Awaitable
from dataclasses import dataclass, field
from typing import Protocol

from sesameknot.protocol.messages import BillRecord
from sesameknot.protocol.objects import BILLS_PREFIX, WatchBatch
from sesameknot.state.bill_buffer import bills_from_value, merge_bills


class BatchLister(Protocol):
    """Method of the platform client that the ledger uses."""

    def list(self, prefix: str) -> Awaitable[WatchBatch]:
        """Return all objects whose key starts with ``prefix``."""


@dataclass(slots=True)
class CustomerTotal:
    """Totals over the distinct bills of one customer."""

    customer: str
    bill_count: int = 0
    unknown_count: int = 0
    prompt_tokens: int = 0
    output_tokens: int = 0
    cost_microunits: int = 0


@dataclass(slots=True)
class LedgerReport:
    """Distinct bills sorted by identifier, totals per customer and batch count."""

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
    objects = [o for o in (await platform.list(BILLS_PREFIX)).objects if not o.deleted]
    bills = merge_bills(
        bill for o in objects for bill in bills_from_value(o.value, key=o.key)
    )
    sorted_bills = [bills[bill_id] for bill_id in sorted(bills)]
    return LedgerReport(sorted_bills, customer_totals(sorted_bills), len(objects))


def customer_totals(bills: list[BillRecord]) -> list[CustomerTotal]:
    """Return the totals per customer, sorted by customer."""
    totals: dict[str, CustomerTotal] = {}
    for bill in bills:
        total = totals.setdefault(bill.customer, CustomerTotal(bill.customer))
        total.bill_count += 1
        total.unknown_count += bill.outcome == "unknown"
        total.prompt_tokens += bill.prompt_tokens
        total.output_tokens += bill.output_tokens
        total.cost_microunits += bill.cost_microunits
    return [totals[customer] for customer in sorted(totals)]
