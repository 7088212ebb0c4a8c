"""A node's copy of all objects of one kind, from the store or from a peer.

The copy is complete up to a position in the store's history. Every object has
the position of its last change, so an answer that arrives late, or from a peer
that is behind, never replaces newer objects with older ones.

After the store has returned from an older copy, this cache may know more than
the store does. What it keeps then is up to a `RestoreRule`.
"""

from collections.abc import Callable
from typing import Final, NamedTuple

from mulberrybay_core.store_messages import ObjectList, StoredObject
from mulberrybay_core.store_position import era_of

# The most removed objects that are remembered, the last ones first.
MAX_REMOVED_COUNT: Final = 2048


class RestoredObject(NamedTuple):
    """An object in the store's copy, and what this node knows of it.

    Attributes:
        known: The object as this node knew it; None if there was none.
        removed: The object as it was before its removal, if this node knows
            that it was removed; else None.
        copied: The object in the copy; None if it has none.
    """

    known: StoredObject | None
    removed: StoredObject | None
    copied: StoredObject | None


# Chooses what to use of an object; None for nothing.
RestoreRule = Callable[[RestoredObject], StoredObject | None]


class CacheUpdate(NamedTuple):
    """Objects of one kind that one node sends to another.

    Attributes:
        store_version: The position up to which the sender's copy is complete.
        names: The names of all objects that exist.
        items: The objects that changed after the requested version.
        has_kept_objects: Whether some of the objects were kept when the store
            returned from an older copy, which may lack them.
    """

    store_version: int
    names: tuple[str, ...]
    items: tuple[StoredObject, ...]
    has_kept_objects: bool = False

    def to_list(self) -> ObjectList:
        """Returns the objects as a list, for an update that has them all."""
        present = set(self.names)
        items = tuple(item for item in self.items if item.name in present)
        return ObjectList(items, self.store_version)


class ObjectCache:
    """The objects of one kind.

    Attributes:
        version: The cache is complete up to this position; None before the
            first complete list.
        changed_version: The position of the last change of this kind that this
            cache received.
    """

    def __init__(self) -> None:
        self._objects: dict[str, StoredObject] = {}
        self._removed: dict[str, StoredObject] = {}
        # Objects that were kept when the store returned from an older copy.
        self._kept_names: set[str] = set()
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
        # What a peer kept may be of a later position than the update.
        removed_names = tuple(
            name
            for name, stored in self._objects.items()
            if name not in present and stored.version <= update.store_version
        )
        changed = max((stored.version for stored in items), default=0)
        if removed_names:
            changed = update.store_version
        changes = self._update(
            ObjectList(
                items,
                update.store_version,
                removed_names,
                changed_version=changed,
            )
        )
        if update.has_kept_objects:
            self._kept_names.update(stored.name for stored in items)
        return changes

    def restore(self, objects: ObjectList, rule: RestoreRule) -> int:
        """Replaces all objects after the store returned from an older copy.

        What the rule keeps instead of the copy gets the position of the list,
        so that peers take it as well.

        Returns:
            The number of objects that differ from the copy.
        """
        copied = {stored.name: stored for stored in objects.items}
        position = self.version or 0
        is_same_era = era_of(position) == era_of(objects.store_version)
        differing_count = 0
        restored = {}
        self._kept_names.clear()
        for name in {**self._objects, **copied}:
            known, copy = self._objects.get(name), copied.get(name)
            if is_same_era and copy is not None and copy.version > position:
                # Written again since this cache was read.
                choice: StoredObject | None = copy
            else:
                removed = self._removed.get(name)
                choice = rule(RestoredObject(known, removed, copy))
            differing_count += choice != copy
            if choice is None:
                if known is not None:
                    self._remember_removed(known)
                continue
            if choice is not copy:
                choice = choice._replace(version=objects.store_version)
                self._kept_names.add(name)
            self._removed.pop(name, None)
            restored[name] = choice
        self._objects = restored
        self.version = self.changed_version = objects.store_version
        return differing_count

    def reset(self, objects: ObjectList) -> None:
        """Replaces all objects with a complete list, whatever was known.

        Objects that come back by this get the position of the list, so that
        peers take them as well.
        """
        position = objects.store_version
        previous = self._objects
        self._objects = {}
        for stored in objects.items:
            old = previous.get(stored.name)
            if old is None or old[3:] != stored[3:]:
                self._objects[stored.name] = stored._replace(version=position)
                self.changed_version = position
            else:
                self._objects[stored.name] = old
        for name, stored in previous.items():
            if name not in self._objects:
                self.changed_version = position
                self._remember_removed(stored)
        for name in self._objects:
            self._removed.pop(name, None)
        self._kept_names.clear()
        self.version = position

    def merge_kept(self, update: CacheUpdate, rule: RestoreRule) -> ObjectList:
        """Applies objects that a peer kept when the store returned.

        This cache was read from the copy, so for each object the rule chooses
        between the peer's and this one, unless this one was written since.

        Returns:
            The objects that changed.
        """
        items = []
        for stored in update.items:
            cached = self._objects.get(stored.name)
            if cached is not None and cached.version >= stored.version:
                continue
            if rule(RestoredObject(stored, None, cached)) is stored:
                items.append(stored)
        version = self.version or update.store_version
        changes = self._update(ObjectList(tuple(items), version))
        self._kept_names.update(stored.name for stored in items)
        return changes

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
        has_kept_objects = any(
            stored.name in self._kept_names for stored in items
        )
        return CacheUpdate(
            self.version, tuple(self._objects), items, has_kept_objects
        )

    def find(self, name: str) -> StoredObject | None:
        """Returns an object by its name."""
        return self._objects.get(name)

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
            self._kept_names.discard(stored.name)
            self._removed.pop(stored.name, None)
        for name in changes.removed_names:
            self._kept_names.discard(name)
            removed = self._objects.pop(name, None)
            if removed is not None:
                self._remember_removed(removed)
        self.version = max(self.version or 0, changes.store_version)
        self.changed_version = max(
            self.changed_version, changes.changed_version
        )
        return changes

    def _remember_removed(self, stored: StoredObject) -> None:
        if len(self._removed) >= MAX_REMOVED_COUNT:
            del self._removed[next(iter(self._removed))]
        self._removed[stored.name] = stored
