"""Messages between a coordinator and the holders of backend servers.

An attempt is one sub-request to one backend server. The coordinator of a
query chooses the replicas. The holder of a backend server is the only node with
connections to it; it queues and dispatches the attempts.
"""

import enum
from collections.abc import Callable
from typing import NamedTuple, Protocol

from mulberrybay_core.errors import RunState


class AttemptOutcome(enum.IntEnum):
    """How an attempt ended."""

    OK = 0
    WRONG_SNAPSHOT = 1
    SHED = 2
    NOT_HOLDER = 3
    NOT_ALLOWED = 4
    QUEUE_FULL = 5
    DEADLINE = 6
    CANCELLED = 7
    CONNECTION_LOST = 8
    BAD_REPLY = 9
    LINK_LOST = 10


class AttemptKind(enum.IntEnum):
    """The kind of request that an attempt sends to the backend server."""

    SEARCH = 0
    RUN = 1


class Attempt(NamedTuple):
    """One sub-request to one backend server.

    Attributes:
        attempt_id: ID, unique within the coordinator's process.
        server_id: The backend server that gets the sub-request.
        shard: The shard number in the snapshot; 0 for a run.
    """

    attempt_id: int
    server_id: str
    shard: int


class AttemptBatch(NamedTuple):
    """The attempts of one query that go to one holder.

    Attributes:
        query_id: ID of the query, unique over all nodes and restarts.
        kind: The kind of request.
        class_name: The class of work.
        index_version: The index version to search; 0 for a run.
        deadline_at_s: When the coordinator stops waiting, on the clock of
            the node that reads this field.
        idempotency_key: The key of a run; empty for a search.
        attempts: The sub-requests, one for each backend server.
        body: The body of the query, the same for all attempts.
    """

    query_id: str
    kind: AttemptKind
    class_name: str
    index_version: int
    deadline_at_s: float
    idempotency_key: str
    attempts: tuple[Attempt, ...]
    body: bytes


class ServerLoad(NamedTuple):
    """The load of a backend server, as its holder sees it.

    Attributes:
        outstanding_count: Requests dispatched and not yet answered.
        queued_count: Requests queued at the holder.
        limit_count: Limit on the outstanding requests at present.
    """

    outstanding_count: int
    queued_count: int
    limit_count: int


class AttemptReply(NamedTuple):
    """How one attempt ended.

    Attributes:
        attempt_id: The attempt that ended.
        server_id: The backend server that the attempt was for.
        outcome: How the attempt ended.
        run_state: Whether the request was executed, if that is known.
        index_versions: On WRONG_SNAPSHOT, the versions that the server has.
        service_time_ms: Time from dispatch to reply; 0 if not dispatched.
        retry_after_ms: On SHED, the delay that the server asked for; 0 if it
            named none.
        load: The load of the server.
        body: The hits of a search or the result of a run, as JSON.
    """

    attempt_id: int
    server_id: str
    outcome: AttemptOutcome
    run_state: RunState
    index_versions: tuple[int, ...] = ()
    service_time_ms: float = 0.0
    retry_after_ms: float = 0.0
    load: ServerLoad = ServerLoad(0, 0, 1)
    body: bytes = b""


AttemptReplyHandler = Callable[[AttemptReply], None]


class AttemptTransport(Protocol):
    """Sends attempts to holders, on this node or on other nodes."""

    def send(self, batch: AttemptBatch, reply: AttemptReplyHandler) -> None:
        """Sends a batch to the holders of its servers.

        Calls `reply` exactly once for each attempt, possibly before this
        method returns.
        """

    def cancel(self, query_id: str, attempt_ids: tuple[int, ...]) -> None:
        """Cancels attempts whose replies are no longer needed."""
