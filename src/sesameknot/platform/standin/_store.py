"""Stand-in for the platform's metadata store."""

import asyncio
import json
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from tornado.httpserver import HTTPServer
from tornado.web import Application, RequestHandler

from sesameknot.platform._store_era import ERA_HEADER

OK_STATUS = 200
NOT_FOUND_STATUS = 404
CONFLICT_STATUS = 409
GONE_STATUS = 410
PAGE_ITEM_COUNT = 500

JsonObject = dict[str, Any]
JsonObjects = list[JsonObject]


@dataclass(slots=True, frozen=True)
class StoreCopy:
    """Content of the store at one revision; ``objects`` is JSON."""

    revision: int
    objects: str


class FleetStore:
    """Store of objects with revisions and watches, and with switches for faults.

    Attributes
    ----------
    refuse_status : int
        Status with which every call is refused; 0 serves calls.
    silent : bool
        Whether calls are accepted but never answered.
    lose_write_answers : bool
        Whether a write is applied and its connection closed without an answer.
    withhold_changes : bool
        Whether a watch is answered only at the end of its wait when changes arrive.
    silenced_count : int
        Calls, the first ones, whose connections stay open without an answer if they
        have none yet; set by :meth:`silence_open`.
    delay_s : float
        Time before each call is handled.
    call_count : int
        Calls received.
    era : str
        Value of the era header in all answers; :meth:`restore` raises it by one.
    """

    def __init__(self) -> None:
        self.revision = 1
        self.refuse_status = 0
        self.silent = False
        self.lose_write_answers = False
        self.withhold_changes = False
        self.silenced_count = 0
        self.delay_s = 0.0
        self.call_count = 0
        self.era = "1"
        self._objects: dict[tuple[str, str], JsonObject] = {}
        self._history: list[tuple[int, str, JsonObject, bool]] = []
        self._history_start_revision = 1
        self._change_event = asyncio.Event()
        # JSON texts that json.dumps can't write, by the value that stands for them.
        self._spec_texts: dict[str, str] = {}

    def server(self) -> HTTPServer:
        """Return an HTTP server that serves this store."""
        options = {"store": self}
        routes = [
            (r"/sesameknot/objects/([^/]+)", _KindHandler, options),
            (r"/sesameknot/objects/([^/]+)/([^/]+)", _ObjectHandler, options),
            (r"/sesameknot/objects/([^/]+)/([^/]+)/status", _StatusHandler, options),
        ]
        return HTTPServer(Application(routes, log_function=lambda _: None))

    def silence_open(self) -> None:
        """Let connections with a call in progress go silent; later ones work."""
        self.silenced_count = self.call_count

    def get(self, kind: str, name: str) -> JsonObject | None:
        """Return an object; None if it does not exist."""
        return self._objects.get((kind, name))

    def put(self, kind: str, name: str, spec: Any) -> JsonObject:
        """Create or replace an object, as the operator or an endpoint would."""
        return self._write(kind, name, Spec=spec)

    def put_text(self, kind: str, name: str, spec_text: str) -> JsonObject:
        """Create or replace an object whose spec is the JSON text ``spec_text``."""
        mark = f"spec text {len(self._spec_texts)}"
        self._spec_texts[mark] = spec_text
        return self.put(kind, name, mark)

    def json_text(self, body: Any) -> str:
        """Return an answer's JSON, with the texts of :meth:`put_text` as written."""
        text = json.dumps(body)
        for mark, spec_text in self._spec_texts.items():
            text = text.replace(json.dumps(mark), spec_text)
        return text

    def put_status(self, kind: str, name: str, status: Any) -> JsonObject:
        """Replace an object's status."""
        return self._write(kind, name, Status=status)

    def remove(self, kind: str, name: str) -> None:
        """Remove an object."""
        item = self._objects.pop((kind, name), None)
        if item is not None:
            self._record(kind, item, removed=True)

    def drop_history(self) -> None:
        """Drop all changes so far; later watches from before now are answered 410.

        A watch that is already waiting is answered at the next change or at the end of
        its wait.
        """
        self._history.clear()
        self._history_start_revision = self.revision

    def copy(self) -> StoreCopy:
        """Return a copy from which the store can be restored."""
        return StoreCopy(self.revision, json.dumps(list(self._objects.items())))

    def restore(self, copy: StoreCopy) -> None:
        """Come back from a copy; later changes and their revisions are lost."""
        items = json.loads(copy.objects)
        self._objects = {(kind, name): item for (kind, name), item in items}
        self.revision = copy.revision
        self.drop_history()
        self.era = str(int(self.era) + 1)
        self._change_event.set()
        self._change_event = asyncio.Event()

    def list(self, kind: str) -> JsonObjects:
        """Return the objects of a kind, sorted by name."""
        return [self._objects[key] for key in sorted(self._objects) if key[0] == kind]

    def _write(self, kind: str, name: str, **fields: Any) -> JsonObject:
        previous = self._objects.get((kind, name))
        item = (
            json.loads(json.dumps(previous))
            if previous
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
        item.update(fields)
        if previous is not None and previous == item:
            return previous
        self._objects[kind, name] = item
        self._record(kind, item, removed=False)
        return item

    def _record(self, kind: str, item: JsonObject, *, removed: bool) -> None:
        self.revision += 1
        item["Metadata"]["Revision"] = self.revision
        self._history.append((self.revision, kind, item, removed))
        self._change_event.set()
        self._change_event = asyncio.Event()

    def events_after(self, kind: str, revision: int) -> JsonObjects | None:
        """Return the events of a kind after a revision; None if some were dropped."""
        if not self._history_start_revision <= revision <= self.revision:
            return None
        return [
            {"Object": item, "Tombstone": removed}
            for event_revision, event_kind, item, removed in self._history
            if event_revision > revision and event_kind == kind
        ]

    async def wait_for_change(self, wait_s: float) -> None:
        """Wait up to ``wait_s`` for any change."""
        try:
            async with asyncio.timeout(wait_s):
                await self._change_event.wait()
        except TimeoutError:
            pass


class _Handler(RequestHandler):
    """Base of the handlers: faults, JSON bodies and conditional writes."""

    def initialize(self, store: FleetStore) -> None:
        self._store = store

    async def prepare(self) -> None:
        self._store.call_count += 1
        self.set_header(ERA_HEADER, self._store.era)
        if self._store.silent:
            await asyncio.Event().wait()
        if self._store.delay_s:
            await asyncio.sleep(self._store.delay_s)
        if self._store.refuse_status:
            self.set_status(self._store.refuse_status)
            self.finish()

    def answer(self, status: int, body: Any = None) -> None:
        if self.request.method != "GET" and self._store.lose_write_answers:
            self.request.connection.close()
            return
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.set_header(ERA_HEADER, self._store.era)
        self.finish(self._store.json_text(body if body is not None else {}))

    def body(self) -> JsonObject:
        return json.loads(self.request.body)

    def conflicts(self, item: JsonObject, body: JsonObject) -> bool:
        expected = body.get("Metadata", {}).get("Revision")
        return expected is not None and expected != item["Metadata"]["Revision"]

    def replace(
        self,
        kind: str,
        name: str,
        field: str,
        write: Callable[[str, str, Any], JsonObject],
    ) -> None:
        """Write one field of an object unless the call expects another revision."""
        item = self._store.get(kind, name)
        body = self.body()
        if item is None:
            self.answer(NOT_FOUND_STATUS)
        elif self.conflicts(item, body):
            self.answer(CONFLICT_STATUS, item)
        else:
            self.answer(OK_STATUS, write(kind, name, body.get(field)))


class _KindHandler(_Handler):
    async def get(self, kind: str) -> None:
        store = self._store
        since_revision = self.get_argument("Watch", None)
        if since_revision is None:
            start_after = self.get_argument("StartAfter", "")
            items = [
                item
                for item in store.list(kind)
                if item["Metadata"]["Name"] > start_after
            ]
            page, remaining = items[:PAGE_ITEM_COUNT], items[PAGE_ITEM_COUNT:]
            self.answer(
                OK_STATUS,
                {"Items": page, "MorePages": bool(remaining), "AsOf": store.revision},
            )
            return
        wait_s = int(self.get_argument("WaitMs", "0")) / 1000.0
        deadline_s = asyncio.get_running_loop().time() + wait_s
        call_number = store.call_count
        while True:
            if call_number <= store.silenced_count:
                await asyncio.Event().wait()
            events = store.events_after(kind, int(since_revision))
            if events is None:
                self.answer(GONE_STATUS)
                return
            remaining_s = deadline_s - asyncio.get_running_loop().time()
            if events or remaining_s <= 0.0:
                self.answer(OK_STATUS, {"events": events, "AsOf": store.revision})
                return
            await store.wait_for_change(remaining_s)
            if store.withhold_changes:
                await asyncio.sleep(remaining_s)

    async def post(self, kind: str) -> None:
        body = self.body()
        name = body["Metadata"]["Name"]
        existing = self._store.get(kind, name)
        if existing is not None:
            self.answer(CONFLICT_STATUS, existing)
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
        expected = self.get_query_argument("Revision", None)
        if item and expected and int(expected) != item["Metadata"]["Revision"]:
            self.answer(CONFLICT_STATUS, item)
            return
        self._store.remove(kind, name)
        self.answer(OK_STATUS if item else NOT_FOUND_STATUS, item)


class _StatusHandler(_Handler):
    async def put(self, kind: str, name: str) -> None:
        self.replace(kind, name, "Status", self._store.put_status)
