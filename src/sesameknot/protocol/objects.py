"""Objects of the platform's object API as the system holds them."""

from dataclasses import dataclass, field
from typing import Any

SETTINGS_PREFIX = "settings/"
DOMAINS_PREFIX = "domains/"
WITHDRAWALS_PREFIX = "withdrawals/"
ROLLOUTS_PREFIX = "rollouts/"
ROSTER_KEY = "roster/main"
BILLS_PREFIX = "bills/"

# Kinds that every router holds; bills are written but not spread.
REPLICATED_PREFIXES = (
    SETTINGS_PREFIX,
    DOMAINS_PREFIX,
    WITHDRAWALS_PREFIX,
    ROLLOUTS_PREFIX,
    "roster/",
)


@dataclass(slots=True, frozen=True)
class StoredObject:
    """One object at one version.

    Parameters
    ----------
    key : str
        Path-like key, for example ``settings/feed``.
    version : int
        Platform version of this write; higher is newer over the whole store.
    value : object
        JSON value; None if deleted.
    write_id : str, default=""
        Identifier that the writer chose.
    deleted : bool, default=False
        Whether this is a tombstone.
    """

    key: str
    version: int
    value: Any
    write_id: str = ""
    deleted: bool = False


@dataclass(slots=True)
class WatchBatch:
    """Objects that a list or watch returned.

    Parameters
    ----------
    objects : list of StoredObject
        Changed objects in version order.
    version : int
        Version of the store that the batch reaches.
    reset : bool, default=False
        Whether the history is gone and the caller must list.
    """

    objects: list[StoredObject] = field(default_factory=list)
    version: int = 0
    reset: bool = False


@dataclass(slots=True, frozen=True)
class PlatformHost:
    """An entry of the platform's host list; ``state`` is live or leaving."""

    host_id: str
    address: str
    state: str
