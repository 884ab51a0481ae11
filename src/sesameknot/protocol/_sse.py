"""Incremental parser of server-sent events."""

from sesameknot.errors import FrameError

EVENT_LIMIT_BYTES = 256 * 1024


class SseParser:
    """Split a byte stream into the data of its events.

    Parameters
    ----------
    event_limit_bytes : int, default=262144
        Largest event; a longer one is an error.
    """

    __slots__ = ("_buffer", "event_limit_bytes")

    def __init__(self, *, event_limit_bytes: int = EVENT_LIMIT_BYTES) -> None:
        self.event_limit_bytes = event_limit_bytes
        self._buffer = b""

    @property
    def pending(self) -> bool:
        """Whether an incomplete event is buffered."""
        return bool(self._buffer.strip())

    def feed(self, data: bytes) -> list[bytes]:
        """Add ``data`` and return the data of the events that it completes.

        Raises
        ------
        FrameError
            If an event is longer than the limit.
        """
        if b"\r" in data or b"\r" in self._buffer:
            return self._feed_with_carriage_returns(data)
        return self._split(self._buffer + data)

    def _feed_with_carriage_returns(self, data: bytes) -> list[bytes]:
        joined = self._buffer + data
        # A trailing CR may be the first half of a CR LF pair.
        kept = b"\r" if joined.endswith(b"\r") else b""
        joined = joined[: len(joined) - len(kept)]
        events = self._split(joined.replace(b"\r\n", b"\n").replace(b"\r", b"\n"))
        self._buffer += kept
        return events

    def _split(self, joined: bytes) -> list[bytes]:
        *blocks, self._buffer = joined.split(b"\n\n")
        longest = max((len(block) for block in blocks), default=0)
        if max(longest, len(self._buffer)) > self.event_limit_bytes:
            self._buffer = b""
            raise FrameError(
                f"event above {self.event_limit_bytes} bytes", step="parse event"
            )
        return [data for data in map(_event_data, blocks) if data]


def _event_data(block: bytes) -> bytes:
    if block.startswith(b"data: ") and b"\n" not in block:
        return block[6:]
    lines = (line for line in block.split(b"\n") if line.startswith(b"data:"))
    return b"\n".join(line[5:].removeprefix(b" ") for line in lines)
