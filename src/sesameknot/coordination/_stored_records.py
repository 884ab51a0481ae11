"""Conversion of objects of the store to records of peer messages and back."""

import json
from collections import OrderedDict

from sesameknot.platform import StoredEntry
from sesameknot.protocol.messages import ObjectRecord

# Number of objects whose records are kept.
RECORD_LIMIT_COUNT = 1000


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


class RecordCache:
    """Message records of objects, each encoded once for all hosts that ask for it."""

    def __init__(self) -> None:
        self._records: OrderedDict[str, tuple[StoredEntry, ObjectRecord]] = (
            OrderedDict()
        )

    def record(self, entry: StoredEntry) -> ObjectRecord:
        """Return the message record of ``entry``."""
        cached = self._records.get(entry.key)
        # Revisions are given out again after the store came back from a copy.
        if cached is not None and cached[0] is entry:
            return cached[1]
        record = object_record(entry)
        self._records[entry.key] = (entry, record)
        self._records.move_to_end(entry.key)
        if len(self._records) > RECORD_LIMIT_COUNT:
            self._records.popitem(last=False)
        return record
