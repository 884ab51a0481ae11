"""Parser that splits a server-sent event stream into complete events."""

import re

from sesameknot.errors import TransportError

# An event holds a few tokens; a larger one is not an answer.
EVENT_LIMIT_BYTES = 256 * 1024

_SEPARATOR = re.compile(rb"\r\n\r\n|\n\n|\r\r")
_SEPARATOR_MAX_BYTES = 4


class EventTooLargeError(TransportError):
    """The endpoint sent more bytes without the end of an event than is allowed."""


class EventSplitter:
    """Buffers bytes and returns complete events only.

    A stream may break in the middle of an event. An incomplete event must not reach the
    caller, since the next endpoint sends the event again from its start.

    Parameters
    ----------
    last_event_id : str, default=""
        ID of the last event that the caller received.

    Attributes
    ----------
    event_count : int
        Complete events so far; blocks of comments do not count.
    """

    __slots__ = ("_incomplete", "_searched_bytes", "event_count", "last_event_id")

    def __init__(self, last_event_id: str = "") -> None:
        self.last_event_id = last_event_id
        self.event_count = 0
        self._incomplete = bytearray()
        self._searched_bytes = 0

    @property
    def incomplete(self) -> bytes:
        """Bytes after the last complete event."""
        return bytes(self._incomplete)

    @property
    def incomplete_bytes(self) -> int:
        """Number of bytes after the last complete event."""
        return len(self._incomplete)

    def feed(self, data: bytes) -> bytes:
        """Add bytes and return all events that are now complete.

        Raises
        ------
        EventTooLargeError
            If an event does not end within ``EVENT_LIMIT_BYTES``.
        """
        self._incomplete += data
        end = self._find_end()
        complete = bytes(self._incomplete[:end])
        del self._incomplete[:end]
        self._searched_bytes = len(self._incomplete)
        if len(self._incomplete) > EVENT_LIMIT_BYTES:
            raise EventTooLargeError(
                f"no end of an event within {EVENT_LIMIT_BYTES} bytes", step="event"
            )
        self._read_fields(complete)
        return complete

    def _find_end(self) -> int:
        """Return the position after the last separator; 0 if there is none.

        Bytes that were searched before are not searched again, except for a separator
        that began among them.
        """
        start = max(0, self._searched_bytes - _SEPARATOR_MAX_BYTES + 1)
        end = 0
        for match in _SEPARATOR.finditer(self._incomplete, start):
            end = match.end()
        return end

    def discard_incomplete(self) -> None:
        """Discard the incomplete event."""
        self._incomplete.clear()
        self._searched_bytes = 0

    def _read_fields(self, complete: bytes) -> None:
        in_event = False
        for line in complete.splitlines():
            if not line:
                self.event_count += in_event
                in_event = False
            elif not line.startswith(b":"):
                in_event = True
                if line.startswith(b"id:"):
                    self.last_event_id = line[3:].strip().decode("utf-8", "replace")
