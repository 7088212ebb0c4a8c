"""Messages between a holder and its connections to backend servers."""

import enum
from collections.abc import Callable
from typing import NamedTuple, Protocol

from mulberrybay_core.attempts import AttemptKind
from mulberrybay_core.errors import RunState
from mulberrybay_core.fleet import BackendServer


class BackendRequest(NamedTuple):
    """One request to one backend server.

    Attributes:
        request_id: ID, unique over all nodes and restarts; the reply echoes
            it.
        kind: The kind of request.
        index_version: The index version to search.
        shard: The shard to search.
        idempotency_key: The key of a run; empty for a search.
        deadline_at_s: When the request times out, on this node's clock.
        body: The body of the query.
    """

    request_id: str
    kind: AttemptKind
    index_version: int
    shard: int
    idempotency_key: str
    deadline_at_s: float
    body: bytes


class BackendOutcome(enum.StrEnum):
    """How a request to a backend server ended."""

    OK = "ok"
    WRONG_SNAPSHOT = "wrong_snapshot"
    SHED = "shed"
    DEADLINE = "deadline"
    CANCELLED = "cancelled"
    NOT_ALLOWED = "not_allowed"
    CONNECTION_LOST = "connection_lost"
    BAD_REPLY = "bad_reply"


class BackendResult(NamedTuple):
    """The result of a request to a backend server.

    Attributes:
        outcome: How the request ended.
        run_state: NOT_RUN only if no byte was passed to a socket, or if the
            backend server reported that it did not execute the request.
        latency_s: Time from dispatch to the end.
        is_leaving: Whether the reply said that the server is leaving.
        retry_after_s: The delay that a shedding server asked for; 0 if it
            named none.
        index_versions: On WRONG_SNAPSHOT, the versions that the server has.
        body: The body of the reply.
        detail: A description of the failure for people; empty on success.
    """

    outcome: BackendOutcome
    run_state: RunState
    latency_s: float = 0.0
    is_leaving: bool = False
    retry_after_s: float = 0.0
    index_versions: tuple[int, ...] = ()
    body: bytes = b""
    detail: str = ""


BackendResultHandler = Callable[[BackendResult], None]
SendCheck = Callable[[], bool]


class BackendConnections(Protocol):
    """The connections to all backend servers that a node holds."""

    def execute(
        self,
        server: BackendServer,
        request: BackendRequest,
        may_send: SendCheck,
        reply: BackendResultHandler,
    ) -> None:
        """Sends a request and calls `reply` exactly once with its result.

        Args:
            server: The server to send the request to.
            request: The request to send.
            may_send: Called immediately before the bytes are passed to the
                socket, possibly long after this call. If it returns False,
                the request is not sent.
            reply: Called with the result.
        """

    def cancel(self, request_id: str) -> None:
        """Asks the backend server to stop processing a request."""

    def drop_server(self, server_id: str) -> None:
        """Closes the idle connections to a server that is no longer held."""
