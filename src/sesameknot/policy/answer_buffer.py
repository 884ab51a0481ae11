"""Bound on the memory for answers that are held until they are complete."""

from collections.abc import Iterator
from contextlib import contextmanager


class AnswerReservation:
    """Bytes of one answer; :meth:`AnswerBuffer.reservation` creates it.

    Attributes
    ----------
    size_bytes : int
        Bytes reserved so far.
    reason : str
        Why the last call of :meth:`add` failed.
    """

    __slots__ = ("_buffer", "reason", "size_bytes")

    def __init__(self, buffer: "AnswerBuffer") -> None:
        self._buffer = buffer
        self.reason = ""
        self.size_bytes = 0

    def add(self, byte_count: int) -> bool:
        """Reserve more bytes; return False if a limit does not allow it."""
        return self.hold(self.size_bytes + byte_count)

    def hold(self, size_bytes: int) -> bool:
        """Reserve ``size_bytes`` in all; return False if a limit does not allow it."""
        buffer = self._buffer
        if size_bytes > buffer.answer_limit_bytes:
            self.reason = f"answer above {buffer.answer_limit_bytes} bytes"
            return False
        counted_bytes = buffer.counted_bytes(size_bytes)
        used_bytes = buffer.used_bytes + counted_bytes - self.counted_bytes
        if counted_bytes > self.counted_bytes and (
            used_bytes > buffer.total_limit_bytes
        ):
            self.reason = f"answers above {buffer.total_limit_bytes} bytes together"
            return False
        self.size_bytes = size_bytes
        buffer.used_bytes = used_bytes
        return True

    @property
    def counted_bytes(self) -> int:
        """Bytes that count against the limit on all answers."""
        return self._buffer.counted_bytes(self.size_bytes)


class AnswerBuffer:
    """Limits on the size of one answer and of all answers of a host.

    Parameters
    ----------
    answer_limit_bytes : int
        Largest answer.
    total_limit_bytes : int
        Most bytes of all answers at a time.
    free_bytes : int, default=0
        Bytes of each answer that do not count against that limit, so that large ones
        take no room from small ones.

    Attributes
    ----------
    used_bytes : int
        Bytes that are reserved now.
    """

    __slots__ = ("answer_limit_bytes", "free_bytes", "total_limit_bytes", "used_bytes")

    def __init__(
        self, *, answer_limit_bytes: int, total_limit_bytes: int, free_bytes: int = 0
    ) -> None:
        self.answer_limit_bytes = answer_limit_bytes
        self.free_bytes = free_bytes
        self.total_limit_bytes = total_limit_bytes
        self.used_bytes = 0

    def counted_bytes(self, size_bytes: int) -> int:
        """Return how much of an answer counts against the limit on all of them."""
        return max(0, size_bytes - self.free_bytes)

    @contextmanager
    def reservation(self) -> Iterator[AnswerReservation]:
        """Return the reservation of one answer, released at the end of the context."""
        reservation = AnswerReservation(self)
        try:
            yield reservation
        finally:
            self.used_bytes -= reservation.counted_bytes
