"""Encoding of all objects of a kind as one compressed value."""

import zlib
from collections.abc import Iterable

import msgspec

from sesameknot.errors import FrameError
from sesameknot.platform import StoredEntry

# The fastest level makes a configuration of many routes a tenth of its size or less.
COMPRESSION_LEVEL = 1
# Limit on what a compressed value may expand to.
CONTENT_LIMIT_BYTES = 64 * 1024 * 1024


class _Entry(msgspec.Struct, array_like=True):
    name: str
    revision: int
    spec: object = None
    status: object = None


_decoder = msgspec.json.Decoder(list[_Entry])


def encode_snapshot(entries: Iterable[StoredEntry]) -> bytes:
    """Return the compressed value that holds ``entries``."""
    records = [
        _Entry(entry.name, entry.revision, entry.spec, entry.status)
        for entry in entries
    ]
    return zlib.compress(msgspec.json.encode(records), COMPRESSION_LEVEL)


def decode_snapshot(kind: str, data: bytes, *, peer: str) -> list[StoredEntry]:
    """Return the entries in a compressed value.

    Raises
    ------
    FrameError
        If ``data`` is not a snapshot, or is larger than the limit.
    """
    decompressor = zlib.decompressobj()
    try:
        content = decompressor.decompress(data, CONTENT_LIMIT_BYTES)
        if not decompressor.eof:
            raise FrameError(
                f"snapshot of {len(data)} bytes is incomplete or expands to more than "
                f"{CONTENT_LIMIT_BYTES} bytes",
                step="decode_snapshot",
                peer=peer,
            )
        records = _decoder.decode(content)
    except (zlib.error, msgspec.DecodeError, RecursionError) as error:
        raise FrameError(str(error), step="decode_snapshot", peer=peer) from error
    return [
        StoredEntry(
            kind=kind,
            name=record.name,
            revision=record.revision,
            spec=record.spec,
            status=record.status,
        )
        for record in records
    ]
