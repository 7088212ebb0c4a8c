"""Interface of the platform's store for the daemon's tasks.

Replies are `Result` values; `store_messages` has the interface without them.
"""

from collections.abc import Callable
from typing import Protocol

from expression import Result

from mulberrybay_core.errors import Failure
from mulberrybay_core.fleet import Fleet
from mulberrybay_core.store_messages import (
    JsonObject,
    ObjectList,
    StoredObject,
    WriteOutcome,
    WriteResult,
)

__all__ = [
    "JsonObject",
    "ObjectList",
    "StoredObject",
    "WriteOutcome",
    "WriteResult",
]

ObjectReply = Callable[[Result[StoredObject | None, Failure]], None]
ListReply = Callable[[Result[ObjectList, Failure]], None]
WriteReply = Callable[[Result[WriteResult, Failure]], None]
DoneReply = Callable[[Result[None, Failure]], None]
FleetReply = Callable[[Result[Fleet, Failure]], None]


class PlatformStore(Protocol):
    """The platform's store.

    Each reply handler is called exactly once, with a Failure if the answer did
    not arrive in time. After a failed write, the caller can't know whether the
    write took effect: the Failure has the run state UNKNOWN if at least one
    byte was sent.
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
        """Writes an object if its version is the expected one.

        An expected version of 0 means that the object must not exist.
        """

    def delete(
        self, kind: str, name: str, expected_version: int, reply: WriteReply
    ) -> None:
        """Deletes an object if its version is the expected one."""

    def watch(
        self, kind: str, after_version: int, timeout_s: float, reply: ListReply
    ) -> None:
        """Waits for objects of a kind that are written after a version."""

    def list_vms(self, reply: FleetReply) -> None:
        """Reads the list of VMs, which may be out of date."""
