"""Conversion of objects of the store to records of peer messages and back."""

import json

from sesameknot.platform import StoredEntry
from sesameknot.protocol.messages import ObjectRecord


def object_record(entry: StoredEntry) -> ObjectRecord:
    """Return the message record of ``entry``."""
    return ObjectRecord(
        key=entry.key,
        version=entry.revision,
        value=json.dumps([entry.spec, entry.status]).encode(),
        deleted=entry.deleted,
    )


def stored_entry(record: ObjectRecord) -> StoredEntry:
    """Return the stored object of ``record``."""
    kind, _, name = record.key.partition("/")
    content, status = json.loads(record.value)
    return StoredEntry(
        kind=kind,
        name=name,
        revision=record.version,
        spec=content,
        status=status,
        deleted=record.deleted,
    )
