"""Messages between the caller server of a node and its request handlers."""

from collections.abc import Callable
from typing import Final, NamedTuple, Protocol

HeaderList = tuple[tuple[str, str], ...]

# Headers that apply to one connection only (RFC 9110, 7.6.1).
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

LEAVING_VALUE: Final = "1"


class HeaderNames(NamedTuple):
    """Header names as sent on the wire.

    Attributes:
        request_id: Identifies one request of a caller; echoed in its answer.
        deadline_ms: How many more milliseconds the sender will wait.
        expected_server: The only backend server that may process a request.
        signature: Proves that a reply comes from a backend server.
        shard_reply_signatures: Signatures of the shard replies in an answer.
        missing_shard_count: How many shards an answer does not cover.
        not_run: Present when a backend server did not process a request.
        load: The counts of running requests, waiting requests and slots of a
            backend server.
        leaving: LEAVING_VALUE in the replies of a backend server that leaves.
        rate_limit: The requests per second that a backend server takes from
            all nodes together.
        tenant: The name of the tenant whose API key a request carries.
    """

    request_id: str
    deadline_ms: str
    expected_server: str
    signature: str
    shard_reply_signatures: str
    missing_shard_count: str
    not_run: str
    load: str
    leaving: str
    rate_limit: str
    tenant: str


class CallerRequest(NamedTuple):
    """One complete request of a caller.

    Attributes:
        method: The HTTP method.
        target: The path and query string, as sent.
        path: The path without the query string.
        host: The host from the Host header, in lower case, without a port.
        headers: The end-to-end headers in their order, without those that
            nodes set themselves.
        body: The complete body.
        request_id: The identifier that the caller sent; empty if none.
        received_at_s: When the last byte was read, on this node's clock.
        deadline_s: How long the caller waits; None if not specified.
        network_time_s: The part of the caller's latency spent on the network:
            opening the connection, sending the request and the answer.
        is_relayed: Whether another node has handed it to this one.
        peer_host: The host that the connection comes from.
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
    network_time_s: float = 0.0
    is_relayed: bool = False
    peer_host: str = ""


class CallerAnswer(NamedTuple):
    """The answer to a caller's request.

    The sender of the answer adds the Content-Length header.

    Attributes:
        status: The HTTP status.
        headers: The headers.
        body: The body; not sent in an answer to HEAD.
        body_bytes: The value of Content-Length if it differs from the length of
            `body`, as in a backend server's reply to HEAD; None otherwise.
    """

    status: int
    headers: HeaderList = ()
    body: bytes = b""
    body_bytes: int | None = None


AnswerHandler = Callable[[CallerAnswer], None]
CancelRequest = Callable[[], None]


class CallerService(Protocol):
    """Handles the requests of callers."""

    def submit(
        self, request: CallerRequest, reply: AnswerHandler
    ) -> CancelRequest | None:
        """Handles a request.

        Args:
            request: The request.
            reply: Called exactly once, unless the request is cancelled.

        Returns:
            A function that cancels the request, to call when the caller
            disconnects; None if the request was already answered.
        """
