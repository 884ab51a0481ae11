"""Messages that replicate bills."""

from dataclasses import dataclass, field

from sesameknot.protocol._message_registry import message
from sesameknot.protocol._records import BillRecord


@message("billReplicate")
@dataclass(slots=True, kw_only=True)
class BillReplicate:
    """Replicate the bills of a batch until its holder confirms that it was written.

    The holder is the host that writes the batch: the host that billed the requests, or
    the host that took the batch over.
    """

    batch_id: str = ""
    holder: str = ""
    holder_incarnation: int = 0
    bills: list[BillRecord] = field(default_factory=list)


@message("billConfirm")
@dataclass(slots=True, kw_only=True)
class BillConfirm:
    """Tell a replica that the holder wrote the batch and the copy may be dropped."""

    batch_id: str = ""
    holder: str = ""
    holder_incarnation: int = 0
