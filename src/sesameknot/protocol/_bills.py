"""Messages that replicate bills."""

from dataclasses import dataclass, field

from sesameknot.protocol._message_registry import message
from sesameknot.protocol._records import BillRecord


@message("billReplicate")
@dataclass(slots=True, kw_only=True)
class BillReplicate:
    """Bills of an open batch to keep until it is written."""

    batch_id: str = ""
    bills: list[BillRecord] = field(default_factory=list)


@message("billConfirm")
@dataclass(slots=True, kw_only=True)
class BillConfirm:
    """The batch is written; the replica may drop it."""

    batch_id: str = ""
