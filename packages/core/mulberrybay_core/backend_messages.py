"""Messages between a holder and its connections to a backend server."""

import enum
from collections.abc import Callable
from typing import NamedTuple, Protocol

from mulberrybay_core.attempts import AttemptKind
from mulberrybay_core.errors import RunState
from mulberrybay_core.fleet import BackendServer


class BackendRequest(NamedTuple):
    """One request to one backend server.

    Attributes:
        request_id: Unique over all nodes and restarts; the reply echoes it.
        kind: What is asked.
        index_version: The snapshot that a search names.
        shard: The shard that a search names.
        idempotency_key: The key of a run; empty for a search.
        deadline_at_s: When the request is given up, on this node's clock.
        body: The query.
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
    """How a request to a backend server ended.

    Attributes:
        outcome: The kind of end.
        run_state: NOT_RUN only if no byte was handed to a socket or the
            backend server said so.
        latency_s: From dispatch to the end.
        is_leaving: Whether the reply said that the server is leaving.
        retry_after_s: What a shedding server asked for; 0 if nothing.
        index_versions: On WRONG_SNAPSHOT, the versions that it holds.
        body: The reply's body.
        detail: Text for people, on failures.
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
    """The connections to all the backend servers that a node holds."""

    def execute(
        self,
        server: BackendServer,
        request: BackendRequest,
        may_send: SendCheck,
        reply: BackendResultHandler,
    ) -> None:
        """Sends a request; the handler is called exactly once.

        Args:
            server: The server to ask.
            request: What to ask.
            may_send: Asked immediately before the bytes are handed to the
                socket, perhaps long after this call.
            reply: Takes the result.
        """

    def cancel(self, request_id: str) -> None:
        """Asks the backend server to stop work on a request."""

    def drop_server(self, server_id: str) -> None:
        """Closes the idle connections to a server no longer held."""
