"""Command that sums bills."""

import dataclasses
from collections.abc import Iterable
from dataclasses import dataclass

from sesameknot.coordination.ledger import read_ledger
from sesameknot.operator._registry import command
from sesameknot.operator.context import OperatorContext
from sesameknot.operator.results import Report, table
from sesameknot.protocol.messages import BillRecord

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
    ledger = await read_ledger(context.platform)
    found = [
        bill
        for bill in ledger.bills
        if not context.customer or bill.customer == context.customer
    ]
    totals = _totals(found, by_version=bool(context.customer))
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
        lines=table(header, rows),
        value={
            "bills": [dataclasses.asdict(bill) for bill in found],
            "totals": [dataclasses.asdict(total) for total in totals],
        },
    )


def _totals(found: Iterable[BillRecord], *, by_version: bool) -> list[BillTotal]:
    totals: dict[tuple[str, ...], BillTotal] = {}
    for bill in found:
        use = (bill.service, bill.model, bill.version) if by_version else ("", "", "")
        total = totals.get((bill.customer, *use))
        if total is None:
            service, model, version = use
            total = totals[(bill.customer, *use)] = BillTotal(
                customer=bill.customer, service=service, model=model, version=version
            )
        total.add(bill)
    return [totals[key] for key in sorted(totals)]
