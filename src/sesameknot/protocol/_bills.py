"""Messages that replicate bills."""

from dataclasses import dataclass, field

from sesameknot.protocol._message_registry import message
from sesameknot.protocol._records import BillRecord


@message("billReplicate")
@dataclass(slots=True, kw_only=True)
class BillReplicate:
    """Bills of a batch to keep until it is written.

    The holder writes the batch: its own host, or the one that took it over.
    """

    batch_id: str = ""
    holder: str = ""
    holder_incarnation: int = 0
    bills: list[BillRecord] = field(default_factory=list)


@message("billConfirm")
@dataclass(slots=True, kw_only=True)
class BillConfirm:
    """The holder wrote the batch; the replica may drop the copy it got from it."""

    batch_id: str = ""
    holder: str = ""
    holder_incarnation: int = 0
