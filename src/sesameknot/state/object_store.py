"""In-memory store of the platform's objects, with a digest of their versions."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

import structlog
import xxhash

from sesameknot.protocol.messages import ObjectVersion
from sesameknot.protocol.objects import StoredObject

Validator = Callable[[StoredObject], object]
ObjectsCallback = Callable[[list[StoredObject]], None]

log = structlog.get_logger(__name__)


@dataclass(slots=True)
class StoreDifference:
    """Objects that differ between two stores.

    Parameters
    ----------
    objects : list of StoredObject
        Objects that are newer in this store.
    wanted_keys : list of str
        Keys of objects that are newer in the other store.
    """

    objects: list[StoredObject] = field(default_factory=list)
    wanted_keys: list[str] = field(default_factory=list)


@dataclass(slots=True, frozen=True)
class _Subscription:
    prefix: str
    callback: ObjectsCallback


class ObjectStore:
    """Keep the newest version of each object.

    Parameters
    ----------
    validate : callable or None, default=None
        Raises an exception if an object is malformed.

    Notes
    -----
    Malformed objects are included in the digest and the versions and are sent to peers,
    so that stores with different validators converge. Readers and subscribers keep the
    last well-formed version of the key.
    """

    __slots__ = ("_digest", "_newest", "_subscriptions", "_valid", "_validate")

    def __init__(self, validate: Validator | None = None) -> None:
        self._validate = validate
        self._digest = 0
        self._newest: dict[str, StoredObject] = {}
        self._valid: dict[str, StoredObject] = {}
        self._subscriptions: list[_Subscription] = []

    def merge(self, objects: Iterable[StoredObject]) -> list[StoredObject]:
        """Store the objects that are newer than the current ones and return them."""
        newer = []
        for stored in objects:
            current = self._newest.get(stored.key)
            if current is None or stored.version > current.version:
                self._replace(current, stored)
                newer.append(stored)
        accepted = [stored for stored in newer if self._accept(stored)]
        if accepted:
            self._notify(accepted)
        return newer

    def get(self, key: str) -> StoredObject | None:
        """Return the last well-formed object of ``key``; None if absent or deleted."""
        stored = self._valid.get(key)
        return None if stored is None or stored.deleted else stored

    def digest(self) -> int:
        """Return a 64-bit hash of all keys and versions; 0 if the store is empty."""
        return self._digest

    def newest_version(self) -> int:
        """Return the highest version in the store; 0 if the store is empty."""
        return max((stored.version for stored in self._newest.values()), default=0)

    def versions(self) -> list[ObjectVersion]:
        """Return the versions of all objects, including tombstones."""
        return [
            ObjectVersion(key=stored.key, version=stored.version)
            for stored in self._newest.values()
        ]

    def newest(self, keys: Iterable[str]) -> list[StoredObject]:
        """Return the newest objects of ``keys``, including malformed ones."""
        return [self._newest[key] for key in keys if key in self._newest]

    def difference_from(self, versions: Iterable[ObjectVersion]) -> StoreDifference:
        """Return the difference between this store and one with ``versions``."""
        other_versions = {entry.key: entry.version for entry in versions}
        return StoreDifference(
            objects=[
                stored
                for stored in self._newest.values()
                if stored.version > other_versions.get(stored.key, 0)
            ],
            wanted_keys=[
                key
                for key, version in other_versions.items()
                if key not in self._newest or version > self._newest[key].version
            ],
        )

    def subscribe(self, prefix: str, callback: ObjectsCallback) -> None:
        """Call ``callback`` with each batch of new objects under ``prefix``.

        The objects include tombstones. The objects that exist now are passed to the
        callback immediately.
        """
        self._subscriptions.append(_Subscription(prefix, callback))
        existing = self.list(prefix)
        if existing:
            _call_subscriber(callback, existing)

    def list(self, prefix: str) -> list[StoredObject]:
        """Return the well-formed objects under ``prefix`` that are not deleted."""
        return [
            stored
            for stored in self._valid.values()
            if stored.key.startswith(prefix) and not stored.deleted
        ]

    def _replace(self, current: StoredObject | None, stored: StoredObject) -> None:
        if current is not None:
            self._digest ^= _version_hash(current)
        self._digest ^= _version_hash(stored)
        self._newest[stored.key] = stored

    def _accept(self, stored: StoredObject) -> bool:
        try:
            if self._validate is not None and not stored.deleted:
                self._validate(stored)
        except Exception as error:
            log.warning(
                "object_malformed",
                key=stored.key,
                version=stored.version,
                write_id=stored.write_id,
                reason=str(error),
            )
            return False
        self._valid[stored.key] = stored
        return True

    def _notify(self, accepted: Iterable[StoredObject]) -> None:
        for subscription in self._subscriptions:
            matching = [
                stored
                for stored in accepted
                if stored.key.startswith(subscription.prefix)
            ]
            if matching:
                _call_subscriber(subscription.callback, matching)


def _version_hash(stored: StoredObject) -> int:
    return xxhash.xxh3_64_intdigest(f"{stored.key}\0{stored.version}".encode())


def _call_subscriber(
    callback: ObjectsCallback, objects: Iterable[StoredObject]
) -> None:
    # A subscriber that fails must not prevent the others from receiving the change.
    try:
        callback(objects)
    except Exception:
        log.exception("object_subscriber_failed")
