"""Client of the platform's metadata store."""

import json
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import quote, urlencode

import msgspec
from tornado.httpclient import HTTPResponse

from sesameknot.errors import ConflictError, PlatformError
from sesameknot.transport.json_http import JsonHttp

CONFLICT_STATUS = 409
NOT_FOUND_STATUS = 404
GONE_STATUS = 410
# A list call returns about 500 entries, so this bounds a kind at a million.
PAGE_LIMIT_COUNT = 2000


@dataclass(slots=True, frozen=True, kw_only=True)
class StoredEntry:
    """One object of the store.

    Parameters
    ----------
    kind, name : str
        Where it is stored.
    revision : int
        Revision of its last change.
    spec, status : object
        Decoded JSON; None if the store sent no such field.
    deleted : bool
        Whether the object no longer exists.
    """

    kind: str
    name: str
    revision: int
    spec: Any = None
    status: Any = None
    deleted: bool = False

    @property
    def key(self) -> str:
        """Kind and name, for messages."""
        return f"{self.kind}/{self.name}"


@dataclass(slots=True, frozen=True, kw_only=True)
class EntryBatch:
    """Entries of one list or watch call.

    Parameters
    ----------
    entries : list of StoredEntry
        All entries, or those that changed.
    revision : int
        Revision of the store from which to watch on.
    history_lost : bool
        Whether the store no longer keeps the changes, so that a list is needed.
    unreadable_count : int
        Entries without a readable name, which are left out.
    """

    entries: list[StoredEntry] = field(default_factory=list)
    revision: int = 0
    history_lost: bool = False
    unreadable_count: int = 0


