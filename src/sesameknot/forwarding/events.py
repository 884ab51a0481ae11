"""Split a stream of server-sent events at event ends."""

SEPARATORS = (b"\n\n", b"\r\n\r\n", b"\r\r")


class EventSplitter:
    """Collects bytes and returns whole events only.

    A stream may break in the middle of an event; the rest of such an event must not
    reach the caller, since another endpoint sends the event again.

    Parameters
    ----------
    last_event_id : str, default=""
        Last event that the caller has.
    """

    __slots__ = ("_rest", "last_event_id")

    def __init__(self, last_event_id: str = "") -> None:
        self.last_event_id = last_event_id
        self._rest = b""

    @property
    def rest(self) -> bytes:
        """Bytes after the last whole event."""
        return self._rest

    def feed(self, data: bytes) -> bytes:
        """Take bytes and return the whole events that are complete now."""
        buffered = self._rest + data
        end = max(_event_end(buffered, separator) for separator in SEPARATORS)
        if end <= 0:
            self._rest = buffered
            return b""
        whole, self._rest = buffered[:end], buffered[end:]
        self._note(whole)
        return whole

    def drop_rest(self) -> None:
        """Forget an unfinished event."""
        self._rest = b""

    def _note(self, whole: bytes) -> None:
        for line in whole.splitlines():
            if line.startswith(b"id:"):
                self.last_event_id = line[3:].strip().decode("utf-8", "replace")


def _event_end(data: bytes, separator: bytes) -> int:
    place = data.rfind(separator)
    return place + len(separator) if place >= 0 else 0
