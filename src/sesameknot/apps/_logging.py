"""Log configuration of all binaries: one JSON object per line."""

import asyncio
import errno
import logging
import os
import sys
import time
from collections import deque
from typing import TextIO

import structlog

LIBRARY_MESSAGE_LIMIT_CHARS = 300


def configure_logging(level: str, *, writer: "BoundedLogWriter | None" = None) -> None:
    """Write lines of at least ``level`` as JSON.

    Parameters
    ----------
    level : str
        Name of the least severe level.
    writer : BoundedLogWriter or None, default=None
        Receiver of the lines; standard error by default.
    """
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            logging.getLevelNamesMapping()[level.upper()]
        ),
        logger_factory=structlog.WriteLoggerFactory(file=writer or sys.stderr),
        cache_logger_on_first_use=True,
    )
    logging.getLogger().handlers[:] = [LibraryLogHandler(logging.WARNING)]


class LibraryLogHandler(logging.Handler):
    """Writes what libraries log as lines of the same form, without their traces."""

    def emit(self, record: logging.LogRecord) -> None:
        """Write one line; the library's own handler would block on a slow reader."""
        error = record.exc_info[1] if record.exc_info else None
        structlog.get_logger(__name__).warning(
            "library_message",
            library=record.name,
            message=record.getMessage()[:LIBRARY_MESSAGE_LIMIT_CHARS],
            error=repr(error) if error else "",
        )


class BoundedLogWriter:
    """File-like receiver of log lines that never blocks and bounds their volume.

    Lines beyond the rate or the queue are dropped and counted; the count is written
    with the next line that finds room.

    Parameters
    ----------
    file : file object
        Where lines go; its descriptor is made non-blocking.
    lines_per_s : int
        Most lines per second, with a burst of one second.
    queue_count : int
        Most lines that wait for a slow reader.
    """

    __slots__ = (
        "__weakref__",
        "_descriptor",
        "_part",
        "_queue",
        "_refilled_s",
        "_tokens",
        "_waiting",
        "dropped_count",
        "lines_per_s",
        "queue_count",
    )

    def __init__(self, file: TextIO, *, lines_per_s: int, queue_count: int) -> None:
        self.lines_per_s = lines_per_s
        self.queue_count = queue_count
        self.dropped_count = 0
        self._descriptor = file.fileno()
        os.set_blocking(self._descriptor, False)
        self._queue: deque[bytes] = deque()
        self._part = b""
        self._tokens = float(lines_per_s)
        self._refilled_s = time.monotonic()
        self._waiting = False

    def write(self, text: str) -> None:
        """Take a line or drop it."""
        if not self._take() or len(self._queue) >= self.queue_count:
            self.dropped_count += 1
            return
        if self.dropped_count:
            note = f'{{"event": "log_lines_dropped", "count": {self.dropped_count}}}\n'
            self.dropped_count = 0
            self._queue.append(note.encode())
        self._queue.append(text.encode("utf-8", "replace"))
        if not self._waiting:
            self._send()

    def flush(self) -> None:
        """Do nothing; lines are sent as the reader takes them."""

    def _take(self) -> bool:
        now_s = time.monotonic()
        gained = (now_s - self._refilled_s) * self.lines_per_s
        self._tokens = min(float(self.lines_per_s), self._tokens + gained)
        self._refilled_s = now_s
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def _send(self) -> None:
        while self._part or self._queue:
            if not self._part:
                self._part = self._queue.popleft()
            try:
                sent = os.write(self._descriptor, self._part)
            except BlockingIOError:
                self._wait_for_room()
                return
            except OSError as error:
                # The reader is gone; lines that are kept could never be sent.
                self._queue.clear()
                self._part = b""
                if error.errno != errno.EPIPE:
                    self.dropped_count += 1
                return
            self._part = self._part[sent:]

    def _wait_for_room(self) -> None:
        try:
            loop = asyncio.get_running_loop()
            loop.add_writer(self._descriptor, self._resume)
            self._waiting = True
        except (RuntimeError, OSError, ValueError):
            # No loop runs yet; the next line tries again.
            self._waiting = False

    def _resume(self) -> None:
        asyncio.get_running_loop().remove_writer(self._descriptor)
        self._waiting = False
        self._send()
