"""Calls to the routers' HTTP endpoints for operators."""

import asyncio
from collections.abc import Iterable
from dataclasses import dataclass

import msgspec
from tornado.httpclient import HTTPClientError, HTTPRequest
from tornado.simple_httpclient import SimpleAsyncHTTPClient

from sesameknot.clock import Clock
from sesameknot.errors import RouterError, TransportError
from sesameknot.operator.results import InForce
from sesameknot.protocol.messages import VersionStats
from sesameknot.protocol.objects import StoredObject
from sesameknot.protocol.operator_api import (
    OBJECTS_PATH,
    STATUS_PATH,
    TRAFFIC_PATH,
    RouterStatus,
    pushed_from_object,
    read_json,
)
from sesameknot.transport.peer_client import PeerClient

CALL_TIMEOUT_S = 1.5
POLL_INTERVAL_S = 0.1
CONCURRENT_CALL_COUNT = 64


@dataclass(slots=True, frozen=True, kw_only=True)
class RouterAnswer:
    """Status of the router at an address, or why there is none."""

    address: str
    status: RouterStatus | None = None
    error: str = ""


@dataclass(slots=True, frozen=True, kw_only=True)
class Targets:
    """Routers that a change must reach.

    Parameters
    ----------
    addresses : tuple of str
        HTTP addresses to push to and poll.
    host_ids : tuple of str
        Live routers of the roster and of its members' lists. Routers at
        ``addresses`` count too if they answer, or if no live router is known.
    """

    addresses: tuple[str, ...] = ()
    host_ids: tuple[str, ...] = ()


class RouterFleet:
    """Push objects to routers and read their status.

    Parameters
    ----------
    addresses : iterable of str
        HTTP addresses of routers as ``ip:port``.
    clock : Clock
        Source of monotonic time.
    token : str, default=""
        Operator token.
    peer : PeerClient or None, default=None
        Asks routers for members; None leaves ``addresses`` as the only routers.
    """

    def __init__(
        self,
        addresses: Iterable[str],
        *,
        clock: Clock,
        token: str = "",
        peer: PeerClient | None = None,
    ) -> None:
        self.addresses = tuple(addresses)
        self.token = token
        self.peer = peer
        self._clock = clock
        self._http = SimpleAsyncHTTPClient(
            force_instance=True, max_clients=CONCURRENT_CALL_COUNT
        )

    async def push(self, addresses: Iterable[str], objects: list[StoredObject]) -> None:
        """Send ``objects`` to the routers; those that fail are left to the spread."""
        body = msgspec.json.encode([pushed_from_object(stored) for stored in objects])
        await asyncio.gather(
            *(self._call(a, OBJECTS_PATH, body=body) for a in addresses),
            return_exceptions=True,
        )

    async def statuses(self, addresses: Iterable[str]) -> list[RouterAnswer]:
        """Return the answer of each router."""
        return await asyncio.gather(*(self._status(a) for a in addresses))

    async def traffic(self, address: str) -> list[VersionStats]:
        """Return the counters per version of one router.

        Raises
        ------
        RouterError
            If the router cannot be reached or answers something else.
        """
        data = await self._call(address, TRAFFIC_PATH)
        return read_json(data, list[VersionStats], peer=address)

    async def wait_in_force(
        self, targets: Targets, objects: list[StoredObject], *, wait_s: float
    ) -> InForce:
        """Push ``objects`` and poll until every target holds them.

        Returns
        -------
        InForce
            State when all acknowledged or ``wait_s`` passed.
        """
        await self.push(targets.addresses, objects)
        progress = _Progress(targets, objects)
        deadline_s = self._clock.monotonic_s() + wait_s
        while True:
            progress.update(await self.statuses(progress.pending_addresses()))
            result = progress.result()
            if result.complete or self._clock.monotonic_s() >= deadline_s:
                return result
            await asyncio.sleep(POLL_INTERVAL_S)

    async def _status(self, address: str) -> RouterAnswer:
        try:
            data = await self._call(address, STATUS_PATH)
            status = read_json(data, RouterStatus, peer=address)
        except RouterError as error:
            return RouterAnswer(address=address, error=error.message)
        return RouterAnswer(address=address, status=status)

    async def _call(
        self, address: str, path: str, *, body: bytes | None = None
    ) -> bytes:
        request = HTTPRequest(
            f"http://{address}{path}",
            method="GET" if body is None else "POST",
            body=body,
            headers={"Authorization": f"Bearer {self.token}"} if self.token else {},
            connect_timeout=CALL_TIMEOUT_S,
            request_timeout=CALL_TIMEOUT_S,
        )
        try:
            return (await self._http.fetch(request)).body
        except (HTTPClientError, OSError) as error:
            raise TransportError(str(error), step=path, peer=address) from error

    def close(self) -> None:
        """Close the connections."""
        if self.peer is not None:
            self.peer.close()
        self._http.close()


class _Progress:
    """Which routers hold the objects."""

    __slots__ = ("_confirmed", "_host_by_address", "_leaving", "_objects", "_targets")

    def __init__(self, targets: Targets, objects: list[StoredObject]) -> None:
        self._targets = targets
        self._objects = objects
        self._host_by_address: dict[str, str] = {}
        self._confirmed: set[str] = set()
        self._leaving: set[str] = set()

    def pending_addresses(self) -> list[str]:
        return [
            address
            for address in self._targets.addresses
            if self._host_by_address.get(address) not in self._confirmed
        ]

    def update(self, answers: list[RouterAnswer]) -> None:
        for answer in answers:
            status = answer.status
            if status is None:
                continue
            self._host_by_address[answer.address] = status.host_id
            if all(status.versions.get(o.key, 0) >= o.version for o in self._objects):
                self._confirmed.add(status.host_id)
            if status.draining:
                self._leaving.add(status.host_id)

    def result(self) -> InForce:
        names = [*self._targets.host_ids, *self._host_by_address.values()]
        if not self._targets.host_ids:
            names += [
                address
                for address in self._targets.addresses
                if address not in self._host_by_address
            ]
        # A leaving router takes no new work, so nothing needs to be in force there.
        expected = {
            name
            for name in names
            if name in self._confirmed or name not in self._leaving
        }
        return InForce(
            confirmed_count=len(expected & self._confirmed),
            host_count=len(expected),
            missing=sorted(expected - self._confirmed),
        )
