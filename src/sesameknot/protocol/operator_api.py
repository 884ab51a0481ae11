"""JSON records of a router's HTTP API for operators.

- ``POST /operator/objects``: list of :class:`PushedObject`.
- ``GET /operator/status``: one :class:`RouterStatus`.
- ``GET /operator/traffic``: list of
  :class:`~sesameknot.protocol.messages.VersionStats`.

All three require the operator token as bearer token.
"""

from dataclasses import dataclass, field
from typing import Any, TypeVar

import msgspec

from sesameknot.errors import RouterError
from sesameknot.protocol.objects import StoredObject

OBJECTS_PATH = "/operator/objects"
STATUS_PATH = "/operator/status"
TRAFFIC_PATH = "/operator/traffic"

T = TypeVar("T")


@dataclass(slots=True, frozen=True, kw_only=True)
class PushedObject:
    """One platform object that an operator's tool pushes to routers."""

    key: str
    version: int
    value: Any = None
    write_id: str = ""
    deleted: bool = False


@dataclass(slots=True, frozen=True, kw_only=True)
class RouterStatus:
    """Status that a router reports about itself.

    Parameters
    ----------
    host_id : str
        Name of the host.
    incarnation : int
        Number of the process start; higher after each restart.
    config_age_ms : float
        Upper bound on the age of the router's configuration.
    verdict : str
        Freshness verdict, for example ``"fresh"`` or ``"stale"``.
    versions : dict
        Versions of the objects in the router's store, by key.
    draining : bool, default=False
        Whether the router is draining requests before it stops.
    """

    host_id: str
    incarnation: int = 0
    config_age_ms: float = 0.0
    verdict: str = ""
    versions: dict[str, int] = field(default_factory=dict)
    draining: bool = False


def pushed_from_object(stored: StoredObject) -> PushedObject:
    """Return the record that pushes ``stored`` to a router."""
    return PushedObject(
        key=stored.key,
        version=stored.version,
        value=stored.value,
        write_id=stored.write_id,
        deleted=stored.deleted,
    )


def read_json(data: bytes, record_type: type[T], *, peer: str) -> T:
    """Return the record of class ``record_type`` in the JSON body ``data``.

    Raises
    ------
    RouterError
        If ``data`` is not JSON of such a record.
    """
    try:
        return msgspec.json.decode(data, type=record_type)
    except msgspec.DecodeError as error:
        raise RouterError(str(error), step="parse", peer=peer) from error
