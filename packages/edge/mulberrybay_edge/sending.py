"""Interface between request handlers and the sender of their attempts."""

import enum
from collections.abc import Callable
from typing import Final, NamedTuple, Protocol

from mulberrybay_core.caller_messages import (
    CallerRequest,
    HeaderList,
    HeaderNames,
)
from mulberrybay_core.overload.admission import Urgency
from mulberrybay_core.request_identity import identify_request
from mulberrybay_core.route_history import RouteHistory
from mulberrybay_core.tenants.keys import CREDENTIALS_HEADER
from mulberrybay_runtime.http_exchange import HttpReply


class AttemptOutcome(enum.Enum):
    """The outcome of an attempt."""

    OK = "ok"
    FAILED = "failed"
    NOT_RUN = "not_run"
    LOST = "lost"


class AttemptResult(NamedTuple):
    """How an attempt ended.

    Attributes:
        outcome: FAILED: the request ran and failed. LOST: it may have run.
        server_id: The server that it was sent to.
        reply: The server's complete reply, if there is one.
        detail: A description for the log.
        has_arrived: Whether the server may have received the request: at
            least one byte was sent.
    """

    outcome: AttemptOutcome
    server_id: str
    reply: HttpReply | None
    detail: str
    has_arrived: bool


class SendRefusal(enum.Enum):
    """Why an attempt was not sent."""

    NO_SERVER = "no server"
    HELD = "more urgent requests need the servers"
    FULL = "all servers are full"
    PAUSED = "all servers have asked for a pause"
    LIMITED = "the rate limits of all servers are used up"
    NOT_ALLOWED = "the server may not be used any more"
    NO_ALLOWANCE = "the limit on repeats is reached"
    OUT_OF_TIME = "no time is left"


# These attempts wait for a server with room.
QUEUED_REFUSALS: Final = (SendRefusal.HELD, SendRefusal.FULL)


class AttemptSpec(NamedTuple):
    """Describes an attempt to send a request to any server of a service.

    Attributes:
        template: The encoded request, without the headers that differ by
            attempt.
        service: The service.
        history: The latencies of the route.
        deadline_at_s: The time after which the reply is useless.
        tried: The servers already tried for the request.
        is_retry: Whether the request was sent to the service before.
        is_retryable: Whether it may be retried if the reply is lost.
        avoided_ids: Servers that must not be used now.
        may_start: Returns whether its first bytes may be sent now, which is
            asked once there is a connection.
        route_name: The route, by which replies are counted during a rollout.
        urgency: What its order under overload depends on; None to send it
            as soon as a server may be used.
        resume: Tries to send it again once a server may have room.
    """

    template: "RequestTemplate"
    service: str
    history: RouteHistory
    deadline_at_s: float
    tried: "TriedServers"
    is_retry: bool
    is_retryable: bool
    avoided_ids: frozenset[str] = frozenset()
    may_start: Callable[[], bool] | None = None
    route_name: str = ""
    urgency: Urgency | None = None
    resume: Callable[[], None] | None = None


ResultHandler = Callable[[AttemptResult], None]

# Extra attempts for one request at one service, beyond one for each server that
# the route allows: after a lost reply, the same server may succeed.
MAX_EXTRA_SEND_COUNT: Final = 2


class TriedServers:
    """The servers of one service tried for one request."""

    __slots__ = ("_max_server_count", "_send_count", "in_progress", "sent_to")

    def __init__(self, max_server_count: int) -> None:
        self._max_server_count = max_server_count
        self._send_count = 0
        # Servers that the request was sent to, and those with an attempt in
        # progress.
        self.sent_to: set[str] = set()
        self.in_progress: set[str] = set()

    @property
    def may_send(self) -> bool:
        """Whether another attempt is allowed."""
        return self._send_count < self._max_server_count + MAX_EXTRA_SEND_COUNT

    def allows(self, server_id: str) -> bool:
        """Whether the next attempt may use a server."""
        if server_id in self.in_progress:
            return False
        return (
            server_id in self.sent_to
            or len(self.sent_to) < self._max_server_count
        )

    def record_sent(self, server_id: str) -> None:
        """Records an attempt at a server."""
        self._send_count += 1
        self.sent_to.add(server_id)
        self.in_progress.add(server_id)

    def record_end(self, server_id: str, *, has_arrived: bool) -> None:
        """Records the end of an attempt.

        An attempt that did not reach its server doesn't count.
        """
        self.in_progress.discard(server_id)
        if not has_arrived:
            self._send_count -= 1
            self.sent_to.discard(server_id)


