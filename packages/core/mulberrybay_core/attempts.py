"""Messages between a coordinator and the holders of backend servers.

An attempt is one sub-request to one backend server. The coordinator of a
query picks the replicas; the holder of a backend server, which alone owns its
connections, queues and dispatches.
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
    """What the attempt asks of the backend server."""

    SEARCH = 0
    RUN = 1


class Attempt(NamedTuple):
    """One sub-request.

    Attributes:
        attempt_id: Unique within the coordinator's process.
        server_id: The backend server to ask.
        shard: The shard of the snapshot; 0 for a run.
    """

    attempt_id: int
    server_id: str
    shard: int


class AttemptBatch(NamedTuple):
    """The attempts of one query that go to one holder.

    Attributes:
        query_id: Identity of the query, unique over all nodes and restarts.
        kind: What is asked.
        class_name: The class of work.
        index_version: The snapshot that a search names; 0 for a run.
        deadline_at_s: When the coordinator stops waiting, on the clock of
            the node that reads this field.
        idempotency_key: The key of a run; empty for a search.
        attempts: The sub-requests.
        body: The query.
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
    """What a holder knows of a backend server.

    Attributes:
        outstanding_count: Requests dispatched and not yet answered.
        queued_count: Requests that wait at the holder.
        limit_count: How many may be outstanding now.
    """

    outstanding_count: int
    queued_count: int
    limit_count: int


class AttemptReply(NamedTuple):
    """How one attempt ended.

    Attributes:
        attempt_id: The attempt.
        server_id: The backend server that was to be asked.
        outcome: How it ended.
        run_state: What is known of its effect.
        index_versions: On WRONG_SNAPSHOT, the versions the server holds.
        service_time_ms: From dispatch to reply; 0 if not dispatched.
        retry_after_ms: On SHED, what the server asked for; 0 if nothing.
        load: What the holder knows of the server.
        body: The hits or the result, as JSON.
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


class AttemptCarrier(Protocol):
    """Carries attempts to holders, here or at other nodes."""

    def send(self, batch: AttemptBatch, reply: AttemptReplyHandler) -> None:
        """Sends a batch to the holders of its servers.

        The handler is called exactly once for each attempt, perhaps before
        this method returns.
        """

    def cancel(self, query_id: str, attempt_ids: tuple[int, ...]) -> None:
        """Cancels attempts whose replies are no longer wanted."""
