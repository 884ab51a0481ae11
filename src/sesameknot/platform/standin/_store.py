"""Stand-in for the platform's metadata store."""

import asyncio
import json
from collections.abc import Callable
from typing import Any

from tornado.httpserver import HTTPServer
from tornado.web import Application, RequestHandler

OK_STATUS = 200
NOT_FOUND_STATUS = 404
CONFLICT_STATUS = 409
GONE_STATUS = 410
PAGE_COUNT = 500

Item = dict[str, Any]
Items = list[Item]


class FleetStore:
    """Objects by kind and name, one revision counter, watches and faults.

    Attributes
    ----------
    refuse_status : int
        Status of every answer while it is not 0; nothing is done then.
    silent : bool
        Whether calls are taken and never answered.
    lose_write_answers : bool
        Whether writes are done and their connections closed without an answer.
    withhold_changes : bool
        Whether changes are kept from the watches that wait now, for good.
    call_count : int
        Calls received.
    """

    def __init__(self) -> None:
        self.revision = 1
        self.refuse_status = 0
        self.silent = False
        self.lose_write_answers = False
        self.withhold_changes = False
        self.call_count = 0
        self._items: dict[tuple[str, str], Item] = {}
        self._history: list[tuple[int, str, Item, bool]] = []
        self._history_start = 1
        self._changed = asyncio.Event()

    def server(self) -> HTTPServer:
        """Return an HTTP server that serves this store."""
        options = {"store": self}
        routes = [
            (r"/sesameknot/objects/([^/]+)", _KindHandler, options),
            (r"/sesameknot/objects/([^/]+)/([^/]+)", _ObjectHandler, options),
            (r"/sesameknot/objects/([^/]+)/([^/]+)/status", _StatusHandler, options),
        ]
        return HTTPServer(Application(routes, log_function=lambda _: None))

    def get(self, kind: str, name: str) -> Item | None:
        """Return an object."""
        return self._items.get((kind, name))

    def put(self, kind: str, name: str, content: Any) -> Item:
        """Create or replace an object as the operator or an endpoint does."""
        return self._write(kind, name, Spec=content)

    def put_status(self, kind: str, name: str, status: Any) -> Item:
        """Replace an object's status."""
        return self._write(kind, name, Status=status)

    def remove(self, kind: str, name: str) -> None:
        """Remove an object."""
        item = self._items.pop((kind, name), None)
        if item is not None:
            self._record(kind, item, removed=True)

    def drop_history(self) -> None:
        """Forget all changes up to now; later watches from before get 410.

        A watch that is waiting hears of later changes only.
        """
        self._history.clear()
        self._history_start = self.revision

    def list(self, kind: str) -> Items:
        """Return the objects of a kind by name."""
        return [self._items[key] for key in sorted(self._items) if key[0] == kind]

    def _write(self, kind: str, name: str, **parts: Any) -> Item:
        old = self._items.get((kind, name))
        item = (
            json.loads(json.dumps(old))
            if old
            else {
                "Metadata": {
                    "Name": name,
                    "CreateRevision": self.revision + 1,
                    "Finalizers": [],
                    "Deleting": False,
                },
                "Spec": None,
                "Status": None,
            }
        )
        item.update(parts)
        if old is not None and old == item:
            return old
        self._items[kind, name] = item
        self._record(kind, item, removed=False)
        return item

    def _record(self, kind: str, item: Item, *, removed: bool) -> None:
        self.revision += 1
        item["Metadata"]["Revision"] = self.revision
        self._history.append((self.revision, kind, item, removed))
        self._changed.set()
        self._changed = asyncio.Event()

    def changes(self, kind: str, since: int) -> Items | None:
        """Return the events of a kind after a revision, None if they are gone."""
        if since < self._history_start:
            return None
        return [
            {"Object": item, "Tombstone": removed}
            for revision, changed_kind, item, removed in self._history
            if revision > since and changed_kind == kind
        ]

    async def wait_for_change(self, wait_s: float) -> None:
        """Wait for any change."""
        try:
            async with asyncio.timeout(wait_s):
                await self._changed.wait()
        except TimeoutError:
            pass


class _Handler(RequestHandler):
    """Common parts: faults and JSON answers."""

    def initialize(self, store: FleetStore) -> None:
        self._store = store

    async def prepare(self) -> None:
        self._store.call_count += 1
        if self._store.silent:
            await asyncio.Event().wait()
        if self._store.refuse_status:
            self.set_status(self._store.refuse_status)
            self.finish()

    def answer(self, status: int, body: Any = None) -> None:
        if self.request.method != "GET" and self._store.lose_write_answers:
            self.request.connection.close()
            return
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.finish(json.dumps(body if body is not None else {}))

    def body(self) -> Item:
        return json.loads(self.request.body)

    def conflicts(self, item: Item, body: Item) -> bool:
        expected = body.get("Metadata", {}).get("Revision")
        return expected is not None and expected != item["Metadata"]["Revision"]

    def replace(
        self, kind: str, name: str, part: str, write: Callable[[str, str, Any], Item]
    ) -> None:
        """Write one part of an object if its revision is the expected one."""
        item = self._store.get(kind, name)
        body = self.body()
        if item is None:
            self.answer(NOT_FOUND_STATUS)
        elif self.conflicts(item, body):
            self.answer(CONFLICT_STATUS, item)
        else:
            self.answer(OK_STATUS, write(kind, name, body.get(part)))


class _KindHandler(_Handler):
    async def get(self, kind: str) -> None:
        store = self._store
        watch = self.get_argument("Watch", None)
        if watch is None:
            after = self.get_argument("StartAfter", "")
            items = [i for i in store.list(kind) if i["Metadata"]["Name"] > after]
            page, rest = items[:PAGE_COUNT], items[PAGE_COUNT:]
            self.answer(
                OK_STATUS,
                {"Items": page, "MorePages": bool(rest), "AsOf": store.revision},
            )
            return
        wait_s = int(self.get_argument("WaitMs", "0")) / 1000.0
        deadline_s = asyncio.get_running_loop().time() + wait_s
        while True:
            events = store.changes(kind, int(watch))
            if events is None:
                self.answer(GONE_STATUS)
                return
            left_s = deadline_s - asyncio.get_running_loop().time()
            if events or left_s <= 0.0:
                self.answer(OK_STATUS, {"events": events, "AsOf": store.revision})
                return
            await store.wait_for_change(left_s)
            if store.withhold_changes:
                await asyncio.sleep(left_s)

    async def post(self, kind: str) -> None:
        body = self.body()
        name = body["Metadata"]["Name"]
        present = self._store.get(kind, name)
        if present is not None:
            self.answer(CONFLICT_STATUS, present)
            return
        self.answer(OK_STATUS, self._store.put(kind, name, body.get("Spec")))


class _ObjectHandler(_Handler):
    async def get(self, kind: str, name: str) -> None:
        item = self._store.get(kind, name)
        self.answer(OK_STATUS if item else NOT_FOUND_STATUS, item)

    async def put(self, kind: str, name: str) -> None:
        self.replace(kind, name, "Spec", self._store.put)

    async def delete(self, kind: str, name: str) -> None:
        item = self._store.get(kind, name)
        self._store.remove(kind, name)
        self.answer(OK_STATUS if item else NOT_FOUND_STATUS, item)


class _StatusHandler(_Handler):
    async def put(self, kind: str, name: str) -> None:
        self.replace(kind, name, "Status", self._store.put_status)
