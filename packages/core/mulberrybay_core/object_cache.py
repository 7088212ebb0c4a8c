"""All objects of one kind as a node knows them, from the store or a peer.

Complete up to a version of the store. Every object carries the version of its
last change, so answers that arrive late or from a peer that is behind are
recognised and nothing goes back.
"""

from typing import NamedTuple

from mulberrybay_core.store_messages import ObjectList, StoredObject


class CacheUpdate(NamedTuple):
    """What one node tells another of a kind.

    Attributes:
        store_version: What the sender knows is complete up to here.
        names: All objects that exist.
        items: Those that have changed since the version that was asked for.
    """

    store_version: int
    names: tuple[str, ...]
    items: tuple[StoredObject, ...]


class ObjectCache:
    """The objects of one kind."""

    def __init__(self) -> None:
        self._objects: dict[str, StoredObject] = {}
        # Complete up to this version; None before the first list.
        self.version: int | None = None
        # The version of the last change of this kind that was seen.
        self.changed_version = 0

    def replace(self, objects: ObjectList) -> ObjectList:
        """Takes a complete list.

        Returns:
            What has changed by it; nothing if more was known already.
        """
        names = tuple(stored.name for stored in objects.items)
        update = CacheUpdate(objects.store_version, names, objects.items)
        return self.merge(update)

    def apply(self, changes: ObjectList) -> ObjectList:
        """Takes changes since the version up to which the cache is complete.

        Returns:
            Those that were not known.
        """
        items = tuple(
            stored for stored in changes.items if self._is_newer(stored)
        )
        removed_names = tuple(
            name
            for name in changes.removed_names
            if name in self._objects
            and self._objects[name].version <= changes.store_version
        )
        return self._take(
            changes._replace(items=items, removed_names=removed_names)
        )

    def merge(self, update: CacheUpdate) -> ObjectList:
        """Takes what a peer knows.

        Returns:
            What has changed by it; nothing if more was known already.
        """
        if self.version is not None and update.store_version <= self.version:
            return ObjectList((), self.version)
        items = tuple(
            stored for stored in update.items if self._is_newer(stored)
        )
        present = set(update.names)
        removed_names = tuple(
            name for name in self._objects if name not in present
        )
        changed = max((stored.version for stored in items), default=0)
        if removed_names:
            changed = update.store_version
        return self._take(
            ObjectList(
                items,
                update.store_version,
                removed_names,
                changed_version=changed,
            )
        )

    def since(self, version: int) -> CacheUpdate | None:
        """Returns what a peer that is complete up to a version lacks."""
        if self.version is None:
            return None
        items = tuple(
            stored
            for stored in self._objects.values()
            if stored.version > version
        )
        return CacheUpdate(self.version, tuple(self._objects), items)

    def all_objects(self) -> ObjectList:
        """Returns all objects."""
        return ObjectList(tuple(self._objects.values()), self.version or 0)

    def _is_newer(self, stored: StoredObject) -> bool:
        known = self._objects.get(stored.name)
        if known is not None:
            return stored.version > known.version
        # One that is not there was removed, up to the version known.
        return self.version is None or stored.version > self.version

    def _take(self, changes: ObjectList) -> ObjectList:
        for stored in changes.items:
            self._objects[stored.name] = stored
        for name in changes.removed_names:
            self._objects.pop(name, None)
        self.version = max(self.version or 0, changes.store_version)
        self.changed_version = max(
            self.changed_version, changes.changed_version
        )
        return changes
