"""Platform objects that a router holds, with their digest."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

import structlog
import xxhash

from sesameknot.protocol.messages import ObjectVersion
from sesameknot.protocol.objects import StoredObject

Check = Callable[[StoredObject], object]
ObjectsCallback = Callable[[list[StoredObject]], None]

log = structlog.get_logger(__name__)


@dataclass(slots=True)
class Difference:
    """What two stores lack of each other.

    Parameters
    ----------
    objects : list of StoredObject
        Objects that are newer here.
    wanted_keys : list of str
        Keys whose objects are newer at the other store.
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
    check : callable or None, default=None
        Raises an exception if an object is malformed.

    Notes
    -----
    A malformed object counts for digest and versions and is passed on to peers, so
    that stores with different checks still converge. Readers and subscribers keep
    the last well-formed version of its key.
    """

    __slots__ = ("_check", "_digest", "_newest", "_readable", "_subscriptions")

    def __init__(self, check: Check | None = None) -> None:
        self._check = check
        self._digest = 0
        self._newest: dict[str, StoredObject] = {}
        self._readable: dict[str, StoredObject] = {}
        self._subscriptions: list[_Subscription] = []

    def merge(self, objects: Iterable[StoredObject]) -> list[StoredObject]:
        """Take the objects that are newer than those held and return these."""
        newer = []
        for stored in objects:
            held = self._newest.get(stored.key)
            if held is None or stored.version > held.version:
                self._replace(held, stored)
                newer.append(stored)
        accepted = [stored for stored in newer if self._accept(stored)]
        if accepted:
            self._notify(accepted)
        return newer

    def get(self, key: str) -> StoredObject | None:
        """Return the last well-formed object at ``key``, None if absent or deleted."""
        stored = self._readable.get(key)
        return None if stored is None or stored.deleted else stored

    def digest(self) -> int:
        """Return a 64-bit hash over all keys and versions; 0 if there are none."""
        return self._digest

    def newest_version(self) -> int:
        """Return the highest version held; 0 if there is none."""
        return max((held.version for held in self._newest.values()), default=0)

    def versions(self) -> list[ObjectVersion]:
        """Return the versions of all objects, tombstones included."""
        return [
            ObjectVersion(key=held.key, version=held.version)
            for held in self._newest.values()
        ]

    def newest(self, keys: Iterable[str]) -> list[StoredObject]:
        """Return the newest objects at ``keys``, malformed ones included."""
        return [self._newest[key] for key in keys if key in self._newest]

    def newer_than(self, versions: Iterable[ObjectVersion]) -> Difference:
        """Return what a store with ``versions`` lacks, and what this one lacks."""
        theirs = {entry.key: entry.version for entry in versions}
        return Difference(
            objects=[
                held
                for held in self._newest.values()
                if held.version > theirs.get(held.key, 0)
            ],
            wanted_keys=[
                key
                for key, version in theirs.items()
                if key not in self._newest or version > self._newest[key].version
            ],
        )

    def subscribe(self, prefix: str, callback: ObjectsCallback) -> None:
        """Call ``callback`` with each set of new objects below ``prefix``.

        The objects include tombstones. The callback also gets, at once, the objects
        that are held now.
        """
        self._subscriptions.append(_Subscription(prefix, callback))
        present = self.list(prefix)
        if present:
            _call(callback, present)

    def list(self, prefix: str) -> list[StoredObject]:
        """Return the well-formed, present objects below ``prefix``."""
        return [
            stored
            for stored in self._readable.values()
            if stored.key.startswith(prefix) and not stored.deleted
        ]

    def _replace(self, held: StoredObject | None, stored: StoredObject) -> None:
        if held is not None:
            self._digest ^= _fingerprint(held)
        self._digest ^= _fingerprint(stored)
        self._newest[stored.key] = stored

    def _accept(self, stored: StoredObject) -> bool:
        try:
            if self._check is not None and not stored.deleted:
                self._check(stored)
        except Exception as error:
            log.warning(
                "object_malformed",
                key=stored.key,
                version=stored.version,
                write_id=stored.write_id,
                reason=str(error),
            )
            return False
        self._readable[stored.key] = stored
        return True

    def _notify(self, accepted: Iterable[StoredObject]) -> None:
        for subscription in self._subscriptions:
            matching = [
                stored
                for stored in accepted
                if stored.key.startswith(subscription.prefix)
            ]
            if matching:
                _call(subscription.callback, matching)


def _fingerprint(stored: StoredObject) -> int:
    return xxhash.xxh3_64_intdigest(f"{stored.key}\0{stored.version}".encode())


def _call(callback: ObjectsCallback, objects: Iterable[StoredObject]) -> None:
    # A failing subscriber must not keep the others from learning the change.
    try:
        callback(objects)
    except Exception:
        log.exception("object_subscriber_failed")
