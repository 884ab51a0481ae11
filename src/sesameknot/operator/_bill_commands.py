"""Command that sums bills."""

import dataclasses
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

import msgspec

from sesameknot.errors import RouterError
from sesameknot.operator._registry import command
from sesameknot.operator.context import OperatorContext
from sesameknot.operator.results import Report, table
from sesameknot.protocol.messages import BillRecord
from sesameknot.protocol.objects import BILLS_PREFIX, StoredObject

OUTCOME_UNKNOWN = "unknown"


@dataclass(slots=True, kw_only=True)
class BillTotal:
    """Sum of bills of one customer, or of its use of one version."""

    customer: str
    service: str = ""
    model: str = ""
    version: str = ""
    bill_count: int = 0
    unknown_count: int = 0
    prompt_tokens: int = 0
    output_tokens: int = 0
    cost_microunits: int = 0

    def add(self, bill: BillRecord) -> None:
        """Add one bill."""
        self.bill_count += 1
        self.unknown_count += bill.outcome == OUTCOME_UNKNOWN
        self.prompt_tokens += bill.prompt_tokens
        self.output_tokens += bill.output_tokens
        self.cost_microunits += bill.cost_microunits


@command("bills", "[--customer NAME]")
async def bills(context: OperatorContext, arguments: list[str]) -> Report:
    """Sum the distinct bills per customer, or per version of one customer."""
    batch = await context.platform.list(BILLS_PREFIX)
    found = distinct_bills(batch.objects)
    totals = _totals(found.values(), context.customer)
    header = ["CUSTOMER", "SERVICE", "MODEL", "VERSION", "BILLS", "UNKNOWN"]
    header += ["PROMPT TOKENS", "OUTPUT TOKENS", "COST MICROUNITS"]
    rows = [
        [
            t.customer,
            t.service or "-",
            t.model or "-",
            t.version or "-",
            t.bill_count,
            t.unknown_count,
            t.prompt_tokens,
            t.output_tokens,
            t.cost_microunits,
        ]
        for t in totals
    ]
    return Report(
        lines=table(header, rows), value=[dataclasses.asdict(t) for t in totals]
    )


def distinct_bills(objects: Iterable[StoredObject]) -> dict[str, BillRecord]:
    """Return the bills in batch objects by bill id.

    Two batches may hold the same bill, because the router and its replica can both
    write it.
    """
    found: dict[str, BillRecord] = {}
    for stored in objects:
        if stored.deleted:
            continue
        for bill in _read_batch(stored):
            known = found.get(bill.bill_id)
            # An answer settles a bill whose outcome was unknown.
            if known is None or known.outcome == OUTCOME_UNKNOWN:
                found[bill.bill_id] = bill
    return found


def _read_batch(stored: StoredObject) -> list[BillRecord]:
    value: Any = stored.value
    items = value.get("bills") if isinstance(value, dict) else None
    try:
        return msgspec.convert(items, list[BillRecord])
    except msgspec.ValidationError as error:
        raise RouterError(
            f"bill batch is malformed: {error}", step="bills", peer=stored.key
        ) from error


def _totals(found: Iterable[BillRecord], customer: str) -> list[BillTotal]:
    totals: dict[tuple[str, ...], BillTotal] = {}
    for bill in found:
        if customer and bill.customer != customer:
            continue
        key = (bill.customer,)
        if customer:
            key += (bill.service, bill.model, bill.version)
        total = totals.get(key)
        if total is None:
            total = totals[key] = BillTotal(
                customer=bill.customer,
                service=bill.service if customer else "",
                model=bill.model if customer else "",
                version=bill.version if customer else "",
            )
        total.add(bill)
    return [totals[key] for key in sorted(totals)]
