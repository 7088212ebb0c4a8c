"""What passes between a node's callers' side and its dispatching side."""

from collections.abc import Callable
from typing import Final, NamedTuple, Protocol

HeaderList = tuple[tuple[str, str], ...]

# Headers that concern one connection only (RFC 9110, 7.6.1).
HOP_BY_HOP_HEADERS: Final = frozenset(
    {
        "connection",
        "expect",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)


class HeaderNames(NamedTuple):
    """The names of headers on the wire, in the form they are sent.

    Attributes:
        request_id: Names one request of a caller; echoed in its answer.
        deadline_ms: Milliseconds that the sender will still wait.
        expected_server: The only backend server that may run a request.
        signature: Proves that a reply is a backend server's own.
        part_signatures: The signatures of the parts in an answer.
        missing_part_count: Shards that an answer does not cover.
        not_run: Present when a backend server did not run a request.
        load: Running, waiting and all slots of a backend server.
    """

    request_id: str
    deadline_ms: str
    expected_server: str
    signature: str
    part_signatures: str
    missing_part_count: str
    not_run: str
    load: str


class CallerRequest(NamedTuple):
    """One whole request of a caller.

    Attributes:
        method: The HTTP method.
        target: Path and query, as sent.
        path: The path alone.
        host: The host that the caller named, in lower case, without a port.
        headers: End-to-end headers in order, without those that the system
            sets itself.
        body: The whole body.
        request_id: The caller's name for it; empty if it gave none.
        received_at_s: When its last byte was read.
        deadline_s: How long the caller waits; None if it did not say.
        travel_s: What the caller's latency has besides the time at this node:
            the ways of request and answer, and of opening the connection.
    """

    method: str
    target: str
    path: str
    host: str
    headers: HeaderList
    body: bytes
    request_id: str
    received_at_s: float
    deadline_s: float | None
    travel_s: float = 0.0


class CallerAnswer(NamedTuple):
    """The answer to a caller's request; the length header is added.

    Attributes:
        status: The status.
        headers: The headers.
        body: The body; it is not sent in answer to HEAD.
        body_bytes: The length to name where it is not that of the body, as in
            a server's answer to HEAD.
    """

    status: int
    headers: HeaderList = ()
    body: bytes = b""
    body_bytes: int | None = None


AnswerHandler = Callable[[CallerAnswer], None]
CancelRequest = Callable[[], None]


class CallerService(Protocol):
    """Answers the requests of callers."""

    def submit(
        self, request: CallerRequest, reply: AnswerHandler
    ) -> CancelRequest | None:
        """Takes a request.

        The handler is called exactly once, unless the request is cancelled.

        Returns:
            What to call when the caller leaves; None if it was answered.
        """
