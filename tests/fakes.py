"""In-memory fake of the platform and its client, with fault injection."""

import asyncio
import functools
from collections.abc import Callable, Coroutine, Sequence
from typing import Any, TypeVar

from sesameknot.errors import ConflictError, PlatformError
from sesameknot.protocol.objects import PlatformHost, StoredObject, WatchBatch
from sesameknot.transport.platform_client import PlatformClient

DEFAULT_HISTORY_COUNT = 1000

T = TypeVar("T")


def _matches(key: str, prefix: str | Sequence[str]) -> bool:
    prefixes = (prefix,) if isinstance(prefix, str) else tuple(prefix)
    return key.startswith(prefixes)


def _on_platform(method: Callable[..., Coroutine[Any, Any, T]]) -> Callable[..., Any]:
    """Run ``method`` of a client on the platform's event loop, if it has one."""

    @functools.wraps(method)
    async def call(self: "FakePlatformClient", *args: Any, **options: Any) -> T:
        self.call_count += 1
        limit_s = self.timeout_s + options.get("timeout_s", 0.0)
        loop = self.platform.loop
        if loop is None:
            return await method(self, *args, **options)
        caller = asyncio.get_running_loop()
        future: asyncio.Future[T] = caller.create_future()

        def finish(task: asyncio.Task[T]) -> None:
            caller.call_soon(_copy_result, task, future)

        def start() -> None:
            task = loop.create_task(method(self, *args, **options))
            task.add_done_callback(finish)

        loop.call_soon(start)
        try:
            async with asyncio.timeout(limit_s):
                return await future
        except TimeoutError:
            raise PlatformError("no answer in time", step=method.__name__) from None

    return call


def _copy_result(task: asyncio.Task[T], future: asyncio.Future[T]) -> None:
    if future.done() or task.cancelled():
        return
    if task.exception() is not None:
        future.set_exception(task.exception())
    else:
        future.set_result(task.result())


class FakePlatform:
    """Versioned objects shared by all clients of one test.

    Attributes inject faults: ``down`` refuses calls, ``slow_s`` delays each call,
    ``lose_write_answers`` drops that many answers after the write took effect,
    ``lag_version`` answers reads as of that version, and ``cut_hosts`` cannot
    reach the platform. With a ``loop``, calls run on that loop, so that a paused
    caller receives an answer that is as old as the pause.
    """

    def __init__(self, *, history_count: int = DEFAULT_HISTORY_COUNT) -> None:
        self.history_count = history_count
        self.version = 0
        self.log: list[StoredObject] = []
        self.host_list: list[PlatformHost] = []
        self.down = False
        self.slow_s = 0.0
        self.lose_write_answers = 0
        self.lag_version: int | None = None
        self.cut_hosts: set[str] = set()
        self.loop: asyncio.AbstractEventLoop | None = None
        self.objects: dict[str, StoredObject] = {}
        self._change_events: set[asyncio.Event] = set()

    def client(self, host_id: str) -> "FakePlatformClient":
        """Return a client for the host ``host_id``."""
        return FakePlatformClient(self, host_id)

    def write(
        self, key: str, value: Any, *, write_id: str = "", deleted: bool = False
    ) -> StoredObject:
        """Write unconditionally, without a version check."""
        self.version += 1
        stored = StoredObject(key, self.version, value, write_id, deleted)
        self.objects[key] = stored
        self.log.append(stored)
        for event in list(self._change_events):
            event.set()
        return stored

    def visible_version(self) -> int:
        """Return the version as of which reads are answered."""
        return self.version if self.lag_version is None else self.lag_version

    async def wait(self, prefix: str | Sequence[str], since: int, limit_s: float):
        """Wait for a visible change under ``prefix`` after version ``since``."""
        event = asyncio.Event()
        self._change_events.add(event)
        try:
            async with asyncio.timeout(limit_s):
                while not self.changes(prefix, since):
                    event.clear()
                    await event.wait()
        except TimeoutError:
            pass
        finally:
            self._change_events.discard(event)

    def changes(self, prefix: str | Sequence[str], since: int) -> list[StoredObject]:
        """Return the newest visible write of each key, tombstones included."""
        limit = self.visible_version()
        newest = {
            entry.key: entry
            for entry in self.log
            if since < entry.version <= limit and _matches(entry.key, prefix)
        }
        return sorted(newest.values(), key=lambda entry: entry.version)


class FakePlatformClient(PlatformClient):
    """A ``PlatformClient`` whose calls go to a ``FakePlatform``."""

    def __init__(self, platform: FakePlatform, host_id: str) -> None:
        self.platform = platform
        self.host_id = host_id
        self.call_count = 0
        self.timeout_s = 2.0

    @_on_platform
    async def get(self, key: str) -> StoredObject | None:
        await self._begin("get")
        entries = self.platform.changes(key, 0)
        matches = [entry for entry in entries if entry.key == key and not entry.deleted]
        return matches[0] if matches else None

    @_on_platform
    async def hosts(self) -> list[PlatformHost]:
        await self._begin("hosts")
        return list(self.platform.host_list)

    @_on_platform
    async def list(self, prefix: str | Sequence[str]) -> WatchBatch:
        await self._begin("list")
        platform = self.platform
        return WatchBatch(platform.changes(prefix, 0), platform.visible_version())

    @_on_platform
    async def put(
        self, key: str, value: Any, *, expected_version: int, write_id: str
    ) -> StoredObject:
        await self._begin("put")
        self._check_version(key, expected_version)
        stored = self.platform.write(key, value, write_id=write_id)
        self._maybe_lose_write_answer(key)
        return stored

    @_on_platform
    async def delete(self, key: str, *, expected_version: int) -> StoredObject:
        await self._begin("delete")
        self._check_version(key, expected_version)
        stored = self.platform.write(key, None, deleted=True)
        self._maybe_lose_write_answer(key)
        return stored

    @_on_platform
    async def watch(
        self, prefix: str | Sequence[str], *, since: int, timeout_s: float
    ) -> WatchBatch:
        await self._begin("watch")
        platform = self.platform
        if since < platform.version - platform.history_count:
            return WatchBatch(version=since, reset=True)
        await platform.wait(prefix, since, timeout_s)
        self._check_reachable("watch")
        return WatchBatch(platform.changes(prefix, since), platform.visible_version())

    def close(self) -> None:
        """Do nothing; there is no connection."""

    async def _begin(self, step: str) -> None:
        self._check_reachable(step)
        slow_s = self.platform.slow_s
        if slow_s:
            await asyncio.sleep(min(slow_s, self.timeout_s))
        if slow_s > self.timeout_s:
            raise PlatformError("no answer in time", step=step, peer="platform")
        self._check_reachable(step)

    def _check_reachable(self, step: str) -> None:
        if self.platform.down or self.host_id in self.platform.cut_hosts:
            raise PlatformError("connection refused", step=step, peer="platform")

    def _check_version(self, key: str, expected_version: int) -> None:
        current = self.platform.objects.get(key)
        version = 0 if current is None or current.deleted else current.version
        if version != expected_version:
            raise ConflictError(
                f"expected version {expected_version}, found {version}",
                version=version,
                step="put",
                peer=key,
            )

    def _maybe_lose_write_answer(self, key: str) -> None:
        if self.platform.lose_write_answers > 0:
            self.platform.lose_write_answers -= 1
            raise PlatformError("answer lost", step="put", peer=key)
