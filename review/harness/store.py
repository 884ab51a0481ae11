"""Stand-in of the platform's metadata store.

It keeps each object's content as the JSON text that its writer sent. Every client gets
an address of its own, at which the store may turn it away.
"""

import asyncio
import contextlib
import json
from dataclasses import dataclass
from typing import Any
from urllib.parse import parse_qs, unquote, urlsplit

from harness.http import Message, head_bytes, read_request

PREFIX = "/sesameknot/objects/"
PAGE_LIMIT_COUNT = 500
PAGE_LIMIT_BYTES = 1024 * 1024
ANSWER_DELAY_S = 0.004


@dataclass(slots=True)
class StoredObject:
    """An object; ``spec`` and ``status`` are JSON texts."""

    name: str
    spec: str
    status: str
    revision: int
    create_revision: int

    @property
    def text(self) -> str:
        """JSON text of the object."""
        metadata = json.dumps(
            {
                "Name": self.name,
                "Revision": self.revision,
                "CreateRevision": self.create_revision,
                "Finalizers": [],
                "Deleting": False,
            }
        )
        return f'{{"Metadata":{metadata},"Spec":{self.spec},"Status":{self.status}}}'


class Gate:
    """Address of the store for one client.

    Attributes
    ----------
    mode : str
        ``pass``, or ``busy`` to answer every call with 503.
    """

    def __init__(self) -> None:
        self.mode = "pass"
        self.address = ""
        self.closed = asyncio.Event()

    def turn_away(self) -> None:
        """Answer all calls with 503 from now on and cut off the waiting watches."""
        self.mode = "busy"
        self.closed.set()
        self.closed = asyncio.Event()

    def admit(self) -> None:
        """Serve calls again."""
        self.mode = "pass"


class Store:
    """The store: objects, revisions, watches."""

    def __init__(self) -> None:
        self.revision = 100
        self._objects: dict[tuple[str, str], StoredObject] = {}
        self._events: list[tuple[int, str, str]] = []
        self._changed = asyncio.Event()
        self._servers: list[asyncio.Server] = []

    async def listen(self, ip: str) -> Gate:
        """Return a new gate that listens on ``ip``."""
        gate = Gate()

        async def handle(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            with contextlib.suppress(ConnectionError):
                await self._serve(gate, reader, writer)
            writer.close()

        server = await asyncio.start_server(handle, ip, 0)
        port = server.sockets[0].getsockname()[1]
        gate.address = f"{ip}:{port}"
        self._servers.append(server)
        return gate

    def close(self) -> None:
        """Stop listening."""
        for server in self._servers:
            server.close()

    def get(self, kind: str, name: str) -> StoredObject | None:
        """Return an object."""
        return self._objects.get((kind, name))

    def put(self, kind: str, name: str, spec: Any) -> StoredObject:
        """Create an object or replace its spec."""
        return self.put_text(kind, name, json.dumps(spec))

    def put_text(self, kind: str, name: str, spec: str) -> StoredObject:
        """Create an object or replace its spec, given as JSON text."""
        item = self._objects.get((kind, name))
        if item is None:
            item = StoredObject(name, spec, "null", 0, self.revision + 1)
            self._objects[kind, name] = item
        elif item.spec == spec:
            return item
        item.spec = spec
        self._record(kind, item, removed=False)
        return item

    def put_status(self, kind: str, name: str, status: Any) -> None:
        """Replace the status of an object."""
        item = self._objects[kind, name]
        text = json.dumps(status)
        if item.status != text:
            item.status = text
            self._record(kind, item, removed=False)

    def remove(self, kind: str, name: str) -> None:
        """Remove an object if it exists."""
        item = self._objects.pop((kind, name), None)
        if item is not None:
            self._record(kind, item, removed=True)

    def _record(self, kind: str, item: StoredObject, *, removed: bool) -> None:
        self.revision += 1
        item.revision = self.revision
        tombstone = "true" if removed else "false"
        event = f'{{"Object":{item.text},"Tombstone":{tombstone}}}'
        self._events.append((self.revision, kind, event))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(
        self, gate: Gate, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while (request := await read_request(reader)) is not None:
            await asyncio.sleep(ANSWER_DELAY_S)
            status, body = 503, "{}"
            if gate.mode == "pass":
                status, body = await self._answer(gate, request)
            if status == 0:
                return
            data = body.encode()
            headers = {
                "Content-Type": "application/json",
                "Content-Length": str(len(data)),
                "Store-Era": "1",
            }
            writer.write(head_bytes(f"HTTP/1.1 {status} Answer", headers) + data)
            await writer.drain()

    async def _answer(self, gate: Gate, request: Message) -> tuple[int, str]:
        method, target, _ = request.start.split(" ")
        url = urlsplit(target)
        query = {key: values[0] for key, values in parse_qs(url.query).items()}
        kind, _, rest = url.path.removeprefix(PREFIX).partition("/")
        name, _, part = unquote(rest).partition("/")
        if method == "GET" and "Watch" in query:
            return await self._watch(gate, kind, query)
        if method == "GET" and not name:
            return 200, self._page(kind, query.get("StartAfter", ""))
        if method == "GET":
            item = self.get(kind, name)
            return (200, item.text) if item else (404, "{}")
        return self._write(method, kind, name, part, request.body, query)

    def _write(
        self,
        method: str,
        kind: str,
        name: str,
        part: str,
        data: bytes,
        query: dict[str, str],
    ) -> tuple[int, str]:
        body = json.loads(data) if data else {}
        metadata = body.get("Metadata") or {}
        name = name or metadata["Name"]
        item = self.get(kind, name)
        if method == "POST":
            if item is not None:
                return 409, item.text
            return 200, self.put(kind, name, body.get("Spec")).text
        if item is None:
            return 404, "{}"
        expected = metadata.get("Revision", query.get("Revision"))
        if expected is not None and int(expected) != item.revision:
            return 409, item.text
        if method == "DELETE":
            self.remove(kind, name)
        elif part == "status":
            self.put_status(kind, name, body.get("Status"))
        else:
            self.put(kind, name, body.get("Spec"))
        return 200, item.text

    def _page(self, kind: str, start_after: str) -> str:
        names = sorted(
            name for k, name in self._objects if k == kind and name > start_after
        )
        items: list[str] = []
        size_bytes = 0
        more = False
        for name in names:
            text = self._objects[kind, name].text
            full = size_bytes + len(text) > PAGE_LIMIT_BYTES
            if items and (full or len(items) >= PAGE_LIMIT_COUNT):
                more = True
                break
            items.append(text)
            size_bytes += len(text)
        return (
            f'{{"Items":[{",".join(items)}],"MorePages":{json.dumps(more)},'
            f'"AsOf":{self.revision}}}'
        )

    async def _watch(
        self, gate: Gate, kind: str, query: dict[str, str]
    ) -> tuple[int, str]:
        since = int(query["Watch"])
        loop = asyncio.get_running_loop()
        end_s = loop.time() + int(query.get("WaitMs", "0")) / 1000.0
        closed = gate.closed
        while True:
            if closed.is_set():
                return 0, ""
            events = [e for r, k, e in self._events if k == kind and r > since]
            left_s = end_s - loop.time()
            if events or left_s <= 0.0:
                body = f'{{"events":[{",".join(events)}],"AsOf":{self.revision}}}'
                return 200, body
            waits = [
                asyncio.ensure_future(self._changed.wait()),
                asyncio.ensure_future(closed.wait()),
            ]
            await asyncio.wait(
                waits, timeout=left_s, return_when=asyncio.FIRST_COMPLETED
            )
            for wait in waits:
                wait.cancel()
