"""Messages between the node and the client of the platform's store."""

import enum
from collections.abc import Callable
from typing import Any, NamedTuple, Protocol

from expression import Result

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


ObjectReply = Callable[[Result[StoredObject | None, Failure]], None]
ListReply = Callable[[Result[ObjectList, Failure]], None]
WriteReply = Callable[[Result[WriteResult, Failure]], None]
DoneReply = Callable[[Result[None, Failure]], None]
FleetReply = Callable[[Result[Fleet, Failure]], None]


class PlatformStore(Protocol):
    """The platform's store.

    Each reply is called exactly once, with a Failure when the answer did not
    come in time. After a failed write the caller can't know whether it took
    effect: its Failure has the run state UNKNOWN if a byte was sent.
    """

    @property
    def is_failing(self) -> bool:
        """Whether the last few calls all failed."""

    def read(self, kind: str, name: str, reply: ObjectReply) -> None:
        """Reads an object; None if there is none."""

    def list_kind(self, kind: str, reply: ListReply) -> None:
        """Reads all objects of a kind."""

    def write(
        self,
        kind: str,
        name: str,
        value: JsonObject,
        expected_version: int,
        reply: WriteReply,
    ) -> None:
        """Writes an object if its version is as expected; 0 for absent."""

    def delete(
        self, kind: str, name: str, expected_version: int, reply: WriteReply
    ) -> None:
        """Deletes an object if its version is as expected."""

    def watch(
        self, kind: str, after_version: int, timeout_s: float, reply: ListReply
    ) -> None:
        """Waits for objects of a kind written after a version."""

    def list_vms(self, reply: FleetReply) -> None:
        """Reads the lagging list of VMs."""
