"""Log configuration of the binaries: one JSON object per line."""

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
    """Log events of at least ``level`` as lines of JSON.

    Parameters
    ----------
    level : str
        Name of the least severe level.
    writer : BoundedLogWriter or None, default=None
        Destination of the lines; standard error by default.
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
    """Logs the messages of libraries in the same format, without tracebacks."""

    def emit(self, record: logging.LogRecord) -> None:
        """Write one line; the standard handler would block on a slow reader."""
        error = record.exc_info[1] if record.exc_info else None
        structlog.get_logger(__name__).warning(
            "library_message",
            library=record.name,
            message=record.getMessage()[:LIBRARY_MESSAGE_LIMIT_CHARS],
            error=repr(error) if error else "",
        )


class BoundedLogWriter:
    """File-like writer of log lines that never blocks and limits their rate.

    Lines that exceed the rate or find the queue full are dropped and counted; the
    count is written before the next accepted line.

    Parameters
    ----------
    file : file object
        Destination of the lines; its descriptor is made non-blocking.
    lines_per_s : int
        Rate limit in lines per second; the burst limit is one second's worth.
    queue_count : int
        Maximum number of queued lines while the reader is slow.
    """

    __slots__ = (
        "__weakref__",
        "_awaiting_reader",
        "_descriptor",
        "_queue",
        "_refilled_s",
        "_tokens",
        "_unsent",
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
        self._unsent = b""
        self._tokens = float(lines_per_s)
        self._refilled_s = time.monotonic()
        self._awaiting_reader = False

    def write(self, text: str) -> None:
        """Queue a line, or drop it if a limit is exceeded."""
        if not self._take_token() or len(self._queue) >= self.queue_count:
            self.dropped_count += 1
            return
        if self.dropped_count:
            notice_line = (
                f'{{"event": "log_lines_dropped", "count": {self.dropped_count}}}\n'
            )
            self.dropped_count = 0
            self._queue.append(notice_line.encode())
        self._queue.append(text.encode("utf-8", "replace"))
        if not self._awaiting_reader:
            self._send()

    def flush(self) -> None:
        """Do nothing; lines are written when the reader accepts them."""

    def _take_token(self) -> bool:
        now_s = time.monotonic()
        refill_tokens = (now_s - self._refilled_s) * self.lines_per_s
        self._tokens = min(float(self.lines_per_s), self._tokens + refill_tokens)
        self._refilled_s = now_s
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def _send(self) -> None:
        while self._unsent or self._queue:
            if not self._unsent:
                self._unsent = self._queue.popleft()
            try:
                sent_count = os.write(self._descriptor, self._unsent)
            except BlockingIOError:
                self._send_when_writable()
                return
            except OSError as error:
                # The reader is gone, so that queued lines could never be written.
                self._queue.clear()
                self._unsent = b""
                if error.errno != errno.EPIPE:
                    self.dropped_count += 1
                return
            self._unsent = self._unsent[sent_count:]

    def _send_when_writable(self) -> None:
        try:
            loop = asyncio.get_running_loop()
            loop.add_writer(self._descriptor, self._resume)
            self._awaiting_reader = True
        except (RuntimeError, OSError, ValueError):
            # No event loop is running yet; the next line retries.
            self._awaiting_reader = False

    def _resume(self) -> None:
        asyncio.get_running_loop().remove_writer(self._descriptor)
        self._awaiting_reader = False
        self._send()
