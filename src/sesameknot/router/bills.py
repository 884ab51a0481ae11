"""Bills of calls, each recorded before the answer ends."""

import structlog

from sesameknot.clock import Clock
from sesameknot.coordination.bill_writer import BillWriter
from sesameknot.protocol.messages import BillRecord
from sesameknot.router.call import UNKNOWN, Call

ANSWERED = "answered"
CANCELLED = "cancelled"

log = structlog.get_logger(__name__)


class Billing:
    """Record one bill for each call that ran or may have run.

    Parameters
    ----------
    writer : BillWriter
        Replicates bills to a second host and writes them to the platform.
    clock : Clock
        Source of wall time.
    """

    __slots__ = ("_clock", "_writer")

    def __init__(self, writer: BillWriter, *, clock: Clock) -> None:
        self._clock = clock
        self._writer = writer

    async def record_answer(
        self,
        call: Call,
        *,
        endpoint_id: str,
        cost_microunits: int,
        service: str = "",
        model: str = "",
        version: str = "",
        prompt_tokens: int = 0,
        output_tokens: int = 0,
        outcome: str = ANSWERED,
    ) -> None:
        """Record the bill of a call that was answered.

        Parameters
        ----------
        outcome : {"answered", "cancelled"}, default="answered"
            Whether the caller received the complete answer or disconnected before
            its end.
        """
        await self._record(
            BillRecord(
                bill_id=call.bill_id,
                request_id=call.request_id,
                customer=call.customer_name,
                service=service,
                model=model,
                version=version,
                endpoint_id=endpoint_id,
                prompt_tokens=prompt_tokens,
                output_tokens=output_tokens,
                cost_microunits=cost_microunits,
                outcome=outcome,
                wall_ms=self._clock.wall_ms(),
            )
        )

    async def record_unknown_outcome(
        self, call: Call, *, service: str = "", model: str = ""
    ) -> None:
        """Record a call that may have run, at no cost, for reconciliation.

        The ``endpoint_id`` of the bill lists all endpoints that were tried.
        """
        await self._record(
            BillRecord(
                bill_id=call.bill_id,
                request_id=call.request_id,
                customer=call.customer_name,
                service=service,
                model=model,
                endpoint_id=",".join(call.tried_incarnation_ids),
                outcome=UNKNOWN,
                wall_ms=self._clock.wall_ms(),
            )
        )

    async def _record(self, bill: BillRecord) -> None:
        place = await self._writer.record(bill)
        log.info(
            "bill_recorded",
            request_id=bill.request_id,
            bill_id=bill.bill_id,
            customer=bill.customer,
            outcome=bill.outcome,
            cost_microunits=bill.cost_microunits,
            place=place,
        )
