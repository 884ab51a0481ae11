"""Client of the platform's metadata store."""

import json
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import quote, urlencode

from tornado.httpclient import HTTPResponse

from sesameknot.errors import ConflictError, PlatformError
from sesameknot.platform._lenient_json import decode_json, is_nested_deeply
from sesameknot.platform._store_era import ERA_HEADER, StoreEra
from sesameknot.transport.json_http import TRANSFER_TIME, JsonHttpClient

CONFLICT_STATUS = 409
NOT_FOUND_STATUS = 404
GONE_STATUS = 410
# A page holds about 500 entries, so this limits a kind to about a million.
PAGE_LIMIT_COUNT = 2000


@dataclass(slots=True, frozen=True, kw_only=True)
class StoredEntry:
    """An object of the store at one revision.

    Parameters
    ----------
    kind, name : str
        Kind of the object, and its name within the kind.
    revision : int
        Revision of the store at the object's last change.
    spec, status : object
        Decoded JSON; None if the store sent no such field.
    deleted : bool
        Whether the object was deleted or is marked for deletion.
    """

    kind: str
    name: str
    revision: int
    spec: Any = None
    status: Any = None
    deleted: bool = False

    @property
    def key(self) -> str:
        """Key ``kind/name`` of the object in messages and errors."""
        return f"{self.kind}/{self.name}"


class EntryConflictError(ConflictError):
    """A conditional write failed; the store's answer holds the object.

    Parameters
    ----------
    message : str
        What was expected.
    entry : StoredEntry or None
        Object as it is in the store; None if the answer holds none.
    """

    def __init__(
        self, message: str, *, entry: StoredEntry | None, step: str, peer: str
    ) -> None:
        super().__init__(message, step=step, peer=peer)
        self.entry = entry


@dataclass(slots=True, frozen=True, kw_only=True)
class EntryBatch:
    """Result of a list or watch call.

    Parameters
    ----------
    entries : list of StoredEntry
        All entries of the kind, or those that changed.
    revision : int
        Revision of the store from which the next watch starts.
    history_lost : bool
        Whether the store dropped changes after the watched revision, so that a new
        list is needed.
    unreadable_count : int
        Entries left out because they have no valid name.
    era : int
        Times that the store came back from a copy; 0 if it does not tell. Revisions
        can be compared only within an era.
    transfer_s : float
        Time that the answer took to arrive after its beginning; it reflects the store
        as of its beginning.
    """

    entries: list[StoredEntry] = field(default_factory=list)
    revision: int = 0
    history_lost: bool = False
    unreadable_count: int = 0
    era: int = 0
    transfer_s: float = 0.0


