"""Objects of the platform's store and the interface of its client.

A call ends with a value or with a Failure. These types avoid the `Result` type
of the `expression` library, because importing that library takes longer than
the rest of a node's start.
"""

import enum
from collections.abc import Callable
from typing import Any, NamedTuple, Protocol

from mulberrybay_core.errors import Failure
from mulberrybay_core.fleet import Fleet

# A JSON value of the store. Its structure depends on the kind of object; the
# codecs in `documents` convert it to typed messages.
JsonObject = dict[str, Any]


class StoredObject(NamedTuple):
    """One object of the store.

    Attributes:
        kind: The kind of object.
        name: Unique within the kind.
        version: Increases with every write; a position, see `store_position`.
        value: The content.
        status: What the system reports of the object; None if there is none.
    """

    kind: str
    name: str
    version: int
    value: JsonObject
    status: JsonObject | None = None


class ObjectList(NamedTuple):
    """Objects of one kind and the store's version when they were read.

    Attributes:
        items: All objects; for a watch, those that were written.
        store_version: The position after which to continue watching.
        removed_names: For a watch, the names of the objects that were removed.
        next_name: The name after which the next page of a list starts; empty on
            the last page.
        changed_version: The position of the last change that the list includes.
        corrects_stale_list: Whether the changes add what a stale list lacked.
            What they remove was gone before the list was asked for.
    """

    items: tuple[StoredObject, ...]
    store_version: int
    removed_names: tuple[str, ...] = ()
    next_name: str = ""
    changed_version: int = 0
    corrects_stale_list: bool = False


class WriteOutcome(enum.Enum):
    """The outcome of a conditional write."""

    WRITTEN = "written"
    CONFLICT = "conflict"


class WriteResult(NamedTuple):
    """The outcome of a conditional write and the object's version after it."""

    outcome: WriteOutcome
    version: int


ObjectHandler = Callable[[StoredObject | Failure | None], None]
ListHandler = Callable[[ObjectList | Failure], None]
WriteHandler = Callable[[WriteResult | Failure], None]
FleetHandler = Callable[[Fleet | Failure], None]


class ObjectStore(Protocol):
    """The client of the platform's store.

    Each handler is called exactly once, with a Failure if the answer did not
    arrive in time. After a failed write, the caller can't know whether the
    write took effect: the Failure has the run state UNKNOWN if at least one
    byte was sent.
    """

    era: int

    def list_kind(
        self, kind: str, reply: ListHandler, *, may_be_stale: bool = False
    ) -> None:
        """Reads all objects of a kind.

        Args:
            kind: The kind.
            reply: Called with the objects.
            may_be_stale: Whether the list may lack the changes of the last
                seconds, which costs the store less.
        """

    def write(
        self,
        kind: str,
        name: str,
        value: JsonObject,
        expected_version: int,
        reply: WriteHandler,
    ) -> None:
        """Writes an object if its version is the expected one.

        An expected version of 0 means that the object must not exist.
        """

    def write_status(
        self,
        kind: str,
        name: str,
        status: JsonObject,
        expected_version: int,
        reply: WriteHandler,
    ) -> None:
        """Writes an object's status if its version is the expected one."""

    def delete(
        self, kind: str, name: str, expected_version: int, reply: WriteHandler
    ) -> None:
        """Deletes an object if its version is the expected one."""

    def watch(
        self,
        kind: str,
        after_version: int,
        timeout_s: float,
        reply: ListHandler,
    ) -> Callable[[], None]:
        """Waits for objects of a kind that are written after a version.

        Returns:
            A function that ends the wait without calling the handler.
        """
