"""A node's copy of all objects of one kind, from the store or from a peer.

The copy is complete up to a version of the store. Every object has the version
of its last change, so an answer that arrives late, or from a peer that is
behind, never replaces newer objects with older ones.
"""

from typing import NamedTuple

from mulberrybay_core.store_messages import ObjectList, StoredObject


class CacheUpdate(NamedTuple):
    """Objects of one kind that one node sends to another.

    Attributes:
        store_version: The version up to which the sender's copy is complete.
        names: The names of all objects that exist.
        items: The objects that changed after the requested version.
    """

    store_version: int
    names: tuple[str, ...]
    items: tuple[StoredObject, ...]


class ObjectCache:
    """The objects of one kind.

    Attributes:
        version: The cache is complete up to this version of the store; None
            before the first complete list.
        changed_version: The version of the last change of this kind that this
            cache received.
    """

    def __init__(self) -> None:
        self._objects: dict[str, StoredObject] = {}
        self.version: int | None = None
        self.changed_version = 0

    def replace(self, objects: ObjectList) -> ObjectList:
        """Replaces all objects with a complete list from the store.

        Returns:
            The objects that changed; none if the cache was already as new.
        """
        names = tuple(stored.name for stored in objects.items)
        update = CacheUpdate(objects.store_version, names, objects.items)
        return self.merge(update)

    def apply(self, changes: ObjectList) -> ObjectList:
        """Applies changes after the version up to which the cache is complete.

        Returns:
            The changes that are newer than the cached objects.
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
        return self._update(
            changes._replace(items=items, removed_names=removed_names)
        )

    def merge(self, update: CacheUpdate) -> ObjectList:
        """Applies the update of a peer.

        Returns:
            The objects that changed; none if the cache was already as new.
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
        return self._update(
            ObjectList(
                items,
                update.store_version,
                removed_names,
                changed_version=changed,
            )
        )

    def update_since(self, version: int) -> CacheUpdate | None:
        """Returns an update for a peer whose cache is complete up to a version.

        Returns:
            The update; None if this cache has no complete list yet.
        """
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
        cached = self._objects.get(stored.name)
        if cached is not None:
            return stored.version > cached.version
        # An object that is missing here was removed, unless it was written
        # after the version up to which the cache is complete.
        return self.version is None or stored.version > self.version

    def _update(self, changes: ObjectList) -> ObjectList:
        for stored in changes.items:
            self._objects[stored.name] = stored
        for name in changes.removed_names:
            self._objects.pop(name, None)
        self.version = max(self.version or 0, changes.store_version)
        self.changed_version = max(
            self.changed_version, changes.changed_version
        )
        return changes