class StoreClient:
    """Client that reads, watches and writes objects of the platform's store.

    Parameters
    ----------
    address : str
        ``ip:port`` of the store.
    timeout_s : float, default=1.0
        Time limit of each call; a watch has its own.

    Attributes
    ----------
    stale_call_count : int
        Calls made so far that allowed a stale answer; the platform charges a tenth for
        them.
    """

    def __init__(self, address: str, *, timeout_s: float = 1.0) -> None:
        self.stale_call_count = 0
        self._era = StoreEra()
        self._http = JsonHttpClient(_store_url(address), timeout_s=timeout_s)

    @property
    def call_count(self) -> int:
        """Calls made so far."""
        return self._http.call_count

    @property
    def era(self) -> int:
        """Times that the store came back from a copy, as its last answers say."""
        return self._era.value

    def redirect(self, address: str) -> None:
        """Send later calls to another ``ip:port``."""
        self._http.url = _store_url(address)

    async def list(self, kind: str, *, allow_stale: bool = False) -> EntryBatch:
        """Return all objects of ``kind``.

        A change may come between two pages, so the revision is that of the first page:
        a watch from there tells what later pages show already, and misses nothing.

        Parameters
        ----------
        allow_stale : bool, default=False
            Accept an answer that may be seconds old, at a tenth of a call's cost.

        Raises
        ------
        PlatformError
            If the store cannot be reached, rejects the call or comes back from a copy
            between two pages.
        """
        entries: list[StoredEntry] = []
        unreadable_count = 0
        first_revision = first_era = None
        start_after = ""
        for _ in range(PAGE_LIMIT_COUNT):
            query = {"StartAfter": start_after} if start_after else {}
            if allow_stale:
                query["StaleOk"] = "1"
                self.stale_call_count += 1
            response = await self._get(kind, query, "list")
            body = await self._json_body(response, "list")
            if first_revision is None:
                first_revision, first_era = _int_or_zero(body.get("AsOf")), self.era
            elif self.era != first_era:
                raise PlatformError(
                    f"got pages of eras {first_era} and {self.era}",
                    step="list",
                    peer=self._http.url,
                )
            parsed = [_parse_entry(kind, item) for item in _list_field(body, "Items")]
            entries += [entry for entry in parsed if entry is not None]
            unreadable_count += parsed.count(None)
            if (
                not body.get("MorePages")
                or not entries
                or entries[-1].name == start_after
            ):
                break
            start_after = entries[-1].name
        return EntryBatch(
            entries=entries,
            revision=first_revision or 0,
            unreadable_count=unreadable_count,
            era=self.era,
        )

    async def watch(
        self, kind: str, *, since_revision: int, wait_s: float, margin_s: float
    ) -> EntryBatch:
        """Wait up to ``wait_s`` for changes of ``kind`` after ``since_revision``.

        Raises
        ------
        PlatformError
            If the store fails or does not answer within ``wait_s`` plus ``margin_s``.
        """
        query = {"Watch": str(since_revision), "WaitMs": str(int(wait_s * 1000))}
        response = await self._get(kind, query, "watch", timeout_s=wait_s + margin_s)
        if response.code == GONE_STATUS:
            return EntryBatch(revision=since_revision, history_lost=True, era=self.era)
        body = await self._json_body(response, "watch")
        parsed = []
        for event in _list_field(body, "events"):
            if isinstance(event, dict):
                deleted = event.get("Tombstone") is True
                parsed.append(_parse_entry(kind, event.get("Object"), deleted=deleted))
            else:
                parsed.append(None)
        return EntryBatch(
            entries=[entry for entry in parsed if entry is not None],
            revision=max(since_revision, _int_or_zero(body.get("AsOf"))),
            unreadable_count=parsed.count(None),
            era=self.era,
            transfer_s=response.time_info.get(TRANSFER_TIME, 0.0),
        )

    async def create(self, kind: str, name: str, spec: object) -> StoredEntry:
        """Create an object.

        Raises
        ------
        EntryConflictError
            If the object already exists.
        PlatformError
            If the call fails; the object may have been created nevertheless.
        """
        body = {"Metadata": {"Name": name}, "Spec": spec}
        return await self._write("POST", kind, _object_path(kind), name, body, "create")

    async def replace(self, kind: str, name: str, spec: object) -> StoredEntry:
        """Replace an object's spec regardless of its revision."""
        body = {"Metadata": {"Name": name}, "Spec": spec}
        return await self._write(
            "PUT", kind, _object_path(kind, name), name, body, "replace"
        )

    async def write_status(
        self, kind: str, name: str, status: object, *, expected_revision: int
    ) -> StoredEntry:
        """Replace an object's status if it still has ``expected_revision``.

        Raises
        ------
        EntryConflictError
            If the object has another revision.
        PlatformError
            If the call fails; the write may have taken effect nevertheless.
        """
        body = {
            "Metadata": {"Name": name, "Revision": expected_revision},
            "Status": status,
        }
        path = f"{_object_path(kind, name)}/status"
        return await self._write("PUT", kind, path, name, body, "status")

    async def delete(
        self, kind: str, name: str, *, revision: int | None = None
    ) -> bool:
        """Delete an object if it exists, at any revision or only at the one given.

        Returns
        -------
        bool
            False if the object has another revision; it is kept then.

        Raises
        ------
        PlatformError
            If the store does not answer.
        """
        path = _object_path(kind, name)
        if revision is not None:
            path = f"{path}?{urlencode({'Revision': revision})}"
        response = await self._fetch("DELETE", path, step="delete")
        if response.code == CONFLICT_STATUS:
            return False
        if response.code != NOT_FOUND_STATUS:
            await self._json_body(response, "delete")
        return True

    async def _write(
        self, method: str, kind: str, path: str, name: str, body: object, step: str
    ) -> StoredEntry:
        response = await self._fetch(
            method,
            path,
            step=step,
            body=json.dumps(body),
            headers={"Content-Type": "application/json"},
        )
        if response.code == CONFLICT_STATUS:
            raise EntryConflictError(
                "the object already exists or has an unexpected revision",
                entry=await _conflicting_entry(kind, response.body),
                step=step,
                peer=f"{kind}/{name}",
            )
        entry = _parse_entry(kind, await self._json_body(response, step))
        if entry is None:
            raise PlatformError(
                "the store's answer contains no valid object",
                step=step,
                peer=f"{kind}/{name}",
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
        path = (
            f"{_object_path(kind)}?{urlencode(query)}" if query else _object_path(kind)
        )
        return await self._fetch("GET", path, step=step, timeout_s=timeout_s)

    async def _fetch(
        self, method: str, path: str, *, step: str, **options: Any
    ) -> HTTPResponse:
        response = await self._http.fetch(method, path, step=step, **options)
        self._era.observe(response.headers.get(ERA_HEADER))
        return response

    async def _json_body(self, response: HTTPResponse, step: str) -> dict[str, Any]:
        if response.error is not None:
            raise PlatformError(str(response.error), step=step, peer=self._http.url)
        body = await decode_json(response.body)
        if not isinstance(body, dict):
            raise PlatformError(
                "the store's answer is not a JSON object",
                step=step,
                peer=self._http.url,
            )
        return body

    def close(self) -> None:
        """Close the HTTP client; pending calls fail."""
        self._http.close()


def _store_url(address: str) -> str:
    return f"http://{address}"


def _object_path(kind: str, name: str = "") -> str:
    path = f"/sesameknot/objects/{quote(kind, safe='')}"
    return f"{path}/{quote(name, safe='')}" if name else path


async def _conflicting_entry(kind: str, body: bytes) -> StoredEntry | None:
    return _parse_entry(kind, await decode_json(body))


def _list_field(body: dict[str, Any], key: str) -> list[Any]:
    items = body.get(key)
    return items if isinstance(items, list) else []


def _int_or_zero(value: Any) -> int:
    return value if isinstance(value, int) and not isinstance(value, bool) else 0


def _parse_entry(kind: str, item: Any, *, deleted: bool = False) -> StoredEntry | None:
    if not isinstance(item, dict) or not isinstance(item.get("Metadata"), dict):
        return None
    metadata = item["Metadata"]
    name = metadata.get("Name")
    if not isinstance(name, str) or not name:
        return None
    return StoredEntry(
        kind=kind,
        name=name,
        revision=_int_or_zero(metadata.get("Revision")),
        spec=_content(item.get("Spec")),
        status=_content(item.get("Status")),
        deleted=deleted or metadata.get("Deleting") is True,
    )


def _content(value: Any) -> Any:
    """Return a value of an object; None if it can't be passed on to other hosts."""
    return None if is_nested_deeply(value) else value
