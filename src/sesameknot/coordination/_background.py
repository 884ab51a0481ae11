"""Background tasks of a component."""

import asyncio
from collections.abc import Coroutine
from typing import Any

import structlog

log = structlog.get_logger(__name__)


class BackgroundTasks:
    """Keep references to running tasks and log the exceptions of failed ones."""

    __slots__ = ("_tasks",)

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[Any]] = set()

    def spawn(self, coroutine: Coroutine[Any, Any, Any]) -> None:
        """Run ``coroutine`` as a background task."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._on_done)

    def cancel(self) -> None:
        """Cancel all running tasks."""
        for task in list(self._tasks):
            task.cancel()

    def _on_done(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log.error("background_task_failed", exc_info=task.exception())
