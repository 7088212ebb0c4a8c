"""Messages between the callers' interface and the query service."""

from collections.abc import Callable
from typing import NamedTuple, Protocol

from expression import Result

from mulberrybay_core.addresses import Address
from mulberrybay_core.errors import Failure


class QueryRequest(NamedTuple):
    """A caller's idempotent query.

    Attributes:
        request_id: ID of the request, echoed in the answer.
        class_name: The class of work.
        failure_domain: The caller's failure domain; empty if not given.
        deadline_at_s: When the caller stops waiting, on this node's clock.
        received_at_s: When the request arrived, on this node's clock.
        body: The query; it is sent to the backend servers without parsing.
    """

    request_id: str
    class_name: str
    failure_domain: str
    deadline_at_s: float
    received_at_s: float
    body: bytes


class ShardReply(NamedTuple):
    """The reply of one shard: the shard number and the hits as JSON."""

    shard: int
    hits_json: bytes


class QueryAnswer(NamedTuple):
    """The answer to a query; all hits come from one index snapshot.

    Attributes:
        request_id: ID of the request that it answers.
        index_version: The index version of the snapshot.
        shard_count: The number of shards of the snapshot.
        shard_replies: The replies of the covered shards, one for each.
        missing_shards: The shards that are not covered.
        revision: The configuration revision when the answer was built.
    """

    request_id: str
    index_version: int
    shard_count: int
    shard_replies: tuple[ShardReply, ...]
    missing_shards: tuple[int, ...]
    revision: int


class RunRequest(NamedTuple):
    """A caller's non-idempotent request.

    Attributes:
        request_id: ID of the request, echoed in the answer.
        class_name: The class of work.
        idempotency_key: The caller's key; at most one request with the same
            key is executed.
        failure_domain: The caller's failure domain; empty if not given.
        deadline_at_s: When the caller stops waiting, on this node's clock.
        received_at_s: When the request arrived, on this node's clock.
        body: The request; it is sent to a backend server without parsing.
    """

    request_id: str
    class_name: str
    idempotency_key: str
    failure_domain: str
    deadline_at_s: float
    received_at_s: float
    body: bytes


class RunAnswer(NamedTuple):
    """The result of a non-idempotent request that was executed.

    Attributes:
        request_id: ID of the request that it answers.
        result_json: The reply of the backend server, as JSON.
        was_repeat: Whether the result was read from the run record of an
            earlier request with the same key.
    """

    request_id: str
    result_json: bytes
    was_repeat: bool


class AdvertisedAddress(NamedTuple):
    """The address of a node that callers may connect to."""

    node_id: str
    failure_domain: str
    address: Address


class AddressAnswer(NamedTuple):
    """The addresses that a caller should connect to.

    Attributes:
        addresses: Nodes that accept work; those in the caller's failure
            domain come first.
        time_to_live_s: How long the caller may cache the answer.
    """

    addresses: tuple[AdvertisedAddress, ...]
    time_to_live_s: float


QueryReplyHandler = Callable[[Result[QueryAnswer, Failure]], None]
RunReplyHandler = Callable[[Result[RunAnswer, Failure]], None]
# Cancels the query of a disconnected caller; does nothing if it has ended.
CancelQuery = Callable[[], None]


class QueryService(Protocol):
    """The operations that the callers' interface needs from a node.

    Each `reply` is called exactly once, possibly before the method returns.
    """

    def submit_query(
        self, request: QueryRequest, reply: QueryReplyHandler
    ) -> CancelQuery | None:
        """Processes a query and calls `reply` with its answer.

        Returns:
            A function that cancels the query; None if it was not started.
        """

    def submit_run(self, request: RunRequest, reply: RunReplyHandler) -> None:
        """Executes a non-idempotent request at most once."""

    def list_addresses(
        self, failure_domain: str
    ) -> Result[AddressAnswer, Failure]:
        """Returns the addresses that a caller should connect to."""

    def has_class(self, class_name: str) -> bool:
        """Returns whether the current configuration has a class of work."""
