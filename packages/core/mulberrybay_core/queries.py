"""Messages between the callers' interface and the decisions."""

from collections.abc import Callable
from typing import NamedTuple, Protocol

from expression import Result

from mulberrybay_core.addresses import Address
from mulberrybay_core.errors import Failure


class QueryRequest(NamedTuple):
    """A caller's idempotent query.

    Attributes:
        request_id: Identity of the request, echoed in the answer.
        class_name: The class of work.
        failure_domain: The caller's failure domain; empty if not given.
        deadline_at_s: When the caller stops waiting, on this node's clock.
        received_at_s: When the request arrived, on this node's clock.
        body: The query, passed on unread to the backend servers.
    """

    request_id: str
    class_name: str
    failure_domain: str
    deadline_at_s: float
    received_at_s: float
    body: bytes


class ShardHits(NamedTuple):
    """The reply of one shard: its number and its hits as JSON."""

    shard: int
    hits_json: bytes


class QueryAnswer(NamedTuple):
    """An answer from one snapshot of the index.

    Attributes:
        request_id: Identity of the request that it answers.
        index_version: The one snapshot that all the hits come from.
        shard_count: Shards of that snapshot.
        parts: One reply for each shard that is covered.
        missing_shards: The shards that are not covered.
        revision: The configuration revision in force when it was made.
    """

    request_id: str
    index_version: int
    shard_count: int
    parts: tuple[ShardHits, ...]
    missing_shards: tuple[int, ...]
    revision: int


class RunRequest(NamedTuple):
    """A caller's non-idempotent request.

    Attributes:
        request_id: Identity of the request, echoed in the answer.
        class_name: The class of work.
        idempotency_key: The caller's key; one effect at most for each.
        failure_domain: The caller's failure domain; empty if not given.
        deadline_at_s: When the caller stops waiting, on this node's clock.
        received_at_s: When the request arrived, on this node's clock.
        body: The request, passed on unread to a backend server.
    """

    request_id: str
    class_name: str
    idempotency_key: str
    failure_domain: str
    deadline_at_s: float
    received_at_s: float
    body: bytes


class RunAnswer(NamedTuple):
    """The outcome of a non-idempotent request that ran.

    Attributes:
        request_id: Identity of the request that it answers.
        result_json: What the backend server answered, as JSON.
        was_repeat: Whether the outcome was read from the record.
    """

    request_id: str
    result_json: bytes
    was_repeat: bool


class CallerAddress(NamedTuple):
    """An address that callers may use."""

    node_id: str
    failure_domain: str
    address: Address


class AddressAnswer(NamedTuple):
    """Which addresses to use and for how long.

    Attributes:
        addresses: Nodes that take work, the caller's failure domain first.
        time_to_live_s: How long the caller may keep the answer.
    """

    addresses: tuple[CallerAddress, ...]
    time_to_live_s: float


QueryReply = Callable[[Result[QueryAnswer, Failure]], None]
RunReply = Callable[[Result[RunAnswer, Failure]], None]
# Ends a query whose caller has gone; does nothing once it has ended.
CancelQuery = Callable[[], None]


class QueryService(Protocol):
    """What the callers' interface asks of a node.

    Each reply is called exactly once, perhaps before the method returns.
    """

    def submit_query(
        self, request: QueryRequest, reply: QueryReply
    ) -> CancelQuery | None:
        """Answers a query.

        Returns:
            What ends it early; None if it has not been begun.
        """

    def submit_run(self, request: RunRequest, reply: RunReply) -> None:
        """Runs a non-idempotent request at most once."""

    def list_addresses(
        self, failure_domain: str
    ) -> Result[AddressAnswer, Failure]:
        """Returns the addresses that a caller should use."""

    def has_class(self, class_name: str) -> bool:
        """Returns whether the configuration in force has that class."""
