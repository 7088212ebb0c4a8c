"""The protocol of an object API: its paths, bodies and replies.

The client manages connections, queues and timers; a dialect encodes calls and
decodes replies.
"""

from typing import NamedTuple, Protocol

from mulberrybay_core.errors import Failure
from mulberrybay_core.store_messages import (
    JsonObject,
    ObjectList,
    StoredObject,
    WriteResult,
)
from mulberrybay_runtime.http_exchange import HttpReply


class StoreCall(NamedTuple):
    """One call of an object API.

    Attributes:
        operation: The operation's name in counters and error texts.
        method: The HTTP method.
        path: The path and the query string.
        headers: Headers besides Host and Content-Length.
        body: The request body.
    """

    operation: str
    method: str
    path: str
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""


class StoreDialect(Protocol):
    """Encodes calls and decodes replies."""

    def read(self, kind: str, name: str) -> StoreCall:
        """Returns the call that reads an object."""

    def list_kind(
        self, kind: str, after_name: str, *, may_be_stale: bool
    ) -> StoreCall:
        """Returns the call that lists a kind, starting after a name.

        The list may lack the changes of the last seconds if `may_be_stale`.
        """

    def watch(
        self, kind: str, after_version: int, timeout_s: float
    ) -> StoreCall:
        """Returns the call that waits for changes after a version."""

    def write(
        self, kind: str, name: str, value: JsonObject, expected_version: int
    ) -> StoreCall:
        """Returns the call that writes an object; version 0 creates it."""

    def write_status(
        self, kind: str, name: str, status: JsonObject, expected_version: int
    ) -> StoreCall | None:
        """Returns the call that writes an object's status.

        None if the API's objects have no status.
        """

    def delete(self, kind: str, name: str, expected_version: int) -> StoreCall:
        """Returns the call that deletes an object."""

    def read_era(self, reply: HttpReply) -> int | None:
        """Returns how often the store has returned from an older copy.

        None if the reply doesn't say it, or not readably.
        """

    def decode_object(self, reply: HttpReply) -> StoredObject | Failure | None:
        """Decodes the reply to a read; None if there is no such object."""

    def decode_list(self, reply: HttpReply) -> ObjectList | Failure:
        """Decodes the reply to a list or a watch."""

    def decode_write(self, reply: HttpReply) -> WriteResult | Failure:
        """Decodes the reply to a conditional write or deletion."""
