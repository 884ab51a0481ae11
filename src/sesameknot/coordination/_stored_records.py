"""Convert the store's objects to records of messages and back."""

import json

from sesameknot.platform import StoredEntry
from sesameknot.protocol.messages import ObjectRecord


def object_record(entry: StoredEntry) -> ObjectRecord:
    """Return the record that carries ``entry``."""
    return ObjectRecord(
        key=entry.place,
        version=entry.revision,
        value=json.dumps([entry.content, entry.status]).encode(),
        deleted=entry.deleted,
    )


def stored_entry(record: ObjectRecord) -> StoredEntry:
    """Return the object in ``record``."""
    kind, _, name = record.key.partition("/")
    content, status = json.loads(record.value)
    return StoredEntry(
        kind=kind,
        name=name,
        revision=record.version,
        content=content,
        status=status,
        deleted=record.deleted,
    )
