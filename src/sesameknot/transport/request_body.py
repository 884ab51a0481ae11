"""Body of a caller's request, held once in blocks while the request is in flight."""

import mmap
from collections.abc import Callable

from sesameknot.policy.memory_budget import MemoryReservation

# Parts that arrive are joined up to this size, so that a slow body does not need an
# object for each of its segments. The HTTP server reads up to as much at once.
BLOCK_BYTES = 64 * 1024
# What follows the first block is kept in mappings of this size: the operating system
# gets them back at once, while the allocator keeps most of what was freed in blocks.
MAPPING_BYTES = 256 * 1024


class RequestBody:
    """Blocks of a body, which are sent to endpoints as they are, without joining.

    Parameters
    ----------
    data : bytes, default=b""
        The whole body, or what is known of it.
    reservation : MemoryReservation or None, default=None
        Counts the body against a limit on all of them; None for a body without limit.

    Attributes
    ----------
    blocks : list of bytes or memoryview
        The body; empty after :meth:`release`.
    size_bytes : int
        Size of the body, also after :meth:`release`.
    """

    __slots__ = (
        "_mapping",
        "_mapping_used_bytes",
        "_pending",
        "_reservation",
        "blocks",
        "size_bytes",
    )

    def __init__(
        self, data: bytes = b"", *, reservation: MemoryReservation | None = None
    ) -> None:
        self._reservation = reservation
        self.blocks: list[bytes | memoryview] = [data] if data else []
        self.size_bytes = len(data)
        # The first block as it grows; None when it is complete.
        self._pending: bytearray | None = bytearray()
        self._mapping: mmap.mmap | None = None
        self._mapping_used_bytes = 0

    def reserve(self, size_bytes: int) -> bool:
        """Reserve memory for ``size_bytes`` in all; return False if there is none."""
        reservation = self._reservation
        if reservation is None or size_bytes <= reservation.size_bytes:
            return True
        return reservation.hold(size_bytes)

    def append(self, data: bytes) -> bool:
        """Add a part; return False if there is no memory for it."""
        if not self.reserve(self.size_bytes + len(data)):
            return False
        self.size_bytes += len(data)
        if self._pending is None:
            self._append_mapped(memoryview(data))
            return True
        self._pending += data
        if len(self._pending) >= BLOCK_BYTES:
            self._close_first_block()
        return True

    def _close_first_block(self) -> None:
        if self._pending:
            self.blocks.append(bytes(self._pending))
        self._pending = None

    def _append_mapped(self, data: memoryview) -> None:
        while data:
            if self._mapping is None:
                self._mapping = mmap.mmap(
                    -1, MAPPING_BYTES, flags=mmap.MAP_PRIVATE | mmap.MAP_ANONYMOUS
                )
                self._mapping_used_bytes = 0
            start = self._mapping_used_bytes
            part = data[: MAPPING_BYTES - start]
            end = start + len(part)
            self._mapping[start:end] = part
            self._mapping_used_bytes = end
            if end == MAPPING_BYTES:
                self._close_mapping()
            data = data[len(part) :]

    def _close_mapping(self) -> None:
        if self._mapping is not None:
            self.blocks.append(memoryview(self._mapping)[: self._mapping_used_bytes])
            self._mapping = None

    def finish(self) -> None:
        """Add what is not in a block yet; no part follows."""
        self._close_first_block()
        self._close_mapping()

    def send(self, write: Callable[[bytes | memoryview], object]) -> None:
        """Pass the blocks to ``write``."""
        for block in self.blocks:
            write(block)

    def release(self) -> None:
        """Drop the blocks; whatever still refers to the body holds no memory."""
        # A mapping ends with its last view, also of one that is still being written.
        self.blocks.clear()
        self._pending = self._mapping = None
        if self._reservation is not None:
            self._reservation.release()
