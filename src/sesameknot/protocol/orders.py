"""HTTP bodies of engines: orders, load reports and prefix cache events."""

from dataclasses import dataclass, field
from typing import Annotated, Literal, TypeVar

import msgspec
import xxhash
from msgspec import Meta

from sesameknot.errors import FrameError, RouterError
from sesameknot.protocol.messages import EndpointReport

LIST_LIMIT_COUNT = 1024

_Count = Annotated[int, Meta(ge=0, le=2**31)]
# msgspec bounds integers only up to 2**63 - 1, so parse_load checks hashes itself.
HASH_LIMIT = 2**64
T = TypeVar("T")


class OrderFencedError(RouterError):
    """An engine refused an order because its fencing token is outdated."""


@dataclass(slots=True, kw_only=True)
class EngineOrder:
    """A control command to a model engine.

    Parameters
    ----------
    kind : {"load", "unload", "role"}
        Command: load or unload a version, or change the role.
    model, version : str
        Version to load or unload.
    role : str
        Role to change to.
    fence : int
        Fencing token of the roll-out.
    weights_url : str
        URL from which the engine loads the weights.
    """

    kind: Literal["load", "unload", "role"]
    model: str = ""
    version: str = ""
    role: str = ""
    fence: int = 0
    weights_url: str = ""


@dataclass(slots=True, kw_only=True)
class EngineState:
    """Loaded versions, role and fencing token of an engine after an order."""

    versions: list[str] = field(default_factory=list)
    role: str = ""
    fence: int = 0


@dataclass(slots=True, kw_only=True)
class CacheEvent:
    """A change in an engine's prefix cache; ``kind`` is added or evicted."""

    sequence: int
    kind: str
    hash: int


class _Load(msgspec.Struct):
    state: Literal["cold", "warm", "leaving"]
    running: _Count
    queued: _Count
    capacity: _Count = 0
    versions: Annotated[list[str], Meta(max_length=LIST_LIMIT_COUNT)] = []
    prefix_hashes: Annotated[list[int], Meta(max_length=LIST_LIMIT_COUNT)] = []
    age_ms: _Count = 0


class _CacheEvents(msgspec.Struct):
    events: list[CacheEvent]


def build_order(order: EngineOrder) -> bytes:
    """Return the JSON body of an order."""
    return msgspec.json.encode(order)


def parse_engine_state(body: bytes, *, peer: str = "") -> EngineState:
    """Return the engine's state in the response to an order.

    Raises
    ------
    FrameError
        If ``body`` is not an engine state.
    """
    return _decode(body, EngineState, "parse order answer", peer)


def parse_load(endpoint_id: str, body: bytes) -> EndpointReport:
    """Return the report in a response to ``GET /load``.

    Raises
    ------
    FrameError
        If ``body`` is not a load report.
    """
    load = _decode(body, _Load, "parse load", endpoint_id)
    if any(not 0 <= value < HASH_LIMIT for value in load.prefix_hashes):
        raise FrameError(
            "prefix hash out of range, expected an unsigned 64-bit integer",
            step="parse load",
            peer=endpoint_id,
        )
    return EndpointReport(
        endpoint_id=endpoint_id,
        state=load.state,
        running_count=load.running,
        queued_count=load.queued,
        capacity_count=load.capacity,
        versions=load.versions,
        prefix_hashes=load.prefix_hashes,
        age_ms=load.age_ms,
        prefix_digest=_prefix_digest(load.prefix_hashes),
    )


def _prefix_digest(hashes: list[int]) -> int:
    if not hashes:
        return 0
    return xxhash.xxh3_64_intdigest(b"".join(h.to_bytes(8, "big") for h in hashes))


def parse_cache_events(body: bytes, *, peer: str = "") -> list[CacheEvent]:
    """Return the events in a response to ``GET /cache-events``.

    Raises
    ------
    FrameError
        If ``body`` is not a list of events.
    """
    return _decode(body, _CacheEvents, "parse cache events", peer).events


def _decode(body: bytes, cls: type[T], step: str, peer: str) -> T:
    try:
        return msgspec.json.decode(body, type=cls)
    except (msgspec.MsgspecError, RecursionError, UnicodeError) as error:
        raise FrameError(
            f"malformed body of {len(body)} bytes: {error}", step=step, peer=peer
        ) from error
