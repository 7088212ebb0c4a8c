"""How an object API is spoken: its paths, bodies and answers.

The client has the connections, queues and timers; a dialect has the form.
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
        operation: What it does, for counters.
        method: The HTTP method.
        path: Path and query.
        headers: Headers besides host and length.
        body: The body.
    """

    operation: str
    method: str
    path: str
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""


class StoreDialect(Protocol):
    """Encodes calls and decodes answers."""

    def read(self, kind: str, name: str) -> StoreCall:
        """Returns the call that reads an object."""

    def list_kind(self, kind: str, after_name: str) -> StoreCall:
        """Returns the call that lists a kind, from after a name on."""

    def watch(
        self, kind: str, after_version: int, timeout_s: float
    ) -> StoreCall:
        """Returns the call that waits for changes."""

    def write(
        self, kind: str, name: str, value: JsonObject, expected_version: int
    ) -> StoreCall:
        """Returns the call that writes an object; version 0 creates it."""

    def delete(self, kind: str, name: str, expected_version: int) -> StoreCall:
        """Returns the call that deletes an object."""

    def decode_object(self, reply: HttpReply) -> StoredObject | Failure | None:
        """Parses the answer to the read of an object."""

    def decode_list(self, reply: HttpReply) -> ObjectList | Failure:
        """Parses the answer to a list or a watch."""

    def decode_write(self, reply: HttpReply) -> WriteResult | Failure:
        """Parses the answer to a conditional write or deletion."""
