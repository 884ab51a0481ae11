"""Objects of the platform's object API and the prefixes of their keys."""

from dataclasses import dataclass, field
from typing import Any

SETTINGS_PREFIX = "settings/"
DOMAINS_PREFIX = "domains/"
WITHDRAWALS_PREFIX = "withdrawals/"
ROLLOUTS_PREFIX = "rollouts/"
ROSTER_KEY = "roster/main"
BILLS_PREFIX = "bills/"

# Prefixes of the objects that every router replicates; bills are written only.
REPLICATED_PREFIXES = (
    SETTINGS_PREFIX,
    DOMAINS_PREFIX,
    WITHDRAWALS_PREFIX,
    ROLLOUTS_PREFIX,
    "roster/",
)


@dataclass(slots=True, frozen=True)
class StoredObject:
    """A platform object at one version.

    Parameters
    ----------
    key : str
        Path-like key, for example ``settings/feed``.
    version : int
        Platform version of the write, increasing over the whole store.
    value : object
        JSON value; None if deleted.
    write_id : str, default=""
        Identifier of the write, chosen by the writer.
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
    """Objects that a list or watch call returned.

    Parameters
    ----------
    objects : list of StoredObject
        Changed objects in version order.
    version : int
        Version of the store up to which the batch is complete.
    reset : bool, default=False
        Whether the platform dropped the history, so that the caller must list.
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
