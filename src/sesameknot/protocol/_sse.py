"""Incremental parser of server-sent events."""

from sesameknot.errors import FrameError

EVENT_LIMIT_BYTES = 256 * 1024


class SseParser:
    """Parse a byte stream into the data of its server-sent events.

    Parameters
    ----------
    event_limit_bytes : int, default=262144
        Size limit of an event; a larger one raises an error.
    """

    __slots__ = ("_buffer", "event_limit_bytes")

    def __init__(self, *, event_limit_bytes: int = EVENT_LIMIT_BYTES) -> None:
        self.event_limit_bytes = event_limit_bytes
        self._buffer = b""

    @property
    def has_partial_event(self) -> bool:
        """Whether an incomplete event is buffered."""
        return bool(self._buffer.strip())

    def feed(self, data: bytes) -> list[bytes]:
        """Buffer ``data`` and return the data of the events that it completes.

        Raises
        ------
        FrameError
            If an event exceeds the size limit.
        """
        if b"\r" in data or b"\r" in self._buffer:
            return self._feed_normalizing_newlines(data)
        return self._split_events(self._buffer + data)

    def _feed_normalizing_newlines(self, data: bytes) -> list[bytes]:
        buffered = self._buffer + data
        # A trailing CR may be the first half of a CR LF pair.
        trailing_cr = b"\r" if buffered.endswith(b"\r") else b""
        buffered = buffered[: len(buffered) - len(trailing_cr)]
        events = self._split_events(
            buffered.replace(b"\r\n", b"\n").replace(b"\r", b"\n")
        )
        self._buffer += trailing_cr
        return events

    def _split_events(self, buffered: bytes) -> list[bytes]:
        *blocks, self._buffer = buffered.split(b"\n\n")
        largest_bytes = max((len(block) for block in blocks), default=0)
        if max(largest_bytes, len(self._buffer)) > self.event_limit_bytes:
            self._buffer = b""
            raise FrameError(
                f"event above {self.event_limit_bytes} bytes",
                step="parse event",
            )
        return [data for data in map(_event_data, blocks) if data]


def _event_data(block: bytes) -> bytes:
    if block.startswith(b"data: ") and b"\n" not in block:
        return block[6:]
    lines = (line for line in block.split(b"\n") if line.startswith(b"data:"))
    return b"\n".join(line[5:].removeprefix(b" ") for line in lines)
