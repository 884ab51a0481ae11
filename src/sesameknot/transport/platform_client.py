"""Client of the platform's object API.

The API is HTTP with JSON bodies:

- ``GET /v1/objects/<key>``: one object, 404 if absent.
- ``GET /v1/objects?prefix=P``: all objects below ``P`` and the store's version;
  ``prefix`` may be repeated to list objects below any of several.
- ``PUT /v1/objects/<key>`` with ``If-Match: <version>`` (0 creates): conditional
  update; 409 returns the current object.
- ``DELETE /v1/objects/<key>`` with ``If-Match``: conditional delete.
- ``GET /v1/watch?prefix=P&since=V&timeout_ms=T``: long poll for changes after ``V``;
  410 if ``V`` is older than the retained history. ``prefix`` may be repeated.
- ``GET /v1/hosts``: live and leaving hosts, with a delay.

An object is ``{"key", "version", "value", "write_id", "deleted"}``.
"""

import json
from collections.abc import Sequence
from typing import Any
from urllib.parse import quote, urlencode

from tornado.httpclient import HTTPResponse

from sesameknot.errors import ConflictError, PlatformError
from sesameknot.protocol.objects import PlatformHost, StoredObject, WatchBatch
from sesameknot.transport.json_http import JsonHttpClient

CONFLICT_STATUS = 409
NOT_FOUND_STATUS = 404
GONE_STATUS = 410
VALUE_LIMIT_BYTES = 1_000_000


