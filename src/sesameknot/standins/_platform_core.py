"""Behaviour of the platform stand-in without its sockets."""

import asyncio
import dataclasses
import json
from dataclasses import dataclass, field
from typing import Any

from sesameknot.clock import Clock
from sesameknot.errors import ConflictError
from sesameknot.protocol.objects import PlatformHost, StoredObject, WatchBatch
from sesameknot.standins._platform_limits import (
    CallCounts,
    HostList,
    RateLimit,
    Switches,
)
from sesameknot.standins._platform_table import DEFAULT_HISTORY_COUNT, ObjectTable
from sesameknot.transport.platform_client import VALUE_LIMIT_BYTES

DEFAULT_WRITES_PER_S = 400.0
DEFAULT_READS_PER_S = 2000.0
DEFAULT_HOST_LAG_S = 2.0
WATCH_LIMIT_S = 60.0
# Room for the write identifier and the field names around the value.
BODY_OVERHEAD_BYTES = 4096

WRITE_KINDS = ("put", "delete")


class AnswerLostError(Exception):
    """The connection closes without an answer."""


@dataclass(slots=True)
class Call:
    """One call of the object API."""

    kind: str
    key: str = ""
    query: dict[str, str] = field(default_factory=dict)
    prefixes: tuple[str, ...] = ("",)
    body: bytes = b""
    if_match: str | None = None


@dataclass(slots=True)
class Answer:
    """Status and JSON body of an answer."""

    status: int
    body: Any


class PlatformCore:
    """Objects, limits and faults behind the HTTP server and the in-process client.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.
    writes_per_s, reads_per_s : float
        Rate limits; calls beyond them get status 429.
    history_count : int
        Changes that a watch can resume from.
    host_lag_s : float
        Age of the host list.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        writes_per_s: float = DEFAULT_WRITES_PER_S,
        reads_per_s: float = DEFAULT_READS_PER_S,
        history_count: int = DEFAULT_HISTORY_COUNT,
        host_lag_s: float = DEFAULT_HOST_LAG_S,
    ) -> None:
        self.table = ObjectTable(history_count)
        self.hosts = HostList(host_lag_s, clock=clock)
        self.counts = CallCounts()
        self.switches = Switches()
        self._old_table: ObjectTable | None = None
        self._writes = RateLimit(writes_per_s, clock=clock)
        self._reads = RateLimit(reads_per_s, clock=clock)
        self._changed = asyncio.Event()

    async def respond(self, call: Call) -> Answer:
        """Return the answer to ``call``.

        Raises
        ------
        AnswerLostError
            If the connection is to be closed unanswered.
        """
        self.counts.calls[call.kind] += 1
        await self._pass_outage()
        limit = self._writes if call.kind in WRITE_KINDS else self._reads
        if not limit.take():
            self.counts.limited[call.kind] += 1
            return _error(429, f"more than {limit.per_s:g} calls/s")
        if self.switches.slow_ms:
            await asyncio.sleep(self.switches.slow_ms / 1000)
        answer = await getattr(self, f"_{call.kind}")(call)
        if call.kind in WRITE_KINDS and answer.status < 400:
            self._lose_answer()
        return answer

    def switch(self, **changes: Any) -> None:
        """Change switches, for example ``switch(outage="hang")``."""
        values = {
            name: getattr(self.switches, name) for name in Switches.__annotations__
        }
        self.switches = Switches(**{**values, **changes})
        if not self.switches.old_data:
            self._old_table = None
        elif self._old_table is None:
            self._old_table = self.table.copy()
        self._wake()

    def record(self) -> dict[str, Any]:
        """Return counts and all objects as a JSON value."""
        return {
            "calls": dict(self.counts.calls),
            "limited": dict(self.counts.limited),
            "version": self.table.version,
            "objects": [object_json(o) for o in self.table.below(("",)).objects],
            "hosts": [dataclasses.asdict(h) for h in self.hosts.visible()],
        }

    def set_host(self, host_id: str, address: str, state: str = "live") -> None:
        """Register a host as ``live``, ``leaving`` or ``gone``."""
        self.hosts.set(PlatformHost(host_id=host_id, address=address, state=state))

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _pass_outage(self) -> None:
        while self.switches.outage == "hang":
            await self._changed.wait()
        if self.switches.outage == "refuse":
            raise AnswerLostError

    def _lose_answer(self) -> None:
        if self.switches.lose_write_answers > 0:
            self.switch(lose_write_answers=self.switches.lose_write_answers - 1)
            raise AnswerLostError

    def _readable(self) -> ObjectTable:
        return self._old_table or self.table

    async def _get(self, call: Call) -> Answer:
        found = self._readable().get(call.key)
        if found is None or found.deleted:
            return _error(404, f"no object {call.key!r}")
        return Answer(200, object_json(found))

    async def _list(self, call: Call) -> Answer:
        return _batch_answer(self._readable().below(call.prefixes))

    async def _put(self, call: Call) -> Answer:
        if len(call.body) > VALUE_LIMIT_BYTES + BODY_OVERHEAD_BYTES:
            return _error(413, f"value above {VALUE_LIMIT_BYTES} bytes")
        try:
            body = json.loads(call.body)
            value, write_id = body["value"], str(body.get("write_id", ""))
            expected_version = int(call.if_match or "")
        except (ValueError, KeyError, TypeError, AttributeError):
            return _error(400, "expected If-Match and a JSON body with value")
        return self._write(
            call.key,
            lambda: self.table.put(
                call.key, value, expected_version=expected_version, write_id=write_id
            ),
        )

    async def _delete(self, call: Call) -> Answer:
        try:
            expected_version = int(call.if_match or "")
        except ValueError:
            return _error(400, "expected If-Match with a version")
        return self._write(
            call.key,
            lambda: self.table.delete(call.key, expected_version=expected_version),
        )

    def _write(self, key: str, change: Any) -> Answer:
        try:
            stored = change()
        except ConflictError:
            return Answer(409, object_json(self.table.present(key)))
        self._wake()
        return Answer(200, object_json(stored))

    async def _watch(self, call: Call) -> Answer:
        try:
            since = int(call.query["since"])
            timeout_s = min(WATCH_LIMIT_S, int(call.query["timeout_ms"]) / 1000)
        except (KeyError, ValueError):
            return _error(400, "expected since and timeout_ms as integers")
        try:
            async with asyncio.timeout(timeout_s):
                while True:
                    batch = self._readable().changes(call.prefixes, since)
                    if batch.objects or batch.reset:
                        break
                    await self._changed.wait()
                    await self._pass_outage()
        except TimeoutError:
            await self._pass_outage()
            batch = self._readable().changes(call.prefixes, since)
        if batch.reset:
            return _error(410, f"history before version {since} is gone")
        return _batch_answer(batch)

    async def _hosts(self, call: Call) -> Answer:
        visible = self.hosts.visible()
        return Answer(200, {"hosts": [dataclasses.asdict(host) for host in visible]})


def object_json(stored: StoredObject) -> dict[str, Any]:
    """Return the API's JSON form of an object."""
    return dataclasses.asdict(stored)


def _batch_answer(batch: WatchBatch) -> Answer:
    objects = [object_json(stored) for stored in batch.objects]
    return Answer(200, {"objects": objects, "version": batch.version})


def _error(status: int, message: str) -> Answer:
    return Answer(status, {"error": message})
