"""Conversion between stored objects and their records in peer messages."""

import json

from sesameknot.errors import FrameError
from sesameknot.protocol.messages import ObjectRecord
from sesameknot.protocol.objects import REPLICATED_PREFIXES, StoredObject


def record_from_object(stored: StoredObject) -> ObjectRecord:
    """Return the record of ``stored`` for a peer message."""
    value = b"" if stored.deleted else json.dumps(stored.value).encode()
    return ObjectRecord(
        key=stored.key,
        version=stored.version,
        value=value,
        deleted=stored.deleted,
        write_id=stored.write_id,
    )


def object_from_record(record: ObjectRecord) -> StoredObject:
    """Return the object in ``record``.

    Raises
    ------
    FrameError
        If objects with this key are not replicated or the value is not JSON.
    """
    if not record.key.startswith(REPLICATED_PREFIXES):
        raise FrameError(
            f"key {record.key!r:.80}, expected one of the prefixes "
            f"{', '.join(REPLICATED_PREFIXES)}",
            step="object",
        )
    try:
        value = None if record.deleted else json.loads(record.value)
    except (ValueError, RecursionError) as error:
        raise FrameError(
            f"value of {record.key!r} at version {record.version} is not JSON: {error}",
            step="object",
        ) from error
    return StoredObject(
        record.key, record.version, value, record.write_id, record.deleted
    )