class RequestTemplate:
    """A caller's request as it is sent to backend servers.

    Attributes:
        request_id: The identifier that the caller gave it.
        identity: What it asks for; the same if the caller sends it again.
        target: The path and query string.
        expects_body: Whether a reply has a body.
    """

    __slots__ = (
        "_body",
        "_head",
        "_method",
        "_names",
        "expects_body",
        "identity",
        "request_id",
        "target",
    )

    def __init__(self, request: CallerRequest, names: HeaderNames) -> None:
        self.request_id = request.request_id
        self.target = request.target
        self.identity = identify_request(request)
        self.expects_body = request.method != "HEAD"
        self._names = names
        self._body = request.body
        self._method = request.method
        self._head = self._encode_head(request.headers)

    def _encode_head(self, headers: HeaderList) -> str:
        lines = [f"{name}: {value}" for name, value in headers]
        if self.request_id:
            lines.append(f"{self._names.request_id}: {self.request_id}")
        if self._body or self._method not in {"GET", "HEAD", "DELETE"}:
            lines.append(f"Content-Length: {len(self._body)}")
        return "\r\n".join(lines)

    def name_tenant(self, request: CallerRequest, tenant_name: str) -> None:
        """Sends a tenant's name in place of the caller's credentials.

        Args:
            request: The request that this was made of.
            tenant_name: The name; empty to send none.
        """
        tenant_header = self._names.tenant
        dropped = {CREDENTIALS_HEADER, tenant_header.lower()}
        headers = tuple(
            (name, value)
            for name, value in request.headers
            if name.lower() not in dropped
        )
        if tenant_name:
            value = tenant_name.encode().decode("latin-1")
            headers += ((tenant_header, value),)
        self._head = self._encode_head(headers)

    def encode(self, server_id: str, time_left_s: float) -> bytes:
        """Returns the encoded request for one server."""
        names = self._names
        # A node that the request is relayed to learns from the first header that
        # nodes have added some.
        return (
            f"{self._method} {self.target} HTTP/1.1\r\n"
            f"{names.expected_server}: {server_id}\r\n"
            f"{names.deadline_ms}: {max(1, int(time_left_s * 1000))}\r\n"
            f"{self._head}\r\n\r\n"
        ).encode("latin-1") + self._body


class AttemptHandle(Protocol):
    """An attempt in progress."""

    @property
    def server_id(self) -> str:
        """The server that it was sent to."""

    @property
    def is_finished(self) -> bool:
        """Whether its result is known or it was cancelled."""

    @property
    def is_sent(self) -> bool:
        """Whether any byte of the request may have been sent."""

    def cancel(self) -> None:
        """Cancels the attempt; the result handler is not called."""


class Sender(Protocol):
    """Sends attempts; see `Dispatcher`."""

    def send(
        self, spec: AttemptSpec, on_result: ResultHandler
    ) -> AttemptHandle | SendRefusal:
        """Sends one attempt.

        The handler is called once, unless the attempt is cancelled or refused.
        """

    def record_request(
        self, service: str, urgency: Urgency | None = None
    ) -> None:
        """Counts a caller's request for a service."""

    @property
    def has_order(self) -> bool:
        """Whether requests differ in priority."""

    def expected_wait_s(self, service: str) -> float:
        """Returns how long a request waits for a slot; 0 if it isn't known."""

    def refuses(self, urgency: Urgency, *, is_late: bool) -> bool:
        """Counts a query, and returns whether to refuse it.

        Args:
            urgency: What its order depends on.
            is_late: Whether it can't be answered by its deadline. It is refused
                unless too few of its class would be served.
        """

    def withdraw(self, service: str, tried: "TriedServers") -> None:
        """Gives up a request that waits for a service."""

    def available_at_s(self, service: str) -> float:
        """Returns from when on a server of a service accepts requests.

        It is the current time, or later if all servers have asked for a pause
        or this node's share of their rate limits is used up; infinity if the
        service has no server.
        """

    @property
    def is_cut_off(self) -> bool:
        """Whether only another node can reach backend servers."""

    def is_limited(self, service: str) -> bool:
        """Returns whether only rate limits keep requests from a service."""