class StoreClient:
    """Read, watch and write objects of the platform's store.

    Parameters
    ----------
    address : str
        ``ip:port`` of the store.
    timeout_s : float, default=1.0
        Time for one call; a watch waits longer.

    Attributes
    ----------
    stale_call_count : int
        Calls made so far that allowed a stale answer; they cost a tenth.
    """

    def __init__(self, address: str, *, timeout_s: float = 1.0) -> None:
        self.stale_call_count = 0
        self._http = JsonHttp(_url(address), timeout_s=timeout_s)

    @property
    def call_count(self) -> int:
        """Calls made so far."""
        return self._http.call_count

    def redirect(self, address: str) -> None:
        """Send later calls to another ``ip:port``."""
        self._http.url = _url(address)

    async def list(self, kind: str, *, allow_stale: bool = False) -> EntryBatch:
        """Return all objects of ``kind``.

        Parameters
        ----------
        allow_stale : bool, default=False
            Accept an answer that is seconds old at a tenth of the price.

        Raises
        ------
        PlatformError
            If the store cannot be reached or refuses.
        """
        entries: list[StoredEntry] = []
        unreadable_count = 0
        after = ""
        for _ in range(PAGE_LIMIT_COUNT):
            query = {"StartAfter": after} if after else {}
            if allow_stale:
                query["StaleOk"] = "1"
                self.stale_call_count += 1
            body = self._body(await self._get(kind, query, "list"), "list")
            found = [_entry(kind, item) for item in _items(body, "Items")]
            entries += [entry for entry in found if entry is not None]
            unreadable_count += found.count(None)
            if not body.get("MorePages") or not entries or entries[-1].name == after:
                break
            after = entries[-1].name
        return EntryBatch(
            entries=entries,
            revision=_whole(body.get("AsOf")),
            unreadable_count=unreadable_count,
        )

    async def watch(
        self, kind: str, *, since_revision: int, wait_s: float, margin_s: float
    ) -> EntryBatch:
        """Wait up to ``wait_s`` for changes of ``kind`` after ``since_revision``.

        Raises
        ------
        PlatformError
            If there was no answer within ``wait_s`` and ``margin_s``.
        """
        query = {"Watch": str(since_revision), "WaitMs": str(int(wait_s * 1000))}
        response = await self._get(kind, query, "watch", timeout_s=wait_s + margin_s)
        if response.code == GONE_STATUS:
            return EntryBatch(revision=since_revision, history_lost=True)
        body = self._body(response, "watch")
        found = []
        for event in _items(body, "events"):
            if isinstance(event, dict):
                gone = event.get("Tombstone") is True
                found.append(_entry(kind, event.get("Object"), deleted=gone))
            else:
                found.append(None)
        return EntryBatch(
            entries=[entry for entry in found if entry is not None],
            revision=max(since_revision, _whole(body.get("AsOf"))),
            unreadable_count=found.count(None),
        )

    async def create(self, kind: str, name: str, spec: object) -> StoredEntry:
        """Create an object.

        Raises
        ------
        ConflictError
            If it exists.
        PlatformError
            If the answer is lost; the object may have been created.
        """
        body = {"Metadata": {"Name": name}, "Spec": spec}
        return await self._write("POST", kind, _path(kind), name, body, "create")

    async def replace(self, kind: str, name: str, spec: object) -> StoredEntry:
        """Replace an object's spec, whatever its revision."""
        body = {"Metadata": {"Name": name}, "Spec": spec}
        return await self._write("PUT", kind, _path(kind, name), name, body, "replace")

    async def write_status(
        self, kind: str, name: str, status: object, *, expected_revision: int
    ) -> StoredEntry:
        """Replace an object's status if it still has ``expected_revision``.

        Raises
        ------
        ConflictError
            If it was changed since.
        PlatformError
            If the answer is lost; the write may have taken effect.
        """
        body = {
            "Metadata": {"Name": name, "Revision": expected_revision},
            "Status": status,
        }
        path = f"{_path(kind, name)}/status"
        return await self._write("PUT", kind, path, name, body, "status")

    async def delete(self, kind: str, name: str) -> None:
        """Delete an object; one that does not exist is no error."""
        response = await self._http.fetch("DELETE", _path(kind, name), step="delete")
        if response.code != NOT_FOUND_STATUS:
            self._body(response, "delete")

    async def _write(
        self, method: str, kind: str, path: str, name: str, body: object, step: str
    ) -> StoredEntry:
        response = await self._http.fetch(
            method,
            path,
            step=step,
            body=json.dumps(body),
            headers={"Content-Type": "application/json"},
        )
        if response.code == CONFLICT_STATUS:
            raise ConflictError(
                "the object has another revision", step=step, peer=f"{kind}/{name}"
            )
        entry = _entry(kind, self._body(response, step))
        if entry is None:
            raise PlatformError(
                "the answer holds no object", step=step, peer=f"{kind}/{name}"
            )
        return entry

    async def _get(
        self,
        kind: str,
        query: dict[str, str],
        step: str,
        *,
        timeout_s: float | None = None,
    ) -> HTTPResponse:
        path = f"{_path(kind)}?{urlencode(query)}" if query else _path(kind)
        return await self._http.fetch("GET", path, step=step, timeout_s=timeout_s)

    def _body(self, response: HTTPResponse, step: str) -> dict[str, Any]:
        if response.error is not None:
            raise PlatformError(str(response.error), step=step, peer=self._http.url)
        try:
            body = msgspec.json.decode(response.body)
        except msgspec.DecodeError:
            body = _lenient_json(response.body)
        if not isinstance(body, dict):
            raise PlatformError(
                "the answer is not a JSON object", step=step, peer=self._http.url
            )
        return body

    def close(self) -> None:
        """Close the HTTP client; waiting calls fail."""
        self._http.close()


def _url(address: str) -> str:
    return f"http://{address}"


def _path(kind: str, name: str = "") -> str:
    path = f"/sesameknot/objects/{quote(kind, safe='')}"
    return f"{path}/{quote(name, safe='')}" if name else path


def _lenient_json(data: bytes) -> Any:
    # An entry of another writer may hold bytes that are not UTF-8.
    try:
        return json.loads(data.decode("utf-8", "replace"))
    except (ValueError, RecursionError):
        return None


def _items(body: dict[str, Any], key: str) -> list[Any]:
    items = body.get(key)
    return items if isinstance(items, list) else []


def _whole(value: Any) -> int:
    return value if isinstance(value, int) and not isinstance(value, bool) else 0


def _entry(kind: str, item: Any, *, deleted: bool = False) -> StoredEntry | None:
    if not isinstance(item, dict) or not isinstance(item.get("Metadata"), dict):
        return None
    metadata = item["Metadata"]
    name = metadata.get("Name")
    if not isinstance(name, str) or not name:
        return None
    return StoredEntry(
        kind=kind,
        name=name,
        revision=_whole(metadata.get("Revision")),
        spec=item.get("Spec"),
        status=item.get("Status"),
        deleted=deleted or metadata.get("Deleting") is True,
    )
