"""Objects of the platform's store, and what its client tells of them.

A call ends with its value or with a Failure. The types do without the
library of errors, whose import takes longer than the rest of a node's start.
"""

import enum
from collections.abc import Callable
from typing import Any, NamedTuple, Protocol

from mulberrybay_core.errors import Failure
from mulberrybay_core.fleet import Fleet

# The store keeps JSON values whose shape each kind defines; the codecs in
# `documents` turn them into typed messages.
JsonObject = dict[str, Any]


class StoredObject(NamedTuple):
    """One object of the store.

    Attributes:
        kind: The kind of object.
        name: Unique within the kind.
        version: Grows with every write.
        value: The content.
    """

    kind: str
    name: str
    version: int
    value: JsonObject


class ObjectList(NamedTuple):
    """Objects of one kind and the store's version when they were read.

    Attributes:
        items: The objects, or those that a watch saw written.
        store_version: Where to watch from.
        removed_names: The objects that a watch saw removed.
        next_name: The name after which a list goes on; empty at its end.
        changed_version: The version of the last change that is in it.
    """

    items: tuple[StoredObject, ...]
    store_version: int
    removed_names: tuple[str, ...] = ()
    next_name: str = ""
    changed_version: int = 0


class WriteOutcome(enum.Enum):
    """How a conditional write ended."""

    WRITTEN = "written"
    CONFLICT = "conflict"


class WriteResult(NamedTuple):
    """How a conditional write ended, and the object's version after it."""

    outcome: WriteOutcome
    version: int


ObjectHandler = Callable[[StoredObject | Failure | None], None]
ListHandler = Callable[[ObjectList | Failure], None]
WriteHandler = Callable[[WriteResult | Failure], None]
FleetHandler = Callable[[Fleet | Failure], None]


class ObjectStore(Protocol):
    """The platform's store, as its client offers it.

    Each handler is called exactly once, with a Failure when the answer did
    not come in time. After a failed write the caller can't know whether it
    took effect: its Failure has the run state UNKNOWN if a byte was sent.
    """

    def list_kind(self, kind: str, reply: ListHandler) -> None:
        """Reads all objects of a kind."""

    def write(
        self,
        kind: str,
        name: str,
        value: JsonObject,
        expected_version: int,
        reply: WriteHandler,
    ) -> None:
        """Writes an object if its version is as expected; 0 for absent."""

    def delete(
        self, kind: str, name: str, expected_version: int, reply: WriteHandler
    ) -> None:
        """Deletes an object if its version is as expected."""

    def watch(
        self,
        kind: str,
        after_version: int,
        timeout_s: float,
        reply: ListHandler,
    ) -> Callable[[], None]:
        """Waits for objects of a kind written after a version.

        Returns:
            Ends the wait; the handler is not called then.
        """
