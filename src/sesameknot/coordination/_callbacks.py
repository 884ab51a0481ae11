"""Notification of subscribers."""

from collections.abc import Callable, Iterable
from typing import TypeVar

import structlog

T = TypeVar("T")

log = structlog.get_logger(__name__)


def notify(callbacks: Iterable[Callable[[T], object]], value: T) -> None:
    """Call each of ``callbacks`` with ``value``; log exceptions and continue."""
    for callback in callbacks:
        try:
            callback(value)
        except Exception:
            log.exception("subscriber_failed", subject=type(value).__name__)
