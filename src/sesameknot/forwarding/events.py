"""Parser that splits a server-sent event stream into complete events."""

SEPARATORS = (b"\n\n", b"\r\n\r\n", b"\r\r")


class EventSplitter:
    """Buffers bytes and returns complete events only.

    A stream may break in the middle of an event. An incomplete event must not reach the
    caller, since the next endpoint sends the event again from its start.

    Parameters
    ----------
    last_event_id : str, default=""
        ID of the last event that the caller received.
    """

    __slots__ = ("_incomplete", "last_event_id")

    def __init__(self, last_event_id: str = "") -> None:
        self.last_event_id = last_event_id
        self._incomplete = b""

    @property
    def incomplete(self) -> bytes:
        """Bytes after the last complete event."""
        return self._incomplete

    def feed(self, data: bytes) -> bytes:
        """Add bytes and return all events that are now complete."""
        buffered = self._incomplete + data
        end = max(_event_end(buffered, separator) for separator in SEPARATORS)
        if end <= 0:
            self._incomplete = buffered
            return b""
        complete, self._incomplete = buffered[:end], buffered[end:]
        self._update_last_event_id(complete)
        return complete

    def discard_incomplete(self) -> None:
        """Discard the incomplete event."""
        self._incomplete = b""

    def _update_last_event_id(self, complete: bytes) -> None:
        for line in complete.splitlines():
            if line.startswith(b"id:"):
                self.last_event_id = line[3:].strip().decode("utf-8", "replace")


def _event_end(data: bytes, separator: bytes) -> int:
    index = data.rfind(separator)
    return index + len(separator) if index >= 0 else 0
