"""Stand-in for the platform's metadata store."""

import asyncio
import json
import time
from typing import Any
from urllib.parse import parse_qs, unquote, urlsplit

from stage.http import Message, head_bytes, read_message

PAGE_ITEM_COUNT = 500
ANSWER_S = 0.004


class Store:
    """Objects with revisions, lists in pages, watches and conditional writes.

    Attributes
    ----------
    log : list of tuple
        Monotonic time and text of what the operator and the servers wrote.
    after_page : callable or None
        Called with kind and number of each page of a list that was made up.
    refuse : bool
        Whether all calls are answered 503.
    """

    def __init__(self, ip: str) -> None:
        self.ip = ip
        self.port = 0
        self.revision = 10
        self.refuse = False
        self.after_page = None
        self.log: list[tuple[float, str]] = []
        self._objects: dict[tuple[str, str], dict[str, Any]] = {}
        self._events: list[tuple[int, str, dict[str, Any], bool]] = []
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None
        self._connections: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, self.ip, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def close(self) -> None:
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.close()
        for writer in self._connections:
            writer.transport.abort()

    def put(self, kind: str, name: str, **fields: Any) -> dict[str, Any]:
        """Create an object or replace some of its fields."""
        item = self._objects.get((kind, name))
        metadata = {"CreateRevision": self.revision + 1, "Finalizers": []}
        new = {
            "Metadata": {**(item["Metadata"] if item else metadata), "Name": name},
            "Spec": item["Spec"] if item else None,
            "Status": item["Status"] if item else None,
        }
        new["Metadata"].setdefault("Deleting", False)
        new.update(fields)
        if item is not None and new == item:
            return item
        self._objects[kind, name] = new
        self._record(kind, new, removed=False)
        return new

    def remove(self, kind: str, name: str) -> None:
        """Remove an object."""
        item = self._objects.pop((kind, name), None)
        if item is not None:
            self._record(kind, {**item, "Metadata": {**item["Metadata"]}}, removed=True)

    def note(self, text: str) -> float:
        """Record what was written and return the time."""
        now_s = time.monotonic()
        self.log.append((now_s, text))
        return now_s

    def _record(self, kind: str, item: dict[str, Any], *, removed: bool) -> None:
        self.revision += 1
        item["Metadata"]["Revision"] = self.revision
        self._events.append((self.revision, kind, item, removed))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._connections.add(writer)
        try:
            while (request := await read_message(reader)) is not None:
                await asyncio.sleep(ANSWER_S)
                status, body = await self._answer(request)
                data = json.dumps(body).encode()
                headers = {
                    "Content-Type": "application/json",
                    "Content-Length": str(len(data)),
                }
                writer.write(head_bytes(f"HTTP/1.1 {status} Status", headers) + data)
                await writer.drain()
                if request.headers.get("connection", "").lower() == "close":
                    break
        except OSError:
            pass
        finally:
            self._connections.discard(writer)
            writer.close()

    async def _answer(self, request: Message) -> tuple[int, Any]:
        if self.refuse:
            return 503, {}
        method, target = request.start[:2]
        url = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        parts = [unquote(part) for part in url.path.strip("/").split("/")[2:]]
        if method == "GET" and len(parts) == 1:
            if "Watch" in query:
                return await self._watch(parts[0], query)
            return 200, self._list(parts[0], query)
        return self._write(method, parts, query, json.loads(request.body or b"{}"))

    def _list(self, kind: str, query: dict[str, str]) -> dict[str, Any]:
        names = sorted(name for k, name in self._objects if k == kind)
        start = query.get("StartAfter", "")
        names = [name for name in names if name > start]
        page = names[:PAGE_ITEM_COUNT]
        body = {
            "Items": [self._objects[kind, name] for name in page],
            "MorePages": len(names) > len(page),
            "AsOf": self.revision,
        }
        if self.after_page is not None:
            # The answer's content is fixed here; the next page is asked for later.
            body = json.loads(json.dumps(body))
            self.after_page(kind, 1 if not start else 2)
        return body

    async def _watch(self, kind: str, query: dict[str, str]) -> tuple[int, Any]:
        since = int(query["Watch"])
        end_s = time.monotonic() + int(query.get("WaitMs", "0")) / 1000.0
        while True:
            events = [
                {"Object": item, "Tombstone": removed}
                for revision, event_kind, item, removed in self._events
                if revision > since and event_kind == kind
            ]
            left_s = end_s - time.monotonic()
            if events or left_s <= 0.0:
                return 200, {"events": events, "AsOf": self.revision}
            try:
                async with asyncio.timeout(left_s):
                    await self._changed.wait()
            except TimeoutError:
                continue

    def _write(
        self, method: str, parts: list[str], query: dict[str, str], body: dict[str, Any]
    ) -> tuple[int, Any]:
        kind = parts[0]
        name = parts[1] if len(parts) > 1 else body["Metadata"]["Name"]
        item = self._objects.get((kind, name))
        if method == "GET":
            return (200, item) if item else (404, {})
        if method == "POST":
            if item is not None:
                return 409, item
            return 200, self.put(kind, name, Spec=body.get("Spec"))
        if item is None:
            return 404, {}
        expected = body.get("Metadata", {}).get("Revision") or query.get("Revision")
        if expected is not None and int(expected) != item["Metadata"]["Revision"]:
            return 409, item
        if method == "DELETE":
            self.remove(kind, name)
            return 200, item
        field = "Status" if parts[2:] == ["status"] else "Spec"
        return 200, self.put(kind, name, **{field: body.get(field)})