class PlatformClient:
    """Read, write and watch objects.

    Parameters
    ----------
    url : str
        Base URL of the platform.
    timeout_s : float, default=2.0
        Limit for one call; a watch adds its own wait.
    token : str, default=""
        Bearer token sent with each call.
    """

    def __init__(self, url: str, *, timeout_s: float = 2.0, token: str = "") -> None:
        self._http = JsonHttpClient(url, timeout_s=timeout_s, token=token)
        self.url = self._http.url
        self.timeout_s = timeout_s
        self.call_count = 0

    async def get(self, key: str) -> StoredObject | None:
        """Return the object at ``key`` or None if there is none.

        Raises
        ------
        PlatformError
            If the platform cannot be reached or reports an error.
        """
        response = await self._fetch("GET", f"/v1/objects/{quote(key)}", step="get")
        if response.code == NOT_FOUND_STATUS:
            return None
        return _parse_object(self._parse_body(response, "get"))

    async def hosts(self) -> list[PlatformHost]:
        """Return the live and leaving hosts that the platform lists."""
        response = await self._fetch("GET", "/v1/hosts", step="hosts")
        return [
            PlatformHost(
                host_id=entry["host_id"],
                address=entry["address"],
                state=entry["state"],
            )
            for entry in self._parse_body(response, "hosts")["hosts"]
        ]

    async def list(self, prefix: str | Sequence[str]) -> WatchBatch:
        """Return all objects below ``prefix`` and the version of the store."""
        query = urlencode({"prefix": prefix}, doseq=True)
        response = await self._fetch("GET", f"/v1/objects?{query}", step="list")
        return _parse_batch(self._parse_body(response, "list"))

    async def put(
        self, key: str, value: Any, *, expected_version: int, write_id: str
    ) -> StoredObject:
        """Write ``value`` if the object's version is ``expected_version``.

        Parameters
        ----------
        key : str
            Key of the object.
        value : object
            JSON value.
        expected_version : int
            Version that the object must have; 0 if it must not exist.
        write_id : str
            Unique identifier of this write, stored in the object.

        Returns
        -------
        StoredObject
            The object as written.

        Raises
        ------
        ConflictError
            If the object has another version.
        PlatformError
            If the value is too large, or if no valid response was received and the
            write may have taken effect.
        """
        body = json.dumps({"value": value, "write_id": write_id})
        if len(body) > VALUE_LIMIT_BYTES:
            raise PlatformError(
                f"value of {len(body)} bytes, expected at most {VALUE_LIMIT_BYTES}",
                step="put",
                peer=key,
            )
        return await self._write("PUT", key, expected_version, body)

    async def delete(self, key: str, *, expected_version: int) -> StoredObject:
        """Delete the object if its version is ``expected_version``."""
        return await self._write("DELETE", key, expected_version, None)

    async def _write(
        self, method: str, key: str, expected_version: int, body: str | None
    ) -> StoredObject:
        step = method.lower()
        response = await self._fetch(
            method,
            f"/v1/objects/{quote(key)}",
            step=step,
            body=body,
            headers={"If-Match": str(expected_version)},
        )
        if response.code == CONFLICT_STATUS:
            current = _parse_object(json.loads(response.body))
            raise ConflictError(
                f"expected version {expected_version}, found {current.version} "
                f"written by {current.write_id!r}",
                version=current.version,
                step=step,
                peer=key,
            )
        return _parse_object(self._parse_body(response, step))

    async def put_with_read_back(
        self, key: str, value: Any, *, expected_version: int, write_id: str
    ) -> StoredObject:
        """Write like :meth:`put`; on an error, read the object to learn the outcome.

        Raises
        ------
        ConflictError
            If the object holds another write.
        PlatformError
            If the write failed or its outcome cannot be read.
        """
        try:
            return await self.put(
                key, value, expected_version=expected_version, write_id=write_id
            )
        except ConflictError as error:
            # An earlier try of this write may have taken effect without a response.
            current = await self.get(key)
            if current is not None and current.write_id == write_id:
                return current
            raise error
        except PlatformError as error:
            current = await self.get(key)
            if current is not None and current.write_id == write_id:
                return current
            raise error

    async def watch(
        self, prefix: str | Sequence[str], *, since: int, timeout_s: float
    ) -> WatchBatch:
        """Wait for changes below ``prefix`` after version ``since``.

        Parameters
        ----------
        prefix : str or sequence of str
            Prefix of the keys to watch, or several prefixes.
        since : int
            Version of the store after which changes are returned.
        timeout_s : float
            Time to wait for a change.

        Returns
        -------
        WatchBatch
            Changed objects, none if ``timeout_s`` passed; ``reset`` is set if the
            platform no longer retains the history after ``since``; then call
            :meth:`list`.
        """
        query = urlencode(
            {"prefix": prefix, "since": since, "timeout_ms": int(timeout_s * 1000)},
            doseq=True,
        )
        response = await self._fetch(
            "GET",
            f"/v1/watch?{query}",
            step="watch",
            timeout_s=timeout_s + self.timeout_s,
        )
        if response.code == GONE_STATUS:
            return WatchBatch(objects=[], version=since, reset=True)
        return _parse_batch(self._parse_body(response, "watch"))

    async def _fetch(
        self,
        method: str,
        path: str,
        *,
        step: str,
        body: str | None = None,
        headers: dict[str, str] | None = None,
        timeout_s: float | None = None,
    ) -> HTTPResponse:
        self.call_count += 1
        return await self._http.fetch(
            method, path, step=step, body=body, headers=headers, timeout_s=timeout_s
        )

    def _parse_body(self, response: HTTPResponse, step: str) -> Any:
        if response.error is not None:
            raise PlatformError(str(response.error), step=step, peer=self.url)
        try:
            return json.loads(response.body)
        except ValueError as error:
            raise PlatformError(
                f"response is not JSON: {error}", step=step, peer=self.url
            ) from error

    def close(self) -> None:
        """Close the HTTP client."""
        self._http.close()


def _parse_object(body: dict[str, Any]) -> StoredObject:
    try:
        return StoredObject(
            key=body["key"],
            version=int(body["version"]),
            value=body.get("value"),
            write_id=body.get("write_id", ""),
            deleted=bool(body.get("deleted", False)),
        )
    except (KeyError, TypeError, ValueError) as error:
        raise PlatformError(
            f"object is malformed: {error!r}", step="parse", peer=str(body)[:80]
        ) from error


def _parse_batch(body: dict[str, Any]) -> WatchBatch:
    return WatchBatch(
        objects=[_parse_object(entry) for entry in body["objects"]],
        version=int(body["version"]),
    )
