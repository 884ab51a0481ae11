"""Versioned objects of the platform stand-in."""

from collections import deque
from dataclasses import dataclass, field
from typing import Any

from sesameknot.errors import ConflictError
from sesameknot.protocol.objects import StoredObject, WatchBatch

DEFAULT_HISTORY_COUNT = 2000


@dataclass(slots=True)
class ObjectTable:
    """Objects with one version counter over the whole store.

    Parameters
    ----------
    history_count : int, default=2000
        Changes that a watch can resume from.
    version : int, default=0
        Version of the last write.
    """

    history_count: int = DEFAULT_HISTORY_COUNT
    version: int = 0
    _objects: dict[str, StoredObject] = field(default_factory=dict)
    _history: deque[int] = field(default_factory=deque)
    _dropped_version: int = 0

    def get(self, key: str) -> StoredObject | None:
        """Return the object at ``key``, which may be a tombstone."""
        return self._objects.get(key)

    def put(
        self, key: str, value: Any, *, expected_version: int, write_id: str
    ) -> StoredObject:
        """Write ``value`` if the object has ``expected_version``.

        Raises
        ------
        ConflictError
            If the object has another version.
        """
        self._check(key, expected_version)
        return self._store(
            StoredObject(key, self.version + 1, value, write_id=write_id)
        )

    def delete(self, key: str, *, expected_version: int) -> StoredObject:
        """Replace the object by a tombstone if it has ``expected_version``."""
        self._check(key, expected_version)
        return self._store(StoredObject(key, self.version + 1, None, deleted=True))

    def below(self, prefixes: tuple[str, ...]) -> WatchBatch:
        """Return all objects and tombstones below ``prefixes`` in version order."""
        return WatchBatch(objects=self._after(prefixes, 0), version=self.version)

    def changes(self, prefixes: tuple[str, ...], since: int) -> WatchBatch:
        """Return the objects below ``prefixes`` that changed after ``since``."""
        if since < self._dropped_version:
            return WatchBatch(version=self.version, reset=True)
        return WatchBatch(objects=self._after(prefixes, since), version=self.version)

    def copy(self) -> "ObjectTable":
        """Return a table with the same objects that changes independently."""
        return ObjectTable(
            self.history_count,
            self.version,
            dict(self._objects),
            deque(self._history),
            self._dropped_version,
        )

    def present(self, key: str) -> StoredObject:
        """Return the object at ``key``, or a tombstone of version 0."""
        return self._objects.get(key) or StoredObject(key, 0, None, deleted=True)

    def _check(self, key: str, expected_version: int) -> None:
        present = self.present(key)
        standing = 0 if present.deleted else present.version
        if standing != expected_version:
            raise ConflictError(
                f"expected version {expected_version}, found {standing}",
                version=present.version,
                step="write",
                peer=key,
            )

    def _store(self, stored: StoredObject) -> StoredObject:
        self.version = stored.version
        self._objects.pop(stored.key, None)  # keeps the dict in version order
        self._objects[stored.key] = stored
        self._history.append(stored.version)
        while len(self._history) > self.history_count:
            self._dropped_version = self._history.popleft()
        return stored

    def _after(self, prefixes: tuple[str, ...], since: int) -> list[StoredObject]:
        found = []
        for stored in reversed(self._objects.values()):
            if stored.version <= since:
                break
            if stored.key.startswith(prefixes):
                found.append(stored)
        found.reverse()
        return found
