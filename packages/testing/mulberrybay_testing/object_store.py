"""The versioned object store of the platform stand-in."""

from __future__ import annotations

from typing import NamedTuple, TypedDict

MAX_VALUE_BYTES = 1024 * 1024


class StoredObject(TypedDict):
    """An object with the store version of its last write."""

    kind: str
    name: str
    version: int
    value: object


class ObjectList(TypedDict):
    """Objects and the store version at which they were read."""

    items: list[StoredObject]
    version: int


class WriteCondition(NamedTuple):
    """The version that the object must have; 0 means it must not exist."""

    version: int


class WriteResult(NamedTuple):
    """The result of a write, as an HTTP status and a version.

    The version is that of the write, or the current one if the status is 412.
    """

    status: int
    version: int


class ObjectStore:
    """Objects by kind and name; writes are conditional on a version."""

    def __init__(self) -> None:
        self.version = 0
        self._kinds: dict[str, dict[str, StoredObject]] = {}

    def get(self, kind: str, name: str) -> StoredObject | None:
        """Returns the object, or None if it does not exist."""
        return self._kinds.get(kind, {}).get(name)

    def put(
        self, kind: str, name: str, value: object, condition: WriteCondition
    ) -> WriteResult:
        """Writes the object if the condition holds."""
        current = self.get(kind, name)
        current_version = current["version"] if current else 0
        if condition.version != current_version:
            return WriteResult(412, current_version)
        self.version += 1
        self._kinds.setdefault(kind, {})[name] = {
            "kind": kind,
            "name": name,
            "version": self.version,
            "value": value,
        }
        return WriteResult(200 if current else 201, self.version)

    def delete(
        self, kind: str, name: str, condition: WriteCondition
    ) -> WriteResult:
        """Deletes the object if the condition holds."""
        current = self.get(kind, name)
        if current is None:
            return WriteResult(404, 0)
        if condition.version != current["version"]:
            return WriteResult(412, current["version"])
        self.version += 1
        del self._kinds[kind][name]
        return WriteResult(204, self.version)

    def list_kind(self, kind: str, after: int = 0) -> ObjectList:
        """Returns the objects of a kind that were written after a version."""
        objects = self._kinds.get(kind, {}).values()
        items = [item for item in objects if item["version"] > after]
        return {"items": items, "version": self.version}

    def list_all(self) -> ObjectList:
        """Returns the objects of every kind."""
        items = [
            item for kind in self._kinds.values() for item in kind.values()
        ]
        return {"items": items, "version": self.version}


def parse_condition(headers: dict[str, str]) -> WriteCondition | None:
    """Returns the condition of a write from its request headers, if any."""
    if headers.get("if-none-match", "").strip() == "*":
        return WriteCondition(0)
    tag = headers.get("if-match", "").strip().strip('"')
    return WriteCondition(int(tag)) if tag.isdecimal() else None
