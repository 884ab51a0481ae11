"""Length-prefixed frames on a Tornado stream."""

import struct

from tornado.iostream import IOStream, StreamClosedError

from sesameknot.errors import FrameError, TransportError

FRAME_LIMIT_BYTES = 1_500_000
_LENGTH_PREFIX = struct.Struct("!I")


async def read_frame(stream: IOStream, *, peer: str) -> bytes:
    """Return the payload of the next frame.

    Raises
    ------
    FrameError
        If the frame is empty or longer than ``FRAME_LIMIT_BYTES``.
    TransportError
        If the connection is closed or fails.
    """
    try:
        (size_bytes,) = _LENGTH_PREFIX.unpack(
            await stream.read_bytes(_LENGTH_PREFIX.size)
        )
        if not 0 < size_bytes <= FRAME_LIMIT_BYTES:
            raise FrameError(
                f"frame of {size_bytes} bytes, expected 1 to {FRAME_LIMIT_BYTES}",
                step="read_frame",
                peer=peer,
            )
        return await stream.read_bytes(size_bytes)
    except OSError as error:
        # A rejected certificate raises ssl.SSLError, not StreamClosedError.
        raise TransportError(
            _error_text(error), step="read_frame", peer=peer
        ) from error


async def write_frame(stream: IOStream, payload: bytes, *, peer: str) -> None:
    """Send one frame.

    Raises
    ------
    FrameError
        If ``payload`` is longer than ``FRAME_LIMIT_BYTES``.
    TransportError
        If the connection is closed or fails.
    """
    if len(payload) > FRAME_LIMIT_BYTES:
        raise FrameError(
            f"frame of {len(payload)} bytes, expected at most {FRAME_LIMIT_BYTES}",
            step="write_frame",
            peer=peer,
        )
    try:
        await stream.write(_LENGTH_PREFIX.pack(len(payload)) + payload)
    except OSError as error:
        raise TransportError(
            _error_text(error), step="write_frame", peer=peer
        ) from error


def _error_text(error: OSError) -> str:
    return "connection closed" if isinstance(error, StreamClosedError) else str(error)
