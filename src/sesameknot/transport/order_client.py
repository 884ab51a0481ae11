"""Orders to model engines over HTTP.

- ``GET <url>/load``: the engine's state with its loaded ``versions`` and the highest
  ``fence`` it has seen.
- ``POST <url>/orders`` with ``{"kind": "load", "model", "version", "fence"}``: load a
  version; 409 if the engine has seen a higher fence and checks it.
"""

import json
from dataclasses import dataclass
from typing import Any

from tornado.httpclient import HTTPClientError, HTTPRequest, HTTPResponse
from tornado.simple_httpclient import SimpleAsyncHTTPClient

from sesameknot.errors import RouterError, TransportError

STALE_FENCE_STATUS = 409
READ_TIMEOUT_S = 2.0


class StaleFenceError(RouterError):
    """The engine has seen a higher fence than that of the order."""


@dataclass(slots=True, frozen=True, kw_only=True)
class EngineState:
    """What an engine says about its versions.

    Parameters
    ----------
    versions : tuple of str, default=()
        Loaded versions as ``model/version``; an engine that lists none serves
        whichever version a request names.
    fence : int, default=0
        Highest fence that it has seen.
    """

    versions: tuple[str, ...] = ()
    fence: int = 0

    def serves(self, model: str, version: str) -> bool:
        """Return whether requests for the version can be sent."""
        return not self.versions or f"{model}/{version}" in self.versions


class OrderClient:
    """Send orders to engines and read their state.

    Parameters
    ----------
    timeout_s : float, default=10.0
        Time for one order. A successor of an order's sender waits at least this
        long before it trusts what an engine without fencing says.
    """

    def __init__(self, *, timeout_s: float = 10.0) -> None:
        self.timeout_s = timeout_s
        self._http = SimpleAsyncHTTPClient(force_instance=True, max_clients=64)

    async def state(self, url: str) -> EngineState:
        """Return the present state of the engine at ``url``.

        Raises
        ------
        RouterError
            If the engine cannot be reached or answers something else.
        """
        response = await self._fetch(f"{url}/load", timeout_s=READ_TIMEOUT_S)
        return _state(response, url)

    async def load(self, url: str, *, model: str, version: str, fence: int) -> None:
        """Order the engine at ``url`` to load a version.

        Raises
        ------
        StaleFenceError
            If the engine refuses the fence.
        RouterError
            If the outcome is unknown or the order failed.
        """
        order = {"kind": "load", "model": model, "version": version, "fence": fence}
        response = await self._fetch(
            f"{url}/orders", timeout_s=self.timeout_s, body=json.dumps(order)
        )
        if response.code == STALE_FENCE_STATUS:
            raise StaleFenceError(
                f"fence {fence} is refused as old", step="load", peer=url
            )
        if response.error is not None:
            raise TransportError(str(response.error), step="load", peer=url)

    async def _fetch(
        self, url: str, *, timeout_s: float, body: str | None = None
    ) -> HTTPResponse:
        request = HTTPRequest(
            url,
            method="GET" if body is None else "POST",
            body=body,
            connect_timeout=timeout_s,
            request_timeout=timeout_s,
        )
        try:
            return await self._http.fetch(request, raise_error=False)
        except (HTTPClientError, OSError) as error:
            raise TransportError(str(error), step="order", peer=url) from error

    def close(self) -> None:
        """Close the HTTP client."""
        self._http.close()


def _state(response: HTTPResponse, url: str) -> EngineState:
    if response.error is not None:
        raise TransportError(str(response.error), step="load", peer=url)
    try:
        body: dict[str, Any] = json.loads(response.body)
        return EngineState(
            versions=tuple(str(name) for name in body["versions"]),
            fence=int(body.get("fence", 0)),
        )
    except (ValueError, KeyError, TypeError) as error:
        raise RouterError(
            f"state is malformed: {error!r}", step="load", peer=url
        ) from error
