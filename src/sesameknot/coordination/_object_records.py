"""Conversion of objects to batches of wire records, and back."""

from collections.abc import Iterable, Iterator

import structlog

from sesameknot.errors import FrameError
from sesameknot.protocol.messages import ObjectRecord
from sesameknot.protocol.object_records import object_from_record, record_from_object
from sesameknot.protocol.objects import StoredObject

# A frame holds 1.5 MB and a value at most 1 MB, so a single record always fits.
BATCH_LIMIT_BYTES = 400_000

log = structlog.get_logger(__name__)


def batch_records(objects: Iterable[StoredObject]) -> Iterator[list[ObjectRecord]]:
    """Yield the records of ``objects`` in batches that each fit into a frame."""
    batch: list[ObjectRecord] = []
    size_bytes = 0
    for stored in objects:
        record = record_from_object(stored)
        if batch and size_bytes + len(record.value) > BATCH_LIMIT_BYTES:
            yield batch
            batch, size_bytes = [], 0
        batch.append(record)
        size_bytes += len(record.value)
    if batch:
        yield batch


def objects_from_records(
    records: Iterable[ObjectRecord], *, peer: str
) -> list[StoredObject]:
    """Return the objects in ``records``; malformed ones are logged and skipped."""
    objects = []
    for record in records:
        try:
            objects.append(object_from_record(record))
        except FrameError as error:
            log.warning("object_record_rejected", peer=peer, reason=str(error))
    return objects
