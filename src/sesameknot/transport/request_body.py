"""Body of a caller's request, held once in blocks while the request is in flight."""

from collections.abc import Callable

from sesameknot.policy.memory_budget import MemoryReservation

# Parts that arrive are joined up to this size, so that a slow body does not need an
# object for each of its segments. The HTTP server reads up to as much at once.
BLOCK_BYTES = 64 * 1024


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
    blocks : list of bytes
        The body; empty after :meth:`release`.
    size_bytes : int
        Size of the body, also after :meth:`release`.
    """

    __slots__ = ("_pending", "_reservation", "blocks", "size_bytes")

    def __init__(
        self, data: bytes = b"", *, reservation: MemoryReservation | None = None
    ) -> None:
        self._reservation = reservation
        self.blocks: list[bytes] = [data] if data else []
        self.size_bytes = len(data)
        self._pending = bytearray()

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
        if len(data) >= BLOCK_BYTES:
            self._close_block()
            self.blocks.append(data)
            return True
        self._pending += data
        if len(self._pending) >= BLOCK_BYTES:
            self._close_block()
        return True

    def finish(self) -> None:
        """Add what is not in a block yet; no part follows."""
        self._close_block()

    def _close_block(self) -> None:
        if self._pending:
            self.blocks.append(bytes(self._pending))
            self._pending = bytearray()

    def send(self, write: Callable[[bytes], object]) -> None:
        """Pass the blocks to ``write``."""
        for block in self.blocks:
            write(block)

    def release(self) -> None:
        """Drop the blocks; whatever still refers to the body holds no memory."""
        self.blocks.clear()
        self._pending = bytearray()
        if self._reservation is not None:
            self._reservation.release()
